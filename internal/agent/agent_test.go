package agent

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

func offer(t *testing.T, version uint64) controlapi.Offer {
	t.Helper()
	text, err := (&bundle.Bundle{Version: version}).Canonical()
	assert.NilError(t, err)
	return controlapi.Offer{BundleID: controlapi.BundleID{Version: version, Digest: bundle.Digest(text)}, Stage: 10 * version, Full: text}
}

func registry(names ...string) *state.Registry {
	g := &state.Registry{Version: 1, Members: map[string]state.Router{}}
	for _, name := range names {
		g.Members[name] = state.Router{Name: name}
	}
	return g
}

const leaseDuration = 3 * time.Second

// newLeasedAgent returns an agent, one of three, with a lease and version 1 in force.
func newLeasedAgent(t *testing.T) *Agent {
	t.Helper()
	a := New(state.Router{Name: "a"}, PersistentState{}, 0)
	first := offer(t, 1)
	assert.NilError(t, a.HandleLeaseReply(0, controlapi.LeaseReply{Leading: true, Granted: true, Duration: leaseDuration, Accepted: first.BundleID,
		Offers: []controlapi.Offer{first}, Registry: registry("a", "b", "c")}))
	assert.Equal(t, a.Mode(0), ModeLeased)
	return a
}

func TestAgentStopsWhenLeaseExpires(t *testing.T) {
	a := newLeasedAgent(t)
	assert.Equal(t, a.Mode(leaseDuration-1), ModeLeased)
	assert.Equal(t, a.Mode(leaseDuration), ModeNone)
	assert.Assert(t, a.ShouldQueryPeers(leaseDuration))
	// Control that replies without granting a lease is not unreachable.
	assert.NilError(t, a.HandleLeaseReply(leaseDuration, controlapi.LeaseReply{Leading: true, Accepted: a.InForce().BundleID}))
	assert.Assert(t, !a.ShouldQueryPeers(leaseDuration))
	assert.Assert(t, a.ShouldQueryPeers(leaseDuration+controlTimeout))
}

func TestLeaseStartsWhenRequestWasSent(t *testing.T) {
	a := newLeasedAgent(t)
	assert.NilError(t, a.HandleLeaseReply(time.Second, controlapi.LeaseReply{Granted: true, Duration: leaseDuration, Accepted: a.InForce().BundleID}))
	assert.Equal(t, a.Mode(4*time.Second-1), ModeLeased)
	assert.Equal(t, a.Mode(4*time.Second), ModeNone)
}

func TestAgentAcknowledgesStagedBundleBeforeServingIt(t *testing.T) {
	a := newLeasedAgent(t)
	second := offer(t, 2)
	assert.NilError(t, a.HandleLeaseReply(0, controlapi.LeaseReply{Granted: true, Duration: leaseDuration, Accepted: a.InForce().BundleID, Offers: []controlapi.Offer{second}}))
	assert.Assert(t, a.Dirty())
	assert.Equal(t, a.LeaseRequest().Stage, second.Stage)
	assert.Equal(t, a.InForce().BundleID.Version, uint64(1))
	assert.NilError(t, a.HandleLeaseReply(0, controlapi.LeaseReply{Granted: true, Duration: leaseDuration, Accepted: second.BundleID}))
	assert.Equal(t, a.InForce().BundleID, second.BundleID)
	// A delayed reply with an older accepted bundle is ignored.
	assert.NilError(t, a.HandleLeaseReply(0, controlapi.LeaseReply{Granted: true, Duration: leaseDuration, Accepted: offer(t, 1).BundleID, Offers: []controlapi.Offer{offer(t, 1)}}))
	assert.Equal(t, a.InForce().BundleID, second.BundleID)
}

func TestAgentIgnoresLeaseWithoutAcceptedBundle(t *testing.T) {
	a := New(state.Router{Name: "a"}, PersistentState{}, 0)
	broken := offer(t, 1)
	broken.Base, broken.Delta, broken.Full = "not here", []byte("{}"), nil
	err := a.HandleLeaseReply(0, controlapi.LeaseReply{Granted: true, Duration: leaseDuration, Accepted: broken.BundleID, Offers: []controlapi.Offer{broken}})
	assert.Assert(t, errors.Is(err, ErrUnusableOffer))
	assert.Equal(t, a.Mode(0), ModeNone)
	assert.DeepEqual(t, a.LeaseRequest().Staged, controlapi.BundleID{}) // requests the full bundle
	forged := offer(t, 1)
	forged.Full = []byte(`{"version":9}`)
	assert.Assert(t, errors.Is(a.HandleLeaseReply(0, controlapi.LeaseReply{Offers: []controlapi.Offer{forged}}), ErrUnusableOffer))
}

func TestMajorityWithoutLeaseServesNewestBundle(t *testing.T) {
	a := newLeasedAgent(t)
	now := leaseDuration
	second := offer(t, 2)
	assert.NilError(t, a.HandlePeerLeaseReply(now, now, "b", controlapi.PeerLeaseReply{Leased: true}))
	assert.Equal(t, a.Mode(now), ModeNone) // a peer has a lease, so control is reachable for others
	assert.NilError(t, a.HandlePeerLeaseReply(now, now, "c", controlapi.PeerLeaseReply{Newest: second.BundleID}))
	assert.Equal(t, a.Mode(now), ModeNone) // the newest bundle is missing
	assert.Equal(t, a.PeerLeaseRequest("b").Want, controlapi.BundleID{})
	assert.Equal(t, a.PeerLeaseRequest("c").Want, second.BundleID)
	assert.NilError(t, a.HandlePeerLeaseReply(now, now, "c", controlapi.PeerLeaseReply{Newest: second.BundleID, Offer: &second}))
	assert.Equal(t, a.PeerLeaseRequest("c").Want, controlapi.BundleID{})
	assert.Equal(t, a.Mode(now), ModePeerMajority)
	assert.Equal(t, a.InForce().BundleID, second.BundleID)
	assert.Equal(t, a.Mode(now+peerMajorityDuration), ModeNone)
}

func TestAgentStopsWhenPeerHasNewerBundle(t *testing.T) {
	a := newLeasedAgent(t)
	assert.NilError(t, a.HandlePeerLeaseReply(leaseDuration, leaseDuration, "b", controlapi.PeerLeaseReply{Newest: offer(t, 2).BundleID}))
	assert.Equal(t, a.Mode(leaseDuration), ModeNone)
}

func TestAgentRestoresPersistentState(t *testing.T) {
	a := newLeasedAgent(t)
	restarted := New(state.Router{Name: "a"}, a.PersistentState(), time.Minute)
	assert.Equal(t, restarted.InForce().BundleID, a.InForce().BundleID)
	assert.Equal(t, restarted.Mode(time.Minute), ModeNone) // no lease yet
	assert.Equal(t, len(restarted.PeersToQuery(time.Minute)), 2)
}
