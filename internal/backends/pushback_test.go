package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/state"
)

// newCentralTestPool returns a central pool with a number of engines.
func newCentralTestPool(count int) *Pool {
	p := NewCentralPool()
	var rows []state.Backend
	for i := range count {
		rows = append(rows, engine(fmt.Sprintf("e%02d", i), 1))
	}
	p.Apply(rows, nil, true)
	return p
}

// place chooses an engine and begins the request there.
func place(t *testing.T, p *Pool, now time.Duration, key int, tried ...string) (string, *Attempt) {
	q := query()
	q.Key, q.Tried = fmt.Sprint("key ", key), tried
	choice := mustChoose(t, p, now, q)
	return choice.ID, p.Begin(now, &choice, &q, func(error) {})
}

// An engine that pushes back one router is offered to other routers only if no other engine is
// left.
func TestPushedBackEngineIsLastChoiceForOtherRouters(t *testing.T) {
	p := newCentralTestPool(3)
	troubles := []coordapi.Trouble{{ID: "e01", Kind: coordapi.Busy, For: 3 * time.Second}}
	p.ApplyTroubles(0, troubles)
	for key := range 40 {
		id, a := place(t, p, time.Second, key)
		assert.Assert(t, id != "e01")
		a.End(time.Second)
	}
	id, _ := place(t, p, time.Second, 1, "e00", "e02")
	assert.Equal(t, id, "e01", "a router that was not pushed back may try it")
	q := query()
	q.Tried = []string{"e00", "e01", "e02"}
	_, found := p.Choose(time.Second, &q)
	assert.Assert(t, !found, "a router that was pushed back may not")
}

// After a pushback ends, each engine gets one request at a time until it begins one. Guards against
// flooding it because it has the least load.
func TestPushedBackEngineGetsOneTrialAtATime(t *testing.T) {
	p := newCentralTestPool(30)
	pushedBack := map[string]bool{}
	for i := range 10 {
		id := fmt.Sprintf("e%02d", i)
		pushedBack[id] = true
		p.ApplyTroubles(0, []coordapi.Trouble{{ID: id, Kind: coordapi.Busy, For: 3 * time.Second}})
	}
	trials := map[string][]*Attempt{}
	place100 := func(from time.Duration) {
		for i := range 100 {
			id, a := place(t, p, from+time.Duration(i)*time.Millisecond, i)
			if pushedBack[id] {
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
	// One of the engines pushes back again and gets no more requests. The others have begun theirs.
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
	assert.Assert(t, more > 0 && more <= begun, "%d of %d recovered engines get more than one", more, begun)
}

// An answer other than status 200 ends the recovery too if it counts as success.
func TestSuccessEndsTrials(t *testing.T) {
	p := NewPool("a")
	p.Apply([]state.Backend{{ID: "x", Pool: "app"}, {ID: "y", Pool: "app"}}, nil, true)
	p.PushedBack(0, "x", time.Second)
	q := &Query{Pool: "app"}
	a := p.Begin(2*time.Second, &Choice{ID: "x"}, q, func(error) {})
	b := p.Begin(2*time.Second, &Choice{ID: "x"}, q, func(error) {})
	assert.Assert(t, p.rows["x"].lastResort(2*time.Second))
	a.Begun(2*time.Second, false)
	p.Succeeded(2*time.Second, "x", time.Millisecond)
	a.End(2 * time.Second)
	assert.Assert(t, !p.rows["x"].lastResort(2*time.Second))
	b.End(2 * time.Second)
	assert.Equal(t, p.rows["x"].trials, 0)
}

// Guards against a request that is sent although a view has shown since the choice that its back
// end drains or has departed.
func TestAttemptIsNotAllowedAfterViewShowsLeave(t *testing.T) {
	rows := func(draining bool) []state.Backend {
		return []state.Backend{{ID: "plain", Pool: "p", Address: "a:1", Draining: draining},
			{ID: "engine", Pool: "p", Address: "a:2", Weights: map[string]int{"m": 1}, Draining: draining}}
	}
	changes := map[string]func(p *Pool){
		"draining":     func(p *Pool) { p.Apply(rows(true), nil, false) },
		"departed":     func(p *Pool) { p.Apply(nil, []string{"plain", "engine"}, false) },
		"whole view":   func(p *Pool) { p.Apply(nil, nil, true) },
		"not yet seen": func(p *Pool) {},
	}
	for name, change := range changes {
		p := NewPool("a")
		p.Apply(rows(false), nil, true)
		for _, id := range []string{"plain", "engine"} {
			a := p.Begin(0, &Choice{ID: id}, &Query{Pool: "p"}, func(error) {})
			assert.NilError(t, a.Allowed())
			change(p)
			if name == "not yet seen" {
				assert.NilError(t, a.Allowed())
				continue
			}
			assert.ErrorIs(t, a.Allowed(), pushback.ErrUnavailable, "%s of %s", name, id)
			p.Apply(rows(false), nil, true)
		}
		if name != "not yet seen" {
			assert.Equal(t, p.SendsWithheld.Load(), uint64(2))
		}
	}
	// An engine of another shard, placed by the leader, is not in the views.
	p := NewPool("a")
	p.Apply(rows(false), nil, true)
	placed := p.Begin(0, &Choice{ID: "outside", Placement: 1, Versioned: true}, &Query{Pool: "p", Model: "m"}, func(error) {})
	p.Apply(nil, nil, true)
	assert.NilError(t, placed.Allowed())
}
