package agent

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// controlTimeout is the time without a reply after which control counts as unreachable.
const controlTimeout = time.Second

// ShouldQueryPeers reports whether the router should query the lease state of its peers: it has
// no lease itself, and control is unreachable. A router that receives replies but no lease, such
// as a joining one, has not lost control.
func (a *Agent) ShouldQueryPeers(now time.Duration) bool {
	unreachable := !a.answered || now >= a.answeredAt+controlTimeout
	return now >= a.leaseEnd && unreachable && a.newest() != nil
}

// requeryMargin is the time before the expiry of a peer's report at which the peer is queried
// again.
const requeryMargin = peerMajorityDuration / 2

// PeersToQuery returns the routers to query at now: those whose reports are missing or about to
// expire, and the one that has the missing bundle.
func (a *Agent) PeersToQuery(now time.Duration) []state.Router {
	var peers []state.Router
	for _, router := range a.durable.Registry.All() {
		peer, known := a.peers[router.Name]
		fresh := known && now < peer.expires-requeryMargin && router.Name != a.source
		if router.Name != a.self.Name && !fresh {
			peers = append(peers, router)
		}
	}
	return peers
}

// PeerLeaseRequest returns the request to the named router.
func (a *Agent) PeerLeaseRequest(to string) controlapi.PeerLeaseRequest {
	r := controlapi.PeerLeaseRequest{Router: a.self.Name, Registry: a.durable.Registry.Version}
	if to == a.source {
		r.Want = a.missing
	}
	return r
}

// HandlePeerLeaseRequest returns the reply to a router that has lost its lease.
func (a *Agent) HandlePeerLeaseRequest(now time.Duration, r controlapi.PeerLeaseRequest) controlapi.PeerLeaseReply {
	reply := controlapi.PeerLeaseReply{Leased: now < a.leaseEnd}
	if newest := a.newest(); newest != nil {
		reply.Newest = newest.BundleID
		if newest.BundleID == r.Want {
			reply.Offer = &controlapi.Offer{BundleID: newest.BundleID, Stage: newest.Stage, Full: newest.Canonical}
		}
	}
	if r.Registry < a.durable.Registry.Version {
		registry := a.durable.Registry.Clone()
		reply.Registry = &registry
	}
	return reply
}

// HandlePeerLeaseReply processes the reply of the named router to a request that was sent at
// the given time. An error means that the offered bundle could not be applied.
func (a *Agent) HandlePeerLeaseReply(now, sent time.Duration, from string, reply controlapi.PeerLeaseReply) error {
	a.updateRegistry(reply.Registry)
	if reply.Offer != nil {
		if err := a.stage(*reply.Offer); err != nil {
			return err
		}
	}
	a.trackMissing(from, reply.Newest)
	delete(a.peers, from)
	if !reply.Leased {
		a.peers[from] = peerWithoutLease{expires: sent + peerMajorityDuration, newest: reply.Newest.Version}
	}
	if now >= a.leaseEnd && a.majorityWithoutLease(now) {
		a.activateNewest()
	}
	return nil
}

// trackMissing records which peer has a bundle that this router lacks.
func (a *Agent) trackMissing(from string, newest controlapi.BundleID) {
	have := uint64(0)
	if stored := a.newest(); stored != nil {
		have = stored.BundleID.Version
	}
	if a.missing.Version <= have || from == a.source {
		a.missing, a.source = controlapi.BundleID{}, ""
	}
	if newest.Version > have && newest.Version > a.missing.Version {
		a.missing, a.source = newest, from
	}
}

// activateNewest puts the newest bundle in force. Control has accepted every staged bundle or
// will, so that this is safe without its reply.
func (a *Agent) activateNewest() {
	newest := a.newest()
	if newest == nil || newest == a.durable.InForce {
		return
	}
	a.durable.InForce = newest
	a.dirty = true
}

// hasPeerMajority reports whether a majority of the routers has no lease and the bundle in
// force is the newest among them.
func (a *Agent) hasPeerMajority(now time.Duration) bool {
	return a.majorityWithoutLease(now) && a.newest() == a.durable.InForce
}

// majorityWithoutLease reports whether a majority of the routers, this one included, recently
// had no lease and no newer bundle than this router.
func (a *Agent) majorityWithoutLease(now time.Duration) bool {
	newest := a.newest()
	if newest == nil {
		return false
	}
	return a.durable.Registry.HasMajority(func(name string) bool {
		if name == a.self.Name {
			return true
		}
		peer, known := a.peers[name]
		return known && now < peer.expires && peer.newest <= newest.BundleID.Version
	})
}
