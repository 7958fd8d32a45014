// Package agent is the router's side of the agreement with control: which
// bundle is in force here, whether the router may take new work, and what it
// does when control cannot be reached.
//
// An Agent is pure. The router process drives it with sockets, a clock and a
// file; the simulator drives it with virtual ones. The caller must make
// Durable durable, and call Saved, before it sends any message or takes any
// work that follows a change.
//
// The rule that keeps an accepted bundle in force everywhere: a router takes
// new work only while it holds a lease from control, or for a short time after
// a majority of all routers, itself included, said that they hold none. The
// leader accepts a bundle only after a majority of the routers has it durable
// and the leases of all others have run out. The two majorities share a router,
// and that one tells of the bundle. spec/bundle.pml is the checked model.
package agent

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// holdDuration is how long a router goes on after it asked a majority.
const holdDuration = 2 * time.Second

// PersistentState is what a router must never forget.
type PersistentState struct {
	InForce  *StoredBundle  `json:"in_force,omitempty"`
	Staged   *StoredBundle  `json:"staged,omitempty"`
	Registry state.Registry `json:"registry"`
}

// Mode says by what right the router takes new work.
type Mode string

// The modes of a router.
const (
	// ModeNone takes no new work: control may have counted the router out.
	ModeNone Mode = "none"
	// ModeLeased has a lease from control.
	ModeLeased Mode = "leased"
	// ModePeerMajority goes on with a majority of the routers, control being lost to
	// all of them.
	ModePeerMajority Mode = "held"
)

// unleased is another router's word that it holds no lease.
type unleased struct {
	until  time.Duration
	newest uint64 // version of its highest bundle
}

// Agent is the state of one router. It is not safe for concurrent use.
type Agent struct {
	self     state.Router
	durable  PersistentState
	dirty    bool
	leaseEnd time.Duration
	// heardAt is when a request was sent that control answered, if any was.
	heard   bool
	heardAt time.Duration
	others  map[string]unleased
	// missing is a bundle that another router has and this one lacks, and
	// source the router to get it from.
	missing controlapi.BundleID
	source  string
	// wantWhole is set after an offer could not be applied.
	wantWhole bool
}

// New returns the agent of a router that starts at now with what its disk held.
// It has no lease.
func New(self state.Router, durable PersistentState, now time.Duration) *Agent {
	durable.Registry = durable.Registry.Clone()
	return &Agent{self: self, durable: durable, others: map[string]unleased{}, leaseEnd: now}
}

// PersistentState returns what must be made durable.
func (a *Agent) PersistentState() PersistentState { return a.durable }

// Dirty tells whether Durable has changed since Saved.
func (a *Agent) Dirty() bool { return a.dirty }

// MarkSaved says that Durable is durable.
func (a *Agent) MarkSaved() { a.dirty = false }

// InForce returns the bundle that the router serves by, or nil.
func (a *Agent) InForce() *StoredBundle { return a.durable.InForce }

// Mode tells whether the router may take new work at now.
func (a *Agent) Mode(now time.Duration) Mode {
	switch {
	case a.durable.InForce == nil:
		return ModeNone
	case now < a.leaseEnd:
		return ModeLeased
	case a.held(now):
		return ModePeerMajority
	}
	return ModeNone
}

// newest returns the highest bundle that the router has, or nil.
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
	if a.wantWhole {
		return r
	}
	if held := a.durable.InForce; held != nil {
		r.InForce = held.BundleID
	}
	if held := a.durable.Staged; held != nil {
		r.Staged, r.Stage = held.BundleID, held.Stage
	}
	return r
}

// HandleLeaseReply takes the answer to a request that was sent at the given time.
func (a *Agent) HandleLeaseReply(sent time.Duration, reply controlapi.LeaseReply) error {
	a.learnRegistry(reply.Registry)
	if reply.Leading {
		a.heard, a.heardAt = true, max(a.heardAt, sent)
	}
	a.wantWhole = false
	for _, offer := range reply.Offers {
		if err := a.take(offer); err != nil {
			a.wantWhole = true
			return err
		}
	}
	a.accept(reply.Accepted)
	if reply.Granted && a.serves(reply.Accepted) {
		a.leaseEnd = max(a.leaseEnd, sent+reply.Duration)
	}
	return nil
}

func (a *Agent) learnRegistry(registry *state.Registry) {
	if registry == nil || registry.Version <= a.durable.Registry.Version {
		return
	}
	a.durable.Registry = registry.Clone()
	a.dirty = true
}

// accept puts the staged bundle in force when control has accepted it.
func (a *Agent) accept(accepted controlapi.BundleID) {
	staged := a.durable.Staged
	if staged == nil || staged.BundleID != accepted || a.serves(accepted) {
		return
	}
	a.durable.InForce = staged
	a.dirty = true
}

// serves tells whether the bundle in force is the accepted one or a later one.
func (a *Agent) serves(accepted controlapi.BundleID) bool {
	held := a.durable.InForce
	return accepted.Version == 0 || (held != nil && held.BundleID.Version >= accepted.Version)
}
