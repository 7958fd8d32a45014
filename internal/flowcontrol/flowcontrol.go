// Package flowcontrol decides early whether a request is taken. A request whose
// first token is expected too late is refused at once, with the time after
// which a repeat has a chance; work of lower classes and of tenants above their
// share is refused first.
//
// The package is pure: the router process and the simulator both run it.
package flowcontrol

import (
	"math"
	"time"
)

// Shares of a class's FirstToken that work may be expected to wait.
const (
	// topShare belongs to priority 100, bottomShare to priority 0.
	topShare    = 1.0
	bottomShare = 0.5
	// leastShare is what is left to a tenant far above its share.
	leastShare = 0.25
	// pressure is the share of the limit below which fairness does not matter.
	pressure = 0.3
)

// Bounds of Retry-After.
const (
	shortestRetry = time.Second
	longestRetry  = 30 * time.Second
)

const (
	highestPriority = 100
	// usageHalfLife is how fast a tenant's use is forgotten.
	usageHalfLife = 10 * time.Second
)

// Request is what admission needs to know.
type Request struct {
	Tenant string
	// Weight is the tenant's share, raised by events.
	Weight float64
	// Priority is the class's, 0 to 100.
	Priority int
	// FirstToken is the longest useful wait for the first token, of the
	// request's class and of those above it.
	FirstToken time.Duration
	// Expected is the wait for the first token at the chosen endpoint.
	Expected time.Duration
	// Cost is the work that the request brings, in tokens.
	Cost int
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
	// Reason is a fixed short text for logs and metrics.
	Reason string
}

// Reasons of refusals.
const (
	ReasonDeadline = "deadline"
	ReasonFairness = "fairness"
)

type usage struct {
	amount float64
	weight float64
	at     time.Duration
}

// Controller admits requests. It is not safe for concurrent use.
type Controller struct {
	tenants map[string]*usage
	swept   time.Duration
}

// New returns a controller that has seen nothing.
func New() *Controller { return &Controller{tenants: map[string]*usage{}} }

// Admit decides on a request and, when it is admitted, counts its cost.
func (c *Controller) Admit(now time.Duration, r Request) Verdict {
	limit := float64(r.FirstToken) * classShare(r.Priority)
	expected := float64(r.Expected)
	if expected > limit {
		return refuse(expected-limit, ReasonDeadline)
	}
	if expected > limit*pressure {
		allowed := limit * c.tenantShare(now, r)
		if expected > allowed {
			return refuse(expected-allowed, ReasonFairness)
		}
	}
	c.count(now, r)
	return Verdict{Admitted: true}
}

func classShare(priority int) float64 {
	return bottomShare + (topShare-bottomShare)*float64(min(priority, highestPriority))/highestPriority
}

// refuse tells the caller to come back when the excess wait has drained: the
// queue shortens by a second each second once no more is taken.
func refuse(excess float64, reason string) Verdict {
	wait := time.Duration(math.Ceil(excess/float64(time.Second))) * time.Second
	return Verdict{RetryAfter: min(max(wait, shortestRetry), longestRetry), Reason: reason}
}

// tenantShare is how much of the limit is left to a tenant: all of it up to
// its fair share, then less.
func (c *Controller) tenantShare(now time.Duration, r Request) float64 {
	total, weights := 0.0, 0.0
	for _, u := range c.tenants {
		total += u.decayed(now)
		weights += u.weight
	}
	own, active := c.tenants[r.Tenant]
	if !active || total == 0 || weights == 0 {
		return 1
	}
	over := own.decayed(now)/total/(r.Weight/weights) - 1
	if over <= 0 {
		return 1
	}
	return max(leastShare, 1-over/2)
}

func (u *usage) decayed(now time.Duration) float64 {
	return u.amount * math.Exp2(-float64(now-u.at)/float64(usageHalfLife))
}

func (c *Controller) count(now time.Duration, r Request) {
	u := c.tenants[r.Tenant]
	if u == nil {
		u = &usage{at: now}
		c.tenants[r.Tenant] = u
	}
	u.amount = u.decayed(now) + float64(r.Cost)
	u.at, u.weight = now, r.Weight
	c.sweep(now)
}

// sweep forgets tenants that have been idle for long.
func (c *Controller) sweep(now time.Duration) {
	if now-c.swept < usageHalfLife {
		return
	}
	c.swept = now
	for name, u := range c.tenants {
		if now-u.at > 6*usageHalfLife {
			delete(c.tenants, name)
		}
	}
}
