package quota

import (
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// Tolerance says how far the use within any Window may lie above what a limit
// allows: by Overshoot of that and Slack beyond.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     Amount
	// LeaderChanges is how many changes of the Bank that admits are borne within a Window.
	LeaderChanges int
}

// parts is into how many parts the tolerance of a limit is divided. A bucket takes one of
// them as further burst, may be overdrawn by another, and starts with one when its past is
// not known: two for the first bank and two for each that follows it. The last is for what
// routers admit without asking.
func (t Tolerance) parts() Amount { return Amount(3 + 2*t.LeaderChanges) }

const (
	// shareTime is the time over which the admitted share of a tenant's demand is
	// averaged: a few announcements of the leader.
	shareTime = time.Second
	// longestReturn bounds when a refused caller is told to come back.
	longestReturn = 5 * time.Second
	// leastReturn keeps callers from coming back before a refill shows.
	leastReturn = 50 * time.Millisecond
)

// Limiter counts what all routers use of each tenant's limit. An amount is admitted
// from a bucket that fills at the limit's rate up to its burst. Only one Limiter of a
// deployment may admit at a time; a new one knows nothing of what the last one
// admitted and starts with almost empty buckets, so that both together stay
// within the tolerance. It is not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	accounts  map[string]*account
	// known says that limits were set before: a tenant that is new then has used
	// nothing.
	known bool
}

// account is the bucket of one tenant.
type account struct {
	name  string
	limit Limit
	// level is what may be used as of at. Overdrawn it is negative.
	level Amount
	at    time.Duration
	// returns is when the amounts that were refused could all have been admitted.
	returns time.Duration
	// asked and refused are amounts that count less over shareTime.
	asked, refused decay.Sum
}

// NewLimiter returns a bank without limits.
func NewLimiter(tolerance Tolerance) *Limiter {
	return &Limiter{tolerance: tolerance, accounts: map[string]*account{}}
}

// SetLimits replaces the limits. What was used before counts on under a tenant's new
// limit.
func (b *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, a := range b.accounts {
		if _, named := limits[name]; !named {
			a.limit = Limit{}
		}
	}
	for name, limit := range limits {
		a := b.accounts[name]
		switch {
		case a == nil:
			a = &account{name: name, at: now, level: b.first(limit)}
			b.accounts[name] = a
		case !a.limit.Limited():
			a.at, a.level = now, b.capacity(limit)
		default:
			a.refill(now, b.capacity(a.limit))
		}
		a.limit = limit
		a.level = min(a.level, b.capacity(limit))
	}
	b.known = true
}

// SetLimit sets one limit, in place of Set for all. A new bucket is empty: what was used before
// is not known.
func (b *Limiter) SetLimit(now time.Duration, name string, limit Limit) {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name, at: now}
		b.accounts[name] = a
	}
	a.refill(now, b.capacity(a.limit))
	a.limit = limit
	a.level = min(a.level, b.capacity(limit))
}

// Forget drops a limit and what was used of it.
func (b *Limiter) Forget(name string) { delete(b.accounts, name) }

// Wait is how long it takes until there is an amount in a bucket, 0 if there is now.
func (b *Limiter) Wait(now time.Duration, name string, amount Amount) time.Duration {
	a := b.accounts[name]
	if a == nil || !a.limit.Limited() {
		return 0
	}
	a.refill(now, b.capacity(a.limit))
	return time.Duration(max(float64(amount-a.level), 0) / float64(a.limit.Rate) * float64(time.Second))
}

// Capacity is how far a bucket fills.
func (b *Limiter) Capacity(name string) Amount {
	a := b.accounts[name]
	if a == nil {
		return 0
	}
	return b.capacity(a.limit)
}

// first is the level of a new tenant's bucket.
func (b *Limiter) first(l Limit) Amount {
	if b.known {
		return b.capacity(l)
	}
	return b.part(l)
}

// part is one part of the tolerance above a limit.
func (b *Limiter) part(l Limit) Amount {
	allowed := l.Rate*Amount(b.tolerance.Window.Seconds()) + l.Burst
	return (Amount(b.tolerance.Overshoot)*allowed + b.tolerance.Slack) / b.tolerance.parts()
}

// capacity is how far a bucket fills.
func (b *Limiter) capacity(l Limit) Amount { return l.Burst + b.part(l) }

// Take admits an amount, or says after what time to come back. Requests of all
// sizes up to a part of the tolerance have the same chance; a larger one needs
// a fuller bucket, at most a full one.
func (b *Limiter) Take(now time.Duration, tenant string, amount Amount) (after time.Duration, admitted bool) {
	a := b.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return 0, true
	}
	capacity := b.capacity(a.limit)
	a.refill(now, capacity)
	a.asked.Add(now, shareTime, float64(amount))
	if need := min(max(amount-b.part(a.limit), 0), capacity); a.level >= need {
		a.level -= amount
		return 0, true
	}
	a.refused.Add(now, shareTime, float64(amount))
	return a.postpone(now, amount), false
}

// Charge notes an amount that was admitted elsewhere. A negative one gives back
// what was admitted and not used.
func (b *Limiter) Charge(now time.Duration, tenant string, amount Amount) {
	a := b.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return
	}
	capacity := b.capacity(a.limit)
	a.refill(now, capacity)
	a.asked.Add(now, shareTime, float64(max(amount, 0)))
	a.level = min(a.level-amount, capacity)
}

// Share is the part of a tenant's demand that was admitted lately.
type Share struct {
	Tenant string  `json:"t"`
	Part   float64 `json:"p"`
}

// Shares returns the tenants whose demand is above their limit, by name.
func (b *Limiter) Shares(now time.Duration) []Share {
	var out []Share
	for _, a := range b.accounts {
		asked, refused := a.asked.Value(now, shareTime), a.refused.Value(now, shareTime)
		if refused < 1 || asked <= 0 {
			continue
		}
		out = append(out, Share{Tenant: a.name, Part: max(1-refused/asked, 0)})
	}
	slices.SortFunc(out, func(x, y Share) int { return strings.Compare(x.Tenant, y.Tenant) })
	return out
}

// Usage is a limit and what was made of it lately.
type Usage struct {
	Name string
	Limit
	// Asked and Refused are amounts a second.
	Asked, Refused Amount
}

// Usage returns all limits, by name.
func (b *Limiter) Usage(now time.Duration) []Usage {
	var out []Usage
	for _, a := range b.accounts {
		if a.limit.Limited() {
			out = append(out, Usage{a.name, a.limit, Amount(a.asked.Value(now, shareTime) / shareTime.Seconds()), Amount(a.refused.Value(now, shareTime) / shareTime.Seconds())})
		}
	}
	slices.SortFunc(out, func(x, y Usage) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// refill adds what the rate has allowed since the last time.
func (a *account) refill(now time.Duration, capacity Amount) {
	a.level = min(a.level+a.limit.Rate*Amount((now-a.at).Seconds()), capacity)
	a.at = now
}

// postpone returns when a refused caller may come back: behind those that were
// refused before it, each after the time in which the rate allows its amount.
func (a *account) postpone(now time.Duration, amount Amount) time.Duration {
	wait := func(amount Amount) time.Duration {
		return time.Duration(min(float64(amount/a.limit.Rate), longestReturn.Seconds()) * float64(time.Second))
	}
	first := now + wait(max(-a.level, 0))
	a.returns = min(max(a.returns, first)+wait(amount), now+longestReturn)
	return max(a.returns-now, leastReturn)
}
