// Package raft implements Raft for the control group: leader election with pre-vote and quorum
// check, log replication, a leader lease, learners, single-server membership changes and
// snapshots.
//
// The package does no I/O. The caller drives a Node with Tick, Step and Propose, takes the work
// from Ready, makes it durable, sends the messages and calls Advance. Time is an argument: a
// reading of the caller's monotonic clock, which must advance while the process or the machine
// is suspended.
//
// A Node is not safe for concurrent use.
package raft

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Propose, ProposeChange and TransferLeadership. Nothing was appended in each case.
var (
	// ErrNotLeader is returned by a node that is not the leader.
	ErrNotLeader = errors.New("this node is not the leader")
	// ErrChangePending is returned while an earlier membership change is not
	// committed, or the leader has not committed an entry of its own term.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrNotCaughtUp is returned when a learner is promoted too early.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember is returned if the ID is not that of a member of the required kind.
	ErrUnknownMember = errors.New("no such member")
	// ErrLastVoter is returned when the last voter would be removed.
	ErrLastVoter = errors.New("the last voter cannot be removed")
	// ErrTooManyUncommitted is returned while too many entries are uncommitted.
	ErrTooManyUncommitted = errors.New("too many entries wait for commitment")
)

// EntryKind is the kind of an entry's data.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = "command"
	// EntryNoOp has no data. A new leader appends it to commit entries of earlier terms.
	EntryNoOp EntryKind = "noop"
	// EntryMembership holds a Membership, which is in force as soon as it is appended.
	EntryMembership EntryKind = "membership"
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64          `json:"index"`
	Term  uint64          `json:"term"`
	Kind  EntryKind       `json:"kind"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// HardState is the state that a node must not lose. It is made durable before any message that
// depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	// Vote is the member that got the node's vote in Term, 0 for none.
	Vote uint64 `json:"vote"`
	// Commit is the commit index.
	Commit uint64 `json:"commit"`
	// LedTerm is the last term that the node led. A vote for itself does not show that, since
	// another member may have won the term.
	LedTerm uint64 `json:"led,omitempty"`
}

// Membership lists the members of the group.
type Membership struct {
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners,omitempty"`
	// Addresses maps members to their peer addresses.
	Addresses map[uint64]string `json:"addresses,omitempty"`
}

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	out := Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	if m.Addresses != nil {
		out.Addresses = make(map[uint64]string, len(m.Addresses))
		for id, address := range m.Addresses {
			out.Addresses[id] = address
		}
	}
	return out
}

// IsVoter reports whether the member has a vote.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether the member receives the log without a vote.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// Members returns the IDs of voters and learners.
func (m Membership) Members() []uint64 {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// Quorum returns the number of voters that is needed for a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// ChangeKind is the kind of a membership change.
type ChangeKind string

// The kinds of membership changes.
const (
	AddLearner   ChangeKind = "add-learner"
	Promote      ChangeKind = "promote"
	RemoveMember ChangeKind = "remove"
)

// Change is a membership change of one server.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	ID      uint64     `json:"id"`
	Address string     `json:"address,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index      uint64          `json:"index"`
	Term       uint64          `json:"term"`
	Membership Membership      `json:"membership"`
	Data       json.RawMessage `json:"data,omitempty"`
}

// MessageType is the type of a message between members.
type MessageType string

// The types of messages between members.
const (
	MessagePreVote         MessageType = "prevote"
	MessagePreVoteReply    MessageType = "prevote-reply"
	MessageVote            MessageType = "vote"
	MessageVoteReply       MessageType = "vote-reply"
	MessageAppend          MessageType = "append"
	MessageAppendReply     MessageType = "append-reply"
	MessageHeartbeat       MessageType = "heartbeat"
	MessageHeartbeatReply  MessageType = "heartbeat-reply"
	MessageInstallSnapshot MessageType = "snapshot"
	// MessageTimeoutNow requests the receiver to campaign at once, to transfer the leadership.
	MessageTimeoutNow MessageType = "timeout-now"
)

// Message is a message between members. Which fields are set depends on the type.
type Message struct {
	Type MessageType `json:"type"`
	From uint64      `json:"from"`
	To   uint64      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm identify the entry before Entries or a candidate's last entry. In an
	// append reply, Index is the last entry up to which the logs match or, if rejected, that of
	// the request.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint is the follower's last index in a rejected append reply.
	Hint uint64 `json:"hint,omitempty"`
	// SentAt is the leader's clock when it sent a message. Replies repeat it, and only the
	// leader that set it uses it.
	SentAt time.Duration `json:"sent,omitempty"`
	// Transfer is set in a vote request if no lease can be in force: the leader transfers the
	// leadership, or the candidate is the former leader after a restart.
	Transfer bool      `json:"transfer,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Role is a node's role in the current term.
type Role string

// The roles of a node.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Ready is work for the caller, to be done in this order: make HardState, Snapshot and Entries
// durable; send Messages; apply Snapshot and Committed; call Advance.
type Ready struct {
	// HardState is nil if it need not be saved.
	HardState *HardState
	// Snapshot is a received snapshot that replaces the log, or nil.
	Snapshot *Snapshot
	// Entries are to be appended to the stored log. They replace stored entries of the same
	// or a higher index.
	Entries []Entry
	// Committed are the entries to apply, in order.
	Committed []Entry
	Messages  []Message
}

// Status is a view of a node for operators and metrics. Match and SinceContact are set on the
// leader only and are keyed by member ID.
type Status struct {
	ID           uint64                    `json:"id"`
	Role         Role                      `json:"role"`
	Term         uint64                    `json:"term"`
	Leader       uint64                    `json:"leader"`
	Commit       uint64                    `json:"commit"`
	Applied      uint64                    `json:"applied"`
	LastIndex    uint64                    `json:"last"`
	FirstIndex   uint64                    `json:"first"`
	Membership   Membership                `json:"membership"`
	Match        map[uint64]uint64         `json:"match,omitempty"`
	SinceContact map[uint64]ElapsedSeconds `json:"contact,omitempty"`
}

// ElapsedSeconds is the time since an event, in seconds.
type ElapsedSeconds float64
