package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/state"
)

// Guards against sending requests to a listed engine while others respond, and against not sending
// them anywhere if there are no others.
func TestListedEngineIsLastResort(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1))
	q := roomQuery()
	first := mustChoose(t, p, 0, q)
	p.ApplyNotes(coordapi.Notes{Unresponsive: []string{first.ID}})
	other := mustChoose(t, p, 0, q)
	assert.Assert(t, other.ID != first.ID)
	for range q.Slots {
		start(p, other.ID, q)
	}
	choice, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found && choice.NoRoom, "%+v", choice)
	assert.Equal(t, p.Room("llm").Requests, q.Slots)
	p.ApplyNotes(coordapi.Notes{Unresponsive: []string{"x", "y"}})
	assert.Assert(t, mustChoose(t, p, 0, q).ID == first.ID)
	p.ApplyNotes(coordapi.Notes{})
	assert.Assert(t, mustChoose(t, p, 0, q).ID == first.ID)
}

// Guards against giving up attempts for a reason that does not hold.
func TestEngineStatusOfAttempt(t *testing.T) {
	p := newTestPool(engine("x", 1), engine("y", 1))
	q := query()
	a := p.Begin(0, &Choice{ID: "x", Versioned: true, Version: 1}, &q, func(error) {})
	check := func(wantListed, wantLost bool) {
		t.Helper()
		listed, lost := a.EngineStatus()
		assert.Equal(t, listed, wantListed)
		assert.Equal(t, lost, wantLost)
	}
	check(false, false)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"x"}, Unresponsive: []string{"y"}})
	check(false, false)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"y"}, Unresponsive: []string{"x"}})
	check(true, false)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"x"}, Unresponsive: []string{"x"}})
	check(true, true)
	p.ApplyNotes(coordapi.Notes{})
	check(false, false)
	// A view of everything may lack the engine because it belongs to another shard.
	p.Apply([]state.Backend{engine("y", 1)}, nil, true)
	check(false, false)
	p.Apply(nil, []string{"x"}, false)
	check(false, true)
	p.Apply([]state.Backend{engine("x", 1)}, nil, false)
	check(false, false)
}

// Guards against an engine without placements that is listed by fewer streams than it runs.
func TestEngineStateCountsBegunRequests(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), state.Backend{ID: "plain", Pool: "app"})
	q := roomQuery()
	a := start(p, "x", q)
	start(p, "x", q)
	a.FirstEventReported(time.Second, time.Second)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"x"}})
	got, known := p.EngineState("x")
	assert.Assert(t, known)
	assert.Equal(t, got, liveness.Engine{Streams: 1, Silent: true})
	for _, id := range []string{"plain", "unknown"} {
		_, known = p.EngineState(id)
		assert.Assert(t, !known, id)
	}
}
