// Package admission queues requests for a pool of engines that has no room for all of them. It
// decides which waiting request runs next, and refuses at once those that cannot begin in time.
//
// The order is: requests that can still meet their target before those that cannot, then urgency,
// then fairness among tenants by work, then within a tenant the least slack, or the least work
// among requests that miss their target. Among requests of the same urgency, a tenant that was
// granted no more than its share waits longer because of a flood by at most one request of each
// other tenant: until its request starts, each other tenant is granted at most the work that the
// tenant itself is granted before, and one more request.
//
// The package does no I/O; time and random draws are arguments. A Queue is not safe for concurrent
// use.
//
// queue.go has the operations of a queue, levels.go the order by urgency, fair.go that among tenants
// and tree.go that within a tenant. estimate.go has the expected waits and refusals, deadlines.go the
// changes with time, members.go and duplicates.go what a request joins and leaves, accounts.go the
// use by tenant.
package admission

import (
	"cmp"
	"time"
)

// Key identifies a waiting request: the router that holds it and its number there.
type Key struct {
	Router string
	Number uint64
}

// Urgency orders requests: the tenant's priority first, then the route's; 0 is the most urgent.
type Urgency struct {
	Tenant int
	Route  int
}

// compare returns a negative number if u is more urgent than other.
func (u Urgency) compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Tenant, other.Tenant), cmp.Compare(u.Route, other.Route))
}

// Request describes a request that waits or was admitted.
type Request struct {
	Key Key
	// Tenant is "" for none.
	Tenant  string
	Urgency Urgency
	// Digest identifies the content; 0 for none.
	Digest uint64
	// Arrived is when the router received the request, on the caller's clock.
	Arrived time.Duration
	// Target is the latency target, from Arrived. Without one, the request is ranked among those
	// that miss their target.
	Target time.Duration
	// Abandon is the time from Arrived after which the first event is of no use to the caller;
	// 0 for none.
	Abandon time.Duration
	// Service is the expected time from start to first event.
	Service time.Duration
	// Work is the engine time in ms that the request takes. Values below 0.001 and NaN count as 0.001.
	Work float64
}

// latestStart returns when the request must start to meet its target.
func (r *Request) latestStart() time.Duration { return r.Arrived + r.Target - r.Service }

// lastUsefulStart returns when the request must start for its first event to be of use.
func (r *Request) lastUsefulStart() time.Duration {
	if r.Abandon <= 0 {
		return forever
	}
	return r.Arrived + r.Abandon - r.Service
}

// Reason is why a request is refused.
type Reason string

// The reasons of refusals.
const (
	NoRoom          Reason = "no room in time"
	TenantOverShare Reason = "tenant beyond its share"
	PoolGone        Reason = "pool gone"
)

// Refusal tells that a request will not run.
type Refusal struct {
	Key    Key
	Reason Reason
	// RetryAfter is the expected time to complete the work ahead of the request, within the bounds of
	// Config, plus random jitter of up to half of it.
	RetryAfter time.Duration
}

// Level counts the waiting requests of one tenant and urgency.
type Level struct {
	Urgency Urgency
	Tenant  string
	// Others marks the sum of all tenants that are not listed.
	Others   bool
	Requests int
	// Late counts those of Requests that are ranked among requests that miss their target.
	Late int
	// Work is in ms of engine time.
	Work float64
}

// Config adjusts a queue. A field that is 0 has the default in its comment.
type Config struct {
	// Floor is the share of granted work, in (0, 1), that less urgent levels together keep while they
	// wait; 0.1 by default.
	Floor float64
	// MinRetryAfter and MaxRetryAfter bound Refusal.RetryAfter before jitter; 250 ms and 5 s by default.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// MaxLevels bounds the number of entries of Queue.Waiting; 64 by default.
	MaxLevels int
}

const (
	defaultFloor         = 0.1
	defaultMinRetryAfter = 250 * time.Millisecond
	defaultMaxRetryAfter = 5 * time.Second
	defaultMaxLevels     = 64

	// forever is later than any time of a request.
	forever = time.Duration(1<<63 - 1)
	// rateWindow is the time constant of the rates of granted and arriving work.
	rateWindow = time.Second
	// minContended is how much of the decayed last second requests must have waited for the rate
	// of grants to be known: without waiting requests the rate shows demand, not capacity.
	minContended = 0.2
	// minGrants is the number of recent grants, decayed like the rate, below which the rate is not
	// known: a rate from fewer has a relative error above a quarter. In a pool of a few slots the
	// first slot that becomes free would make all waiting requests be refused.
	minGrants = 16
	// minWork is what a request counts at least, in ms, so that requests without work cannot
	// hold the first place for ever.
	minWork = 1e-3
	// accountIdle is how long a tenant without requests counts among those that share the pool.
	accountIdle = 3 * time.Second
	// housekeepingInterval is the time between removals of idle tenants and levels.
	housekeepingInterval = time.Second
	// expireMargin is by how much the expected wait of a queued request must exceed the time left
	// before it is refused, so that noise in the rates does not undo the decision of Push.
	expireMargin = 1.25
	// maxReclassified bounds the requests that one call moves to another class or reports as expired,
	// to about 1 ms when all expire at once.
	maxReclassified = 1000
	// expireBudget bounds the flows visited by the estimates of one call of Expire to about 1 ms;
	// the next call continues.
	expireBudget = 20_000
)

func (c Config) withDefaults() Config {
	c.Floor = cmp.Or(c.Floor, defaultFloor)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, defaultMinRetryAfter)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, defaultMaxRetryAfter)
	c.MaxLevels = cmp.Or(c.MaxLevels, defaultMaxLevels)
	return c
}
