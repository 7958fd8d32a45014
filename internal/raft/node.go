package raft

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of replication.
const (
	maxEntriesPerMessage = 256
	maxInflightMessages  = 16
	maxUncommitted       = 8192
	// compactionSlack is how many entries are kept behind a snapshot so that a
	// follower that is slightly behind needs none.
	compactionSlack = 200
)

// Config says how a Node behaves.
type Config struct {
	// ID is the node's own number, never 0 and never used again.
	ID uint64
	// ElectionTimeout is the least time without a leader before an election.
	// A random time up to the same again is added.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a leader may believe in itself after a quorum
	// answered. It must be less than ElectionTimeout by more than clocks may
	// drift apart in that time.
	LeaseDuration time.Duration
	// Random is the source of election jitter.
	Random *rand.Rand
}

// Validate checks the relations between the durations.
func (c Config) Validate() error {
	if c.ID == 0 {
		return errors.New("raft: the ID is 0")
	}
	if c.LeaseDuration >= c.ElectionTimeout {
		return errors.Newf("raft: lease %v is not below the election timeout %v", c.LeaseDuration, c.ElectionTimeout)
	}
	if c.HeartbeatInterval*2 >= c.ElectionTimeout {
		return errors.Newf("raft: heartbeat %v is not below half of the election timeout %v", c.HeartbeatInterval, c.ElectionTimeout)
	}
	return nil
}

// StoredState is what a node finds on its disk at start.
type StoredState struct {
	HardState HardState
	// Snapshot is nil when there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot.
	Entries []Entry
	// Initial is the membership of a new group. It is used only when there is
	// no snapshot and the log holds no membership.
	Initial Membership
}

// progress is the leader's account of one other member.
type progress struct {
	match    uint64
	next     uint64
	inflight int
	// probing sends one message at a time until the logs match.
	probing bool
	// snapshotAt is the index of a snapshot under way, or 0.
	snapshotAt uint64
	// heard is when the member last answered, by the leader's clock.
	heard time.Duration
	// echoed is the latest Sent that the member answered.
	echoed time.Duration
	// resendAt is when a probe or snapshot is repeated.
	resendAt time.Duration
}

// Node is the consensus state of one member.
type Node struct {
	config Config
	now    time.Duration

	hard    HardState
	saved   HardState
	role    Role
	leader  uint64
	log     log
	members Membership
	// changes lists the appended memberships with their indexes, oldest first,
	// so that a truncated one can be undone.
	changes []membershipAt

	electionAt   time.Duration
	heartbeatAt  time.Duration
	leaderHeard  time.Duration
	votes        map[uint64]bool
	why          occasion // of the campaign under way
	progress     map[uint64]*progress
	termStart    uint64 // index of the leader's first entry of its term
	transferring uint64
	transferEnd  time.Duration
	unsent       bool // entries were appended since the last Ready

	snapshot        *Snapshot // latest snapshot, for followers that are behind
	pendingSnapshot *Snapshot
	messages        []Message
}

type membershipAt struct {
	index   uint64
	members Membership
}

// NewNode returns a node that starts at now with what its disk held. It stays
// silent towards candidates for one election timeout: it may have promised a
// lease before it stopped.
func NewNode(config Config, stored StoredState, now time.Duration) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := &Node{config: config, now: now, hard: stored.HardState, saved: stored.HardState, role: Follower}
	n.members = stored.Initial.Clone()
	if s := stored.Snapshot; s != nil {
		n.log.restore(s.Index, s.Term)
		n.members = s.Membership.Clone()
		n.snapshot = s
	}
	n.changes = []membershipAt{{index: n.log.offset, members: n.members}}
	n.log.append(stored.Entries...)
	n.log.stable = n.log.last()
	n.log.commit = min(max(n.hard.Commit, n.log.offset), n.log.last())
	n.log.applied = n.log.offset
	for _, e := range stored.Entries {
		n.noteMembership(e)
	}
	n.leaderHeard = now
	n.resetElection()
	if n.hard.LedTerm != 0 && n.hard.LedTerm == n.hard.Term && n.members.IsVoter(config.ID) {
		n.campaign(returned)
	}
	return n, nil
}

// Tick tells the node the time. It is called at least every heartbeat
// interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionAt && n.members.IsVoter(n.config.ID) {
		n.campaign(silence)
		return
	}
	if n.role == Candidate {
		n.tickCandidate()
	}
}

func (n *Node) advanceClock(now time.Duration) { n.now = max(n.now, now) }

