package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// Queue holds the requests that wait for one pool. Use New. Times that go back count as the latest
// time seen.
type Queue struct {
	config  Config
	started bool
	start   time.Duration
	now     time.Duration

	waiting map[Key]*item
	// items has the same requests as waiting; Expire continues at cursor.
	items  []*item
	cursor int
	// hidden are the skipped requests and may include ones that have left.
	hidden []*item
	// expired have left their flows and are reported by the next Expire.
	expired []*item
	timers  timerHeap
	// levels are in order of urgency.
	levels     []*level
	duplicates map[content]*list.List
	sequence   uint64

	// granted sums the work granted while requests waited, grants their number, and contended the
	// seconds in which requests waited.
	granted   decay.Sum
	grants    decay.Sum
	contended decay.Sum
	lastGrant time.Duration

	accounts map[string]*account
	// usage sums the recently granted work of all accounts, and work that of waiting requests.
	usage            decay.Sum
	work             float64
	nextHousekeeping time.Duration
}

// level is the requests of one urgency.
type level struct {
	urgency Urgency
	queues  [classes]fairQueue
	// arriving sums the work of arrivals that could meet their target.
	arriving arrivalRate
	// credit is the work that less urgent requests may run before this level's.
	credit [classes]float64
}

// arrive counts a request that can meet its target.
func (l *level) arrive(now time.Duration, r Request) {
	l.arriving.add(now, r.Work)
	l.queues[timely].flow(r.Tenant).arriving.add(now, r.Work)
}

// account is what a tenant uses.
type account struct {
	waiting float64
	count   int
	granted decay.Sum
	last    time.Duration
}

// content identifies duplicates.
type content struct {
	tenant string
	digest uint64
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:     config.withDefaults(),
		waiting:    map[Key]*item{},
		duplicates: map[content]*list.List{},
		accounts:   map[string]*account{},
	}
}

// Push queues a request and returns nil, or refuses it. Draw is in [0, 1). A request whose key
// already waits is replaced; the new one keeps its time of arrival and is not refused.
func (q *Queue) Push(now time.Duration, r Request, draw float64) *Refusal {
	q.advance(now)
	r.Work = validWork(r.Work)
	if old := q.waiting[r.Key]; old != nil && !old.expired {
		q.replace(old, r)
		return nil
	}
	q.Remove(r.Key)

	n := &item{Request: r, sequence: q.sequence, timer: -1}
	n.priority = scramble(n.sequence)
	q.sequence++
	n.level = q.level(r.Urgency)
	n.class = q.classOf(n)
	if q.duplicates[content{r.Tenant, r.Digest}] != nil {
		n.duplicate, n.class = true, late
	}
	if n.class == timely {
		n.level.arrive(q.now, r)
	}
	if q.now > r.lastUsefulStart() || !q.canBegin(n, 1) {
		refusal := q.refusal(n, r.Work, draw)
		return &refusal
	}

	q.waiting[r.Key] = n
	n.index = len(q.items)
	q.items = append(q.items, n)
	q.group(n)
	q.join(n)
	return nil
}

// Next returns the request to run next, which stays at the head until it is granted, skipped or
// removed. It must not be changed.
func (q *Queue) Next(now time.Duration) (r *Request, ok bool) {
	q.advance(now)
	for c := timely; c < classes; c++ {
		for n := q.first(c, q.levels); n != nil; n = q.first(c, q.levels) {
			if n.due >= q.now {
				return &n.Request, true
			}
			q.reclassify(n)
		}
	}
	return nil, false
}

// first returns the first request of a class in the given levels, nil for none.
func (q *Queue) first(c class, levels []*level) *item {
	for i, l := range levels {
		n := l.queues[c].first()
		if n == nil {
			continue
		}
		if l.credit[c] > 0 {
			if other := q.first(c, levels[i+1:]); other != nil && l.credit[c] >= other.Work {
				return other
			}
		}
		return n
	}
	return nil
}

// Skip hides a request that currently fits nowhere from Next until Restart.
func (q *Queue) Skip(key Key) {
	n := q.waiting[key]
	if n == nil || n.hidden || n.expired {
		return
	}
	n.hidden = true
	refresh(n.flow.root, n)
	n.queue().fix(n.flow)
	q.hidden = append(q.hidden, n)
}

