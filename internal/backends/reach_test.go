package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/state"
)

// Failures over a lost path must not reach the leader, and those before the end of the check must wait
// for its result. What a response showed is reported at once.
func TestFailuresOverLostPathAreNotReported(t *testing.T) {
	const second = time.Second
	for _, reached := range []int{0, 1} {
		p, paths := NewPool("a"), reachability.NewDetector()
		p.SetPaths(paths)
		p.Apply([]state.Backend{{ID: "e", Pool: "llm", Slots: 4, Weights: map[string]int{"m": 1}}, {ID: "other", Pool: "others", Slots: 4, Weights: map[string]int{"m": 1}}}, nil, true)
		assert.Assert(t, paths.Failed(second, second, "llm"))
		p.Failed(second, "e")
		p.Unreachable(second, "e")
		p.Busy(second, "e")
		p.Unreachable(second, "other")
		assert.DeepEqual(t, p.Troubles(), []coordapi.Trouble{{ID: "e", Kind: coordapi.Busy}, {ID: "other", Kind: coordapi.Unreachable}})
		assert.Assert(t, !p.PathKnown("e") && p.PathKnown("other"))
		paths.Checked(second, "llm", reachability.Result{Tried: 4, Reached: reached})
		var wanted []coordapi.Trouble
		if reached > 0 {
			wanted = []coordapi.Trouble{{ID: "e", Kind: coordapi.Failed}, {ID: "e", Kind: coordapi.Unreachable}}
		}
		assert.DeepEqual(t, p.Troubles(), wanted)
		assert.Equal(t, len(p.Troubles()), 0)
	}
}

// Once the path is back, the back ends must be chosen at once.
func TestFailuresAreForgottenWhenPathReturns(t *testing.T) {
	p := NewPool("a")
	p.Apply([]state.Backend{{ID: "e", Pool: "llm", Slots: 4, Weights: map[string]int{"m": 1}}, {ID: "far", Pool: "llm", Slots: 4, Zone: "b", Weights: map[string]int{"m": 1}}}, nil, true)
	p.Failed(time.Second, "e")
	p.Unreachable(time.Second, "e")
	choice, _ := p.Choose(time.Second, &Query{Pool: "llm", Model: "m"})
	assert.Equal(t, choice.ID, "far")
	p.ForgetFailures("llm")
	r := p.rows["e"]
	assert.Assert(t, r.rate(time.Second) == 0 && r.busyUntil == 0)
}

func TestSampleLeavesOutBackendsThatAreDown(t *testing.T) {
	p := NewPool("a")
	p.Apply([]state.Backend{{ID: "up", Pool: "llm", Address: "up"}, {ID: "draining", Pool: "llm", Address: "draining", Draining: true},
		{ID: "silent", Pool: "llm", Address: "silent"}, {ID: "app", Pool: "app", Address: "app"}}, nil, true)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"silent"}})
	assert.DeepEqual(t, p.Sample("llm", 4), []string{"up"})
	drawn := map[string]int{}
	p.Apply([]state.Backend{{ID: "second", Pool: "llm", Address: "second"}, {ID: "third", Pool: "llm", Address: "third"}}, nil, false)
	for range 200 {
		sample := p.Sample("llm", 2)
		assert.Equal(t, len(sample), 2)
		drawn[sample[0]]++
		drawn[sample[1]]++
	}
	assert.Equal(t, len(drawn), 3)
}
