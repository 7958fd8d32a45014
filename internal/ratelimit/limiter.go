package ratelimit

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/decay"
	"quinceridge.example/quinceridge/internal/quota"
)

// tolerance bounds what a back end gets above the rate that it names: within four seconds, half
// of what the rate allows and five requests. A bucket's capacity is a fifth of that, 0.4 times
// the rate plus one request, and it may be overdrawn by one request. This leaves room for a
// permit that is used at the end of PermitTTL and arrives late, and for changes of the leader,
// whose successor begins with empty buckets.
var tolerance = quota.Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, LeaderChanges: 1}

const (
	// PermitTTL is how long a permit may be used, counted from its request: a few round trips
	// between zones and a dial.
	PermitTTL = 500 * time.Millisecond
	// minRate is the least rate at which permits are granted. Without an occasional request a
	// back end that names a rate of 0 could not report that it takes more again.
	minRate PerSecond = 0.2
	// reportSkew is the most by which the delays of two routers' reports differ. Observations of
	// different routers that are closer than this have no known order.
	reportSkew = 250 * time.Millisecond
	// averagingTime is the time over which requests and grants are averaged.
	averagingTime = 2 * time.Second
	// minRetryAfter keeps callers from returning before a refill shows; maxRetryAfter bounds
	// their wait.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// grantRetention is how long a granted permit may still be released. Routers report unused
	// permits within a second or two.
	grantRetention = 5 * time.Second
	// maxTenants bounds the tenants tracked for one back end.
	maxTenants = 256
)

// Limiter grants permits for requests to back ends that name a limit, for all processes of a
// deployment. Only the leader grants, and only during its lease. It is safe for concurrent use.
type Limiter struct {
	logger *slog.Logger

	mu           sync.Mutex
	leading      bool
	leadingSince time.Duration
	leaseUntil   time.Duration
	// longestTimeout is the longest time that a request may take, 0 if unknown.
	longestTimeout time.Duration
	// loads are what routers report at the beginning of a leadership, by their names.
	loads    map[string]routerLoad
	quota    *quota.Limiter
	accounts map[coordapi.BackendID]*account
	// pools holds the limited back ends of each pool in sum.
	pools map[string]*pool
	// issued holds the permits that may still be released.
	issued  map[grantKey]grant
	sweptAt time.Duration
	// changes is the number that Limited returns.
	changes  int
	granted  uint64
	denied   uint64
	released uint64
	// idle is the total time for which released permits were out.
	idle time.Duration
}

// account tracks one start of a back end.
type account struct {
	pool string
	// plain is set if the back end is no engine, and running holds the permits of requests that have
	// not ended at a brittle plain one.
	plain       bool
	running     map[grantKey]heldPermit
	observation observation
	lines       bounded.LineLimiter
	// requested averages the requests by urgency, granted the permits by tenant.
	requested map[int]*decay.Sum
	granted   map[string]*decay.Sum
	// grants and denied average the back end's verdicts.
	grants, denied decay.Sum
}

// heldPermit is a permit that is held until its request has ended.
type heldPermit struct {
	// until is the time at which it expires.
	until time.Duration
	// finishes is set if the router reports the end of the request.
	finishes bool
}

// pool sums up the limited back ends of a pool: their number and their total rate.
type pool struct {
	limited int
	rate    PerSecond
	// nextRetry is when all callers refused so far could have been served.
	nextRetry time.Duration
}

type grantKey struct {
	router string
	number uint64
}

type grant struct {
	backend coordapi.BackendID
	at      time.Duration
}

// NewLimiter returns a limiter that grants nothing until it leads.
func NewLimiter(logger *slog.Logger) *Limiter {
	l := &Limiter{logger: logger}
	l.reset()
	return l
}

func (l *Limiter) reset() {
	l.quota = quota.NewLimiter(tolerance)
	l.accounts, l.pools, l.issued = map[coordapi.BackendID]*account{}, map[string]*pool{}, map[grantKey]grant{}
	l.leaseUntil = 0
	l.changes++
}

