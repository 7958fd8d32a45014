// Package coordapi holds the messages between routers without a disk, back-end
// adapters and the coordinators of a deployment. They travel as JSON lines by
// package peer.
package coordapi

import (
	"encoding/json"
	"time"

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
	Find        *Find              `json:"find,omitempty"`
	Watch       *Watch             `json:"watch,omitempty"`
	Configure   *state.Configure   `json:"configure,omitempty"`
	NameWeights *state.NameWeights `json:"name_weights,omitempty"`
	Read        *Read              `json:"read,omitempty"`
	Beat        *Beat              `json:"beat,omitempty"`
	Digest      *Digest            `json:"digest,omitempty"`
	Leave       *Leave             `json:"leave,omitempty"`
	Join        *Join              `json:"join,omitempty"`
	Tell        *Tell              `json:"tell,omitempty"`
	Place       *Place             `json:"place,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	// NotLeader says that nothing was done here. Leader is the peer address of
	// the leader, empty when none is known.
	NotLeader bool   `json:"not_leader,omitempty"`
	Leader    string `json:"leader,omitempty"`
	// Document answers Read.
	Document json.RawMessage `json:"document,omitempty"`
	View     *View           `json:"view,omitempty"`
	// Placed answers Place.
	Placed *Placed `json:"placed,omitempty"`
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
	Leader string `json:"leader,omitempty"`
	// SavedSince is View.SavedUntil of the last View.
	SavedSince uint64 `json:"saved_since,omitempty"`
	// Announced is View.Announced of the last View.
	Announced uint64        `json:"announced,omitempty"`
	Wait      time.Duration `json:"wait"`
}

// View is what changed. A leader that holds its lease vouches that nothing
// newer was acknowledged before it made the View.
type View struct {
	Revision uint64 `json:"revision"`
	// Leader changes with Notes.
	Leader string `json:"leader,omitempty"`
	// Version is the configuration in force. Document is set when it changed
	// since the watcher's revision.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document,omitempty"`
	// Backends are the changed rows and Departed the removed ones.
	Backends []state.Backend `json:"backends,omitempty"`
	Departed []string        `json:"departed,omitempty"`
	// PackedBackends is a packed []state.Backend in place of Backends, where there are
	// many.
	PackedBackends []byte `json:"packed_backends,omitempty"`
	// Packed is a packed Whole, in place of Document, Backends and Departed, for
	// a watcher whose revision is too old for changes.
	Packed []byte `json:"packed,omitempty"`
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
	// Members are the peer addresses of the coordinators.
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
	// Silent are back ends that sent no heartbeat for a while.
	Silent []string `json:"silent,omitempty"`
}

// Read asks for the configuration in force.
type Read struct{}

// BackendID names one start of a back end. A new start has a new one.
type BackendID string

// Sequence counts the heartbeats of one start of a back end, from 1. A heartbeat
// with a lower one is late.
type Sequence uint64

// Beat is a back end's heartbeat.
type Beat struct {
	Backend  state.Backend `json:"backend"`
	Sequence Sequence      `json:"sequence"`
}

// Digest brings the leader the heartbeats that another coordinator answered by
// itself, since they changed nothing.
type Digest struct {
	// Heard maps back ends to the sequence of their last heartbeat.
	Heard map[BackendID]Sequence `json:"heard,omitempty"`
}

// Leave says that a back end is gone or about to be: no new work.
type Leave struct {
	ID string `json:"id"`
}