// Restart ends all skips.
func (q *Queue) Restart() {
	for i, n := range q.hidden {
		q.hidden[i] = nil
		n.hidden = false
		if n.flow != nil {
			refresh(n.flow.root, n)
			n.queue().fix(n.flow)
		}
	}
	q.hidden = q.hidden[:0]
}

// Granted removes a request that runs now and charges its tenant.
func (q *Queue) Granted(now time.Duration, key Key) {
	q.advance(now)
	n := q.waiting[key]
	if n == nil {
		return
	}
	if !n.expired {
		q.chargeFloor(n.level, n.class, n.Work)
		queue, f := n.queue(), n.flow
		queue.virtual = max(queue.virtual, f.tag)
		queue.charge(f, n.Work)
	}
	q.count(n.Request)
	q.drop(n, false)
}

// Admitted charges a request that did not wait.
func (q *Queue) Admitted(now time.Duration, r Request) {
	q.advance(now)
	r.Work = validWork(r.Work)
	l := q.level(r.Urgency)
	c := late
	if r.Target > 0 && q.now <= r.latestStart() {
		c = timely
		l.arrive(q.now, r)
	}
	q.chargeFloor(l, c, r.Work)
	if queue := &l.queues[c]; queue.count > 0 {
		queue.charge(queue.flow(r.Tenant), r.Work)
	}
	q.count(r)
}

// Remove takes a request out of the queue, since its caller or router disconnected. It reports
// whether the request was waiting.
func (q *Queue) Remove(key Key) bool {
	n := q.waiting[key]
	if n == nil {
		return false
	}
	q.drop(n, true)
	return true
}

// Expire removes and returns the requests that can no longer begin in time. A call handles a bounded
// number of requests; the next one continues with the others.
func (q *Queue) Expire(now time.Duration, draw func() float64) []Refusal {
	q.advance(now)
	var refusals []Refusal
	count := min(len(q.expired), maxReclassified)
	for _, n := range q.expired[:count] {
		if q.waiting[n.Key] == n {
			refusals = append(refusals, q.refusal(n, 0, draw()))
			q.drop(n, true)
		}
	}
	q.expired = slices.Delete(q.expired, 0, count)

	if _, known := q.rate(); !known {
		return refusals
	}
	budget := expireBudget
	for left := len(q.items); left > 0 && budget > 0; left-- {
		if q.cursor >= len(q.items) {
			q.cursor = 0
		}
		n := q.items[q.cursor]
		if n.expired {
			budget--
			q.cursor++
			continue
		}
		budget -= 4 + len(n.queue().flows)
		if q.canBegin(n, expireMargin) {
			q.cursor++
			continue
		}
		refusals = append(refusals, q.refusal(n, 0, draw()))
		q.drop(n, true)
	}
	return refusals
}

// RefuseAll removes and returns all requests, since the pool has no engine.
func (q *Queue) RefuseAll(now time.Duration, draw func() float64) []Refusal {
	q.advance(now)
	var refusals []Refusal
	for len(q.items) > 0 {
		n := q.items[0]
		refusal := q.refusal(n, 0, draw())
		refusal.Reason = PoolGone
		refusals = append(refusals, refusal)
		q.drop(n, true)
	}
	return refusals
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the waiting requests by urgency and tenant, the most urgent level and its largest
// tenants first. What exceeds Config.MaxLevels is summed in the last entry.
func (q *Queue) Waiting(now time.Duration) []Level {
	q.advance(now)
	var result []Level
	for _, l := range q.levels {
		tenants := map[string]*Level{}
		for c := range l.queues {
			for _, f := range l.queues[c].flows {
				if f.count == 0 {
					continue
				}
				counts := tenants[f.tenant]
				if counts == nil {
					counts = &Level{Urgency: l.urgency, Tenant: f.tenant}
					tenants[f.tenant] = counts
				}
				counts.Requests += f.count
				counts.Work += f.work()
				if class(c) == late {
					counts.Late += f.count
				}
			}
		}
		for _, counts := range tenants {
			result = append(result, *counts)
		}
	}
	slices.SortFunc(result, func(a, b Level) int {
		return cmp.Or(a.Urgency.compare(b.Urgency), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Tenant, b.Tenant))
	})
	if len(result) <= q.config.MaxLevels {
		return result
	}
	first := q.config.MaxLevels - 1
	others := Level{Urgency: result[first].Urgency, Others: true}
	for _, l := range result[first:] {
		others.Requests += l.Requests
		others.Late += l.Late
		others.Work += l.Work
	}
	return append(result[:first:first], others)
}

