// Package controlapi defines the messages between routers, control nodes and operators. They
// are sent as JSON lines by package peer.
package controlapi

import (
	"encoding/json"
	"time"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// Kinds of calls, with the process that serves each.
const (
	KindRaft      = "raft"     // control node: Raft messages, without reply
	KindLease     = "lease"    // control leader: leases of routers, and bundles
	KindView      = "view"     // any control node: machine list and load
	KindSubmit    = "submit"   // control leader: command of the state machine
	KindStatus    = "status"   // any control node
	KindChange    = "change"   // control leader: membership of the control group
	KindTransfer  = "transfer" // control leader: transfer of leadership
	KindPeerLease = "hold"     // router: whether it holds a lease
	KindTrace     = "trace"    // router: trace of one request
)

// BundleID identifies a bundle by its version and digest.
type BundleID struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Offer carries a bundle, either in full or as a delta to a bundle that the receiver has.
type Offer struct {
	BundleID BundleID `json:"stamp"`
	// Stage is the log index at which the bundle was staged.
	Stage uint64 `json:"stage"`
	// Base is the digest of the bundle that Delta applies to. It is empty if Full is set.
	Base  string          `json:"base,omitempty"`
	Delta json.RawMessage `json:"delta,omitempty"`
	Full  json.RawMessage `json:"whole,omitempty"`
}

// LeaseRequest is a router's heartbeat, which renews its lease.
type LeaseRequest struct {
	Router state.Router `json:"router"`
	// InForce is the bundle that the router serves.
	InForce BundleID `json:"in_force"`
	// Staged is the latest staged bundle that the router has stored.
	Staged BundleID `json:"staged"`
	// Stage is the log index at which Staged was staged, or 0.
	Stage uint64 `json:"stage"`
	// Registry is the version of the registry that the router has stored.
	Registry uint64 `json:"registry,omitempty"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	// Leading reports whether the replying node is the leader.
	Leading bool `json:"leading,omitempty"`
	// Granted reports whether the router has a lease. It lasts for Duration from the time the
	// request was sent, by the router's clock.
	Granted  bool          `json:"granted"`
	Duration time.Duration `json:"duration,omitempty"`
	// Leader is the peer address of the leader, if that is another node and known.
	Leader string `json:"leader,omitempty"`
	// Accepted identifies the bundle in force in the whole deployment.
	Accepted BundleID `json:"accepted"`
	// Offers holds the bundles that the router lacks, oldest first.
	Offers []Offer `json:"offers,omitempty"`
	// Registry is set if the router's registry is out of date.
	Registry *state.Registry `json:"registry,omitempty"`
}

// PeerLeaseRequest is sent by a router without a lease to ask another router whether it has
// one.
type PeerLeaseRequest struct {
	Router string `json:"router"`
	// Want requests the bundle with this ID. It is set for one peer only, so that a large
	// bundle is sent once.
	Want BundleID `json:"want"`
	// Registry is the version of the registry that the sender has stored.
	Registry uint64 `json:"registry"`
}

// PeerLeaseReply answers a PeerLeaseRequest.
type PeerLeaseReply struct {
	// Leased reports whether the replying router has a lease. If so, only the sender has lost
	// control.
	Leased bool `json:"leased,omitempty"`
	// Newest identifies the bundle of the highest version, staged or in force, that the
	// replying router has.
	Newest BundleID `json:"newest"`
	// Offer carries the newest bundle if the request wanted it.
	Offer *Offer `json:"offer,omitempty"`
	// Registry is set if the sender's registry is out of date.
	Registry *state.Registry `json:"registry,omitempty"`
}

// MachineRole is the role of a machine in the platform's list.
type MachineRole string

// Roles of machines.
const (
	RoleEngine      MachineRole = "engine"
	RoleApplication MachineRole = "application"
)

// Machine describes one back end as known to control.
type Machine struct {
	ID      string      `json:"id"`
	Role    MachineRole `json:"role"`
	Address string      `json:"address"`
	Region  string      `json:"region"`
	Zone    string      `json:"zone"`
	// Leaving reports whether the machine is about to stop, according to the platform's list
	// or to the machine itself.
	Leaving        bool   `json:"leaving,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Model          string `json:"model,omitempty"`
	WeightsVersion int    `json:"weights_version,omitempty"`
	DecodeSlots    int    `json:"decode_slots,omitempty"`
}

// ViewRequest requests the machine list and the load of the engines.
type ViewRequest struct {
	// Revision is the revision of the machine list that the router has. It is valid only for
	// the control node named by Source.
	Revision uint64 `json:"revision"`
	Source   string `json:"source,omitempty"`
	// AfterChange is the number of the last change of chain heads that the router has, or 0.
	AfterChange uint64 `json:"after_change,omitempty"`
}

// HeadKind is the kind of a HeadChange.
type HeadKind int

// Kinds of changes of chain heads.
const (
	HeadAdded HeadKind = iota
	HeadRemoved
	// HeadsCleared removes all heads of the engine.
	HeadsCleared
)

// HeadChange is one change of the chain heads that an engine holds.
type HeadChange struct {
	Engine string   `json:"e"`
	Kind   HeadKind `json:"k,omitempty"`
	Head   uint64   `json:"h,omitempty"`
}

// ViewReply answers a ViewRequest.
type ViewReply struct {
	Revision uint64 `json:"revision"`
	Source   string `json:"source"`
	// Machines is the full list. It is set if the router's list is out of date.
	Machines []Machine `json:"machines,omitempty"`
	// Watched names the zones whose engines the control node polls for load; empty means all.
	// It is set together with Machines.
	Watched []string `json:"watched,omitempty"`
	// Load has one row per machine in a watched zone, in the order of the list.
	Load []LoadRow `json:"load"`
	// LastChange is the number of the last entry of Heads. FullHeads reports whether Heads is
	// the full list and not a list of changes.
	LastChange uint64       `json:"last_change,omitempty"`
	FullHeads  bool         `json:"whole_heads,omitempty"`
	Heads      []HeadChange `json:"heads,omitempty"`
}

// LoadRow is the load of one engine: running and waiting sequences, waiting prompt tokens, and
// the age of the report in milliseconds. It is an array to keep the encoded message small.
type LoadRow [4]int

// Columns of a LoadRow.
const (
	LoadRunning = iota
	LoadWaiting
	LoadPrefillTokens
	LoadAge
)

// SubmitRequest asks the leader to commit and run a command.
type SubmitRequest struct {
	Command state.Command `json:"command"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	Result state.Result `json:"result"`
	// Leader is the address of the leader. It is set only with NotLeader, which means that the
	// command was not run.
	Leader    string `json:"leader,omitempty"`
	NotLeader bool   `json:"not_leader,omitempty"`
}

// ChangeRequest requests a membership change of the control group.
type ChangeRequest struct {
	Change raft.Change `json:"change"`
}

// TransferRequest asks the leader to transfer leadership.
type TransferRequest struct {
	To uint64 `json:"to"`
}

// Acknowledgement answers a ChangeRequest or TransferRequest.
type Acknowledgement struct {
	OK        bool   `json:"ok"`
	Message   string `json:"message,omitempty"`
	Leader    string `json:"leader,omitempty"`
	NotLeader bool   `json:"not_leader,omitempty"`
}

// RouterStatus is the leader's view of one router.
type RouterStatus struct {
	Router state.Router `json:"router"`
	// Joining reports whether the router is registered but not yet counted in majorities.
	Joining bool `json:"joining,omitempty"`
	// Leased reports whether the router's lease is valid by the leader's clock.
	Leased  bool     `json:"leased"`
	InForce BundleID `json:"in_force"`
	Stage   uint64   `json:"stage"`
	// HeartbeatAge is the time since the last heartbeat in seconds, or -1 if there was none.
	HeartbeatAge float64 `json:"heard"`
}

// StatusRequest requests the status of a control node.
type StatusRequest struct {
	// Digest requests the digest of the whole state, which is expensive to compute.
	Digest bool `json:"digest,omitempty"`
	// Head requests the text of the bundle in force.
	Head bool `json:"head,omitempty"`
}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Raft        raft.Status     `json:"raft"`
	HoldsLease  bool            `json:"holds_lease"`
	StateDigest string          `json:"state_digest,omitempty"`
	Accepted    BundleID        `json:"accepted"`
	Pending     *BundleID       `json:"pending,omitempty"`
	SignedBy    []string        `json:"signed,omitempty"`
	Staged      bool            `json:"staged,omitempty"`
	History     []state.Version `json:"history,omitempty"`
	// Routers is set by the leader only.
	Routers  []RouterStatus `json:"places,omitempty"`
	Machines []Machine      `json:"machines,omitempty"`
	Claims   int            `json:"claims"`
	// Head is the canonical text of the bundle in force, if requested.
	Head json.RawMessage `json:"head,omitempty"`
}

// TraceRequest requests the trace of one request from a router.
type TraceRequest struct {
	RequestID string `json:"request_id"`
}
