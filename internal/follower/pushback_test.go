package follower

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// followPushbacks is a follower of a scripted leader, without its watch, and with a
// register in which one engine drains and one wants nothing for half a minute.
func followPushbacks(t *testing.T, s *script) *Follower {
	names, logger := vocabulary.Default(), slog.New(slog.DiscardHandler)
	f := New(Config{Name: "r", Seeds: []string{s.address}, Right: time.Minute, Decode: decode, Pool: nobody{}, Pushbacks: pushback.New(names, logger),
		Peers: peer.NewClient(&peer.Counters{}), Logger: logger})
	t.Cleanup(f.config.Peers.Close)
	f.following.Store(&s.address)
	hear := func(id string, header http.Header) {
		f.config.Pushbacks.ObserveResponse(pushback.Backend{ID: coordapi.BackendID(id), Pool: "llm"}, id, &http.Response{StatusCode: 503, Header: header})
	}
	hear("drains", http.Header{names.Draining: {"1"}})
	hear("waits", http.Header{"Retry-After": {"30"}})
	return f
}

// A leader does not offer what the router may not take: each offer would cost a choice of
// the router's own, which knows less.
func TestTheLeaderIsAskedForNoEngineThatWantsNothing(t *testing.T) {
	s := newScript(t)
	f := followPushbacks(t, s)
	s.say(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm", Tried: []string{"tried"}})
	assert.Assert(t, answered)
	s.mu.Lock()
	defer s.mu.Unlock()
	ask := s.asked[len(s.asked)-1]
	assert.Equal(t, len(ask.Tried), 3)
	assert.DeepEqual(t, ask.Troubles[len(ask.Troubles)-2:], []coordapi.Trouble{{ID: "drains", Kind: coordapi.Draining},
		{ID: "waits", Kind: coordapi.Busy, For: 30 * time.Second}})
}

// That a back end drains is told until a leader has taken it, and to each leadership.
func TestADrainIsToldUntilEachLeaderHasTakenIt(t *testing.T) {
	s := newScript(t)
	f := followPushbacks(t, s)
	s.say(coordapi.Reply{NotLeader: true})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	drains := []coordapi.Trouble{{ID: "drains", Kind: coordapi.Draining}}
	assert.DeepEqual(t, f.reports().Troubles, drains)
	assert.Equal(t, len(f.reports().Troubles), 0)
	f.config.Pushbacks.ReportAgain()
	assert.DeepEqual(t, f.reports().Troubles, drains)
}

func TestANewLeadershipIsToldOfAllThatDrain(t *testing.T) {
	s := newScript(t)
	f := followPushbacks(t, s)
	f.reports()
	v := view(4)
	v.View.Leader = coordapi.NewLeaderToken("another", 1)
	assert.Assert(t, f.take(f.now(), v.View))
	assert.Equal(t, len(f.reports().Troubles), 1)
	v.View.Leader = coordapi.NewLeaderToken("another", 2)
	assert.Assert(t, f.take(f.now(), v.View))
	assert.Equal(t, len(f.reports().Troubles), 0)
}
