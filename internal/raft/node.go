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
	// maxBytesPerMessage bounds the data of the entries of a message, unless it has only one. A
	// message is encoded, sent and written between two heartbeats.
	maxBytesPerMessage  = 1 << 20
	maxInflightMessages = 16
	maxUncommitted      = 8192
	// compactionSlack is the number of entries before a snapshot that are retained, so that a
	// follower that lags slightly does not need the snapshot. compactionSlackBytes bounds their data,
	// which the log on disk has as well.
	compactionSlack      = 200
	compactionSlackBytes = 2 << 20
)

// Config holds the settings of a Node.
type Config struct {
	// ID is the node's member ID. It is not 0 and never used again for another node.
	ID uint64
	// ElectionTimeout is the least time without a leader before an election. A random time of
	// up to the same length is added.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// LeaseDuration is the validity of a leader's lease, counted from the sending of a message
	// that a quorum accepted. It must be shorter than ElectionTimeout by more than the clocks
	// of two members may drift apart in that time.
	LeaseDuration time.Duration
	// Random is the source of election jitter.
	Random *rand.Rand
}

// Validate returns an error if the ID is 0 or the durations do not fit together.
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

// StoredState is a node's durable state, as read when it starts.
type StoredState struct {
	HardState HardState
	// Snapshot is nil if there is none.
	Snapshot *Snapshot
	// Entries are the log entries after the snapshot.
	Entries []Entry
	// Initial is the membership of a new group. It is ignored if there is a snapshot, and
	// replaced by any membership in the log.
	Initial Membership
}

// progress is the leader's view of the replication to one other member. Its times are readings
// of the leader's clock.
type progress struct {
	match    uint64 // highest index known to be durable on the member
	next     uint64 // index of the next entry to send
	inflight int    // append messages without a reply
	// probing limits the leader to one append message at a time until the logs match.
	probing bool
	// snapshotAt is the index of the snapshot that is being sent, or 0.
	snapshotAt uint64
	// active is the time of the member's last reply.
	active time.Duration
	// ackedSentAt is the highest SentAt of the messages that the member accepted.
	ackedSentAt time.Duration
	// resendAt is the time from which a probe or snapshot is sent again.
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
	// memberships lists the appended memberships with their log indexes, oldest first, so that
	// a truncated one can be reverted.
	memberships []membershipAt

	electionAt       time.Duration
	heartbeatAt      time.Duration
	leaderContact    time.Duration
	votes            map[uint64]bool
	reason           campaignReason // of the campaign under way
	progress         map[uint64]*progress
	termStart        uint64 // index of the leader's first entry of its term
	transferring     uint64
	transferDeadline time.Duration
	hasUnsent        bool // entries were appended since the last Ready

	snapshot        *Snapshot // latest snapshot, for followers that are behind
	pendingSnapshot *Snapshot
	messages        []Message
}

type membershipAt struct {
	index   uint64
	members Membership
}

// NewNode returns a node that starts at now with its stored state. It ignores candidates for one
// election timeout, since it may have acknowledged a leader's lease before it stopped.
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
	n.memberships = []membershipAt{{index: n.log.offset, members: n.members}}
	n.log.append(stored.Entries...)
	n.log.stable = n.log.last()
	n.log.commit = min(max(n.hard.Commit, n.log.offset), n.log.last())
	n.log.applied = n.log.offset
	for _, e := range stored.Entries {
		n.applyMembership(e)
	}
	n.leaderContact = now
	n.resetElection()
	if n.hard.LedTerm != 0 && n.hard.LedTerm == n.hard.Term && n.members.IsVoter(config.ID) {
		n.campaign(restartedAsLeader)
	}
	return n, nil
}

// Tick advances the node's clock and runs what is due. It must be called at least once in every
// heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionAt && n.members.IsVoter(n.config.ID) {
		n.campaign(electionTimedOut)
		return
	}
	if n.role == Candidate {
		n.tickCandidate()
	}
}

func (n *Node) advanceClock(now time.Duration) { n.now = max(n.now, now) }