func (n *Node) tickLeader() {
	if !n.quorumHeard() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transferring != 0 && n.now >= n.transferEnd {
		// The hand-over message may still arrive and elect its receiver
		// without regard to the lease, so this leadership cannot go on.
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.now >= n.heartbeatAt {
		n.heartbeatAt = n.now + n.config.HeartbeatInterval
		n.broadcastHeartbeat()
	}
}

// quorumHeard tells whether a majority answered within an election timeout.
func (n *Node) quorumHeard() bool {
	heard := 0
	for _, id := range n.members.Voters {
		if id == n.config.ID || n.now-n.progress[id].heard < n.config.ElectionTimeout {
			heard++
		}
	}
	return heard >= n.members.Quorum()
}

// HoldsLease tells whether the node may act as the only leader at now. Another
// leader cannot have been elected before the lease ends, as long as clocks
// drift less than Config allows. A caller that acts on it must still carry the
// fence of its term, because it can be stopped between the check and the act.
func (n *Node) HoldsLease(now time.Duration) bool { return now < n.LeaseUntil() }

// LeaseUntil is the end of the lease as far as it is known now, 0 for a node that
// has none.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferring != 0 {
		return 0
	}
	if committed, _ := n.log.term(n.log.commit); committed != n.hard.Term {
		return 0
	}
	return n.quorumEchoed() + n.config.LeaseDuration
}

// quorumEchoed is the latest time at which a majority had still accepted this
// leader.
func (n *Node) quorumEchoed() time.Duration {
	times := make([]time.Duration, 0, len(n.members.Voters))
	for _, id := range n.members.Voters {
		if id == n.config.ID {
			times = append(times, n.now)
			continue
		}
		times = append(times, n.progress[id].echoed)
	}
	slices.Sort(times)
	return times[len(times)-n.members.Quorum()]
}

// Propose appends a command. Only the leader may.
func (n *Node) Propose(now time.Duration, data json.RawMessage) (index uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.transferring != 0 {
		return 0, ErrNotLeader
	}
	if n.log.last()-n.log.commit >= maxUncommitted {
		return 0, ErrTooManyUncommitted
	}
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) appendEntry(kind EntryKind, data json.RawMessage) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.noteMembership(e)
	n.unsent = true
	return e.Index
}

// replicate sends appended entries to the other members. It runs once for each
// Ready, so that entries proposed together travel together.
func (n *Node) replicate() {
	if !n.unsent || n.role != Leader {
		return
	}
	n.unsent = false
	for _, id := range n.others() {
		n.sendAppend(id)
	}
}

// HasReady tells whether Ready has work.
func (n *Node) HasReady() bool {
	return n.mustSave() || n.pendingSnapshot != nil || len(n.messages) > 0 ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit
}

// mustSave tells whether the term or the vote changed. A new commit index alone
// need not be durable: it is learned again. It is saved along with entries, as
// a check that the log was not cut.
func (n *Node) mustSave() bool {
	return n.hard.Term != n.saved.Term || n.hard.Vote != n.saved.Vote || n.hard.LedTerm != n.saved.LedTerm
}

// Ready returns the work at hand. The caller does it and calls Advance before
// it calls anything else.
func (n *Node) Ready() Ready {
	n.replicate()
	n.hard.Commit = n.log.commit
	r := Ready{Snapshot: n.pendingSnapshot, Messages: n.messages}
	r.Entries = n.log.upTo(max(n.log.stable, n.log.offset), n.log.last())
	if n.mustSave() || len(r.Entries) > 0 || r.Snapshot != nil {
		state := n.hard
		r.HardState = &state
	}
	r.Committed = n.log.upTo(n.log.applied, n.log.commit)
	n.messages = nil
	return r
}

// Advance tells the node that the work of r is done.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil && n.pendingSnapshot == r.Snapshot {
		n.pendingSnapshot = nil
	}
	if count := len(r.Entries); count > 0 {
		n.log.stable = max(n.log.stable, r.Entries[count-1].Index)
	}
	if count := len(r.Committed); count > 0 {
		n.log.applied = r.Committed[count-1].Index
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Compact tells the node that snapshot s is durable and that entries it covers
// may be forgotten. It returns the index up to which the log was cut.
func (n *Node) Compact(s *Snapshot) uint64 {
	n.snapshot = s
	if s.Index > compactionSlack {
		n.log.compact(min(s.Index-compactionSlack, n.log.applied))
	}
	return n.log.offset
}

// MembershipAt returns the membership in force at an applied index, for a
// snapshot.
func (n *Node) MembershipAt(index uint64) Membership {
	for i := len(n.changes) - 1; i >= 0; i-- {
		if n.changes[i].index <= index {
			return n.changes[i].members.Clone()
		}
	}
	return n.changes[0].members.Clone()
}

// Term returns the term of a held entry.
func (n *Node) Term(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// Status returns a view of the node.
func (n *Node) Status() Status {
	s := Status{ID: n.config.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.log.commit,
		Applied: n.log.applied, LastIndex: n.log.last(), FirstIndex: n.log.offset + 1, Membership: n.members.Clone()}
	if n.role == Leader {
		s.Match = map[uint64]uint64{}
		s.SinceContact = map[uint64]ElapsedSeconds{}
		for id, p := range n.progress {
			s.Match[id] = p.match
			s.SinceContact[id] = ElapsedSeconds((n.now - p.heard).Seconds())
		}
	}
	return s
}

func (n *Node) others() []uint64 {
	members := n.members.Members()
	slices.Sort(members)
	return slices.DeleteFunc(members, func(id uint64) bool { return id == n.config.ID })
}

func (n *Node) send(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Stable returns the held entries that are durable.
func (n *Node) Stable() []Entry {
	return n.log.upTo(n.log.offset, n.log.stable)
}