// advance moves the time and changes the class of requests whose latest start has passed.
func (q *Queue) advance(now time.Duration) {
	if !q.started {
		q.started, q.start, q.now = true, now, now
		q.lastGrant = now
	}
	if now <= q.now {
		return
	}
	if len(q.items) > 0 {
		// The decayed integral over the time in which requests waited.
		seconds := rateWindow.Seconds() * -math.Expm1(-float64(now-q.now)/float64(rateWindow))
		q.contended.Add(now, rateWindow, seconds)
	}
	q.now = now
	for left := maxReclassified; left > 0 && len(q.timers) > 0 && q.timers[0].due < now; left-- {
		q.reclassify(q.timers[0])
	}
	if now >= q.nextHousekeeping {
		q.nextHousekeeping = now + housekeepingInterval
		q.forgetIdle()
	}
}

// reclassify changes the class of a request that is due.
func (q *Queue) reclassify(n *item) {
	q.leave(n)
	if q.now > n.lastUsefulStart() {
		n.expired = true
		q.expired = append(q.expired, n)
		return
	}
	n.class = late
	q.join(n)
}

func (q *Queue) forgetIdle() {
	for tenant, a := range q.accounts {
		if a.count == 0 && q.now-a.last > accountIdle {
			delete(q.accounts, tenant)
		}
	}
	q.levels = slices.DeleteFunc(q.levels, func(l *level) bool {
		empty := true
		for c := range l.queues {
			l.queues[c].forgetIdle(q.now)
			empty = empty && l.queues[c].count == 0
		}
		return empty && l.arriving.perSecond(q.now) < minWork
	})
}

// level returns the level of an urgency.
func (q *Queue) level(u Urgency) *level {
	i, found := slices.BinarySearchFunc(q.levels, u, func(l *level, u Urgency) int { return l.urgency.compare(u) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{urgency: u})
	}
	return q.levels[i]
}

func (n *item) queue() *fairQueue { return &n.level.queues[n.class] }

// classOf returns the class by time alone.
func (q *Queue) classOf(n *item) class {
	if n.Target > 0 && q.now <= n.latestStart() {
		return timely
	}
	return late
}

// join adds a request to the flow of its class and sets its timer.
func (q *Queue) join(n *item) {
	n.queue().add(n)
	account := q.account(n.Tenant)
	account.waiting += n.Work
	account.count++
	q.work += n.Work
	n.due = n.lastUsefulStart()
	if n.class == timely {
		n.due = min(n.due, n.latestStart())
	}
	if n.due != forever {
		heap.Push(&q.timers, n)
	}
}

// leave undoes join.
func (q *Queue) leave(n *item) {
	n.queue().remove(n)
	account := q.account(n.Tenant)
	account.waiting -= n.Work
	account.count--
	if account.count == 0 {
		account.waiting = 0
	}
	q.work -= n.Work
	if n.timer >= 0 {
		heap.Remove(&q.timers, n.timer)
	}
}

// drop takes a request out of the queue. If promote is set, which is so unless the request runs,
// the first of its duplicates takes its place among those that can meet their target.
func (q *Queue) drop(n *item, promote bool) {
	if !n.expired {
		q.leave(n)
	}
	delete(q.waiting, n.Key)
	last := len(q.items) - 1
	q.items[n.index] = q.items[last]
	q.items[n.index].index = n.index
	q.items[last] = nil
	q.items = q.items[:last]
	if last == 0 {
		q.work = 0
	}
	q.ungroup(n, promote)
}

// group lists a request with its duplicates.
func (q *Queue) group(n *item) {
	if n.Digest == 0 {
		return
	}
	id := content{n.Tenant, n.Digest}
	group := q.duplicates[id]
	if group == nil {
		group = list.New()
		q.duplicates[id] = group
	}
	n.duplicates, n.element = group, group.PushBack(n)
}