// SetLeading begins or ends a leadership. It drops all state.
func (l *Limiter) SetLeading(now time.Duration, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	l.leading, l.leadingSince, l.loads = leading, now, nil
}

// SetLease sets the end of the leader's lease.
func (l *Limiter) SetLease(until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseUntil = until
}

// Observe records reports of limits, and returns the back ends whose limit has changed.
func (l *Limiter) Observe(now time.Duration, reports []coordapi.LimitReport) (changed []coordapi.BackendID) {
	if len(reports) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil
	}
	for i := range reports {
		if l.observe(now, &reports[i]) {
			changed = append(changed, reports[i].ID)
		}
	}
	return changed
}

// observe records one report, and reports whether it changes the limit.
func (l *Limiter) observe(now time.Duration, report *coordapi.LimitReport) bool {
	latest := observationOf(now, report)
	a := l.accounts[report.ID]
	if a == nil {
		if (!latest.limited && latest.brittle == 0) || len(l.accounts) >= 4*maxBackends {
			return false
		}
		a = &account{pool: report.Pool, plain: report.Plain, running: map[grantKey]heldPermit{}, requested: map[int]*decay.Sum{}, granted: map[string]*decay.Sum{}}
		l.accounts[report.ID] = a
	} else {
		latest = latest.merge(a.observation, reportSkew)
	}
	before := a.observation
	a.observation = latest
	if latest.equal(before) {
		return false
	}
	if latest.limited != before.limited || (latest.brittle > 0) != (before.brittle > 0) {
		l.changes++
	}
	l.updatePool(a.pool, before, latest)
	if latest.limited {
		l.quota.Limit(now, string(report.ID), quota.Limit{Rate: quota.Amount(latest.granted())})
	} else {
		l.quota.Forget(string(report.ID))
	}
	if !a.lines.Allow(now, maxLogLines) {
		return true
	}
	l.logger.Info("back end limit changed", "part", "ratelimit", "backend", report.ID, "pool", a.pool, "limited", latest.limited, "rate", float64(latest.rate),
		"before", float64(before.rate), "brittle", float64(latest.brittle), "heard_ms_ago", (now - latest.received).Milliseconds())
	return true
}

// updatePool replaces a back end's contribution to the sums of its pool.
func (l *Limiter) updatePool(poolName string, before, after observation) {
	p := l.pools[poolName]
	if p == nil {
		p = &pool{}
		l.pools[poolName] = p
	}
	if before.limited {
		p.rate -= before.granted()
		p.limited--
	}
	if after.limited {
		p.rate += after.granted()
		p.limited++
	}
}

// Verdict is the answer to a Request.
type Verdict struct {
	// Unlimited is set if the back end has no limit. Otherwise Granted is set if there is a
	// permit.
	Unlimited bool
	Granted   bool
	// Running is set if the permit is held until the request has ended.
	Running bool
	// Wait is when the back end takes another request from anyone; 0 if its next permit is kept
	// for others.
	Wait time.Duration
}

// Allowed reports whether the request may be sent.
func (v Verdict) Allowed() bool { return v.Unlimited || v.Granted }

// Request is a request for a permit to send one request to a back end. Router and Number
// identify the permit when it is released.
type Request struct {
	Router   string
	Number   uint64
	Backend  coordapi.BackendID
	Claimant coordapi.Claimant
	// Slots is the number of requests that the back end runs at once. It is not used for engines.
	Slots int
	// Finishes is set if the router reports the end of the request. A permit that is held until then
	// else expires after PermitTTL.
	Finishes bool
}

