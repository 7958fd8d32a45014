package control

import (
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// leaseSlack is how much longer than granted the leader takes a lease to last,
// as a divisor: a quarter covers clocks that drift apart by as much.
const leaseSlack = 4

// leaseTable is the leader's soft knowledge of routers. A new leader starts
// with none and waits out the leases that its predecessor may have granted.
type leaseTable struct {
	leading bool
	since   time.Duration
	routers map[string]*routerLease
	// proposed is the stage whose acceptance was proposed, or 0.
	proposed uint64
	// admitting says that an admission is under way.
	admitting bool
	// registering are routers whose registration is under way.
	registering map[string]bool
}

type routerLease struct {
	expires  time.Duration
	heard    time.Duration
	inForce  controlapi.BundleID
	stage    uint64
	registry uint64
}

func (t *leaseTable) reset(now time.Duration) {
	*t = leaseTable{since: now, routers: map[string]*routerLease{}, registering: map[string]bool{}}
}

// Lease renews a router's lease. Only a leader that holds its own lease
// grants any.
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
	reply := controlapi.LeaseReply{Leading: true, Offers: c.offers(r), Accepted: c.headStamp()}
	if r.Registry != registry.Version {
		current := registry.Clone()
		reply.Registry = &current
	}
	if _, member := registry.Members[r.Router.Name]; !member {
		// A joining router counts in no majority yet, so it gets no lease: an
		// acceptance could pass it by.
		c.note(now, r, now)
		return reply
	}
	reply.Granted, reply.Duration = true, c.config.Lease
	c.note(now, r, now+c.config.Lease+c.config.Lease/leaseSlack)
	return reply
}

// note remembers what a router said, and until when its lease lasts.
func (c *Core) note(now time.Duration, r controlapi.LeaseRequest, expires time.Duration) {
	c.leases.routers[r.Router.Name] = &routerLease{
		expires:  expires,
		heard:    now,
		inForce:  r.InForce,
		stage:    r.Stage,
		registry: r.Registry,
	}
	c.rollout(now)
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

// admit proposes that joining routers count, once the majorities of both the
// old and the new registry know of it and of the bundle in force.
func (c *Core) admit(now time.Duration) {
	registry := c.machine.Registry()
	if len(registry.Joining) == 0 || c.leases.admitting || !c.node.HoldsLease(now) {
		return
	}
	head := c.headStamp()
	informed := func(name string) bool {
		said := c.leases.routers[name]
		return said != nil && said.registry == registry.Version && said.inForce.Version >= head.Version
	}
	if !registry.HasMajority(informed) {
		return
	}
	command := state.Command{Admit: &state.Admit{Version: registry.Version, Head: head.Digest}}
	err := c.Propose(now, command, func(state.Result, error) { c.leases.admitting = false })
	c.leases.admitting = err == nil
}

// headStamp returns the stamp of the bundle in force, zero for none.
func (c *Core) headStamp() controlapi.BundleID {
	if head := c.machine.Head(); head != nil {
		return stampOf(head)
	}
	return controlapi.BundleID{}
}

func (c *Core) leaderAddress() string {
	status := c.node.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	return status.Membership.Addresses[status.Leader]
}

// rollout proposes the acceptance of the staged bundle once no router can go on
// serving by an older one:
//
//   - a majority of the registered routers has the bundle durable, so that any
//     majority of routers that lose control together knows of it, and
//   - every other router's lease has run out.
func (c *Core) rollout(now time.Duration) {
	pending := c.machine.Pending()
	if pending == nil || pending.Stage == 0 || c.leases.proposed == pending.Stage || !c.node.HoldsLease(now) {
		return
	}
	if !c.mayAccept(now, pending.Stage) {
		return
	}
	command := state.Command{Accept: &state.Accept{Digest: pending.Digest, Stage: pending.Stage}}
	stage := pending.Stage
	err := c.Propose(now, command, func(_ state.Result, err error) {
		if err != nil && c.leases.proposed == stage {
			c.leases.proposed = 0
		}
	})
	if err == nil {
		c.leases.proposed = stage
	}
}

func (c *Core) mayAccept(now time.Duration, stage uint64) bool {
	members := c.machine.Registry().Members
	acknowledged := 0
	for name := range members {
		lease := c.leases.routers[name]
		switch {
		case lease != nil && lease.stage == stage:
			acknowledged++
		case !c.leaseOver(now, lease):
			return false
		}
	}
	return len(members) == 0 || acknowledged > len(members)/2
}

// leaseOver tells whether a router's lease has surely ended. Without a record
// it may have been granted by an earlier leader just before this one's time.
func (c *Core) leaseOver(now time.Duration, lease *routerLease) bool {
	if lease != nil {
		return now >= lease.expires
	}
	return now >= c.leases.since+c.config.Lease+c.config.Lease/leaseSlack
}

// Routers returns what the leader knows of each registered router, by name.
func (c *Core) Routers(now time.Duration) []controlapi.RouterStatus {
	registry := c.machine.Registry()
	var out []controlapi.RouterStatus
	for _, router := range registry.All() {
		_, joining := registry.Joining[router.Name]
		place := controlapi.RouterStatus{Router: router, Joining: joining, HeartbeatAge: -1}
		if lease := c.leases.routers[router.Name]; lease != nil {
			place.Leased = now < lease.expires
			place.InForce = lease.inForce
			place.Stage = lease.stage
			place.HeartbeatAge = (now - lease.heard).Seconds()
		}
		out = append(out, place)
	}
	return out
}
