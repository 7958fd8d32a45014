package control

import (
	"sort"
	"time"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

// leaseSlack is how much longer than granted the leader takes a lease to last,
// as a divisor: a quarter covers clocks that drift apart by as much.
const leaseSlack = 4

// leaseTable is the leader's soft knowledge of routers. A new leader starts
// with none and waits out the leases that its predecessor may have granted.
type leaseTable struct {
	leading  bool
	since    time.Duration
	routers  map[string]*routerLease
	proposed uint64 // stage for which acceptance was proposed
	joining  map[string]bool
}

type routerLease struct {
	expires time.Duration
	heard   time.Duration
	inForce controlapi.Stamp
	stage   uint64
	staged  controlapi.Stamp
}

func (t *leaseTable) reset(now time.Duration) {
	*t = leaseTable{since: now, routers: map[string]*routerLease{}, joining: map[string]bool{}}
}

// Lease renews a router's lease. Only a leader that holds its own lease
// grants any.
func (c *Core) Lease(now time.Duration, r controlapi.LeaseRequest) controlapi.LeaseReply {
	if !c.node.HoldsLease(now) {
		return controlapi.LeaseReply{Leader: c.leaderAddress()}
	}
	known, registered := c.machine.Routers()[r.Router.Name]
	if !registered || known != r.Router {
		// A router counts from when its registration is committed; until then
		// it gets no lease, or an acceptance could pass it by.
		c.registerRouter(now, r.Router)
		return controlapi.LeaseReply{}
	}
	if !r.Probe {
		c.leases.routers[r.Router.Name] = &routerLease{
			expires: now + c.config.Lease + c.config.Lease/leaseSlack,
			heard:   now,
			inForce: r.InForce,
			stage:   r.Stage,
			staged:  r.Staged,
		}
		c.rollout(now)
	}
	reply := controlapi.LeaseReply{Granted: true, Duration: c.config.Lease, Offers: c.offers(r)}
	if head := c.machine.Head(); head != nil {
		reply.Accepted = stampOf(head)
	}
	c.addRegistry(&reply, r.RegistryDigest)
	return reply
}

func (c *Core) registerRouter(now time.Duration, router state.Router) {
	if c.leases.joining[router.Name] {
		return
	}
	command := state.Command{At: c.wallClock(now), Register: &state.Register{Routers: []state.Router{router}}}
	err := c.Propose(now, command, func(state.Result, error) { delete(c.leases.joining, router.Name) })
	if err == nil {
		c.leases.joining[router.Name] = true
	}
}

// wallClock is the time that the core stamps its own commands with. It only
// has to move forward; commands of operators and routers bring wall time.
func (c *Core) wallClock(time.Duration) int64 { return 0 }

func (c *Core) leaderAddress() string {
	status := c.node.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	return status.Membership.Addresses[status.Leader]
}

// addRegistry sends the list of routers when the asking one's is out of date.
func (c *Core) addRegistry(reply *controlapi.LeaseReply, digest string) {
	routers := c.machine.Routers()
	list := make([]state.Router, 0, len(routers))
	for _, router := range routers {
		list = append(list, router)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	reply.RegistryDigest = RegistryDigest(list)
	if reply.RegistryDigest != digest {
		reply.Registry = list
	}
}

func stampOf(p *state.Proposal) controlapi.Stamp {
	return controlapi.Stamp{Version: p.Version, Digest: p.Digest}
}

// offers returns the bundles that the router lacks: the accepted one, and the
// staged one.
func (c *Core) offers(r controlapi.LeaseRequest) []controlapi.Offer {
	var out []controlapi.Offer
	have := []string{r.InForce.Digest, r.Staged.Digest}
	head := c.machine.Head()
	if head != nil && r.InForce.Digest != head.Digest && r.Staged.Digest != head.Digest {
		out = append(out, c.offer(head, have))
		have = append(have, head.Digest)
	}
	pending := c.machine.Pending()
	if pending != nil && pending.Stage != 0 && r.Stage != pending.Stage {
		out = append(out, c.offer(pending, have))
	}
	return out
}

// offer makes a delta to a bundle that the router has, or sends the whole.
func (c *Core) offer(p *state.Proposal, have []string) controlapi.Offer {
	o := controlapi.Offer{Stamp: stampOf(p), Stage: p.Stage}
	if head := c.machine.Head(); head != nil {
		c.deltas.keep(head)
	}
	for _, base := range have {
		if delta := c.deltas.delta(base, p); delta != nil {
			o.Base, o.Delta = base, delta
			return o
		}
	}
	o.Whole = p.Canonical
	return o
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
	routers := c.machine.Routers()
	acknowledged := 0
	for name := range routers {
		lease := c.leases.routers[name]
		switch {
		case lease != nil && lease.stage == stage:
			acknowledged++
		case !c.leaseOver(now, lease):
			return false
		}
	}
	return len(routers) == 0 || acknowledged > len(routers)/2
}

// leaseOver tells whether a router's lease has surely ended. Without a record
// it may have been granted by an earlier leader just before this one's time.
func (c *Core) leaseOver(now time.Duration, lease *routerLease) bool {
	if lease != nil {
		return now >= lease.expires
	}
	return now >= c.leases.since+c.config.Lease+c.config.Lease/leaseSlack
}

// Places returns what the leader knows of each registered router.
func (c *Core) Places(now time.Duration) []controlapi.PlaceStatus {
	var out []controlapi.PlaceStatus
	for name, router := range c.machine.Routers() {
		place := controlapi.PlaceStatus{Router: router, Heard: -1}
		if lease := c.leases.routers[name]; lease != nil {
			place.Leased = now < lease.expires
			place.InForce = lease.inForce
			place.Stage = lease.stage
			place.Heard = (now - lease.heard).Seconds()
		}
		out = append(out, place)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Router.Name < out[j].Router.Name })
	return out
}

// deltaCache remembers recent bundle texts and the deltas made of them. It is
// soft: a router without a known base gets the whole bundle.
type deltaCache struct {
	texts  []*state.Proposal
	deltas map[[2]string][]byte
}

// keptTexts is how many bundle texts serve as bases for deltas.
const keptTexts = 8

func (d *deltaCache) keep(p *state.Proposal) {
	for _, t := range d.texts {
		if t.Digest == p.Digest {
			return
		}
	}
	d.texts = append(d.texts, p)
	if len(d.texts) > keptTexts {
		d.texts = d.texts[1:]
		d.deltas = nil
	}
}

func (d *deltaCache) delta(base string, to *state.Proposal) []byte {
	if delta, ok := d.deltas[[2]string{base, to.Digest}]; ok {
		return delta
	}
	for _, t := range d.texts {
		if t.Digest != base {
			continue
		}
		delta, err := bundle.Delta(t.Canonical, to.Canonical)
		if err != nil {
			return nil
		}
		if d.deltas == nil {
			d.deltas = map[[2]string][]byte{}
		}
		d.deltas[[2]string{base, to.Digest}] = delta
		return delta
	}
	return nil
}
