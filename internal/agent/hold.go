package agent

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// controlSilence is how long control may be silent before it is taken for lost.
const controlSilence = time.Second

// ShouldQueryPeers tells whether the router should ask the others whether they have
// lost control too: it has no lease, and control is silent. A router that
// control answers and gives no lease to, such as a joining one, need not ask.
func (a *Agent) ShouldQueryPeers(now time.Duration) bool {
	silent := !a.heard || now >= a.heardAt+controlSilence
	return now >= a.leaseEnd && silent && a.newest() != nil
}

// askAgain is how long before its end another router's word is renewed.
const askAgain = holdDuration / 2

// PeersToQuery returns the routers to ask at now: those whose word has ended or soon
// does, and the one that has a missing bundle.
func (a *Agent) PeersToQuery(now time.Duration) []state.Router {
	var others []state.Router
	for _, router := range a.durable.Registry.All() {
		word, known := a.others[router.Name]
		fresh := known && now < word.until-askAgain && router.Name != a.source
		if router.Name != a.self.Name && !fresh {
			others = append(others, router)
		}
	}
	return others
}

// PeerLeaseRequest returns the question to another router.
func (a *Agent) PeerLeaseRequest(to string) controlapi.PeerLeaseRequest {
	r := controlapi.PeerLeaseRequest{Router: a.self.Name, Registry: a.durable.Registry.Version}
	if to == a.source {
		r.Want = a.missing
	}
	return r
}

// HandlePeerLeaseRequest answers another router that has lost its lease.
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

// HandlePeerLeaseReply takes the answer of the named router to a request that was
// sent at the given time.
func (a *Agent) HandlePeerLeaseReply(now, sent time.Duration, from string, reply controlapi.PeerLeaseReply) error {
	a.learnRegistry(reply.Registry)
	if reply.Offer != nil {
		if err := a.take(*reply.Offer); err != nil {
			return err
		}
	}
	a.seek(from, reply.Newest)
	delete(a.others, from)
	if !reply.Leased {
		a.others[from] = unleased{until: sent + holdDuration, newest: reply.Newest.Version}
	}
	if now >= a.leaseEnd && a.majorityUnleased(now) {
		a.adoptNewest()
	}
	return nil
}

// seek notes where a bundle is that this router lacks.
func (a *Agent) seek(from string, newest controlapi.BundleID) {
	have := uint64(0)
	if held := a.newest(); held != nil {
		have = held.BundleID.Version
	}
	if a.missing.Version <= have || from == a.source {
		a.missing, a.source = controlapi.BundleID{}, ""
	}
	if newest.Version > have && newest.Version > a.missing.Version {
		a.missing, a.source = newest, from
	}
}

// adoptNewest puts the highest bundle of the majority in force. A staged bundle
// is decided: control has accepted it or will.
func (a *Agent) adoptNewest() {
	newest := a.newest()
	if newest == nil || newest == a.durable.InForce {
		return
	}
	a.durable.InForce = newest
	a.dirty = true
}

// held tells whether a majority has lost control and the bundle in force is the
// highest among it.
func (a *Agent) held(now time.Duration) bool {
	return a.majorityUnleased(now) && a.newest() == a.durable.InForce
}

// majorityUnleased tells whether a majority of the routers, this one included,
// lately had no lease, and tells of no bundle that is not here.
func (a *Agent) majorityUnleased(now time.Duration) bool {
	newest := a.newest()
	if newest == nil {
		return false
	}
	return a.durable.Registry.HasMajority(func(name string) bool {
		if name == a.self.Name {
			return true
		}
		other, known := a.others[name]
		return known && now < other.until && other.newest <= newest.BundleID.Version
	})
}
