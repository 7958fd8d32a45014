package admission

import (
	"container/list"
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
	// sinceGrant is the part of contended since the last grant, which is not in contended yet.
	sinceGrant decay.Sum
	lastGrant  time.Duration
	pause      pause

	accounts map[string]*account
	// usage sums the recently granted work of all accounts, and work that of waiting requests.
	usage            decay.Sum
	work             float64
	nextHousekeeping time.Duration
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

// Push queues a request and returns nil, or refuses it. Draw is a random number in [0, 1) for the
// jitter of Refusal.RetryAfter; other values count as the nearest bound. A request whose key
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

// Next returns the request to run next, or false if none waits that is not skipped. The request stays
// at the head until it is granted, skipped or removed. It must not be changed, and is valid until
// the next Push or removal.
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

// Skip hides a request that currently fits nowhere from Next until Restart. It does nothing if the
// request does not wait.
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

// Granted removes a request that runs now and charges its tenant. It does nothing if the request
// does not wait.
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
// whether the request was in the queue, which includes expired ones that Expire has not returned yet.
func (q *Queue) Remove(key Key) bool {
	n := q.waiting[key]
	if n == nil {
		return false
	}
	q.drop(n, true)
	return true
}

// Len returns the number of waiting requests, including skipped ones and expired ones that Expire has
// not returned yet.
func (q *Queue) Len() int { return len(q.items) }
