package backends

import (
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// Guards against a pool that counts as pausing while a quarter of its engines respond, and against one
// that does not while fewer do.
func TestPoolPausesWhileFewEnginesRespond(t *testing.T) {
	p := newCentralPoolOf(engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1), engine("e", 1), state.Backend{ID: "plain", Pool: "app"})
	cases := map[string]struct {
		notes  coordapi.Notes
		wanted bool
	}{
		"all respond":              {coordapi.Notes{}, false},
		"two of five":              {coordapi.Notes{Silent: []string{"a", "b"}, Unresponsive: []string{"b", "c"}}, false},
		"one of five":              {coordapi.Notes{Silent: []string{"a", "b"}, Unresponsive: []string{"b", "c", "d"}}, true},
		"none":                     {coordapi.Notes{Silent: []string{"a", "b", "c", "d", "e"}}, true},
		"others that are not here": {coordapi.Notes{Silent: []string{"a", "b", "c", "plain", "gone"}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p.ApplyNotes(c.notes)
			assert.Equal(t, p.Pauses(engine("a", 1).Pool), c.wanted)
		})
	}
}

// Guards against a further attempt that is placed at an engine that does not respond, or at another one
// than those that it is restricted to.
func TestChoiceKeepsToEnginesThatRespondAndAreNamed(t *testing.T) {
	cases := map[string]struct {
		change func(q *Query)
		wanted string
	}{
		"only silent ones":   {func(q *Query) { q.Tried = []string{"c"} }, ""},
		"one that responds":  {func(*Query) {}, "c"},
		"among silent ones":  {func(q *Query) { q.Among = []string{"a", "b"} }, ""},
		"among others":       {func(q *Query) { q.Among = []string{"a", "c"} }, "c"},
		"among none of them": {func(q *Query) { q.Among = []string{"x"} }, ""},
	}
	for name, c := range cases {
		for _, later := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				p := newCentralPoolOf(engine("a", 1), engine("b", 1), engine("c", 1))
				p.ApplyNotes(coordapi.Notes{Silent: []string{"a"}, Unresponsive: []string{"b"}})
				q := roomQuery()
				q.Responsive, q.Later = true, later
				c.change(&q)
				choice, found := p.Choose(0, &q)
				assert.Equal(t, found, c.wanted != "")
				assert.Equal(t, choice.ID, c.wanted)
			})
		}
	}
}
