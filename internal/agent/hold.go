package agent

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// WantsHold tells whether the router should ask the others for promises: it
// has no lease, and control does not answer.
func (a *Agent) WantsHold(now time.Duration) bool {
	return now >= a.leaseEnd && !a.controlIsBack(now) && a.newest() != nil
}

func (a *Agent) controlIsBack(now time.Duration) bool {
	return a.probed && now < a.probedAt+probeFreshness
}

// Peers returns the routers to ask.
func (a *Agent) Peers() []state.Router {
	var others []state.Router
	for _, router := range a.durable.Registry.All() {
		if router.Name != a.self.Name {
			others = append(others, router)
		}
	}
	return others
}

// HoldRequest returns the question to the other routers.
func (a *Agent) HoldRequest() controlapi.HoldRequest {
	r := controlapi.HoldRequest{Router: a.self.Name, Registry: a.durable.Registry.Version}
	if newest := a.newest(); newest != nil {
		r.Newest = newest.Stamp
	}
	return r
}

// HandleHoldRequest answers another router that has lost its lease. A router
// that holds a lease, or that sees control back, promises nothing.
func (a *Agent) HandleHoldRequest(now time.Duration, r controlapi.HoldRequest) controlapi.HoldReply {
	var reply controlapi.HoldReply
	if newest := a.newest(); newest != nil {
		reply.Newest = newest.Stamp
		if newest.Stamp.Version > r.Newest.Version {
			reply.Offer = &controlapi.Offer{Stamp: newest.Stamp, Stage: newest.Stage, Whole: newest.Canonical}
		}
	}
	if r.Registry < a.durable.Registry.Version {
		registry := a.durable.Registry.Clone()
		reply.Registry = &registry
	}
	if now < a.leaseEnd {
		reply.Leased = true
		return reply
	}
	if a.controlIsBack(now) {
		return reply
	}
	a.promisedUntil = max(a.promisedUntil, now+promiseKept)
	if !a.durable.Promised {
		a.durable.Promised = true
		a.dirty = true
	}
	reply.Promised, reply.Duration = true, promiseDuration
	return reply
}

// HandleHoldReply takes the answer of the named router to a request that was
// sent at the given time.
func (a *Agent) HandleHoldReply(now, sent time.Duration, from string, reply controlapi.HoldReply) error {
	a.learnRegistry(reply.Registry)
	if reply.Offer != nil {
		if err := a.take(*reply.Offer); err != nil {
			return err
		}
	}
	if reply.Promised {
		a.promises[from] = promise{until: sent + reply.Duration, newest: reply.Newest.Version}
	}
	if now >= a.leaseEnd && a.majorityPromised(now) {
		a.adoptNewest()
	}
	return nil
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

// held tells whether a majority promised and the bundle in force is the
// highest among it.
func (a *Agent) held(now time.Duration) bool {
	return a.majorityPromised(now) && a.newest() == a.durable.InForce
}

// majorityPromised tells whether a majority of the routers, this one included,
// holds no lease at now and tells of no bundle that is not here.
func (a *Agent) majorityPromised(now time.Duration) bool {
	newest := a.newest()
	if newest == nil {
		return false
	}
	return a.durable.Registry.HasMajority(func(name string) bool {
		if name == a.self.Name {
			return true
		}
		p, known := a.promises[name]
		return known && now < p.until && p.newest <= newest.Stamp.Version
	})
}
