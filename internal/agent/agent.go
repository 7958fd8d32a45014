// Package agent implements the router's side of the protocol with control: which bundle is in
// force, whether the router may accept new requests, and what it does while control is
// unreachable.
//
// An Agent does no I/O. The router process drives it with sockets, a clock and a file, the
// simulator with virtual ones. Before the caller sends a message or accepts a request that
// depends on a change, it must store PersistentState and call MarkSaved.
//
// The protocol keeps every router on the accepted bundle. A router accepts new requests only
// while it holds a lease from control, or for a short time after a majority of all routers,
// itself included, reported that they hold none. The leader accepts a bundle only after a
// majority of the routers has stored it and the leases of all others have expired. The two
// majorities share a router, which reports the bundle to the others. The model in
// spec/bundle.pml checks this.
package agent

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// peerMajorityDuration is the validity of a peer's report that it has no lease, counted from the
// time at which the request was sent.
const peerMajorityDuration = 2 * time.Second

// PersistentState is the state that a router must keep across restarts.
type PersistentState struct {
	InForce  *StoredBundle  `json:"in_force,omitempty"`
	Staged   *StoredBundle  `json:"staged,omitempty"`
	Registry state.Registry `json:"registry"`
}

// Mode describes why the router may accept new requests, if it may.
type Mode string

// Modes of a router.
const (
	// ModeNone means that the router accepts no new requests, as control may already have
	// accepted a newer bundle without it.
	ModeNone Mode = "none"
	// ModeLeased means that the router has a lease from control.
	ModeLeased Mode = "leased"
	// ModePeerMajority means that the router is in a majority of routers that have all lost
	// control.
	ModePeerMajority Mode = "held"
)

// peerWithoutLease is a peer's report that it holds no lease.
type peerWithoutLease struct {
	expires time.Duration
	newest  uint64 // highest bundle version of the peer
}

// Agent is the state of one router. It is not safe for concurrent use.
type Agent struct {
	self     state.Router
	durable  PersistentState
	dirty    bool
	leaseEnd time.Duration
	// answered is set once the control leader has replied. answeredAt is the time at which the
	// latest answered request was sent.
	answered   bool
	answeredAt time.Duration
	peers      map[string]peerWithoutLease
	// missing is a bundle that a peer has and this router lacks, and source the name of that
	// peer.
	missing controlapi.BundleID
	source  string
	// wantFull is set when an offer could not be applied, to request the full bundle.
	wantFull bool
}

// New returns the agent of a router that starts at now with the state from its disk. It has no
// lease.
func New(self state.Router, durable PersistentState, now time.Duration) *Agent {
	durable.Registry = durable.Registry.Clone()
	return &Agent{self: self, durable: durable, peers: map[string]peerWithoutLease{}, leaseEnd: now}
}

// PersistentState returns the state to store.
func (a *Agent) PersistentState() PersistentState { return a.durable }

// Dirty reports whether PersistentState has changed since MarkSaved.
func (a *Agent) Dirty() bool { return a.dirty }

// MarkSaved records that PersistentState was stored durably.
func (a *Agent) MarkSaved() { a.dirty = false }

// InForce returns the bundle that the router serves, or nil.
func (a *Agent) InForce() *StoredBundle { return a.durable.InForce }

// Mode returns whether and why the router may accept new requests at now.
func (a *Agent) Mode(now time.Duration) Mode {
	switch {
	case a.durable.InForce == nil:
		return ModeNone
	case now < a.leaseEnd:
		return ModeLeased
	case a.hasPeerMajority(now):
		return ModePeerMajority
	}
	return ModeNone
}

// newest returns the bundle of the highest version that the router has, or nil.
func (a *Agent) newest() *StoredBundle {
	staged, inForce := a.durable.Staged, a.durable.InForce
	if staged == nil || (inForce != nil && inForce.BundleID.Version >= staged.BundleID.Version) {
		return inForce
	}
	return staged
}

// LeaseRequest returns the next heartbeat to control.
func (a *Agent) LeaseRequest() controlapi.LeaseRequest {
	r := controlapi.LeaseRequest{Router: a.self, Registry: a.durable.Registry.Version}
	if a.wantFull {
		return r
	}
	if stored := a.durable.InForce; stored != nil {
		r.InForce = stored.BundleID
	}
	if stored := a.durable.Staged; stored != nil {
		r.Staged, r.Stage = stored.BundleID, stored.Stage
	}
	return r
}

// HandleLeaseReply processes the reply to a request that was sent at the given time. An error
// means that an offered bundle could not be applied.
func (a *Agent) HandleLeaseReply(sent time.Duration, reply controlapi.LeaseReply) error {
	a.updateRegistry(reply.Registry)
	if reply.Leading {
		a.answered, a.answeredAt = true, max(a.answeredAt, sent)
	}
	a.wantFull = false
	for _, offer := range reply.Offers {
		if err := a.stage(offer); err != nil {
			a.wantFull = true
			return err
		}
	}
	a.accept(reply.Accepted)
	if reply.Granted && a.isCurrent(reply.Accepted) {
		a.leaseEnd = max(a.leaseEnd, sent+reply.Duration)
	}
	return nil
}

func (a *Agent) updateRegistry(registry *state.Registry) {
	if registry == nil || registry.Version <= a.durable.Registry.Version {
		return
	}
	a.durable.Registry = registry.Clone()
	a.dirty = true
}

// accept puts the staged bundle in force if it is the one that control has accepted.
func (a *Agent) accept(accepted controlapi.BundleID) {
	staged := a.durable.Staged
	if staged == nil || staged.BundleID != accepted || a.isCurrent(accepted) {
		return
	}
	a.durable.InForce = staged
	a.dirty = true
}

// isCurrent reports whether the bundle in force is the accepted one or a later one.
func (a *Agent) isCurrent(accepted controlapi.BundleID) bool {
	stored := a.durable.InForce
	return accepted.Version == 0 || (stored != nil && stored.BundleID.Version >= accepted.Version)
}
