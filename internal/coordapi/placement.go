package coordapi

import (
	"time"

	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/state"
)

// Place asks the leader to choose an engine for a request. The leader has the placements of all
// routers, a router only its own.
type Place struct {
	Router string `json:"router"`
	// Number identifies the placement among those of the router, from 1.
	Number uint64 `json:"number"`
	Zone   string `json:"zone,omitempty"`
	Pool   string `json:"pool"`
	Model  string `json:"model,omitempty"`
	// Key identifies the shared part of the prompt; empty for none.
	Key string `json:"key,omitempty"`
	// Target is the target latency of the answer, and Patience the longest time that the request
	// may wait until an engine starts to process its prompt; 0 for no limit.
	Target   time.Duration `json:"target,omitempty"`
	Patience time.Duration `json:"patience,omitempty"`
	// GapTarget is the target for the longest pause within the stream; 0 for none.
	GapTarget time.Duration `json:"gap,omitempty"`
	// Shared is the number of shared prompt tokens, Own that of the other prompt tokens, and
	// Most the maximum memory of the request in tokens.
	Shared int `json:"shared,omitempty"`
	Own    int `json:"own,omitempty"`
	Most   int `json:"most,omitempty"`
	// Parts are the shared parts of the prompt, in order.
	Parts []Part `json:"parts,omitempty"`
	// Store is the address of the store for the shared parts of prompts, empty for none, and
	// StoreTokens its capacity.
	Store       string `json:"store,omitempty"`
	StoreTokens int    `json:"store_tokens,omitempty"`
	// Slots and Capacity describe one engine of the pool: the requests that it runs at once, and
	// its memory in tokens.
	Slots    int `json:"slots,omitempty"`
	Capacity int `json:"capacity,omitempty"`
	// Software is the software version that a resumed stream has to go on at; empty for any.
	Software state.SoftwareVersion `json:"software,omitempty"`
	// Tried lists engines that must not be chosen again.
	Tried []string `json:"tried,omitempty"`
	// Responsive excludes engines that do not respond even if there are no others, RoomOnly asks for one
	// that has room, and Among lists the only engines that may be chosen; empty for all.
	Responsive bool     `json:"responsive,omitempty"`
	RoomOnly   bool     `json:"room_only,omitempty"`
	Among      []string `json:"among,omitempty"`
	// Request is the digest of the request's content; 0 for none.
	Request poison.Digest `json:"request,omitempty"`
	// Trial is the block in force that applies to the request if it asks to be the block's trial.
	Trial poison.Digest `json:"trial,omitempty"`
	// Tenant and Amount are the tenant whose limit the request counts against, and the amount;
	// Tenant is empty if there is no limit or the request was counted before.
	Tenant string       `json:"tenant,omitempty"`
	Amount quota.Amount `json:"amount,omitempty"`
	// Claimant is the request's origin, for engines that limit their request rate.
	Claimant Claimant `json:"claimant,omitzero"`
	Queueing
	Reports
}

// PartHash identifies a shared part of a prompt. It includes the tenant if that one is isolated.
type PartHash uint64

// SavedTime is the time for which a saved part is assumed to be in the store, which evicts
// unused parts.
const SavedTime = 30 * time.Second

// Part is a shared part of a prompt.
type Part struct {
	Hash   PartHash `json:"h"`
	Tokens int      `json:"t"`
}

// HolderState is the state of the engine that is recorded as the holder of a shared part, relative to
// a choice of an engine. It is empty if none is recorded.
type HolderState string

// States of a holder.
const (
	// HolderChosen: it is the chosen engine.
	HolderChosen HolderState = "chosen"
	// HolderFull and HolderFree: another one was chosen although it serves; it had no capacity, or
	// had some.
	HolderFull HolderState = "full"
	HolderFree HolderState = "free"
	// HolderUnavailable: it may not serve the request.
	HolderUnavailable HolderState = "unavailable"
)

