package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// centralOf is a pool for all routers with some engines.
func centralOf(count int) *Pool {
	p := NewCentralPool()
	var rows []state.Backend
	for i := range count {
		rows = append(rows, engine(fmt.Sprintf("e%02d", i), 1))
	}
	p.Apply(rows, nil, true)
	return p
}

// place chooses for a router and counts the request as sent.
func place(t *testing.T, p *Pool, now time.Duration, key int, tried ...string) (string, *Attempt) {
	q := query()
	q.Key, q.Tried = fmt.Sprint("key ", key), tried
	choice := mustChoose(t, p, now, q)
	return choice.ID, p.Begin(now, &choice, &q, func(error) {})
}

// One router was told by an engine that it wants nothing for three seconds. The engine is
// not offered to that router, and to others only while no other engine is left: it may
// turn away only some.
func TestAnEngineThatPushedBackIsOfferedToOthersLast(t *testing.T) {
	p := centralOf(3)
	told := []coordapi.Trouble{{ID: "e01", Kind: coordapi.Busy, For: 3 * time.Second}}
	p.ApplyTroubles(0, told)
	for key := range 40 {
		id, a := place(t, p, time.Second, key)
		assert.Assert(t, id != "e01")
		a.End(time.Second)
	}
	id, _ := place(t, p, time.Second, 1, "e00", "e02")
	assert.Equal(t, id, "e01", "a router that was not asked may try")
	q := query()
	q.Tried = []string{"e00", "e01", "e02"}
	_, found := p.Choose(time.Second, &q)
	assert.Assert(t, !found, "one that was asked by it may not")
}

// A third of thirty engines asked for the same three seconds. In the first moment after, with
// a request a millisecond, each gets one until it has begun that: before, they were taken
// for the engines with the least work, and got all that came.
func TestAfterAPushbackOneRequestAtATimeTriesAnEngine(t *testing.T) {
	p := centralOf(30)
	resting := map[string]bool{}
	for i := range 10 {
		id := fmt.Sprintf("e%02d", i)
		resting[id] = true
		p.ApplyTroubles(0, []coordapi.Trouble{{ID: id, Kind: coordapi.Busy, For: 3 * time.Second}})
	}
	trials := map[string][]*Attempt{}
	place100 := func(from time.Duration) {
		for i := range 100 {
			id, a := place(t, p, from+time.Duration(i)*time.Millisecond, i)
			if resting[id] {
				trials[id] = append(trials[id], a)
			}
		}
	}
	place100(2900 * time.Millisecond)
	assert.Equal(t, len(trials), 0)
	place100(3 * time.Second)
	assert.Assert(t, len(trials) > 0)
	for id, attempts := range trials {
		assert.Equal(t, len(attempts), 1, id)
	}
	// One of them is still full, and says so: nothing more for as long as it wants. The
	// others have begun theirs.
	var full string
	for id, attempts := range trials {
		if full == "" {
			full = id
			attempts[0].End(3200 * time.Millisecond)
			p.ApplyTroubles(3200*time.Millisecond, []coordapi.Trouble{{ID: id, Kind: coordapi.Busy, For: 3 * time.Second}})
			continue
		}
		attempts[0].FirstEventReported(3200*time.Millisecond, 100*time.Millisecond)
	}
	begun := len(trials) - 1
	trials = map[string][]*Attempt{}
	place100(3300 * time.Millisecond)
	assert.Equal(t, len(trials[full]), 0)
	more := 0
	for _, attempts := range trials {
		if len(attempts) > 1 {
			more++
		}
	}
	assert.Assert(t, more > 0 && more <= begun, "%d of %d that are well again get more than one", more, begun)
}

// A back end whose answers are no 200 is well again all the same.
func TestAnyGoodAnswerEndsTheTrials(t *testing.T) {
	p := NewPool("a")
	p.Apply([]state.Backend{{ID: "x", Pool: "app"}, {ID: "y", Pool: "app"}}, nil, true)
	p.PushedBack(0, "x", time.Second)
	q := &Query{Pool: "app"}
	a := p.Begin(2*time.Second, &Choice{ID: "x"}, q, func(error) {})
	b := p.Begin(2*time.Second, &Choice{ID: "x"}, q, func(error) {})
	assert.Assert(t, p.rows["x"].aside(2*time.Second))
	a.Begun(2*time.Second, false)
	p.Succeeded(2*time.Second, "x", time.Millisecond)
	a.End(2 * time.Second)
	assert.Assert(t, !p.rows["x"].aside(2*time.Second))
	b.End(2 * time.Second)
	assert.Equal(t, p.rows["x"].trials, 0)
}
