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
	// urgencyLevels is the number of levels that are told apart. All further ones count as the last.
	urgencyLevels = 10
	// maxReserve is the greatest share of a bucket that is kept for more urgent requests, and
	// urgencyFloor the share of the admitted amounts that less urgent requests get in any case.
	maxReserve   = 0.5
	urgencyFloor = 0.1
	// routersShare is the share of a limit's rate that routers may always admit for plain pools. These
	// requests are charged like all others, but take little of a limit that counts tokens.
	routersShare = 0.1
)

// Limiter holds a token bucket for each tenant, which fills at the rate of the tenant's limit up
// to its burst. Only one limiter of a deployment may admit at a time. A new one starts with
// almost empty buckets, so that it and the last one together keep to the tolerance, or with the
// levels that the last one recorded (Levels). It is not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	accounts  map[string]*account
	// initialized is set once there are limits. Tenants added later start with a full bucket.
	initialized bool
	// restored are the levels with which the first buckets start. levelsCheckedAt is when DueLevels
	// last looked at the levels, and recording is set while a record is pending.
	restored        Levels
	levelsCheckedAt time.Duration
	recording       bool
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
	// asked and refused average amounts over averagingTime, and charged those that routers have
	// admitted. plainPart is the Share.Plain that was announced last, 0 for none.
	asked, refused, charged decay.Sum
	plainPart               float64
	// plainAsked averages the demand of which charged is the admitted part. overdrawn is set while
	// that demand alone exceeds the limit, from when routers have used a part of the tolerance until
	// the bucket is refilled.
	plainAsked decay.Sum
	overdrawn  bool
	// askedBy averages the amounts asked for by urgency. floor is the amount that less urgent
	// requests may still take of what is kept for more urgent ones.
	askedBy [urgencyLevels]decay.Sum
	floor   Amount
	// waiting is the amount of admitted requests that wait to run.
	waiting Amount
	// kept is the level that the bucket must not fall below, as a successor may start with it, and
	// wanted the amount that could be admitted if it were lower.
	kept, wanted Amount
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
			// One part of the tolerance covers what is admitted before the first record is committed.
			kept := max(l.restored[name]-l.tolerancePart(limit), 0)
			a = &account{name: name, at: now, level: l.initialLevel(name, limit), kept: kept}
			l.accounts[name] = a
		case !a.limit.Limited():
			a.at, a.level = now, l.capacity(limit)
		default:
			a.refill(now, l.capacity(a.limit))
			if a.limit.Unit != limit.Unit {
				a.convert(l.capacity(a.limit), l.capacity(limit))
			}
		}
		a.limit = limit
		a.level = min(a.level, l.capacity(limit))
	}
	l.initialized, l.restored = true, nil
}

// convert keeps the part to which a bucket is filled when the unit of its limit changes. A successor may
// start with the recorded level, whose unit it does not know.
func (a *account) convert(before, after Amount) {
	part := Amount(0)
	if before > 0 {
		part = after / before
	}
	a.level *= part
	a.waiting *= part
	a.floor *= part
	a.wanted, a.kept = 0, min(a.kept, after)
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
func (l *Limiter) initialLevel(name string, limit Limit) Amount {
	if l.initialized {
		return l.capacity(limit)
	}
	return max(l.tolerancePart(limit), l.restored[name])
}

// tolerancePart returns one part of the tolerance above a limit.
func (l *Limiter) tolerancePart(limit Limit) Amount {
	allowed := limit.Rate*Amount(l.tolerance.Window.Seconds()) + limit.Burst
	return (Amount(l.tolerance.Overshoot)*allowed + l.tolerance.Slack) / l.tolerance.parts()
}

// capacity returns the most that a bucket holds.
func (l *Limiter) capacity(limit Limit) Amount { return limit.Burst + l.tolerancePart(limit) }

// Take admits an amount of the most urgent level, or returns when to try again. Amounts up to one
// part of the tolerance have the same chance; a larger one needs a fuller bucket, at most a full one.
func (l *Limiter) Take(now time.Duration, tenant string, amount Amount) (retryAfter time.Duration, admitted bool) {
	return l.TakeUrgent(now, tenant, amount, 0)
}

// TakeUrgent admits an amount like Take, but a request of a lower urgency, where 0 is the highest,
// leaves in the bucket what more urgent ones of the tenant ask for within a second. Otherwise a
// tenant beyond its limit would lose as many of its urgent requests, which are often small, as of
// the others.
//
// A retryAfter of 0 means that the amount is within the limit, and may be asked for again as soon as
// the levels that DueLevels returns next are recorded.
func (l *Limiter) TakeUrgent(now time.Duration, tenant string, amount Amount, urgency int) (retryAfter time.Duration, admitted bool) {
	a := l.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return 0, true
	}
	capacity := l.capacity(a.limit)
	a.refill(now, capacity)
	urgency = min(max(urgency, 0), urgencyLevels-1)
	reserve := min(a.askedAbove(now, urgency), maxReserve*capacity)
	part := l.tolerancePart(a.limit)
	need := min(max(amount-part, 0), capacity-reserve)
	available := a.level - a.waiting - a.kept
	if available < need+reserve && available+a.kept >= need+reserve {
		a.wanted += amount
		return 0, false
	}
	a.asked.Add(now, averagingTime, float64(amount))
	a.askedBy[urgency].Add(now, averagingTime, float64(amount))
	switch {
	case available >= need+reserve:
		if reserve == 0 {
			a.floor = min(a.floor+urgencyFloor*amount, part)
		}
	case reserve > 0 && available >= need && a.floor >= amount:
		a.floor -= amount
	default:
		a.refused.Add(now, averagingTime, float64(amount))
		return a.scheduleRetry(now, amount), false
	}
	a.level -= amount
	return 0, true
}