// Placed is the engine that the leader chose for a Place. An empty ID means that no engine is
// available.
type Placed struct {
	ID string `json:"id,omitempty"`
	// Instance is the name that the engine uses for itself, empty if it equals ID.
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Born is the engine's start time, 0 if it is not known.
	Born state.UnixMilli `json:"born,omitempty"`
	// Software is the version of the engine's software.
	Software state.SoftwareVersion `json:"software,omitempty"`
	// Version is the version of the engine's weights, and Versioned reports whether it is known.
	Version   int  `json:"version,omitempty"`
	Versioned bool `json:"versioned,omitempty"`
	// Home reports whether the engine is the home of the key.
	Home bool `json:"home,omitempty"`
	// Holder is the state of the engine that the leader recorded as the holder of the last shared
	// part before it chose.
	Holder HolderState `json:"holder,omitempty"`
	// Source is the address of another engine with the same weights that has some of the shared
	// parts in its cache; empty for none.
	Source string `json:"source,omitempty"`
	// Save asks the router to have the engine save the shared parts to the store.
	Save bool `json:"save,omitempty"`
	// Cost is the cost of the chosen engine in milliseconds, and Considered the number of
	// eligible engines.
	Cost       float64 `json:"cost,omitempty"`
	Considered int     `json:"considered,omitempty"`
	// Prompt is the number of prompt tokens that the engine must process, Ahead the number
	// queued before them, and Wait the estimated time to process the latter.
	Prompt int           `json:"prompt,omitempty"`
	Ahead  int           `json:"ahead,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	// Late is set if no engine would start to process the prompt within the patience. Nothing
	// is placed then.
	Late bool `json:"late,omitempty"`
	// OverLimit is set if the request exceeds its tenant's limit and may be sent again after
	// Wait. Nothing is placed then.
	OverLimit bool `json:"over_limit,omitempty"`
	// Blocked lists the back ends that failed while they ran the request, if it is blocked.
	// Nothing is placed then.
	Blocked []string `json:"blocked,omitempty"`
	// Permit is the validity of the permit to send the request to an engine that limits its
	// request rate, counted from the moment the Place was sent; 0 if the engine has no limit.
	Permit time.Duration `json:"right,omitempty"`
	// Queued is set if the request waits in the queue of its pool. Its outcome is in the reply to
	// an Await with this Session. Queue is the number of requests in the queue.
	Queued  bool    `json:"queued,omitempty"`
	Session Session `json:"session,omitempty"`
	Queue   int     `json:"queue,omitempty"`
	// Reason is why a request that was permitted to wait is refused. It may be sent again after
	// RetryAfter.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is the time until there is capacity for the request, if no engine is available
	// because of their rate limits or the request is refused for another reason.
	RetryAfter time.Duration `json:"room,omitempty"`
	// Uncounted is set if the leader could not count the request against its tenant's limit,
	// so that the router must.
	Uncounted bool `json:"uncounted,omitempty"`
}

// Reports contains a router's observations since its last message.
type Reports struct {
	// Begun are the placements whose first event has arrived, and Ended the numbers of those
	// that have ended.
	Begun []Begun  `json:"begun,omitempty"`
	Ended []uint64 `json:"ended,omitempty"`
	// Troubles are problems with engines that attempts revealed.
	Troubles []Trouble `json:"troubles,omitempty"`
	// Spent lists the amounts that the router admitted from tenants' limits without the leader.
	Spent []quota.Spent `json:"spent,omitempty"`
	// Limits are the rate limits that back ends reported, and Unused the numbers of placements
	// and claims whose permits were not used.
	Limits []LimitReport `json:"limits,omitempty"`
	Unused []uint64      `json:"unused,omitempty"`
	// Finished are the numbers of the claims whose permits are held until the request has ended, and
	// whose requests have.
	Finished []uint64 `json:"finished,omitempty"`
	// FailedAttempts are the attempts that ended without a complete answer, and Answered the
	// suspects that got one.
	FailedAttempts []poison.FailedAttempt `json:"endings,omitempty"`
	Answered       []poison.Digest        `json:"answered,omitempty"`
	// AnsweredParts are the suspected parts of prompts, and those of failed attempts, on which the
	// router has recently received complete answers.
	AnsweredParts []poison.AnsweredPart `json:"answered_parts,omitempty"`
	// Stalls are about engines with overdue streams. They are set in an Update only, whose Stalls
	// replace those of the router's last one.
	Stalls []liveness.Stall `json:"stalls,omitempty"`
}

// Empty reports whether there is nothing to report.
func (r *Reports) Empty() bool {
	return len(r.Begun) == 0 && len(r.Ended) == 0 && len(r.Troubles) == 0 && len(r.Spent) == 0 && len(r.Limits) == 0 && len(r.Unused) == 0 && len(r.Finished) == 0 &&
		len(r.FailedAttempts) == 0 && len(r.Answered) == 0 && len(r.AnsweredParts) == 0 && len(r.Stalls) == 0
}

// Begun reports that a placement's first event has arrived.
type Begun struct {
	Number uint64 `json:"n"`
	// First is the time until the first event.
	First time.Duration `json:"f"`
}

// TroubleKind is a kind of problem with an engine.
type TroubleKind string

// Kinds of problems.
const (
	// Failed means that the attempt failed or got no answer.
	Failed TroubleKind = "failed"
	// Busy means that the engine rejected the request.
	Busy TroubleKind = "busy"
	// Unreachable means that no connection could be opened.
	Unreachable TroubleKind = "unreachable"
	// OtherInstance means that another start of a back end uses the address.
	OtherInstance TroubleKind = "other"
	// Draining means that the back end announced in a response that it is about to stop.
	Draining TroubleKind = "draining"
)

// Trouble is a problem with an engine that an attempt revealed.
type Trouble struct {
	ID   string      `json:"id"`
	Kind TroubleKind `json:"kind"`
	// For is the time for which a busy engine accepts no requests from the router; 0 if not
	// stated.
	For time.Duration `json:"for,omitempty"`
}
