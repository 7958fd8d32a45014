// Package raft is the consensus core of the control group: leader election
// with pre-vote and quorum check, log replication, a leader lease, learners,
// single-server membership change and snapshots.
//
// The core is free of I/O. The caller drives a Node with Tick, Step and
// Propose, takes the work from Ready, makes it durable, sends the messages and
// calls Advance. Time is an argument: a reading of the caller's own monotonic
// clock, which must go on while the process is stopped.
//
// A Node is not safe for concurrent use.
package raft

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that Propose and ProposeChange return. In each case nothing was
// appended.
var (
	// ErrNotLeader is returned by a node that is not the leader.
	ErrNotLeader = errors.New("this node is not the leader")
	// ErrChangePending is returned while an earlier membership change is not
	// committed, or the leader has not committed an entry of its own term.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrNotCaughtUp is returned when a learner is promoted too early.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember is returned for a change to a member that is not there.
	ErrUnknownMember = errors.New("no such member")
	// ErrLastVoter is returned when the last voter would be removed.
	ErrLastVoter = errors.New("the last voter cannot be removed")
	// ErrTooManyUncommitted is returned when too many entries wait for commitment.
	ErrTooManyUncommitted = errors.New("too many entries wait for commitment")
)

// EntryKind tells what an entry's data is.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = "command"
	// EntryNoOp is what a new leader appends to commit earlier terms.
	EntryNoOp EntryKind = "noop"
	// EntryMembership holds a Membership, in force from when it is appended.
	EntryMembership EntryKind = "membership"
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64          `json:"index"`
	Term  uint64          `json:"term"`
	Kind  EntryKind       `json:"kind"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// HardState is what a node must never forget. It is durable before any message
// that depends on it leaves.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   uint64 `json:"vote"`
	Commit uint64 `json:"commit"`
	// LedTerm is the last term that the node led. A vote for itself would not do in
	// its place: another may have won that term.
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

// IsVoter tells whether the member votes.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner tells whether the member follows the log without a vote.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// Members returns voters and learners.
func (m Membership) Members() []uint64 {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// Quorum is the smallest number of voters that is a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// ChangeKind names a membership change.
type ChangeKind string

// The membership changes.
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

// MessageType names a message between members.
type MessageType string

// The messages between members.
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
	// MessageTimeoutNow tells the receiver to start an election at once, for a
	// planned hand-over.
	MessageTimeoutNow MessageType = "timeout-now"
)

// Message is what members send each other. Which fields are set depends on
// the type.
type Message struct {
	Type MessageType `json:"type"`
	From uint64      `json:"from"`
	To   uint64      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm name the entry before Entries, a candidate's last
	// entry, or the last entry that an append reply matches.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint is the follower's last index in a rejected append reply.
	Hint uint64 `json:"hint,omitempty"`
	// SentAt is the leader's clock when it sent a heartbeat or append. Replies
	// echo it. Only the leader that set it reads it.
	SentAt time.Duration `json:"sent,omitempty"`
	// Transfer says that no lease is running that the voter must mind: the
	// leader hands over, or it is the candidate itself after a new start.
	Transfer bool      `json:"transfer,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Role is a node's part in the present term.
type Role string

// The roles of a node.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Ready is work for the caller, to be done in this order: make HardState,
// Snapshot and Entries durable; send Messages; apply Snapshot and Committed;
// call Advance.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot is nil unless one was received and replaces the log.
	Snapshot *Snapshot
	// Entries are to be appended. They replace stored entries of the same or a
	// higher index.
	Entries []Entry
	// Committed are to be applied, in order.
	Committed []Entry
	Messages  []Message
}

// Status is a view of a node for people and metrics.
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

// ElapsedSeconds is a time since an event, in seconds in JSON.
type ElapsedSeconds float64