// Tell brings the leader what a router has done lately. It is a hint: what is
// lost is told again.
type Tell struct {
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

// Place asks the leader to choose an engine for a request. The leader knows all
// that it has placed, a router only what it has sent itself.
type Place struct {
	Router string `json:"router"`
	// Number names the placement among those of the router, from 1.
	Number uint64 `json:"number"`
	Zone   string `json:"zone,omitempty"`
	Pool   string `json:"pool"`
	Model  string `json:"model,omitempty"`
	// Key names the shared part of the prompt; empty for none.
	Key string `json:"key,omitempty"`
	// Target is the time within which an answer is in time, and Patience how long
	// the request may wait until an engine reads it; 0 for any time.
	Target   time.Duration `json:"target,omitempty"`
	Patience time.Duration `json:"patience,omitempty"`
	// GapTarget is the longest pause of a stream that keeps it in time; 0 for any.
	GapTarget time.Duration `json:"gap,omitempty"`
	// Shared, Own and Most are the shared tokens of the prompt, its others, and the
	// most memory that the request may take.
	Shared int `json:"shared,omitempty"`
	Own    int `json:"own,omitempty"`
	Most   int `json:"most,omitempty"`
	// Parts are the shared parts of the prompt, in order.
	Parts []Part `json:"parts,omitempty"`
	// Store is the address of the store that keeps the prompt's shared parts, empty for
	// none, and StoreTokens its memory.
	Store       string `json:"store,omitempty"`
	StoreTokens int    `json:"store_tokens,omitempty"`
	// Slots and Capacity describe one engine.
	Slots    int `json:"slots,omitempty"`
	Capacity int `json:"capacity,omitempty"`
	// Tried lists engines that are not to be chosen again.
	Tried []string `json:"tried,omitempty"`
	// Tenant and Amount are what the request counts against a limit; empty if it has
	// none or was counted before.
	Tenant string       `json:"tenant,omitempty"`
	Amount quota.Amount `json:"amount,omitempty"`
	Reports
}

// PartHash names a shared part of a prompt, with the tenant where that one is
// isolated.
type PartHash uint64

// SavedTime is how long a part that a router saved is taken to be in the store. A
// store drops what is not used.
const SavedTime = 30 * time.Second

// Part is a shared part of a prompt.
type Part struct {
	Hash   PartHash `json:"h"`
	Tokens int      `json:"t"`
}

// Placed is the engine that the leader chose for a Place. An empty ID says that
// none may serve.
type Placed struct {
	ID      string `json:"id,omitempty"`
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Version is of the weights that it holds; Versioned says that it is known.
	Version   int  `json:"version,omitempty"`
	Versioned bool `json:"versioned,omitempty"`
	// Home says that it is the home of the key.
	Home bool `json:"home,omitempty"`
	// Source is the address of an engine that has read some of the shared parts
	// with the same weights; empty for none or the chosen one.
	Source string `json:"source,omitempty"`
	// Save says that the request is to save its shared parts.
	Save bool `json:"save,omitempty"`
	// Cost is the winner's cost in milliseconds and Considered how many passed the
	// filters.
	Cost       float64 `json:"cost,omitempty"`
	Considered int     `json:"considered,omitempty"`
	// Prompt are the tokens that it must read, Ahead those that it reads before
	// them, and Wait about how long the latter takes.
	Prompt int           `json:"prompt,omitempty"`
	Ahead  int           `json:"ahead,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	// Late says that none would begin to read within the patience. Nothing is
	// placed then.
	Late bool `json:"late,omitempty"`
	// OverLimit says that the request is beyond its tenant's limit and may come back
	// after Wait. Nothing is placed then.
	OverLimit bool `json:"over_limit,omitempty"`
	// Uncounted says that the leader may not count the request against its tenant's
	// limit now: the router must.
	Uncounted bool `json:"uncounted,omitempty"`
}

// Reports is what a router has to say of its requests since its last word.
type Reports struct {
	// Begun are the placements whose first event has come, and Ended the numbers of
	// those that are over.
	Begun []Begun  `json:"begun,omitempty"`
	Ended []uint64 `json:"ended,omitempty"`
	// Troubles are what attempts have shown of engines.
	Troubles []Trouble `json:"troubles,omitempty"`
	// Spent is what the router has admitted by itself of tenants' limits.
	Spent []quota.Spent `json:"spent,omitempty"`
}

// Empty tells whether there is nothing to say.
func (r *Reports) Empty() bool {
	return len(r.Begun) == 0 && len(r.Ended) == 0 && len(r.Troubles) == 0 && len(r.Spent) == 0
}

// Begun is a placement whose first event has come.
type Begun struct {
	Number uint64 `json:"n"`
	// First is how long that took.
	First time.Duration `json:"f"`
}

// TroubleKind is what an attempt has shown of an engine.
type TroubleKind string

// Kinds of troubles.
const (
	// Failed: the attempt failed, or there was no answer.
	Failed TroubleKind = "failed"
	// Busy: the request was turned away.
	Busy TroubleKind = "busy"
	// Unreachable: no connection could be had.
	Unreachable TroubleKind = "unreachable"
	// OtherInstance: another start answers at the address.
	OtherInstance TroubleKind = "other"
)

// Trouble is what an attempt has shown of an engine.
type Trouble struct {
	ID   string      `json:"id"`
	Kind TroubleKind `json:"kind"`
}

// Join asks for a coordinator to become a member of the group.
type Join struct {
	Change raft.Change `json:"change"`
}
