// Package coordapi holds the messages between routers without a disk, back-end
// adapters and the coordinators of a deployment. They travel as JSON lines by
// package peer.
package coordapi

import (
	"encoding/json"
	"time"

	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// Kinds of calls between processes.
const (
	// KindRaft carries a Consensus and has no reply.
	KindRaft = "raft"
	// KindCall carries a Request and is answered by a Reply.
	KindCall = "call"
)

// Consensus is a consensus message with the peer address of its sender. A node
// that has just joined knows no other way to answer.
type Consensus struct {
	Sender  string       `json:"sender"`
	Message raft.Message `json:"message"`
}

// Request is one call to the leader of the coordinators. Exactly one field is
// set.
type Request struct {
	Find            *Find              `json:"find,omitempty"`
	Watch           *Watch             `json:"watch,omitempty"`
	Configure       *state.Configure   `json:"configure,omitempty"`
	NameWeights     *state.NameWeights `json:"name_weights,omitempty"`
	Read            *Read              `json:"read,omitempty"`
	Heartbeat       *Heartbeat         `json:"beat,omitempty"`
	HeartbeatDigest *HeartbeatDigest   `json:"digest,omitempty"`
	Leave           *Leave             `json:"leave,omitempty"`
	Join            *Join              `json:"join,omitempty"`
	Update          *Update            `json:"tell,omitempty"`
	Place           *Place             `json:"place,omitempty"`
	Claim           *Claim             `json:"claim,omitempty"`
	Repeat          *Repeat            `json:"repeat,omitempty"`
	ListLimits      *ListLimits        `json:"list_limits,omitempty"`
	Unblock         *state.Unblock     `json:"unblock,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	// NotLeader says that nothing was done here. Leader is the peer address of
	// the leader, empty when none is known.
	NotLeader bool   `json:"not_leader,omitempty"`
	Leader    string `json:"leader,omitempty"`
	// Backends is how many back ends a node that does not lead knows of.
	Backends int `json:"backends,omitempty"`
	// Document answers Read.
	Document json.RawMessage `json:"document,omitempty"`
	View     *View           `json:"view,omitempty"`
	// Placed answers Place, and Claimed Claim.
	Placed  *Placed  `json:"placed,omitempty"`
	Claimed *Claimed `json:"claimed,omitempty"`
	// Repeated answers Repeat.
	Repeated *Repeated `json:"repeated,omitempty"`
	// Limits answers ListLimits.
	Limits *LimitsInForce `json:"limits,omitempty"`
}

// Find asks whether the node leads, and if not, who does.
type Find struct{}

// Watch asks for what changed since a revision. The leader holds the call
// until there is news or Wait is over.
type Watch struct {
	Router string `json:"router"`
	// Since is the revision of the last View, 0 for none.
	Since uint64 `json:"since"`
	// Leader is the token of the leader's own knowledge in the last View.
	Leader LeaderToken `json:"leader,omitempty"`
	// SavedSince is View.SavedUntil of the last View.
	SavedSince uint64 `json:"saved_since,omitempty"`
	// Announced is View.Announced of the last View.
	Announced uint64 `json:"announced,omitempty"`
	// Shards is View.Shard.Count of the last View.
	Shards int `json:"shards,omitempty"`
	// Level is that of the watcher's build, 0 before builds named it.
	Level int           `json:"level,omitempty"`
	Wait  time.Duration `json:"wait"`
}

// View is what changed. A leader that holds its lease vouches that nothing
// newer was acknowledged before it made the View.
type View struct {
	Revision uint64 `json:"revision"`
	// Leader changes with Notes.
	Leader LeaderToken `json:"leader,omitempty"`
	// Version is the configuration in force. Document is set when it changed
	// since the watcher's revision.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	// PackedDocument is a packed Document in its place, where it is large.
	PackedDocument []byte `json:"packed_document,omitempty"`
	// Shard says of which engines the watcher is told. It drops the others.
	Shard Shard `json:"shard,omitzero"`
	// Backends are the changed rows and Departed the removed ones.
	Backends []state.Backend `json:"backends,omitempty"`
	Departed []string        `json:"departed,omitempty"`
	// PackedBackends is a packed []state.Backend in place of Backends, where there are
	// many.
	PackedBackends []byte `json:"packed_backends,omitempty"`
	// Packed is a packed Whole, in place of Document, Backends and Departed, for
	// a watcher whose revision is too old for changes.
	Packed []byte `json:"packed,omitempty"`
	// Blocked is set when the blocked requests changed since the watcher's revision.
	Blocked *Blocked `json:"blocked,omitempty"`
	// Notes is set when Leader is not the token that the watcher named.
	Notes
	// Routers is how many routers share the retry budget.
	Routers int `json:"routers"`
	// Saved are prompt parts that routers have saved to the store since the
	// watcher's SavedSince, in order; SavedUntil counts them.
	Saved      []uint64 `json:"saved,omitempty"`
	SavedUntil uint64   `json:"saved_until,omitempty"`
	// Loads is the work of all routers together, set when Announced is not the
	// number that the watcher named.
	Loads []Load `json:"loads,omitempty"`
	// PackedLoads is a packed []Load in place of Loads, where there are many.
	PackedLoads []byte `json:"packed_loads,omitempty"`
	// EngineLoads says that engines are among them. Most announcements leave them out:
	// the leader places what engines get.
	EngineLoads bool `json:"engine_loads,omitempty"`
	// LoadsAge is how old the loads are in the mean, as of the View.
	LoadsAge time.Duration `json:"loads_age,omitempty"`
	// Shares are the tenants whose demand is above their limit.
	Shares []quota.Share `json:"shares,omitempty"`
	// Announced counts the leader's announcements of Saved and Loads.
	Announced uint64 `json:"announced,omitempty"`
	// Members are the peer addresses of the coordinators, set when they changed since the
	// watcher's revision.
	Members []string `json:"members,omitempty"`
}

// Notes is what only the leader knows.
type Notes struct {
	// Minimum maps models to the lowest weights version that may serve now.
	Minimum map[string]int `json:"minimum,omitempty"`
	// Expired maps models to the version below which no request may begin any
	// more: one that waits at an engine is given up.
	Expired map[string]int `json:"expired,omitempty"`
	// Preferred maps models to the version below which answers lose a part of
	// their worth.
	Preferred map[string]int `json:"preferred,omitempty"`
	// Unresponsive are back ends that sent no heartbeat for a while.
	Unresponsive []string `json:"silent,omitempty"`
	// Limited are back ends that take only so many requests a second from all machines: who
	// sends them one needs a right.
	Limited []BackendID `json:"limited,omitempty"`
	// Suspects are requests under which back ends have ended, though not enough to block
	// them: routers tell of whole answers to them.
	Suspects []poison.Digest `json:"suspects,omitempty"`
}

// Blocked are all requests that are kept from back ends.
type Blocked struct {
	Requests []state.BlockedRequest `json:"requests,omitempty"`
}

// Read asks for the configuration in force.
type Read struct{}

// BackendID names one start of a back end. A new start has a new one, also if the back end
// names itself as before.
type BackendID string

// Sequence counts the heartbeats of one start of a back end, from 1. A heartbeat
// with a lower one is late.
type Sequence uint64

// Heartbeat is a back end's heartbeat.
type Heartbeat struct {
	// Backend has the name that the back end gives itself as its ID.
	Backend  state.Backend `json:"backend"`
	Sequence Sequence      `json:"sequence"`
}

// HeartbeatDigest brings the leader the heartbeats that another coordinator answered by
// itself, since they changed nothing.
type HeartbeatDigest struct {
	// Sequences maps back ends to the sequence of their last heartbeat.
	Sequences map[BackendID]Sequence `json:"heard,omitempty"`
}

// Leave says that a back end is gone or about to be: no new work.
type Leave struct {
	// ID is how the back end names itself.
	ID string `json:"id"`
	// Born is when it started, 0 if it does not say.
	Born state.UnixMilli `json:"born,omitempty"`
}

// Update brings the leader what a router has done lately. It is a hint: what is
// lost is told again.
type Update struct {
	Router string `json:"router"`
	// Saved are prompt parts that the router is saving to the store, so that
	// the others need not. A part is named by a hash of its salt and ID.
	Saved []uint64 `json:"saved,omitempty"`
	// Loads is all work that the router has under way.
	Loads []Load `json:"loads,omitempty"`
	// Reports are of placements and engines.
	Reports
	// Refused counts the requests refused since the last word because all
	// engines of their pool were behind.
	Refused int `json:"refused,omitempty"`
}

// Load is work under way at a back end.
type Load struct {
	ID string `json:"id"`
	// Running counts requests, Memory is what they take at most and Prompt what
	// is not read yet, in tokens.
	Running int `json:"r,omitempty"`
	Memory  int `json:"m,omitempty"`
	Prompt  int `json:"p,omitempty"`
	// Engine says that the back end is a model engine.
	Engine bool `json:"e,omitempty"`
}

// Join asks for a coordinator to become a member of the group.
type Join struct {
	Change raft.Change `json:"change"`
}