// askedAbove returns the amount that requests of a higher urgency ask for within a second.
func (a *account) askedAbove(now time.Duration, urgency int) Amount {
	total := 0.0
	for u := range urgency {
		total += a.askedBy[u].Value(now, averagingTime)
	}
	return Amount(total / averagingTime.Seconds())
}

// Hold puts off the use of an amount that was just admitted, because its request waits to run. Usage
// counts when requests run: amounts taken from the bucket while requests wait would be used in a
// later window, beside that window's own. The amount stays reserved until it is settled.
func (l *Limiter) Hold(now time.Duration, tenant string, amount Amount) {
	a := l.accounts[tenant]
	if a == nil || !a.limit.Limited() {
		return
	}
	capacity := l.capacity(a.limit)
	a.refill(now, capacity)
	a.level = min(a.level+amount, capacity)
	a.waiting += amount
}

// Settlement ends the wait of an amount that was held. Used is set if its request runs.
type Settlement struct {
	Tenant string
	Amount Amount
	Used   bool
}

// Settle ends the wait of an amount.
func (l *Limiter) Settle(now time.Duration, s Settlement) {
	a := l.accounts[s.Tenant]
	if a == nil || !a.limit.Limited() {
		return
	}
	a.refill(now, l.capacity(a.limit))
	a.waiting = max(a.waiting-s.Amount, 0)
	if s.Used {
		a.level -= s.Amount
	}
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
	a.charged.Add(now, averagingTime, float64(max(amount, 0)))
	demand := float64(max(amount, 0))
	if a.plainPart > 0 {
		demand /= a.plainPart
	}
	a.plainAsked.Add(now, averagingTime, demand)
	a.level = min(a.level-amount, capacity)
}

// Share is the part of a tenant's recent demand that was admitted.
type Share struct {
	Tenant string  `json:"t"`
	Part   float64 `json:"p"`
	// Plain is the part of the requests to plain pools that routers admit, which the leader never
	// counts; 0 stands for Part.
	Plain float64 `json:"r,omitempty"`
}

// Shares returns the tenants whose demand is above their limit, sorted by name.
func (l *Limiter) Shares(now time.Duration) []Share {
	var out []Share
	for _, a := range l.accounts {
		asked, refused := a.asked.Value(now, averagingTime), a.refused.Value(now, averagingTime)
		overdrawn := a.updateOverdrawn(now, l)
		if (refused < 1 && !overdrawn) || asked <= 0 {
			a.plainPart = 0
			continue
		}
		part := max(1-refused/asked, 0)
		a.plainPart = max(part, a.routersPart(now))
		if overdrawn {
			a.plainPart = min(a.plainPart, max(a.partWithinRate(now), a.routersPart(now)))
		}
		out = append(out, Share{Tenant: a.name, Part: part, Plain: a.plainPart})
	}
	slices.SortFunc(out, func(x, y Share) int { return strings.Compare(x.Tenant, y.Tenant) })
	return out
}

// updateOverdrawn reports whether requests that only routers admit use more than the limit allows.
// The leader refuses none of them, so refused amounts do not show it. As long as they ask for less
// than the rate, the refusals of other requests make up for them.
func (a *account) updateOverdrawn(now time.Duration, l *Limiter) bool {
	if a.limit.Limited() {
		a.refill(now, l.capacity(a.limit))
	}
	a.overdrawn = a.limit.Limited() && a.level < 0 && (a.overdrawn || a.level < -l.tolerancePart(a.limit)) &&
		a.plainAsked.Value(now, averagingTime) > float64(a.limit.Rate)*averagingTime.Seconds()
	return a.overdrawn
}

// partWithinRate returns the part of the whole demand, at the leader and at routers, that the rate
// allows.
func (a *account) partWithinRate(now time.Duration) float64 {
	demand := a.asked.Value(now, averagingTime) - a.charged.Value(now, averagingTime) + a.plainAsked.Value(now, averagingTime)
	return min(float64(a.limit.Rate)*averagingTime.Seconds()/max(demand, 1), 1)
}

// routersPart returns the part of the demand at routers that amounts to routersShare of the rate. It
// holds for plain requests only: without a leader, routers admit all others by themselves too.
func (a *account) routersPart(now time.Duration) float64 {
	demand := a.charged.Value(now, averagingTime) / averagingTime.Seconds()
	if a.plainPart > 0 {
		demand /= a.plainPart
	}
	if most := routersShare * float64(a.limit.Rate); demand > most {
		return most / demand
	}
	return 1
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
