package coordapi

import "time"

// AwaitHold is the longest time for which the leader holds an Await.
const AwaitHold = 400 * time.Millisecond

// NoRoomInTime is the reason of a router that refuses a request by itself. The others are those of
// package admission.
const NoRoomInTime = "no room in time"

// Urgency orders requests: the tenant's priority first, then the route's. 0 is the most urgent.
type Urgency struct {
	Tenant int `json:"t,omitempty"`
	Route  int `json:"r,omitempty"`
}

// Queueing is the part of a Place that concerns the queue of the pool.
type Queueing struct {
	// Wait permits the leader to queue the request if no engine has capacity.
	Wait bool `json:"wait,omitempty"`
	// Account is the tenant's name for fairness among tenants; empty for none.
	Account string  `json:"account,omitempty"`
	Urgency Urgency `json:"urgency,omitzero"`
	// Waited is the time since the router received the request.
	Waited time.Duration `json:"waited,omitempty"`
	// Abandon is the time from the arrival after which the first event is of no use to the
	// caller, and Deadline that after which the whole response is; 0 for none.
	Abandon  time.Duration `json:"abandon,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	// Again is set if a leader has queued the request before, which shows that the engines were full
	// then.
	Again bool `json:"again,omitempty"`
	// Started is the number of attempts so far. Only a first attempt is queued.
	Started int `json:"started,omitempty"`
}

// Session identifies the leader's record of a router's waiting requests. It is not 0. A router
// that gets an unexpected one must ask again for all requests that it queued before.
type Session uint64

// Await requests the outcomes of a router's waiting requests. The leader replies when there are
// some, when the session is not Session, or after AwaitHold. A router has one Await at a time.
type Await struct {
	Router  string  `json:"router"`
	Session Session `json:"session,omitempty"`
	// Acknowledged is the Sequence of the last Awaited of the session.
	Acknowledged uint64 `json:"acknowledged,omitempty"`
}

// Awaited is the reply to an Await.
type Awaited struct {
	Session Session `json:"session"`
	// Sequence is the number of the last outcome of the session.
	Sequence uint64 `json:"sequence,omitempty"`
	// Outcomes are those that are not acknowledged yet, in order.
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Outcome is the outcome of a queued request.
type Outcome struct {
	// Number is the number of the Place.
	Number uint64 `json:"n"`
	Placed Placed `json:"p"`
}

// Room is the capacity of the engines of a pool.
type Room struct {
	// Limit is the number of requests that they can run at once, and Running the number that they
	// run.
	Limit   int `json:"l,omitempty"`
	Running int `json:"r,omitempty"`
}
