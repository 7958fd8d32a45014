package follower

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

func TestLeaderPlacesRequest(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	s.setReply(coordapi.Reply{Placed: &coordapi.Placed{ID: "e", Address: "a:1", Prompt: 7}})
	choice, found, answered := f.Place(t.Context(), &backends.Query{Pool: "llm", Work: backends.Work{Most: 9}})
	assert.Assert(t, answered && found)
	assert.Equal(t, choice.ID, "e")
	assert.Equal(t, choice.Work, backends.Work{Prompt: 7, Most: 9})
	assert.Assert(t, choice.Placement > 0)
	s.setReply(coordapi.Reply{Placed: &coordapi.Placed{}})
	_, found, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered && !found)
}

// While the leader does not answer the router chooses by itself without waiting each time, and
// keeps its reports.
func TestPlaceBacksOffFromSilentLeader(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	f.Begun(41, time.Second)
	f.Ended(41)
	s.setReply(coordapi.Reply{NotLeader: true})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	reports := f.placements.take()
	assert.DeepEqual(t, reports.Begun, []coordapi.Begun{{Number: 41, First: time.Second}})
	assert.DeepEqual(t, reports.Ended, []uint64{41, 1})
	s.setReply(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered, "asked again without backoff")
	f.placements.backoffUntil.Store(0)
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered)
}

func TestCanceledCallerCausesNoBackoff(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	s.setReply(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, answered := f.Place(cancelled, &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered)
}

func TestPlaceSendsNothingWithoutLeader(t *testing.T) {
	f := New(Config{Name: "r", Seeds: []string{"127.0.0.1:1"}, Pool: discardPool{}})
	_, _, answered := f.Place(context.Background(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
}

// The period is bounded, else the loads and placements of a router would expire at the leader
// between two updates.
func TestUpdatePeriodIsBounded(t *testing.T) {
	assert.Equal(t, updatePeriod(1), 53*time.Millisecond)
	assert.Equal(t, updatePeriod(300), 950*time.Millisecond)
	for _, routers := range []int{400, 985, 2000, 10000} {
		assert.Equal(t, updatePeriod(routers), maxUpdateInterval)
	}
}

// Callers refused after a loss of all machines must not return before routers serve, which takes
// longer with more back ends.
func TestPreparationGrowsWithBackends(t *testing.T) {
	f := New(Config{Name: "r", Seeds: []string{"127.0.0.1:1"}})
	assert.Equal(t, f.StartupDelay(), 1200*time.Millisecond)
	f.backends.Store(10000)
	assert.Equal(t, f.StartupDelay(), 2*time.Second)
}
