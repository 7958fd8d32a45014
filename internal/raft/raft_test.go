package raft

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// group is a set of nodes on a network without delay, with disks that never fail. Faults are
// tested by package simulation.
type group struct {
	t        *testing.T
	now      time.Duration
	nodes    map[uint64]*Node
	isolated map[uint64]bool
	// observe is called with each message, if it is set.
	observe func(Message)
	// onStep is called with each node that has received a message, if it is set.
	onStep func(*Node)
}

func newGroup(t *testing.T, ids ...uint64) *group {
	g := &group{t: t, nodes: map[uint64]*Node{}, isolated: map[uint64]bool{}}
	for _, id := range ids {
		g.add(id, Membership{Voters: ids})
	}
	return g
}

func (g *group) add(id uint64, initial Membership) *Node {
	n, err := NewNode(Config{ID: id, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		LeaseDuration: 800 * time.Millisecond, Random: rand.New(rand.NewPCG(id, 1))}, StoredState{Initial: initial}, g.now)
	assert.NilError(g.t, err)
	g.nodes[id] = n
	return n
}

// advance advances the clock in steps and delivers all messages.
func (g *group) advance(length time.Duration) {
	for end := g.now + length; g.now < end; g.now += 20 * time.Millisecond {
		for id := uint64(1); id <= 9; id++ {
			if n := g.nodes[id]; n != nil {
				n.Tick(g.now)
			}
		}
		g.deliver()
	}
}

func (g *group) deliver() {
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= 9; id++ {
			n := g.nodes[id]
			for n != nil && n.HasReady() {
				busy = true
				r := n.Ready()
				n.Advance(r)
				for _, m := range r.Messages {
					if g.observe != nil {
						g.observe(m)
					}
					if to := g.nodes[m.To]; to != nil && !g.isolated[m.From] && !g.isolated[m.To] {
						to.Step(g.now, m)
						if g.onStep != nil {
							g.onStep(to)
						}
					}
				}
			}
		}
	}
}

func (g *group) leader() *Node {
	for _, n := range g.nodes {
		if n.HoldsLease(g.now) {
			return n
		}
	}
	return nil
}

func (g *group) propose(n *Node) uint64 {
	index, err := n.Propose(g.now, json.RawMessage(`{}`))
	assert.NilError(g.t, err)
	g.deliver()
	return index
}

func TestLeaderReplicatesAndCommits(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	assert.Assert(t, leader != nil)
	index := g.propose(leader)
	g.advance(200 * time.Millisecond)
	for _, n := range g.nodes {
		assert.Assert(t, n.Status().Commit >= index)
	}
	follower := g.nodes[leader.Status().ID%3+1]
	_, err := follower.Propose(g.now, nil)
	assert.ErrorIs(t, err, ErrNotLeader)
}

// Guards against reads from a state that lacks committed entries: a leader learns from a reply that its
// first entry is committed, and applies it later.
func TestLeaderHoldsNoLeaseBeforeItAppliesItsTerm(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	held, committed := 0, 0
	g.onStep = func(n *Node) {
		status := n.Status()
		if n.Role() != Leader || n.Term(status.Commit) != status.Term || n.Term(status.Applied) == status.Term {
			return
		}
		committed++
		if n.HoldsLease(g.now) {
			held++
		}
	}
	g.advance(4 * time.Second)
	assert.Assert(t, committed > 0, "the leader applied its first entry at once")
	assert.Equal(t, held, 0)
	assert.Assert(t, g.leader() != nil)
}

func TestIsolatedLeaderLosesLeaseBeforeElection(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	old := g.leader()
	term := old.Status().Term
	g.isolated[old.Status().ID] = true
	for old.HoldsLease(g.now) {
		assert.Equal(t, g.leader(), old)
		g.advance(20 * time.Millisecond)
	}
	g.advance(4 * time.Second)
	assert.Assert(t, g.leader() != nil && g.leader() != old)
	assert.Assert(t, g.leader().Status().Term > term)
	// The old leader steps down by itself and follows the new one.
	assert.Equal(t, old.Role() == Leader, false)
	g.isolated[old.Status().ID] = false
	g.advance(time.Second)
	assert.Equal(t, old.Status().Leader, g.leader().Status().ID)
}

func TestRejoiningNodeDoesNotDisruptLeader(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	other := g.nodes[leader.Status().ID%3+1]
	g.isolated[other.Status().ID] = true
	g.advance(20 * time.Second)
	term := leader.Status().Term
	g.isolated[other.Status().ID] = false
	g.advance(5 * time.Second)
	assert.Equal(t, g.leader(), leader)
	assert.Equal(t, leader.Status().Term, term)
}

func TestPromotionRequiresCaughtUpLearner(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	for range 100 {
		g.propose(leader)
	}
	change := func(kind ChangeKind) error {
		_, err := leader.ProposeChange(g.now, Change{Kind: kind, ID: 4})
		g.deliver()
		return err
	}
	assert.ErrorIs(t, change(Promote), ErrUnknownMember)
	g.isolated[4] = true
	g.add(4, Membership{})
	assert.NilError(t, change(AddLearner))
	g.advance(time.Second)
	assert.ErrorIs(t, change(Promote), ErrNotCaughtUp)
	g.isolated[4] = false
	g.advance(5 * time.Second)
	assert.NilError(t, change(Promote))
	g.advance(time.Second)
	assert.Equal(t, leader.Status().Membership.Quorum(), 3)
	assert.ErrorContains(t, change(AddLearner), "never used again")
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	for _, id := range []uint64{1, 2, 3} {
		g.isolated[id] = id != leader.Status().ID
	}
	_, err := leader.ProposeChange(g.now, Change{Kind: AddLearner, ID: 5})
	assert.NilError(t, err)
	_, err = leader.ProposeChange(g.now, Change{Kind: AddLearner, ID: 6})
	assert.ErrorIs(t, err, ErrChangePending)
}

