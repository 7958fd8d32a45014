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

// tolerance is how far what a back end gets may lie above the rate that it names: within four
// seconds by half of what that allows and five requests. A bucket takes a fifth of it as
// its depth, 0.4 of the rate and one request, and may be overdrawn by one: 4.4 times the
// rate and two requests in four seconds, of 6 times the rate and five. A right that
// is used at the end of its Term and arrives a quarter of a second later adds 0.75 times the
// rate, and each change of the leader one request, since a new one begins with
// empty buckets: three of them within four seconds are within it at any rate.
var tolerance = quota.Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, LeaderChanges: 1}

const (
	// PermitTTL is how long after the question for it a right may be used: some ways between
	// zones, and a dial.
	PermitTTL = 500 * time.Millisecond
	// leastRate is the rate of one that takes less, or nothing: without a request now and
	// then nobody would hear that its need is over. Five in four seconds are borne at any.
	leastRate PerSecond = 0.2
	// transit is how much longer than another a report may be on its way, by which words
	// that different routers heard are told apart.
	transit = 250 * time.Millisecond
	// claimsTime is the time over which it counts who has asked.
	claimsTime = 2 * time.Second
	// leastRoom keeps callers from coming back before a refill shows, and longestRoom bounds
	// when they are told to.
	leastRoom   = 50 * time.Millisecond
	longestRoom = 5 * time.Second
	// grantKept is how long after a right was granted it may go back: a router tells of it
	// within a second or two.
	grantKept = 5 * time.Second
	// maxTenants bounds the tenants that are told apart at one back end.
	maxTenants = 256
)

// Limiter counts what all processes send to back ends that take only so much. Only the leader
// grants, and while it has its lease: there is no other then. It is safe for concurrent use.
type Limiter struct {
	logger *slog.Logger

	mu          sync.Mutex
	leads       bool
	leasedUntil time.Duration
	quota       *quota.Limiter
	starts      map[coordapi.BackendID]*account
	// pools are what is known of the starts that have a limit, by pool.
	pools map[string]*pool
	// grants are the rights that may still go back.
	grants  map[grantKey]grant
	sweptAt time.Duration
	// changes counts what Limited returns.
	changes int
	granted uint64
	denied  uint64
	back    uint64
}

// account is one start.
type account struct {
	pool  string
	word  word
	lines bounded.LineLimiter
	// asked counts the requests of each urgency that wanted a right, and granted those of
	// each tenant that got one.
	asked   map[int]*decay.Sum
	granted map[string]*decay.Sum
	// got and denied count rights.
	got, denied decay.Sum
}

// pool is what is known of the limited starts of a pool: how many there are, and what they
// take in sum.
type pool struct {
	limited int
	rate    PerSecond
	// returns is when those that were turned away could all have been served.
	returns time.Duration
}

type grantKey struct {
	router string
	number uint64
}

type grant struct {
	backend coordapi.BackendID
	at      time.Duration
}

// NewLimiter returns a bank that grants nothing until it leads.
func NewLimiter(logger *slog.Logger) *Limiter {
	b := &Limiter{logger: logger}
	b.reset()
	return b
}

func (b *Limiter) reset() {
	b.quota = quota.NewLimiter(tolerance)
	b.starts, b.pools, b.grants = map[coordapi.BackendID]*account{}, map[string]*pool{}, map[grantKey]grant{}
	b.leasedUntil = 0
	b.changes++
}

// SetLeading begins or ends a leadership. Nothing is known at its beginning.
func (b *Limiter) SetLeading(leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reset()
	b.leads = leads
}

// SetLease notes the end of the leader's lease.
func (b *Limiter) SetLease(until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leasedUntil = until
}

// Observe takes what back ends have said, and returns those whose limit has changed.
func (b *Limiter) Observe(now time.Duration, words []coordapi.LimitReport) (changed []coordapi.BackendID) {
	if len(words) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leads {
		return nil
	}
	for i := range words {
		if b.hear(now, &words[i]) {
			changed = append(changed, words[i].ID)
		}
	}
	return changed
}

