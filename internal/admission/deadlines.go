package admission

import (
	"math"
	"slices"
	"time"
)

// Expire removes and returns the requests that can no longer begin in time. A call handles a bounded
// number of requests; the next one continues with the others. Draw returns random numbers as for Push.
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

	if _, known := q.rate(); !known || q.paused() {
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

// RefuseAll removes and returns all requests with the reason PoolGone, since the pool has no engine.
// Draw returns random numbers as for Push.
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

// advance moves the time and changes the class of requests whose latest start has passed.
func (q *Queue) advance(now time.Duration) {
	if !q.started {
		q.started, q.start, q.now = true, now, now
		q.lastGrant = now
	}
	if now <= q.now {
		return
	}
	if len(q.items) > 0 && !q.paused() {
		// The decayed integral over the time in which requests waited.
		seconds := rateWindow.Seconds() * -math.Expm1(-float64(now-q.now)/float64(rateWindow))
		q.sinceGrant.Add(now, rateWindow, seconds)
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

// timerHeap is a heap of items by the time at which their class changes.
type timerHeap []*item

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer, h[j].timer = i, j
}

func (h *timerHeap) Push(x any) {
	n := x.(*item)
	n.timer = len(*h)
	*h = append(*h, n)
}

func (h *timerHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	n.timer = -1
	return n
}