// ungroup undoes group.
func (q *Queue) ungroup(n *item, promote bool) {
	if n.duplicates == nil {
		return
	}
	group := n.duplicates
	group.Remove(n.element)
	n.duplicates, n.element = nil, nil
	if group.Len() == 0 {
		delete(q.duplicates, content{n.Tenant, n.Digest})
		return
	}
	if n.duplicate || !promote {
		return
	}
	next := group.Front().Value.(*item)
	next.duplicate = false
	if !next.expired && q.classOf(next) == timely {
		q.leave(next)
		next.class = timely
		q.join(next)
	}
}

// replace changes a waiting request in place.
func (q *Queue) replace(n *item, r Request) {
	r.Arrived = n.Arrived
	regroup := false
	if r.Tenant != n.Tenant || r.Digest != n.Digest {
		q.ungroup(n, true)
		n.duplicate = q.duplicates[content{r.Tenant, r.Digest}] != nil
		regroup = true
	}
	f, queue := n.flow, n.queue()
	tag, order, virtual := f.tag, f.order, queue.virtual
	sameQueue := r.Tenant == n.Tenant && r.Urgency == n.Urgency
	oldClass := n.class
	q.leave(n)
	n.Request = r
	n.level = q.level(r.Urgency)
	n.class = q.classOf(n)
	if n.duplicate {
		n.class = late
	}
	if regroup {
		q.group(n)
	}
	q.join(n)
	if sameQueue && n.class == oldClass {
		// Leaving may have ended the busy period or the backlog of the flow.
		queue.virtual = virtual
		n.flow.tag, n.flow.order = tag, order
		if n.flow.ready >= 0 {
			heap.Fix(&queue.ready, n.flow.ready)
		}
	}
}

// chargeFloor updates the credits of less urgent levels for work granted at a level.
func (q *Queue) chargeFloor(granted *level, c class, work float64) {
	waiting, largest := 0, q.config.Floor*q.usage.Value(q.now, rateWindow)
	for _, l := range q.levels {
		waiting += l.queues[c].count
		largest = max(largest, l.queues[c].largest)
	}
	reached := false
	for _, l := range q.levels {
		reached = reached || l == granted
		waiting -= l.queues[c].count
		if waiting == 0 || l.queues[c].count == 0 && l != granted {
			// Either nobody waits for the credit, or nobody needs it.
			l.credit[c] = 0
		} else {
			// The bound prevents a burst of less urgent requests that fitted nowhere for a while.
			l.credit[c] = min(l.credit[c]+q.config.Floor*work, largest)
			if !reached {
				l.credit[c] = max(l.credit[c]-work, 0)
			}
		}
		if reached {
			return
		}
	}
}

// count adds granted work to the rates.
func (q *Queue) count(r Request) {
	if len(q.items) > 0 {
		q.granted.Add(q.now, rateWindow, r.Work)
		q.grants.Add(q.now, rateWindow, 1)
	}
	q.lastGrant = q.now
	q.usage.Add(q.now, rateWindow, r.Work)
	q.account(r.Tenant).granted.Add(q.now, rateWindow, r.Work)
}

func (q *Queue) account(tenant string) *account {
	a := q.accounts[tenant]
	if a == nil {
		a = &account{}
		q.accounts[tenant] = a
	}
	a.last = q.now
	return a
}

// rate returns the work that the pool grants a second while requests wait. It is not known in the
// first second, until requests have waited for a while, or if nothing was granted lately.
func (q *Queue) rate() (perSecond float64, known bool) {
	contended := q.contended.Value(q.now, rateWindow)
	if q.now-q.start < rateWindow || q.now-q.lastGrant > rateWindow || contended < minContended ||
		q.grants.Value(q.now, rateWindow) < minGrants {
		return 0, false
	}
	perSecond = q.granted.Value(q.now, rateWindow) / contended
	return perSecond, perSecond > 0
}