// hear takes one word, and tells whether it changes a limit.
func (b *Limiter) hear(now time.Duration, told *coordapi.LimitReport) bool {
	w := wordOf(now, told)
	a := b.starts[told.ID]
	if a == nil {
		if !w.limited || len(b.starts) >= 4*maxKept {
			return false
		}
		a = &account{pool: told.Pool, asked: map[int]*decay.Sum{}, granted: map[string]*decay.Sum{}}
		b.starts[told.ID] = a
	} else {
		w = w.after(a.word, transit)
	}
	before := a.word
	a.word = w
	if w.same(before) {
		return false
	}
	if w.limited != before.limited {
		b.changes++
	}
	b.sum(a.pool, before, w)
	if w.limited {
		b.quota.Limit(now, string(told.ID), quota.Limit{Rate: quota.Amount(w.granted())})
	} else {
		b.quota.Forget(string(told.ID))
	}
	if !a.lines.Allow(now, maxLines) {
		return true
	}
	b.logger.Info("limit of a back end", "part", "ratelimit", "backend", told.ID, "pool", a.pool, "limited", w.limited, "rate", float64(w.rate),
		"before", float64(before.rate), "heard_ms_ago", (now - w.heard).Milliseconds())
	return true
}

// sum brings a pool's sum up to date.
func (b *Limiter) sum(name string, before, w word) {
	p := b.pools[name]
	if p == nil {
		p = &pool{}
		b.pools[name] = p
	}
	if before.limited {
		p.rate -= before.granted()
		p.limited--
	}
	if w.limited {
		p.rate += w.granted()
		p.limited++
	}
}

// Verdict is what becomes of a wish to send.
type Verdict struct {
	// Unlimited says that the back end has no limit; else Granted whether there is a right.
	Unlimited bool
	Granted   bool
	// Wait is when the back end takes another request, whosever it is; 0 if it keeps its
	// next for others.
	Wait time.Duration
}

// Allowed tells whether the request may be sent.
func (v Verdict) Allowed() bool { return v.Unlimited || v.Granted }

// Request names what is to be sent: its right goes back by router and number.
type Request struct {
	Router   string
	Number   uint64
	Backend  coordapi.BackendID
	Claimant coordapi.Claimant
}

// Take grants a right to send, if there is one.
func (b *Limiter) Take(now time.Duration, w Request) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.starts[w.Backend]
	if a == nil || !a.word.limited {
		return Verdict{Unlimited: true}
	}
	if !b.leads || now >= b.leasedUntil {
		b.denied++
		return Verdict{Wait: leastRoom}
	}
	a.asks(now, w.Claimant.Urgency)
	name := string(w.Backend)
	if a.givesWay(now, w.Claimant) && b.quota.Wait(now, name, b.leftForOthers(name)) > 0 {
		return b.deny(now, a, b.quota.Wait(now, name, 0))
	}
	if _, admitted := b.quota.Take(now, name, 1); !admitted {
		return b.deny(now, a, max(b.quota.Wait(now, name, 0), time.Millisecond))
	}
	a.grants(now, w.Claimant.Tenant)
	a.got.Add(now, claimsTime, 1)
	b.sweep(now)
	b.grants[grantKey{w.Router, w.Number}] = grant{w.Backend, now}
	b.granted++
	return Verdict{Granted: true}
}

func (b *Limiter) deny(now time.Duration, a *account, wait time.Duration) Verdict {
	b.denied++
	a.denied.Add(now, claimsTime, 1)
	return Verdict{Wait: wait}
}