func TestLaggingFollowerGetsSnapshot(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	behind := g.nodes[leader.Status().ID%3+1]
	g.isolated[behind.Status().ID] = true
	for range 2 * compactionSlack {
		g.propose(leader)
	}
	applied := leader.Status().Applied
	leader.Compact(&Snapshot{Index: applied, Term: leader.Term(applied), Membership: leader.MembershipAt(applied)})
	assert.Assert(t, leader.Status().FirstIndex > 1)
	g.isolated[behind.Status().ID] = false
	g.advance(5 * time.Second)
	assert.Equal(t, behind.Status().Applied, leader.Status().Applied)
	assert.Assert(t, behind.Status().FirstIndex > 1)
}

func TestTransferLeadership(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	to := leader.Status().ID%3 + 1
	assert.NilError(t, leader.TransferLeadership(to))
	assert.Assert(t, !leader.HoldsLease(g.now))
	g.advance(300 * time.Millisecond)
	assert.Equal(t, g.leader(), g.nodes[to])
}

func TestConfigValidate(t *testing.T) {
	c := Config{ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: time.Second}
	assert.ErrorContains(t, c.Validate(), "not below the election timeout")
	c.LeaseDuration, c.HeartbeatInterval = 800*time.Millisecond, 500*time.Millisecond
	assert.ErrorContains(t, c.Validate(), "half of the election timeout")
	c.ID = 0
	assert.ErrorContains(t, c.Validate(), "ID is 0")
}

// restart replaces a node with one that starts from its durable state.
func (g *group) restart(id uint64) *Node {
	old := g.nodes[id]
	n, err := NewNode(old.config, StoredState{HardState: old.saved, Entries: old.Stable(), Initial: old.memberships[0].members}, g.now)
	assert.NilError(g.t, err)
	g.nodes[id] = n
	return n
}

// After a restart of all nodes, the former leader campaigns at once instead of waiting for an
// election timeout: the lease was its own and has ended.
func TestLeaderCampaignsAtOnceAfterFullRestart(t *testing.T) {
	g := newGroup(t, 1, 2, 3, 4, 5)
	g.advance(4 * time.Second)
	id := g.leader().Status().ID
	index := g.propose(g.leader())
	for other := uint64(1); other <= 5; other++ {
		g.restart(other)
	}
	// The first vote requests are lost.
	g.isolated[id] = true
	g.advance(60 * time.Millisecond)
	g.isolated[id] = false
	g.advance(200 * time.Millisecond)
	assert.Assert(t, g.leader() != nil)
	assert.Equal(t, g.leader().Status().ID, id)
	assert.Assert(t, g.leader().Status().Commit >= index)
}

func TestRestartedLeaderDoesNotDisruptSuccessor(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	id := g.leader().Status().ID
	g.isolated[id] = true
	g.advance(4 * time.Second)
	successor := g.leader()
	term := successor.Status().Term
	g.isolated[id] = false
	g.restart(id)
	for range 50 {
		g.advance(20 * time.Millisecond)
		assert.Equal(t, g.leader(), successor)
	}
	assert.Equal(t, successor.Status().Term, term)
}

// A node that was only a candidate in its term must not campaign at once, since another node may
// have won and hold a lease.
func TestRestartedCandidateWaits(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	g.advance(4 * time.Second)
	leader := g.leader()
	other := g.nodes[leader.Status().ID%3+1]
	other.hard.Vote, other.saved.Vote = other.config.ID, other.config.ID
	returned := g.restart(other.config.ID)
	g.advance(20 * time.Millisecond)
	assert.Equal(t, returned.Role(), Follower)
	assert.Equal(t, g.leader(), leader)
}

// Guards against a late snapshot that drops entries which the follower has acknowledged.
func TestSnapshotThatLogHoldsDropsNoAcknowledgedEntries(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	follower := g.nodes[2]
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryNoOp}, {Index: 2, Term: 1, Kind: EntryCommand}, {Index: 3, Term: 1, Kind: EntryCommand}}
	step := func(m Message) Ready {
		m.From, m.To, m.Term = 1, 2, 1
		follower.Step(g.now, m)
		r := follower.Ready()
		follower.Advance(r)
		return r
	}
	acknowledged := step(Message{Type: MessageAppend, Entries: entries, Commit: 1})
	assert.Equal(t, acknowledged.Messages[0].Index, uint64(3))
	r := step(Message{Type: MessageInstallSnapshot, Snapshot: &Snapshot{Index: 2, Term: 1, Membership: Membership{Voters: []uint64{1, 2, 3}}}})
	assert.Equal(t, follower.Status().LastIndex, uint64(3))
	assert.Equal(t, follower.Status().Commit, uint64(2))
	assert.Assert(t, r.Snapshot == nil)
	assert.Equal(t, r.Messages[0].Index, uint64(2))
	// A snapshot of another term at that index replaces the log.
	r = step(Message{Type: MessageInstallSnapshot, Snapshot: &Snapshot{Index: 3, Term: 2, Membership: Membership{Voters: []uint64{1, 2, 3}}}})
	assert.Equal(t, r.Snapshot.Index, uint64(3))
	assert.Equal(t, follower.Status().FirstIndex, uint64(4))
}
