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

// followPushbacks returns a follower of a fake leader, without its watch, with one engine that
// drains and one that sent a pushback of 30 s.
func followPushbacks(t *testing.T, s *fakeLeader) *Follower {
	names, logger := vocabulary.Default(), slog.New(slog.DiscardHandler)
	f := New(Config{Name: "r", Seeds: []string{s.address}, Lease: time.Minute, Decode: decode, Pool: discardPool{}, Pushbacks: pushback.New(names, logger),
		Peers: peer.NewClient(&peer.Counters{}), Logger: logger})
	t.Cleanup(f.config.Peers.Close)
	f.following.Store(&s.address)
	observe := func(id string, header http.Header) {
		f.config.Pushbacks.ObserveResponse(pushback.Backend{ID: coordapi.BackendID(id), Pool: "llm"}, id, &http.Response{StatusCode: 503, Header: header})
	}
	observe("drains", http.Header{names.Draining: {"1"}})
	observe("waits", http.Header{"Retry-After": {"30"}})
	return f
}

// The leader must not offer engines that the router may not use.
func TestPlaceExcludesBarredEngines(t *testing.T) {
	s := newFakeLeader(t)
	f := followPushbacks(t, s)
	s.setReply(coordapi.Reply{Placed: &coordapi.Placed{ID: "e"}})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm", Tried: []string{"tried"}})
	assert.Assert(t, answered)
	s.mu.Lock()
	defer s.mu.Unlock()
	ask := s.placeRequests[len(s.placeRequests)-1]
	assert.Equal(t, len(ask.Tried), 3)
	assert.DeepEqual(t, ask.Troubles[len(ask.Troubles)-2:], []coordapi.Trouble{{ID: "drains", Kind: coordapi.Draining},
		{ID: "waits", Kind: coordapi.Busy, For: 30 * time.Second}})
}

// Draining is reported until a leader has accepted it, and again to each new leadership.
func TestDrainingIsReportedUntilAccepted(t *testing.T) {
	s := newFakeLeader(t)
	f := followPushbacks(t, s)
	s.setReply(coordapi.Reply{NotLeader: true})
	_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm"})
	assert.Assert(t, !answered)
	drains := []coordapi.Trouble{{ID: "drains", Kind: coordapi.Draining}}
	assert.DeepEqual(t, f.pendingReports().Troubles, drains)
	assert.Equal(t, len(f.pendingReports().Troubles), 0)
	f.config.Pushbacks.ReportAgain()
	assert.DeepEqual(t, f.pendingReports().Troubles, drains)
}

func TestDrainingIsReportedToNewLeadership(t *testing.T) {
	s := newFakeLeader(t)
	f := followPushbacks(t, s)
	f.pendingReports()
	v := view(4)
	v.View.Leader = coordapi.NewLeaderToken("another", 1)
	assert.Assert(t, f.applyView(f.now(), v.View))
	assert.Equal(t, len(f.pendingReports().Troubles), 1)
	v.View.Leader = coordapi.NewLeaderToken("another", 2)
	assert.Assert(t, f.applyView(f.now(), v.View))
	assert.Equal(t, len(f.pendingReports().Troubles), 0)
}