// Take grants a permit if one is available.
func (l *Limiter) Take(now time.Duration, r Request) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[r.Backend]
	if a == nil || !a.needsPermit() {
		return Verdict{Unlimited: true}
	}
	if !l.leading || now >= l.leaseUntil {
		l.denied++
		return Verdict{Wait: minRetryAfter}
	}
	a.countRequest(now, r.Claimant.Urgency)
	key := grantKey{r.Router, r.Number}
	if a.isBrittle() {
		if settled := l.leadingSince + settleTime; now < settled {
			return l.deny(now, a, settled-now)
		}
		if a.countRunning(now)+l.inheritedRunning(now, r.Backend) >= max(r.Slots, 1) {
			return l.deny(now, a, minRetryAfter/2)
		}
		if !a.observation.limited {
			a.running[key] = heldPermit{now + r.runningTTL(), r.Finishes}
			l.grant(now, a, r)
			return Verdict{Granted: true, Running: true}
		}
	}
	name := string(r.Backend)
	if a.yields(now, r.Claimant) && l.quota.Wait(now, name, l.reserve(name)) > 0 {
		return l.deny(now, a, l.quota.Wait(now, name, 0))
	}
	if _, admitted := l.quota.Take(now, name, 1); !admitted {
		return l.deny(now, a, max(l.quota.Wait(now, name, 0), time.Millisecond))
	}
	l.grant(now, a, r)
	if a.isBrittle() {
		a.running[key] = heldPermit{now + r.runningTTL(), r.Finishes}
	}
	return Verdict{Granted: true, Running: a.isBrittle()}
}

// grant records a permit.
func (l *Limiter) grant(now time.Duration, a *account, r Request) {
	a.issued(now, r.Claimant.Tenant)
	a.grants.Add(now, averagingTime, 1)
	l.sweep(now)
	l.issued[grantKey{r.Router, r.Number}] = grant{r.Backend, now}
	l.granted++
}

// Finished ends the permits that are held until their requests have ended, and returns their back
// ends.
func (l *Limiter) Finished(router string, numbers []uint64) (backends []coordapi.BackendID) {
	if len(numbers) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		if g, a, known := l.takeIssued(router, number); known && a != nil {
			backends = append(backends, g.backend)
		}
	}
	return backends
}

// takeIssued removes a permit from those that may still be released or ended. The account is nil if its
// back end has departed.
func (l *Limiter) takeIssued(router string, number uint64) (g grant, a *account, known bool) {
	key := grantKey{router, number}
	g, known = l.issued[key]
	if !known {
		return g, nil, false
	}
	delete(l.issued, key)
	if a = l.accounts[g.backend]; a != nil {
		delete(a.running, key)
	}
	return g, a, true
}

// isBrittle reports whether permits are held until requests have ended. What brittle engines run is
// limited by placements.
func (a *account) isBrittle() bool { return a.plain && a.observation.brittle > 0 }

// needsPermit reports whether a request needs a permit.
func (a *account) needsPermit() bool { return a.observation.limited || a.isBrittle() }

// countRunning returns the number of requests that have not ended.
func (a *account) countRunning(now time.Duration) int {
	maps.DeleteFunc(a.running, func(_ grantKey, held heldPermit) bool { return now > held.until })
	return len(a.running)
}

// runningTTL returns how long a permit is held without an end of its request or a report that it runs: those
// of a lost router do not arrive.
func (r *Request) runningTTL() time.Duration {
	if r.Finishes {
		return grantRetention
	}
	return PermitTTL
}

// Brittle returns the engines that are brittle.
func (l *Limiter) Brittle() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, a := range l.accounts {
		if !a.plain && a.observation.brittle > 0 {
			ids = append(ids, string(id))
		}
	}
	return ids
}

func (l *Limiter) deny(now time.Duration, a *account, wait time.Duration) Verdict {
	l.denied++
	a.denied.Add(now, averagingTime, 1)
	return Verdict{Wait: wait}
}

// List returns the limits in force with their recent grants and denials, sorted by back end.
func (l *Limiter) List(now time.Duration) []coordapi.BackendLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []coordapi.BackendLimit
	for id, a := range l.accounts {
		if !a.observation.limited {
			continue
		}
		out = append(out, coordapi.BackendLimit{ID: id, Pool: a.pool, Rate: float64(a.observation.rate), ObservedAgo: now - a.observation.received,
			Granted: a.grants.Value(now, averagingTime) / averagingTime.Seconds(), Denied: a.denied.Value(now, averagingTime) / averagingTime.Seconds()})
	}
	slices.SortFunc(out, func(x, y coordapi.BackendLimit) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RetryAfter returns when a caller refused by the limited back ends of a pool should try again.
// Callers are spaced at the total rate of the pool.
func (l *Limiter) RetryAfter(now time.Duration, poolName string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[poolName]
	if p == nil || p.limited == 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / float64(p.rate))
	p.nextRetry = min(max(p.nextRetry, now)+step, now+maxRetryAfter)
	return max(p.nextRetry-now, minRetryAfter)
}

