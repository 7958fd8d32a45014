package simulation

import (
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// inForceLimit is how soon after acceptance no router may serve by an older
// bundle: the longest lease with its slack for drift, and a heartbeat.
const inForceLimit = routerLease + routerLease/4 + time.Second

// checks holds what must stay true in a run.
type checks struct {
	world *world
	// leaders maps terms to leaders.
	leaders map[uint64]uint64
	// digests maps applied indexes to state digests.
	digests map[uint64]string
	// accepted maps versions to digests, and since to the time of acceptance.
	accepted map[uint64]string
	since    map[uint64]time.Duration
	newest   uint64
	// served maps routers to the highest version that they served by.
	served map[string]uint64
	// answers maps request IDs to the first answer.
	answers map[string]state.Result
	// promised are the digests that operators were told are staged.
	promised map[uint64]string
	last     time.Duration
}

func newChecks(w *world) *checks {
	return &checks{world: w, leaders: map[uint64]uint64{}, digests: map[uint64]string{}, accepted: map[uint64]string{},
		since: map[uint64]time.Duration{}, served: map[string]uint64{}, answers: map[string]state.Result{}, promised: map[uint64]string{}}
}

// fail ends the run. The first failure counts.
func (c *checks) fail(format string, args ...any) {
	if c.world.failure == nil {
		c.world.failure = errors.Newf("seed %d at %v: "+format, append([]any{c.world.config.Seed, c.world.now()}, args...)...)
	}
}

// always checks what must hold after every event.
func (c *checks) always() {
	c.oneLeader()
	c.noOldBundle()
	c.measure()
}

func (c *checks) oneLeader() {
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

// noOldBundle checks that no router serves by a bundle that was replaced a
// while ago, and that none serves by a lower version than before.
func (c *checks) noOldBundle() {
	for _, r := range c.world.routers {
		mode := r.mode()
		if mode == agent.ModeNone {
			continue
		}
		version := r.agent.InForce().BundleID.Version
		if version < c.newest && c.world.now() > c.since[version+1]+inForceLimit {
			c.fail("%s serves (%s) by version %d, and version %d has been accepted since %v", r.self.Name, mode, version, version+1, c.since[version+1])
		}
		if version < c.served[r.self.Name] {
			c.fail("%s went back from version %d to %d", r.self.Name, c.served[r.self.Name], version)
		}
		c.served[r.self.Name] = version
	}
}

func (c *checks) measure() {
	passed := c.world.now() - c.last
	c.last = c.world.now()
	for _, r := range c.world.routers {
		if r.mode() == agent.ModePeerMajority {
			c.world.report.HeldTime += passed
		}
	}
	if c.world.leader() != nil {
		c.world.report.LeadTime += passed
	}
}

// applied checks a node's state machine after it has applied entries.
func (c *checks) applied(n *node) {
	machine := n.core.Machine()
	digest, err := machine.Digest()
	if err != nil {
		c.fail("%v", err)
		return
	}
	if known, ok := c.digests[machine.Applied()]; ok && known != digest {
		c.fail("%s has another state than others at entry %d", n.name, machine.Applied())
	}
	c.digests[machine.Applied()] = digest
	for _, v := range machine.History() {
		c.accept(v.Version, v.Digest)
	}
}

func (c *checks) accept(version uint64, digest string) {
	if known, ok := c.accepted[version]; ok {
		if known != digest {
			c.fail("version %d was accepted with two contents", version)
		}
		return
	}
	c.accepted[version] = digest
	c.since[version] = c.world.now()
	c.newest = max(c.newest, version)
	c.world.report.Accepted = c.newest
}

// inForce checks a bundle that a router has put in force.
func (c *checks) inForce(r *router) {
	held := r.agent.InForce()
	if held == nil {
		return
	}
	version := held.BundleID.Version
	if known, ok := c.promised[version]; ok && known != held.BundleID.Digest {
		c.fail("%s has another content of version %d in force", r.self.Name, version)
	}
	c.promised[version] = held.BundleID.Digest
}

// answered checks an operator's answer: a resend gets the first one, and what
// was called staged is the only content of its version.
func (c *checks) answered(requestID, digest string, r state.Result) {
	if first, ok := c.answers[requestID]; ok && (first.Code != r.Code || first.Digest != r.Digest) {
		c.fail("request %s got two answers", requestID)
	}
	c.answers[requestID] = r
	if r.Code != state.CodeOK || !r.Staged {
		return
	}
	if known, ok := c.promised[r.Version]; ok && known != digest {
		c.fail("version %d was staged with two contents", r.Version)
	}
	c.promised[r.Version] = digest
}

// converged checks the end of a run: all is well again and nothing that was
// promised is lost.
func (c *checks) converged() {
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
			c.fail("version %d was promised and is not accepted", version)
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
		if n := w.node(id); n == nil || !n.running() || n.core.Machine().Applied()+mostBehind < leader.core.Machine().Applied() {
			c.fail("voter %d has not caught up at the end", id)
		}
	}
}

// mostBehind is how many entries a healthy node may be behind.
const mostBehind = 10
