package quota

import (
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// Tolerance bounds usage above a limit within any Window: Overshoot is a share of what the limit
// allows, Slack an amount beyond that.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     Amount
	// LeaderChanges is the number of leader changes within a Window that keep to the tolerance.
	LeaderChanges int
}

// parts divides the tolerance of a limit. Each leader's limiter may use two parts, one as
// additional burst or as the initial level and one as overdraft. The last part is for what
// routers admit by themselves.
func (t Tolerance) parts() Amount { return Amount(3 + 2*t.LeaderChanges) }

const (
	// averagingTime is the time over which a tenant's admitted share is averaged, a few
	// announcements of the leader.
	averagingTime = time.Second
	// maxRetryAfter bounds the wait of a refused caller.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps callers from returning before a refill shows.
	minRetryAfter = 50 * time.Millisecond
)

// Limiter holds a token bucket for each tenant, which fills at the rate of the tenant's limit up
// to its burst. Only one limiter of a deployment may admit at a time. A new one starts with
// almost empty buckets, so that it and the last one together keep to the tolerance. It is not
// safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	accounts  map[string]*account
	// initialized is set once there are limits. Tenants added later start with a full bucket.
	initialized bool
}

// account is the bucket of one tenant.
type account struct {
	name  string
	limit Limit
	// level is the amount available at the time at; negative if overdrawn.
	level Amount
	at    time.Duration
	// nextRetry is when all amounts refused so far could have been admitted.
	nextRetry time.Duration
	// asked and refused average amounts over averagingTime.
	asked, refused decay.Sum
}

// NewLimiter returns a limiter without limits.
func NewLimiter(tolerance Tolerance) *Limiter {
	return &Limiter{tolerance: tolerance, accounts: map[string]*account{}}
}

// SetLimits replaces all limits. Earlier usage counts against a tenant's new limit.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, a := range l.accounts {
		if _, named := limits[name]; !named {
			a.limit = Limit{}
		}
	}
	for name, limit := range limits {
		a := l.accounts[name]
		switch {
		case a == nil:
			a = &account{name: name, at: now, level: l.initialLevel(limit)}
			l.accounts[name] = a
		case !a.limit.Limited():
			a.at, a.level = now, l.capacity(limit)
		default:
			a.refill(now, l.capacity(a.limit))
		}
		a.limit = limit
		a.level = min(a.level, l.capacity(limit))
	}
	l.initialized = true
}

// Limit sets a single limit, in place of SetLimits. A new bucket starts empty, since earlier
// usage is not known.
func (l *Limiter) Limit(now time.Duration, name string, limit Limit) {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, at: now}
		l.accounts[name] = a
	}
	a.refill(now, l.capacity(a.limit))
	a.limit = limit
	a.level = min(a.level, l.capacity(limit))
}

// Forget drops a limit and its bucket.
func (l *Limiter) Forget(name string) { delete(l.accounts, name) }

// Wait returns the time until a bucket holds an amount, 0 if it does now.
func (l *Limiter) Wait(now time.Duration, name string, amount Amount) time.Duration {
	a := l.accounts[name]
	if a == nil || !a.limit.Limited() {
		return 0
	}
	a.refill(now, l.capacity(a.limit))
	return time.Duration(max(float64(amount-a.level), 0) / float64(a.limit.Rate) * float64(time.Second))
}

// Capacity returns the most that a bucket holds.
func (l *Limiter) Capacity(name string) Amount {
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	return l.capacity(a.limit)
}

// initialLevel returns the level of a new tenant's bucket.
func (l *Limiter) initialLevel(limit Limit) Amount {
	if l.initialized {
		return l.capacity(limit)
	}
	return l.tolerancePart(limit)
}

// tolerancePart returns one part of the tolerance above a limit.
func (l *Limiter) tolerancePart(limit Limit) Amount {
	allowed := limit.Rate*Amount(l.tolerance.Window.Seconds()) + limit.Burst
	return (Amount(l.tolerance.Overshoot)*allowed + l.tolerance.Slack) / l.tolerance.parts()
}

// capacity returns the most that a bucket holds.
func (l *Limiter) capacity(limit Limit) Amount { return limit.Burst + l.tolerancePart(limit) }

// Take admits an amount, or returns when to try again. Amounts up to one part of the tolerance
// have the same chance; a larger one needs a fuller bucket, at most a full one.
func (l *Limiter) Take(now time.Duration, tenant string, amount Amount) (retryAfter time.Duration, admitted bool) {
	a := l.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return 0, true
	}
	capacity := l.capacity(a.limit)
	a.refill(now, capacity)
	a.asked.Add(now, averagingTime, float64(amount))
	if need := min(max(amount-l.tolerancePart(a.limit), 0), capacity); a.level >= need {
		a.level -= amount
		return 0, true
	}
	a.refused.Add(now, averagingTime, float64(amount))
	return a.scheduleRetry(now, amount), false
}

// Charge counts an amount that was admitted elsewhere. A negative one returns an admitted amount
// that was not used.
func (l *Limiter) Charge(now time.Duration, tenant string, amount Amount) {
	a := l.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return
	}
	capacity := l.capacity(a.limit)
	a.refill(now, capacity)
	a.asked.Add(now, averagingTime, float64(max(amount, 0)))
	a.level = min(a.level-amount, capacity)
}

// Share is the part of a tenant's recent demand that was admitted.
type Share struct {
	Tenant string  `json:"t"`
	Part   float64 `json:"p"`
}

// Shares returns the tenants whose demand is above their limit, sorted by name.
func (l *Limiter) Shares(now time.Duration) []Share {
	var out []Share
	for _, a := range l.accounts {
		asked, refused := a.asked.Value(now, averagingTime), a.refused.Value(now, averagingTime)
		if refused < 1 || asked <= 0 {
			continue
		}
		out = append(out, Share{Tenant: a.name, Part: max(1-refused/asked, 0)})
	}
	slices.SortFunc(out, func(x, y Share) int { return strings.Compare(x.Tenant, y.Tenant) })
	return out
}

// Usage is a limit and its recent usage.
type Usage struct {
	Name string
	Limit
	// Asked and Refused are amounts a second.
	Asked, Refused Amount
}

// Usages returns all limits, sorted by name.
func (l *Limiter) Usages(now time.Duration) []Usage {
	var out []Usage
	for _, a := range l.accounts {
		if a.limit.Limited() {
			out = append(out, Usage{a.name, a.limit, Amount(a.asked.Value(now, averagingTime) / averagingTime.Seconds()), Amount(a.refused.Value(now, averagingTime) / averagingTime.Seconds())})
		}
	}
	slices.SortFunc(out, func(x, y Usage) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// refill adds what the rate allows since the last refill.
func (a *account) refill(now time.Duration, capacity Amount) {
	a.level = min(a.level+a.limit.Rate*Amount((now-a.at).Seconds()), capacity)
	a.at = now
}

// scheduleRetry returns the wait of a refused caller. Refused callers are spaced by the time
// that the rate takes to allow their amounts.
func (a *account) scheduleRetry(now time.Duration, amount Amount) time.Duration {
	wait := func(amount Amount) time.Duration {
		return time.Duration(min(float64(amount/a.limit.Rate), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	first := now + wait(max(-a.level, 0))
	a.nextRetry = min(max(a.nextRetry, first)+wait(amount), now+maxRetryAfter)
	return max(a.nextRetry-now, minRetryAfter)
}
