package simulation

import (
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// inForceLimit is the time after a bundle's acceptance by which no router may serve an older
// one: the longest lease, an allowance for clock drift and one heartbeat.
const inForceLimit = routerLease + routerLease/4 + time.Second

// checks verifies the invariants of a run.
type checks struct {
	world *world
	// leaders maps terms to leader IDs.
	leaders map[uint64]uint64
	// digests maps applied log indexes to state digests.
	digests map[uint64]string
	// accepted maps versions to bundle digests, and acceptedAt to the times of acceptance.
	accepted   map[uint64]string
	acceptedAt map[uint64]time.Duration
	newest     uint64
	// served maps routers to the highest version that they have served.
	served map[string]uint64
	// answers maps request IDs to their first result.
	answers map[string]state.Result
	// promised maps versions to the digests that were acknowledged as staged or put in force by
	// a router.
	promised   map[uint64]string
	measuredAt time.Duration
}

func newChecks(w *world) *checks {
	return &checks{world: w, leaders: map[uint64]uint64{}, digests: map[uint64]string{}, accepted: map[uint64]string{},
		acceptedAt: map[uint64]time.Duration{}, served: map[string]uint64{}, answers: map[string]state.Result{}, promised: map[uint64]string{}}
}

// fail ends the run with an error. Only the first failure is kept.
func (c *checks) fail(format string, args ...any) {
	if c.world.failure == nil {
		c.world.failure = errors.Newf("seed %d at %v: "+format, append([]any{c.world.config.Seed, c.world.now()}, args...)...)
	}
}

// checkInvariants checks what must hold at any time.
func (c *checks) checkInvariants() {
	c.checkSingleLeader()
	c.checkBundleAge()
	c.recordTimes()
}

func (c *checks) checkSingleLeader() {
	holders := 0
	for _, n := range c.world.nodes {
		if !n.running() {
			continue
		}
		if n.core.HoldsLease(n.clock()) {
			holders++
		}
		status := n.core.Status()
		if status.Role != raft.Leader {
			continue
		}
		if first, known := c.leaders[status.Term]; known && first != n.id {
			c.fail("term %d has leaders %d and %d", status.Term, first, n.id)
		}
		if _, known := c.leaders[status.Term]; !known {
			c.world.report.Leaders++
		}
		c.leaders[status.Term] = n.id
	}
	if holders > 1 {
		c.fail("%d nodes hold the leader's lease", holders)
	}
}

// checkBundleAge verifies that no router serves a bundle that was superseded more than
// inForceLimit ago, or a lower version than it served before.
func (c *checks) checkBundleAge() {
	for _, r := range c.world.routers {
		mode := r.mode()
		if mode == agent.ModeNone {
			continue
		}
		version := r.agent.InForce().BundleID.Version
		if version < c.newest && c.world.now() > c.acceptedAt[version+1]+inForceLimit {
			c.fail("%s serves (mode %s) version %d, but version %d was accepted at %v", r.self.Name, mode, version, version+1, c.acceptedAt[version+1])
		}
		if version < c.served[r.self.Name] {
			c.fail("%s went back from version %d to %d", r.self.Name, c.served[r.self.Name], version)
		}
		c.served[r.self.Name] = version
	}
}

func (c *checks) recordTimes() {
	elapsed := c.world.now() - c.measuredAt
	c.measuredAt = c.world.now()
	for _, r := range c.world.routers {
		if r.mode() == agent.ModePeerMajority {
			c.world.report.HeldTime += elapsed
		}
	}
	if c.world.leader() != nil {
		c.world.report.LeadTime += elapsed
	}
}

// applied verifies that nodes with the same applied index have the same state.
func (c *checks) applied(n *node) {
	machine := n.core.Machine()
	digest, err := machine.Digest()
	if err != nil {
		c.fail("%v", err)
		return
	}
	if known, ok := c.digests[machine.Applied()]; ok && known != digest {
		c.fail("%s has a different state than another node at log index %d", n.name, machine.Applied())
	}
	c.digests[machine.Applied()] = digest
	for _, v := range machine.History() {
		c.recordAccepted(v.Version, v.Digest)
	}
}

func (c *checks) recordAccepted(version uint64, digest string) {
	if known, ok := c.accepted[version]; ok {
		if known != digest {
			c.fail("version %d was accepted with two different bundles", version)
		}
		return
	}
	c.accepted[version] = digest
	c.acceptedAt[version] = c.world.now()
	c.newest = max(c.newest, version)
	c.world.report.Accepted = c.newest
}

// checkInForce verifies that routers never have different bundles of the same version in force.
func (c *checks) checkInForce(r *router) {
	held := r.agent.InForce()
	if held == nil {
		return
	}
	version := held.BundleID.Version
	if known, ok := c.promised[version]; ok && known != held.BundleID.Digest {
		c.fail("%s has a different bundle of version %d in force", r.self.Name, version)
	}
	c.promised[version] = held.BundleID.Digest
}

// answered verifies that a retried request gets its first result, and that only one bundle of
// each version is staged.
func (c *checks) answered(requestID, digest string, r state.Result) {
	if first, ok := c.answers[requestID]; ok && (first.Code != r.Code || first.Digest != r.Digest) {
		c.fail("request %s got two different results", requestID)
	}
	c.answers[requestID] = r
	if r.Code != state.CodeOK || !r.Staged {
		return
	}
	if known, ok := c.promised[r.Version]; ok && known != digest {
		c.fail("version %d was staged with two different bundles", r.Version)
	}
	c.promised[r.Version] = digest
}

// checkConverged verifies the final state: there is a leader, no promised bundle is lost, and
// all routers and voters are up to date.
func (c *checks) checkConverged() {
	w := c.world
	leader := w.leader()
	if leader == nil {
		c.fail("no leader at the end")
		return
	}
	head := leader.core.Machine().Head()
	if pending := leader.core.Machine().Pending(); pending != nil && pending.Stage != 0 {
		c.fail("version %d is still staged at the end", pending.Version)
	}
	for version, digest := range c.promised {
		if head == nil || version > head.Version || c.accepted[version] != digest {
			c.fail("version %d was promised but not accepted", version)
		}
	}
	for _, r := range w.routers {
		if mode := r.mode(); mode != agent.ModeLeased {
			c.fail("%s has mode %s at the end", r.self.Name, mode)
			continue
		}
		if head != nil && r.agent.InForce().BundleID.Digest != head.Digest {
			c.fail("%s has version %d at the end, control has %d", r.self.Name, r.agent.InForce().BundleID.Version, head.Version)
		}
	}
	for _, id := range leader.core.Status().Membership.Voters {
		if n := w.node(id); n == nil || !n.running() || n.core.Machine().Applied()+maxLag < leader.core.Machine().Applied() {
			c.fail("voter %d has not caught up at the end", id)
		}
	}
}

// maxLag is the number of entries by which a healthy voter may lag behind the leader.
const maxLag = 10