func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transferring != 0 && n.now >= n.transferDeadline {
		// The target may still receive the transfer message and be elected without regard to
		// this node's lease, so this node cannot continue to lead.
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.now >= n.heartbeatAt {
		n.heartbeatAt = n.now + n.config.HeartbeatInterval
		n.broadcastHeartbeat()
	}
}

// quorumActive reports whether a majority replied within an election timeout.
func (n *Node) quorumActive() bool {
	active := 0
	for _, id := range n.members.Voters {
		if id == n.config.ID || n.now-n.progress[id].active < n.config.ElectionTimeout {
			active++
		}
	}
	return active >= n.members.Quorum()
}

// HoldsLease reports whether the node may act as the only leader at now. No other leader can be
// elected before the lease ends, as long as clocks drift less than Config allows. A caller that
// acts on it must still pass the fence of its term, because the process may be paused between
// the check and the action.
func (n *Node) HoldsLease(now time.Duration) bool { return now < n.LeaseUntil() }

// LeaseUntil returns the end of the lease by the node's clock, or 0 if the node has none. Replies
// extend it. A new leader has none until it has applied an entry of its term: its state may lack
// acknowledged commands before.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferring != 0 {
		return 0
	}
	if applied, _ := n.log.term(n.log.applied); applied != n.hard.Term {
		return 0
	}
	return n.quorumAckedSentAt() + n.config.LeaseDuration
}

// quorumAckedSentAt returns the latest send time by which a majority accepted this leader.
func (n *Node) quorumAckedSentAt() time.Duration {
	times := make([]time.Duration, 0, len(n.members.Voters))
	for _, id := range n.members.Voters {
		if id == n.config.ID {
			times = append(times, n.now)
			continue
		}
		times = append(times, n.progress[id].ackedSentAt)
	}
	slices.Sort(times)
	return times[len(times)-n.members.Quorum()]
}

// Propose appends a command to the leader's log and returns its log index. It returns
// ErrNotLeader or ErrTooManyUncommitted.
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
	n.applyMembership(e)
	n.hasUnsent = true
	return e.Index
}

// replicate sends appended entries to the other members. It runs once for each Ready, so that
// entries proposed together are sent in one message.
func (n *Node) replicate() {
	if !n.hasUnsent || n.role != Leader {
		return
	}
	n.hasUnsent = false
	for _, id := range n.others() {
		n.sendAppend(id)
	}
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.mustSave() || n.pendingSnapshot != nil || len(n.messages) > 0 ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit
}

// mustSave reports whether the hard state must be saved. A change of the commit index alone need
// not be durable, since the leader sends it again. It is saved together with entries, so that a
// log that lost committed entries can be detected.
func (n *Node) mustSave() bool {
	return n.hard.Term != n.saved.Term || n.hard.Vote != n.saved.Vote || n.hard.LedTerm != n.saved.LedTerm
}

// Ready returns the pending work. The caller must do it and call Advance before any other method.
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

// Advance marks the work of r as done.
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

// Compact drops entries that s covers, which must be durable. It returns the index of the last
// entry that was dropped.
func (n *Node) Compact(s *Snapshot) uint64 {
	n.snapshot = s
	n.log.compact(min(n.log.before(s.Index, compactionSlack, compactionSlackBytes), n.log.applied))
	return n.log.offset
}

// MembershipAt returns the membership in force at an applied index, for a snapshot.
func (n *Node) MembershipAt(index uint64) Membership {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members.Clone()
		}
	}
	return n.memberships[0].members.Clone()
}

// Term returns the term of the entry at index, or 0 if the log does not have it.
func (n *Node) Term(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	s := Status{ID: n.config.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.log.commit,
		Applied: n.log.applied, LastIndex: n.log.last(), FirstIndex: n.log.offset + 1, Membership: n.members.Clone()}
	if n.role == Leader {
		s.Match = map[uint64]uint64{}
		s.SinceContact = map[uint64]ElapsedSeconds{}
		for id, p := range n.progress {
			s.Match[id] = p.match
			s.SinceContact[id] = ElapsedSeconds((n.now - p.active).Seconds())
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

// Role returns the node's role in the current term.
func (n *Node) Role() Role { return n.role }

// Stable returns the durable entries that were not compacted.
func (n *Node) Stable() []Entry {
	return n.log.upTo(n.log.offset, n.log.stable)
}
