// Package coordapi defines the messages that diskless routers, back-end adapters and
// coordinators exchange. Package peer sends them as JSON lines.
package coordapi

import (
	"encoding/json"
	"time"

	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/isolation"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// Kinds of calls between processes.
const (
	// KindRaft carries a Consensus and has no reply.
	KindRaft = "raft"
	// KindCall carries a Request, and its reply is a Reply.
	KindCall = "call"
)

// Consensus is a Raft message with the peer address of its sender, to which a node that has just
// joined replies.
type Consensus struct {
	Sender  string       `json:"sender"`
	Message raft.Message `json:"message"`
}

// Request is a call to the leader of the coordinators. Exactly one field is set.
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
	Await           *Await             `json:"await,omitempty"`
	Claim           *Claim             `json:"claim,omitempty"`
	Repeat          *Repeat            `json:"repeat,omitempty"`
	ListLimits      *ListLimits        `json:"list_limits,omitempty"`
	Relays          *Relays            `json:"relays,omitempty"`
	Block           *state.Block       `json:"block,omitempty"`
	Unblock         *state.Unblock     `json:"unblock,omitempty"`
	RecordStreams   *RecordStreams     `json:"record_streams,omitempty"`
	FindStream      *FindStream        `json:"find_stream,omitempty"`
}

// Reply is the reply to a Request.
type Reply struct {
	// NotLeader is true if this node does not lead and ignored the request. Leader is then the
	// peer address of the leader, empty if unknown.
	NotLeader bool   `json:"not_leader,omitempty"`
	Leader    string `json:"leader,omitempty"`
	// Backends is the number of back ends that a node which does not lead has in its state.
	Backends int `json:"backends,omitempty"`
	// Document is the reply to Read, and View the reply to Watch.
	Document json.RawMessage `json:"document,omitempty"`
	View     *View           `json:"view,omitempty"`
	// Placed is the reply to Place, and Claimed the reply to Claim.
	Placed  *Placed  `json:"placed,omitempty"`
	Claimed *Claimed `json:"claimed,omitempty"`
	// Awaited is the reply to Await.
	Awaited *Awaited `json:"awaited,omitempty"`
	// Repeated is the reply to Repeat.
	Repeated *Repeated `json:"repeated,omitempty"`
	// Limits is the reply to ListLimits.
	Limits *LimitsInForce `json:"limits,omitempty"`
	// Relays is the reply to Relays.
	Relays *RelayList `json:"relays,omitempty"`
	// Stream is the reply to FindStream.
	Stream *FoundStream `json:"stream,omitempty"`
}

// Find requests the leader's address, unless the node itself is the leader.
type Find struct{}

// Watch requests the changes since a revision. The leader replies when there are some, or after
// Wait without any.
type Watch struct {
	Router string `json:"router"`
	// Since is the revision of the last View, 0 for none.
	Since uint64 `json:"since"`
	// Leader is View.Leader of the last View.
	Leader LeaderToken `json:"leader,omitempty"`
	// SavedSince is View.SavedUntil of the last View.
	SavedSince uint64 `json:"saved_since,omitempty"`
	// Announced is View.Announced of the last View.
	Announced uint64 `json:"announced,omitempty"`
	// Shards is View.Shard.Count of the last View.
	Shards int `json:"shards,omitempty"`
	// Level is the format level of the router's build, 0 from builds that do not send it.
	Level int           `json:"level,omitempty"`
	Wait  time.Duration `json:"wait"`
}

// View contains the changes since a Watch's revision. The leader holds its lease when it makes a
// View, so that the View includes all changes acknowledged before.
type View struct {
	Revision uint64 `json:"revision"`
	// Leader is the token of Notes and changes with them.
	Leader LeaderToken `json:"leader,omitempty"`
	// Version is the version of the current configuration. Document is set if it changed since
	// the revision.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	// PackedDocument replaces a large Document, packed.
	PackedDocument []byte `json:"packed_document,omitempty"`
	// PromptScope is the scope of the cached prompts that tenants of the current configuration share, nil
	// if the leader does not know it.
	PromptScope *isolation.Scope `json:"prompt_scope,omitempty"`
	// Shard is the part of the engines that the router receives. It drops all others.
	Shard Shard `json:"shard,omitzero"`
	// Backends are the changed rows, and Departed the IDs of the removed ones.
	Backends []state.Backend `json:"backends,omitempty"`
	Departed []string        `json:"departed,omitempty"`
	// PackedBackends replaces many Backends: a packed []state.Backend.
	PackedBackends []byte `json:"packed_backends,omitempty"`
	// Packed replaces Document, Backends and Departed if the history no longer reaches back to
	// the revision: a packed FullView.
	Packed []byte `json:"packed,omitempty"`
	// Blocked is set if the blocked requests changed since the revision.
	Blocked *Blocked `json:"blocked,omitempty"`
	// Notes is set if Leader differs from the token in the Watch.
	Notes
	// Routers is the number of routers that share the retry budget.
	Routers int `json:"routers"`
	// Saved are the prompt parts that routers saved to the store after SavedSince, in order.
	// SavedUntil is the SavedSince of the next Watch.
	Saved      []uint64 `json:"saved,omitempty"`
	SavedUntil uint64   `json:"saved_until,omitempty"`
	// Loads is the combined load of all routers, set if Announced differs from that of the
	// Watch.
	Loads []Load `json:"loads,omitempty"`
	// PackedLoads replaces many Loads: a packed []Load.
	PackedLoads []byte `json:"packed_loads,omitempty"`
	// EngineLoads reports whether the loads include engines. Most announcements leave them out,
	// since the leader places the requests for engines.
	EngineLoads bool `json:"engine_loads,omitempty"`
	// LoadsAge is the mean age of the loads when the View was made.
	LoadsAge time.Duration `json:"loads_age,omitempty"`
	// Shares are the shares of the tenants whose demand exceeds their limit.
	Shares []quota.Share `json:"shares,omitempty"`
	// FairShares are the parts of the requests to plain back ends that routers admit, for the
	// pools whose demand exceeds their capacity. They belong to Announced.
	FairShares []fairshare.Share `json:"fair_shares,omitempty"`
	// Announced counts the leader's announcements of Saved and Loads.
	Announced uint64 `json:"announced,omitempty"`
	// Members are the peer addresses of the coordinators, set if they changed since the
	// revision.
	Members []string `json:"members,omitempty"`
}

