package coordapi

import (
	"time"

	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
)

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
	// Request names what is asked for; 0 for none.
	Request poison.Digest `json:"request,omitempty"`
	// Tenant and Amount are what the request counts against a limit; empty if it has
	// none or was counted before.
	Tenant string       `json:"tenant,omitempty"`
	Amount quota.Amount `json:"amount,omitempty"`
	// Claimant says whose request it is, for engines that take only so many.
	Claimant Claimant `json:"claimant,omitzero"`
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
	ID string `json:"id,omitempty"`
	// Instance is how the engine names itself, empty if that is the ID.
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address,omitempty"`
	Zone     string `json:"zone,omitempty"`
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
	// Blocked names the back ends that ended while they ran the request, if that is kept
	// from them. Nothing is placed then.
	Blocked []string `json:"blocked,omitempty"`
	// Permit is how long after the question the permit holds to send the request to an engine
	// that takes only so many a second from all machines; 0 if it has named no such limit.
	Permit time.Duration `json:"right,omitempty"`
	// RetryAfter is when there is room for the request, if none may serve since all take only
	// so many a second.
	RetryAfter time.Duration `json:"room,omitempty"`
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
	// Limits is what back ends have said of how much they take from all machines, and Unused
	// the numbers of placements and claims whose right nothing was sent with.
	Limits []LimitReport `json:"limits,omitempty"`
	Unused []uint64      `json:"unused,omitempty"`
	// FailedAttempts are attempts that ended without a whole answer, and Answered the suspects
	// that got one.
	FailedAttempts []poison.FailedAttempt `json:"endings,omitempty"`
	Answered       []poison.Digest        `json:"answered,omitempty"`
}

// Empty tells whether there is nothing to say.
func (r *Reports) Empty() bool {
	return len(r.Begun) == 0 && len(r.Ended) == 0 && len(r.Troubles) == 0 && len(r.Spent) == 0 && len(r.Limits) == 0 && len(r.Unused) == 0 &&
		len(r.FailedAttempts) == 0 && len(r.Answered) == 0
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
	// Draining: the back end has said in an answer that it is about to end.
	Draining TroubleKind = "draining"
)

// Trouble is what an attempt has shown of an engine.
type Trouble struct {
	ID   string      `json:"id"`
	Kind TroubleKind `json:"kind"`
	// For is how long a busy one wants nothing from the router; 0 if it did not say.
	For time.Duration `json:"for,omitempty"`
}
