package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// bound returns a request that has to go on at software version v1.
func bound(router string, number uint64) *coordapi.Place {
	ask := patient(router, number)
	ask.Software = "v1"
	return ask
}

// newMixedPlacer returns a placer with an engine of v1, changed by change, and one of v2.
func newMixedPlacer(change func(only *state.Backend)) (p *Placer, rows []state.Backend) {
	rows = engines(2)
	rows[0].Software, rows[1].Software = "v1", "v2"
	p = New(nil)
	p.Apply(rows, nil, true)
	changed := rows[0]
	change(&changed)
	p.Apply([]state.Backend{changed}, nil, false)
	return p, rows
}

func loads(b *state.Backend) { b.Loading = &state.Loading{} }

// Guards against refusing a stream for good while the only engine of its software version loads weights.
func TestBoundRequestWaitsWhileOnlyEngineLoads(t *testing.T) {
	for name, queued := range map[string]bool{"first in the queue": false, "behind others": true} {
		t.Run(name, func(t *testing.T) {
			p, rows := newMixedPlacer(loads)
			now := time.Second
			if queued {
				for number := range uint64(3) {
					p.Place(now, patient("b", number+1))
				}
			}
			placed := p.Place(now, bound("a", 1))
			assert.Assert(t, placed.Queued, "%+v", placed)
			for ; now < 2*time.Second; now += 10 * time.Millisecond {
				p.Step(now)
			}
			assert.Equal(t, len(collect(t, p, now, "a")), 0)
			p.Apply(rows[:1], nil, false)
			p.Step(now)
			outcomes := collect(t, p, now, "a")
			assert.Equal(t, len(outcomes), 1)
			assert.Equal(t, outcomes[0].Placed.ID, rows[0].ID)
		})
	}
}

// Guards against taking an engine for gone whose heartbeats are overdue and whose streams have stopped.
func TestBoundRequestGoesToSilentEngine(t *testing.T) {
	p, rows := newMixedPlacer(func(*state.Backend) {})
	p.ApplyNotes(coordapi.Notes{Silent: []string{rows[0].ID}, Unresponsive: []string{rows[0].ID}})
	now := time.Second
	placed := p.Place(now, bound("a", 1))
	for ; placed.Queued && now < 3*time.Second; now += 10 * time.Millisecond {
		p.Step(now)
		if outcomes := collect(t, p, now, "a"); len(outcomes) > 0 {
			placed = outcomes[0].Placed
		}
	}
	assert.Equal(t, placed.ID, rows[0].ID, "%+v", placed)
}

// Guards against a wait for an engine that drains or has departed, or whose weights remain too old, and against
// one that exceeds the time in which the request can begin.
func TestBoundRequestIsRefusedOnceNoEngineWillServeIt(t *testing.T) {
	drains := func(b *state.Backend) { b.Draining = true }
	p, _ := newMixedPlacer(drains)
	assert.Equal(t, p.Place(time.Second, bound("a", 1)).Reason, coordapi.SoftwareGone)

	for name, change := range map[string]func(p *Placer, row state.Backend){
		"drains":  func(p *Placer, row state.Backend) { drains(&row); p.Apply([]state.Backend{row}, nil, false) },
		"departs": func(p *Placer, row state.Backend) { p.Apply(nil, []string{row.ID}, false) },
		"has too old weights": func(p *Placer, row state.Backend) {
			p.ApplyNotes(coordapi.Notes{Minimum: map[string]int{"m": row.Weights["m"] + 1}})
			p.Apply([]state.Backend{row}, nil, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, rows := newMixedPlacer(loads)
			now := time.Second
			assert.Assert(t, p.Place(now, bound("a", 1)).Queued)
			p.Step(now)
			change(p, rows[0])
			now += 20 * time.Millisecond
			p.Step(now)
			outcomes := collect(t, p, now, "a")
			assert.Equal(t, len(outcomes), 1)
			assert.Equal(t, outcomes[0].Placed.Reason, coordapi.SoftwareGone)
		})
	}

	p, _ = newMixedPlacer(loads)
	now := time.Second
	assert.Assert(t, p.Place(now, bound("a", 1)).Queued)
	var outcomes []coordapi.Outcome
	for ; len(outcomes) == 0 && now < 10*time.Second; now += 10 * time.Millisecond {
		p.Step(now)
		outcomes = collect(t, p, now, "a")
	}
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Placed.ID, "")
	assert.Assert(t, now <= 5*time.Second+100*time.Millisecond, "refused at %v", now)
}

// Guards against a request of a pool that waits behind one whose engine loads.
func TestRequestsPassBoundOneWhoseEngineLoads(t *testing.T) {
	p, rows := newMixedPlacer(loads)
	now := time.Second
	assert.Assert(t, p.Place(now, bound("a", 1)).Queued)
	placed := p.Place(now, patient("b", 1))
	if placed.Queued {
		now += 20 * time.Millisecond
		p.Step(now)
		outcomes := collect(t, p, now, "b")
		assert.Equal(t, len(outcomes), 1)
		placed = outcomes[0].Placed
	}
	assert.Equal(t, placed.ID, rows[1].ID)
}
