package control

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// leaseMarginDivisor sets the safety margin on a lease: the leader waits a quarter longer than
// the duration granted, which tolerates clocks that run at different rates.
const leaseMarginDivisor = 4

// leaseTable is the leader's volatile state about routers. A new leader starts with an empty
// table and waits until every lease of its predecessor has expired.
type leaseTable struct {
	leading     bool
	leaderSince time.Duration
	routers     map[string]*routerLease
	// proposedStage is the stage whose acceptance was proposed, or 0.
	proposedStage uint64
	// admitting is set while an admission is being proposed.
	admitting bool
	// registering holds the names of routers whose registration is being proposed.
	registering map[string]bool
}

// routerLease is the lease of a router and what its last heartbeat reported.
type routerLease struct {
	expires     time.Duration
	heartbeatAt time.Duration
	inForce     controlapi.BundleID
	stage       uint64
	registry    uint64
}

func (t *leaseTable) reset(now time.Duration) {
	*t = leaseTable{leaderSince: now, routers: map[string]*routerLease{}, registering: map[string]bool{}}
}

// Lease renews a router's lease. It grants one only while this node is the leader and holds a
// valid leader lease.
func (c *Core) Lease(now time.Duration, r controlapi.LeaseRequest) controlapi.LeaseReply {
	if !c.node.HoldsLease(now) {
		return controlapi.LeaseReply{Leader: c.leaderAddress()}
	}
	registry := c.machine.Registry()
	known, registered := registry.Find(r.Router.Name)
	if !registered || known != r.Router {
		c.registerRouter(now, r.Router)
		return controlapi.LeaseReply{Leading: true}
	}
	reply := controlapi.LeaseReply{Leading: true, Offers: c.offers(r), Accepted: c.headID()}
	if r.Registry != registry.Version {
		current := registry.Clone()
		reply.Registry = &current
	}
	if _, member := registry.Members[r.Router.Name]; !member {
		// A joining router is in no majority yet, so that a bundle could be accepted without
		// its acknowledgement. It gets no lease until it is admitted.
		c.recordHeartbeat(now, r, now)
		return reply
	}
	reply.Granted, reply.Duration = true, c.config.Lease
	c.recordHeartbeat(now, r, now+c.config.Lease+c.config.Lease/leaseMarginDivisor)
	return reply
}

// recordHeartbeat stores the content of a router's heartbeat and the expiry of its lease.
func (c *Core) recordHeartbeat(now time.Duration, r controlapi.LeaseRequest, expires time.Duration) {
	c.leases.routers[r.Router.Name] = &routerLease{
		expires:     expires,
		heartbeatAt: now,
		inForce:     r.InForce,
		stage:       r.Stage,
		registry:    r.Registry,
	}
	c.advanceRollout(now)
	c.admit(now)
}

func (c *Core) registerRouter(now time.Duration, router state.Router) {
	if c.leases.registering[router.Name] {
		return
	}
	command := state.Command{Register: &state.Register{Routers: []state.Router{router}}}
	err := c.Propose(now, command, func(state.Result, error) { delete(c.leases.registering, router.Name) })
	if err == nil {
		c.leases.registering[router.Name] = true
	}
}

// admit proposes the admission of joining routers once majorities of both the old and the new
// registry have the current registry and the bundle in force.
func (c *Core) admit(now time.Duration) {
	registry := c.machine.Registry()
	if len(registry.Joining) == 0 || c.leases.admitting || !c.node.HoldsLease(now) {
		return
	}
	head := c.headID()
	upToDate := func(name string) bool {
		lease := c.leases.routers[name]
		return lease != nil && lease.registry == registry.Version && lease.inForce.Version >= head.Version
	}
	if !registry.HasMajority(upToDate) {
		return
	}
	command := state.Command{Admit: &state.Admit{Version: registry.Version, Head: head.Digest}}
	err := c.Propose(now, command, func(state.Result, error) { c.leases.admitting = false })
	c.leases.admitting = err == nil
}

// headID returns the ID of the bundle in force, or the zero ID if there is none.
func (c *Core) headID() controlapi.BundleID {
	if head := c.machine.Head(); head != nil {
		return bundleIDOf(head)
	}
	return controlapi.BundleID{}
}

// leaderAddress returns the address of the leader, or "" if it is unknown or this node.
func (c *Core) leaderAddress() string {
	status := c.node.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	return status.Membership.Addresses[status.Leader]
}

// advanceRollout proposes the acceptance of the staged bundle once no router can continue to
// serve an older one:
//
//   - a majority of the registered routers has stored the bundle, so that any majority of
//     routers that loses control has a member with the bundle, and
//   - the lease of every other router has expired.
func (c *Core) advanceRollout(now time.Duration) {
	pending := c.machine.Pending()
	if pending == nil || pending.Stage == 0 || c.leases.proposedStage == pending.Stage || !c.node.HoldsLease(now) {
		return
	}
	if !c.canAccept(now, pending.Stage) {
		return
	}
	command := state.Command{Accept: &state.Accept{Digest: pending.Digest, Stage: pending.Stage}}
	stage := pending.Stage
	err := c.Propose(now, command, func(_ state.Result, err error) {
		if err != nil && c.leases.proposedStage == stage {
			c.leases.proposedStage = 0
		}
	})
	if err == nil {
		c.leases.proposedStage = stage
	}
}

func (c *Core) canAccept(now time.Duration, stage uint64) bool {
	members := c.machine.Registry().Members
	acknowledged := 0
	for name := range members {
		lease := c.leases.routers[name]
		switch {
		case lease != nil && lease.stage == stage:
			acknowledged++
		case !c.leaseExpired(now, lease):
			return false
		}
	}
	return len(members) == 0 || acknowledged > len(members)/2
}

// leaseExpired reports whether a router's lease has certainly expired. A router without an
// entry may have been granted a lease by the previous leader just before this one took over.
func (c *Core) leaseExpired(now time.Duration, lease *routerLease) bool {
	if lease != nil {
		return now >= lease.expires
	}
	return now >= c.leases.leaderSince+c.config.Lease+c.config.Lease/leaseMarginDivisor
}

// Routers returns the status of each registered router, ordered by name.
func (c *Core) Routers(now time.Duration) []controlapi.RouterStatus {
	registry := c.machine.Registry()
	var out []controlapi.RouterStatus
	for _, router := range registry.All() {
		_, joining := registry.Joining[router.Name]
		status := controlapi.RouterStatus{Router: router, Joining: joining, HeartbeatAge: -1}
		if lease := c.leases.routers[router.Name]; lease != nil {
			status.Leased = now < lease.expires
			status.InForce = lease.inForce
			status.Stage = lease.stage
			status.HeartbeatAge = (now - lease.heartbeatAt).Seconds()
		}
		out = append(out, status)
	}
	return out
}
