package follower

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

func TestTheLeaderPlacesARequest(t *testing.T) {
	s := newScript(t)
	s.say(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	s.say(coordapi.Reply{Placed: &coordapi.Placed{ID: "e", Address: "a:1", Prompt: 7}})
	choice, found, answered := f.Place(t.Context(), &backends.Query{Pool: "llm", Work: backends.Work{Most: 9}})
	assert.Assert(t, answered && found)
	assert.Equal(t, choice.ID, "e")
	assert.Equal(t, choice.Work, backends.Work{Prompt: 7, Most: 9})
	assert.Assert(t, choice.Placement > 0)
	s.say(coordapi.Reply{Placed: &coordapi.Placed{}})
	_, found, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered && !found)
}

// A router without an answer chooses by itself, and does not lose time with each
// request. What it had to report is not lost.
func TestALeaderThatPlacesNothingIsLeftAloneForAMoment(t *testing.T) {
	s := newScript(t)
	s.say(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	f.Begun(41, time.Second)
	f.Ended(41)
	s.say(coordapi.Reply{NotLeader: true})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	reports := f.placements.take()
	assert.DeepEqual(t, reports.Begun, []coordapi.Begun{{Number: 41, First: time.Second}})
	assert.DeepEqual(t, reports.Ended, []uint64{41, 1})
	s.say(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered, "asked again at once")
	f.placements.askAfter.Store(0)
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered)
}

func TestACallerThatLeavesSaysNothingOfTheLeader(t *testing.T) {
	s := newScript(t)
	s.say(view(3))
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	s.say(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, answered := f.Place(gone, &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	_, _, answered = f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, answered)
}

func TestWithoutALeaderNobodyIsAsked(t *testing.T) {
	f := New(Config{Name: "r", Seeds: []string{"127.0.0.1:1"}, Pool: nobody{}})
	_, _, answered := f.Place(context.Background(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
}

// With 985 routers one told every 3 s: its loads counted for 1.5 s and its placements
// for 3.
func TestARouterTellsInTimeHoweverManyThereAre(t *testing.T) {
	assert.Equal(t, tellPeriod(1), 53*time.Millisecond)
	assert.Equal(t, tellPeriod(300), 950*time.Millisecond)
	for _, routers := range []int{400, 985, 2000, 10000} {
		assert.Equal(t, tellPeriod(routers), tellLimit)
	}
}

// Callers that were refused after a loss of all machines came back before 985 routers could
// serve, and were refused again: what control does at a start grows with the back ends.
func TestThePreparationGrowsWithTheBackEnds(t *testing.T) {
	f := New(Config{Name: "r", Seeds: []string{"127.0.0.1:1"}})
	assert.Equal(t, f.StartupDelay(), 1200*time.Millisecond)
	f.backends.Store(10000)
	assert.Equal(t, f.StartupDelay(), 2*time.Second)
}