// Notes is the part of a View that is not replicated: only the leader has it.
type Notes struct {
	// Minimum is the lowest weights version that may serve now, by model.
	Minimum map[string]int `json:"minimum,omitempty"`
	// Expired is the version, by model, below which no request may start any more. Requests for
	// an older one that still wait at an engine are canceled.
	Expired map[string]int `json:"expired,omitempty"`
	// Preferred is the version, by model, below which answers have a reduced value.
	Preferred map[string]int `json:"preferred,omitempty"`
	// Silent are the back ends whose heartbeats are overdue.
	Silent []string `json:"silent,omitempty"`
	// Unresponsive are the engines whose running streams have stopped according to all routers, at
	// most liveness.MaxListed.
	Unresponsive []string `json:"unresponsive,omitempty"`
	// Limited are the back ends that limit their total request rate. Sending a request to one of
	// them requires a permit.
	Limited []BackendID `json:"limited,omitempty"`
	// Suspects are requests, and shared parts of prompts, during which back ends failed, but too few
	// to block them. Routers report when one of them gets a complete answer, or has got one.
	Suspects []poison.Digest `json:"suspects,omitempty"`
	// Trials are the blocks under which the leader lets one request through, to find out whether it ends
	// its back end. Routers ask for it by a Place.
	Trials []poison.Digest `json:"trials,omitempty"`
	// Proposed are blocks that the leader has decided on and that are not in the log yet. Routers keep to
	// them as to those in force.
	Proposed []state.BlockedRequest `json:"proposed,omitempty"`
	// Software describes the pools whose back ends have, or recently had, several software versions.
	Software map[string]SoftwareVersions `json:"software,omitempty"`
	// Rooms is the capacity of each pool with engines, by which routers decide without a leader.
	// It is set in each View that has Loads.
	Rooms map[string]Room `json:"rooms,omitempty"`
}

// Blocked contains all requests that no back end may receive.
type Blocked struct {
	Requests []state.BlockedRequest `json:"requests,omitempty"`
}

// Read requests the current configuration.
type Read struct{}

// BackendID identifies one start of a back end: it differs after a restart, although the back
// end's own name does not.
type BackendID string

// Sequence counts the heartbeats of one start of a back end, from 1. A heartbeat with a lower
// number than the last one is out of date.
type Sequence uint64

// Heartbeat is a back end's heartbeat.
type Heartbeat struct {
	// Backend describes the back end. Its ID is the name that the back end uses for itself.
	Backend  state.Backend `json:"backend"`
	Sequence Sequence      `json:"sequence"`
}

// HeartbeatDigest reports to the leader the heartbeats that changed nothing, to which another
// coordinator replied without the leader.
type HeartbeatDigest struct {
	// Sequences maps back ends to the sequence of their last heartbeat.
	Sequences map[BackendID]Sequence `json:"heard,omitempty"`
}

// Leave reports that a back end has stopped, or is about to and takes no new work.
type Leave struct {
	// ID is the name that the back end uses for itself.
	ID string `json:"id"`
	// Born is the back end's start time, 0 if not reported.
	Born state.UnixMilli `json:"born,omitempty"`
}

// Update reports a router's recent work to the leader. It may be lost: the router reports it
// again.
type Update struct {
	Router string `json:"router"`
	// Saved are the prompt parts that the router is saving to the store, so that others do not
	// save them too. A part is identified by a hash of its salt and ID.
	Saved []uint64 `json:"saved,omitempty"`
	// Loads are the requests that the router has in progress.
	Loads []Load `json:"loads,omitempty"`
	// Reports are about placements and engines.
	Reports
	// Refused counts the requests that the router rejected since its last Update because all
	// engines of their pool were overloaded.
	Refused int `json:"refused,omitempty"`
	// Demands is what the router was asked for at pools of plain back ends since its last Update.
	Demands []fairshare.Demand `json:"demands,omitempty"`
}

// Load is the work in progress at a back end.
type Load struct {
	ID string `json:"id"`
	// Running is the number of requests, Memory their maximum memory and Prompt the prompt
	// tokens not processed yet, both in tokens.
	Running int `json:"r,omitempty"`
	Memory  int `json:"m,omitempty"`
	Prompt  int `json:"p,omitempty"`
	// Engine reports whether the back end is a model engine.
	Engine bool `json:"e,omitempty"`
}

// Join asks the leader to add a coordinator to the group.
type Join struct {
	Change raft.Change `json:"change"`
}
