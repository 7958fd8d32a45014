// Package controlapi holds the messages between routers, control nodes and
// operators. They travel as JSON lines (package peer).
package controlapi

import (
	"encoding/json"
	"time"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// Kinds of calls. The comment names who serves them.
const (
	KindRaft      = "raft"     // control: consensus messages, one way
	KindLease     = "lease"    // control leader: router leases and bundles
	KindView      = "view"     // any control node: machines and their load
	KindSubmit    = "submit"   // control leader: a state machine command
	KindStatus    = "status"   // any control node
	KindChange    = "change"   // control leader: control group membership
	KindTransfer  = "transfer" // control leader: hand over leadership
	KindPeerLease = "hold"     // router: another router lost its lease
	KindTrace     = "trace"    // router: the trace of one request
)

// BundleID names a bundle by version and digest.
type BundleID struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Offer carries a bundle, as a delta to one that the receiver has or whole.
type Offer struct {
	BundleID BundleID `json:"stamp"`
	// Stage is the log index of the staging.
	Stage uint64 `json:"stage"`
	// Base is the digest that Delta builds on. It is empty when Whole is set.
	Base  string          `json:"base,omitempty"`
	Delta json.RawMessage `json:"delta,omitempty"`
	Full  json.RawMessage `json:"whole,omitempty"`
}

// LeaseRequest renews a router's lease.
type LeaseRequest struct {
	Router state.Router `json:"router"`
	// InForce is the bundle that the router serves by.
	InForce BundleID `json:"in_force"`
	// Staged is the latest staged bundle that the router has durable.
	Staged BundleID `json:"staged"`
	// Stage is the log index of that staging, or 0.
	Stage uint64 `json:"stage"`
	// Registry is the version of the registry that the router has durable.
	Registry uint64 `json:"registry,omitempty"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	// Leading says that the answering node is the leader.
	Leading bool `json:"leading,omitempty"`
	// Granted says that the lease runs for Duration from when the request was
	// sent, by the router's clock.
	Granted  bool          `json:"granted"`
	Duration time.Duration `json:"duration,omitempty"`
	// Leader is the peer address of the leader, where this node is not it and
	// knows.
	Leader string `json:"leader,omitempty"`
	// Accepted is the stamp of the bundle in force for all.
	Accepted BundleID `json:"accepted"`
	// Offers are bundles that the router lacks, oldest first.
	Offers []Offer `json:"offers,omitempty"`
	// Registry is sent when the router's is out of date.
	Registry *state.Registry `json:"registry,omitempty"`
}

// PeerLeaseRequest asks another router whether it has lost its lease, as the sender
// has.
type PeerLeaseRequest struct {
	Router string `json:"router"`
	// Want asks for the bundle of this stamp. It goes to one router at a time,
	// or all would send a large bundle at once.
	Want BundleID `json:"want"`
	// Registry is the version of the registry that the sender has.
	Registry uint64 `json:"registry"`
}

// PeerLeaseReply answers a PeerLeaseRequest.
type PeerLeaseReply struct {
	// Leased says that the receiver has a lease: the fault is the sender's
	// alone.
	Leased bool `json:"leased,omitempty"`
	// Newest is the highest bundle, staged or in force, that the receiver has.
	Newest BundleID `json:"newest"`
	// Offer carries it when it was asked for.
	Offer *Offer `json:"offer,omitempty"`
	// Registry is sent when the sender's is older.
	Registry *state.Registry `json:"registry,omitempty"`
}

// MachineRole is the role of a machine on the platform's list.
type MachineRole string

// The roles of machines.
const (
	RoleEngine      MachineRole = "engine"
	RoleApplication MachineRole = "application"
)

// Machine is one back end as control sees it.
type Machine struct {
	ID      string      `json:"id"`
	Role    MachineRole `json:"role"`
	Address string      `json:"address"`
	Region  string      `json:"region"`
	Zone    string      `json:"zone"`
	// Leaving says that the machine is about to stop, by the platform's list
	// or by its own word.
	Leaving        bool   `json:"leaving,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Model          string `json:"model,omitempty"`
	WeightsVersion int    `json:"weights_version,omitempty"`
	DecodeSlots    int    `json:"decode_slots,omitempty"`
}

// ViewRequest asks for machines and load.
type ViewRequest struct {
	// Revision is the machine list that the router has. It belongs to the
	// control node named by Source.
	Revision uint64 `json:"revision"`
	Source   string `json:"source,omitempty"`
	// AfterChange is the last change of chain heads that the router has, or 0.
	AfterChange uint64 `json:"after_change,omitempty"`
}

// HeadKind says how an engine's chain heads changed.
type HeadKind int

// The changes of chain heads.
const (
	HeadAdded HeadKind = iota
	HeadRemoved
	// HeadsCleared drops all heads of the engine.
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
	// Machines is the whole list when the router's is out of date.
	Machines []Machine `json:"machines,omitempty"`
	// Watched names the zones whose engines the control node asks for load;
	// empty means all. It comes with Machines.
	Watched []string `json:"watched,omitempty"`
	// Load has one row for each machine in a watched zone, in the list's order.
	Load []LoadRow `json:"load"`
	// LastChange numbers the last of Heads. WholeHeads says that they are all
	// heads, not changes.
	LastChange uint64       `json:"last_change,omitempty"`
	FullHeads  bool         `json:"whole_heads,omitempty"`
	Heads      []HeadChange `json:"heads,omitempty"`
}

// LoadRow is the load of one engine: running and waiting sequences, waiting
// prompt tokens, and the age of the report in milliseconds. It is an array on
// the wire to keep the message small.
type LoadRow [4]int

// Columns of a LoadRow.
const (
	LoadRunning = iota
	LoadWaiting
	LoadPrefillTokens
	LoadAge
)

// SubmitRequest asks the leader to run a command.
type SubmitRequest struct {
	Command state.Command `json:"command"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	Result state.Result `json:"result"`
	// Leader is set when this node is not the leader. Nothing was run.
	Leader    string `json:"leader,omitempty"`
	NotLeader bool   `json:"not_leader,omitempty"`
}

// ChangeRequest asks for a change of the control group.
type ChangeRequest struct {
	Change raft.Change `json:"change"`
}

// TransferRequest asks the leader to hand over.
type TransferRequest struct {
	To uint64 `json:"to"`
}

// Acknowledgement answers a change or a transfer.
type Acknowledgement struct {
	OK        bool   `json:"ok"`
	Message   string `json:"message,omitempty"`
	Leader    string `json:"leader,omitempty"`
	NotLeader bool   `json:"not_leader,omitempty"`
}

// RouterStatus is what the leader knows of one router.
type RouterStatus struct {
	Router state.Router `json:"router"`
	// Joining says that the router does not count yet.
	Joining bool `json:"joining,omitempty"`
	// Leased says that the router holds a lease, as far as the leader knows.
	Leased  bool     `json:"leased"`
	InForce BundleID `json:"in_force"`
	Stage   uint64   `json:"stage"`
	// HeartbeatAge is how long ago the router last spoke, in seconds; -1 for never.
	HeartbeatAge float64 `json:"heard"`
}

// StatusRequest asks a control node about itself.
type StatusRequest struct {
	// Digest asks for the digest of the whole state, which is costly.
	Digest bool `json:"digest,omitempty"`
	// Head asks for the text of the bundle in force.
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
	// Routers is filled by the leader only.
	Routers  []RouterStatus `json:"places,omitempty"`
	Machines []Machine      `json:"machines,omitempty"`
	Claims   int            `json:"claims"`
	// Head is the canonical text of the bundle in force, if it was asked for.
	Head json.RawMessage `json:"head,omitempty"`
}

// TraceRequest asks a router for the trace of one request.
type TraceRequest struct {
	RequestID string `json:"request_id"`
}