// Unused takes back unused permits, each once, and returns their back ends.
func (l *Limiter) Unused(now time.Duration, router string, numbers []uint64) (backends []coordapi.BackendID) {
	if len(numbers) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		g, a, known := l.takeIssued(router, number)
		if !known {
			continue
		}
		if a == nil || a.observation.limited {
			l.quota.Charge(now, string(g.backend), -1)
		}
		l.released++
		l.idle += now - g.at
		backends = append(backends, g.backend)
	}
	return backends
}

// sweep drops grants that can no longer be released, and back ends whose limit ended long ago.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.sweptAt < grantRetention {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.issued, func(key grantKey, g grant) bool { return now-g.at > grantRetention && !l.holds(now, key, g) })
	maps.DeleteFunc(l.accounts, func(_ coordapi.BackendID, a *account) bool {
		return !a.observation.limited && a.observation.brittle == 0 && now-a.observation.received > endedRetention
	})
}

// Remove drops back ends that have departed.
func (l *Limiter) Remove(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range ids {
		id := coordapi.BackendID(name)
		a := l.accounts[id]
		if a == nil {
			continue
		}
		l.updatePool(a.pool, a.observation, observation{})
		l.quota.Forget(name)
		delete(l.accounts, id)
		l.changes++
	}
}

// Limited returns the back ends that have a limit, sorted, and a number that changes when the
// list does.
func (l *Limiter) Limited() (ids []coordapi.BackendID, changes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		if a.needsPermit() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, l.changes
}

// Changes returns the same number as Limited.
func (l *Limiter) Changes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// Counts returns how many permits were granted, denied and released.
func (l *Limiter) Counts() (granted, denied, released uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted, l.denied, l.released
}

// IdleTime returns the total time for which permits were out that came back unused.
func (l *Limiter) IdleTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle
}

// countRequest counts a request by its urgency.
func (a *account) countRequest(now time.Duration, urgency int) {
	sumFor(a.requested, urgency).Add(now, averagingTime, 1)
}

// issued counts a permit by its tenant.
func (a *account) issued(now time.Duration, tenant string) {
	if len(a.granted) >= maxTenants {
		clear(a.granted)
	}
	sumFor(a.granted, tenant).Add(now, averagingTime, 1)
}

func sumFor[K cmp.Ordered](sums map[K]*decay.Sum, key K) *decay.Sum {
	s := sums[key]
	if s == nil {
		s = &decay.Sum{}
		sums[key] = s
	}
	return s
}

// reserve returns the amount that a request which yields leaves in the bucket: all but one
// request of its capacity, and one at least.
func (l *Limiter) reserve(name string) quota.Amount { return max(l.quota.Capacity(name)-1, 1) }

// minRecent is the least average that counts as recent, about two or three times averagingTime
// after the last request.
const minRecent = 0.1

// yields reports whether a request leaves the next permit to others: to more urgent requests, or
// to other tenants if its own has had more than an even share. It is not refused while the
// bucket holds more than the reserve, so the rate is used in full.
func (a *account) yields(now time.Duration, c coordapi.Claimant) bool {
	for urgency, s := range a.requested {
		if urgency < c.Urgency && s.Value(now, averagingTime) > minRecent {
			return true
		}
	}
	sum, tenants := 0.0, 0
	for _, s := range a.granted {
		if v := s.Value(now, averagingTime); v > minRecent {
			sum += v
			tenants++
		}
	}
	own := a.granted[c.Tenant]
	return tenants > 1 && own != nil && own.Value(now, averagingTime) > sum/float64(tenants)+1
}