// List returns the limits in force with what was made of them, by back end.
func (b *Limiter) List(now time.Duration) []coordapi.BackendLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []coordapi.BackendLimit
	for id, a := range b.starts {
		if !a.word.limited {
			continue
		}
		out = append(out, coordapi.BackendLimit{ID: id, Pool: a.pool, Rate: float64(a.word.rate), ObservedAgo: now - a.word.heard,
			Granted: a.got.Value(now, claimsTime) / claimsTime.Seconds(), Denied: a.denied.Value(now, claimsTime) / claimsTime.Seconds()})
	}
	slices.SortFunc(out, func(x, y coordapi.BackendLimit) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RetryAfter is when there is room for a request of a pool that was turned away, at one that takes
// only so much: behind those that were turned away before it.
func (b *Limiter) RetryAfter(now time.Duration, name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	if p == nil || p.limited == 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / float64(p.rate))
	p.returns = min(max(p.returns, now)+step, now+longestRoom)
	return max(p.returns-now, leastRoom)
}

// Unused takes rights back with which nothing was sent, each once, and returns whose they
// were.
func (b *Limiter) Unused(now time.Duration, router string, numbers []uint64) (of []coordapi.BackendID) {
	if len(numbers) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, number := range numbers {
		key := grantKey{router, number}
		g, known := b.grants[key]
		if !known {
			continue
		}
		delete(b.grants, key)
		b.quota.Charge(now, string(g.backend), -1)
		b.back++
		of = append(of, g.backend)
	}
	return of
}

// sweep forgets the grants that can't go back any more, and words that are long over.
func (b *Limiter) sweep(now time.Duration) {
	if now-b.sweptAt < grantKept {
		return
	}
	b.sweptAt = now
	maps.DeleteFunc(b.grants, func(_ grantKey, g grant) bool { return now-g.at > grantKept })
	maps.DeleteFunc(b.starts, func(_ coordapi.BackendID, a *account) bool { return !a.word.limited && now-a.word.heard > overKept })
}

// Remove forgets starts that are gone.
func (b *Limiter) Remove(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range ids {
		id := coordapi.BackendID(name)
		a := b.starts[id]
		if a == nil {
			continue
		}
		b.sum(a.pool, a.word, word{})
		b.quota.Forget(name)
		delete(b.starts, id)
		b.changes++
	}
}

// Limited returns the starts that have a limit, sorted, and a number that changes when they
// do.
func (b *Limiter) Limited() (ids []coordapi.BackendID, changes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.starts {
		if a.word.limited {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, b.changes
}

// Changes is the number that Limited returns.
func (b *Limiter) Changes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// Counts are how many rights were granted, denied and taken back.
func (b *Limiter) Counts() (granted, denied, back uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.granted, b.denied, b.back
}

// asks notes that a request of some urgency wants a right.
func (a *account) asks(now time.Duration, urgency int) {
	count(a.asked, urgency).Add(now, claimsTime, 1)
}

// grants notes that a tenant's request got one.
func (a *account) grants(now time.Duration, tenant string) {
	if len(a.granted) >= maxTenants {
		clear(a.granted)
	}
	count(a.granted, tenant).Add(now, claimsTime, 1)
}

func count[K cmp.Ordered](sums map[K]*decay.Sum, key K) *decay.Sum {
	s := sums[key]
	if s == nil {
		s = &decay.Sum{}
		sums[key] = s
	}
	return s
}

// leftForOthers is what a request leaves in the bucket that gives way to others: all but one
// place of its depth, for as many of them as may come at once, and one at least.
func (b *Limiter) leftForOthers(name string) quota.Amount { return max(b.quota.Capacity(name)-1, 1) }

// lately is what a sum must hold for its last request to be of the last two or three
// claimsTime.
const lately = 0.1

// givesWay tells whether a request leaves the next place for others: while more urgent ones
// ask, and while its tenant has got more than its even part and others less. As long as one
// place is left, nobody is turned away for it, and what others don't take is used.
func (a *account) givesWay(now time.Duration, c coordapi.Claimant) bool {
	for urgency, s := range a.asked {
		if urgency < c.Urgency && s.Value(now, claimsTime) > lately {
			return true
		}
	}
	sum, tenants := 0.0, 0
	for _, s := range a.granted {
		if v := s.Value(now, claimsTime); v > lately {
			sum += v
			tenants++
		}
	}
	mine := a.granted[c.Tenant]
	return tenants > 1 && mine != nil && mine.Value(now, claimsTime) > sum/float64(tenants)+1
}