// canBegin reports whether a request is expected to begin in time, which is so if the rate is
// unknown. The expected wait may exceed the time left by the factor margin.
func (q *Queue) canBegin(n *item, margin float64) bool {
	rate, known := q.rate()
	last := n.lastUsefulStart()
	if !known || last == forever {
		return true
	}
	// A rate from few grants is uncertain, so that a refusal assumes one standard deviation more.
	rate *= 1 + 1/math.Sqrt(q.grants.Value(q.now, rateWindow))
	left := func(until time.Duration) float64 { return margin * (until - q.now).Seconds() }
	if n.class == timely {
		own := workBefore(flowRoot(&n.level.queues[timely], n.Tenant), n)
		if seconds := left(min(n.latestStart(), last)); q.timelyWait(n, own, rate, seconds) <= seconds {
			return true
		}
	}
	return q.lateWait(n, rate) <= left(last)
}

// timelyWait returns the expected wait in seconds of a request that can meet its target, with the
// given work of its tenant before it. The result is not exact if it is at most enough.
func (q *Queue) timelyWait(n *item, own, rate, enough float64) float64 {
	before, arriving, after := 0.0, 0.0, 0
	for _, l := range q.levels {
		switch order := l.urgency.compare(n.Urgency); {
		case order < 0:
			before += l.queues[timely].work
			arriving += l.arriving.perSecond(q.now)
		case order > 0:
			after += l.queues[timely].count
		}
	}
	queue := &n.level.queues[timely]
	if after > 0 {
		rate *= 1 - q.config.Floor
	}
	// If all of the level, now and in future, ran first, the tenants' order would not matter.
	if most := wait(before+queue.work, rate-arriving-n.level.arriving.perSecond(q.now)); most <= enough {
		return most
	}
	seconds := queue.wait(q.now, n.Tenant, before, own, rate-arriving)
	if seconds <= enough {
		return seconds
	}
	if before > 0 || arriving > 0 {
		seconds = min(seconds, queue.wait(q.now, n.Tenant, 0, own, q.config.Floor*rate))
	}
	return seconds
}

// lateWait returns the expected wait in seconds of a request that misses its target: such requests
// get what those that meet theirs leave over.
func (q *Queue) lateWait(n *item, rate float64) float64 {
	key := *n
	key.class = late
	own := workBefore(flowRoot(&n.level.queues[late], n.Tenant), &key)
	first := 0.0
	for _, l := range q.levels {
		first += l.queues[timely].work
		rate -= l.arriving.perSecond(q.now)
		if l.urgency.compare(n.Urgency) < 0 {
			first += l.queues[late].work
		}
	}
	return n.level.queues[late].wait(q.now, n.Tenant, first, own, rate)
}

func flowRoot(q *fairQueue, tenant string) *item {
	if f := q.byTenant[tenant]; f != nil {
		return f.root
	}
	return nil
}

// wait returns the time for work at a rate; infinite if the rate is not positive.
func wait(work, rate float64) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	return work / rate
}

// refusal returns the refusal of a request. Pushed is its work if it does not wait yet.
func (q *Queue) refusal(n *item, pushed, draw float64) Refusal {
	result := Refusal{Key: n.Key, Reason: NoRoom}
	if q.overShare(n.Tenant, pushed) {
		result.Reason = TenantOverShare
	}
	// While nothing is granted, the pause so far is the estimate of its rest.
	after := min(q.now-q.lastGrant, q.config.MaxRetryAfter)
	if rate, known := q.rate(); known {
		own := 0.0
		if root := flowRoot(&n.level.queues[timely], n.Tenant); root != nil {
			own = root.work
		}
		seconds := q.timelyWait(n, own, rate, 0)
		after = time.Duration(min(seconds, q.config.MaxRetryAfter.Seconds()) * float64(time.Second))
	}
	after = max(after, q.config.MinRetryAfter)
	result.RetryAfter = after + time.Duration(min(max(draw, 0), 1)/2*float64(after))
	return result
}

// overShare reports whether a tenant's waiting and recently granted work exceeds an equal share of
// all tenants'.
func (q *Queue) overShare(tenant string, pushed float64) bool {
	a := q.accounts[tenant]
	if tenant == "" || a == nil || len(q.accounts) < 2 {
		return false
	}
	own := a.waiting + a.granted.Value(q.now, rateWindow) + pushed
	all := q.work + q.usage.Value(q.now, rateWindow) + pushed
	return own*float64(len(q.accounts)) > all
}

// validWork returns the work to count for a request.
func validWork(work float64) float64 {
	if !(work >= minWork) {
		return minWork
	}
	return work
}
