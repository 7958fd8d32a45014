// Package flowcontrol decides early whether to admit a request. A request whose first token is
// expected too late is refused at once, with the time after which a retry has a chance. Work of
// lower classes and of tenants above their share is refused first.
//
// The package does no I/O; the router process and the simulator both run it.
package flowcontrol

import (
	"math"
	"time"
)

// Shares of a class's FirstToken that a request may be expected to wait.
const (
	// topShare applies to priority 100, bottomShare to priority 0.
	topShare    = 1.0
	bottomShare = 0.5
	// minTenantShare is what is left to a tenant far above its share.
	minTenantShare = 0.25
	// fairnessThreshold is the share of the limit below which tenants' shares do not matter.
	fairnessThreshold = 0.3
)

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

const (
	highestPriority = 100
	// usageHalfLife is the half-life of a tenant's usage.
	usageHalfLife = 10 * time.Second
)

// Request describes a request to the controller.
type Request struct {
	Tenant string
	// Weight is the tenant's weight, raised by events.
	Weight float64
	// Priority is that of the class, 0 to 100.
	Priority int
	// FirstToken is the longest useful wait for the first token, of the request's class and of
	// those above it.
	FirstToken time.Duration
	// Expected is the expected wait for the first token at the chosen endpoint.
	Expected time.Duration
	// Cost is the work of the request, in tokens.
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

// Reasons for refusals.
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
	sweptAt time.Duration
}

// New returns a controller without any usage.
func New() *Controller { return &Controller{tenants: map[string]*usage{}} }

// Admit decides on a request and, when it is admitted, counts its cost.
func (c *Controller) Admit(now time.Duration, r Request) Verdict {
	limit := float64(r.FirstToken) * classShare(r.Priority)
	expected := float64(r.Expected)
	if expected > limit {
		return refuse(expected-limit, ReasonDeadline)
	}
	if expected > limit*fairnessThreshold {
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

// refuse returns a verdict to retry once the excess wait has drained. The queue shortens by a
// second each second while nothing is admitted.
func refuse(excess float64, reason string) Verdict {
	wait := time.Duration(math.Ceil(excess/float64(time.Second))) * time.Second
	return Verdict{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: reason}
}

// tenantShare returns the share of the limit that is left to a tenant: all of it up to its fair
// share, then less.
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
	excess := own.decayed(now)/total/(r.Weight/weights) - 1
	if excess <= 0 {
		return 1
	}
	return max(minTenantShare, 1-excess/2)
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

// sweep drops tenants that have been idle for long.
func (c *Controller) sweep(now time.Duration) {
	if now-c.sweptAt < usageHalfLife {
		return
	}
	c.sweptAt = now
	for name, u := range c.tenants {
		if now-u.at > 6*usageHalfLife {
			delete(c.tenants, name)
		}
	}
}
