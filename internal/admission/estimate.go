package admission

import (
	"math"
	"time"
)

// rate returns the work that the pool grants a second while requests wait, as of before a pause. It is
// not known in the first second, until requests have waited for a while, or if nothing was granted
// lately.
func (q *Queue) rate() (perSecond float64, known bool) {
	if q.paused() {
		return q.pause.rate, q.pause.known
	}
	contended := q.contended.Value(q.now, rateWindow)
	if !q.pause.gap {
		contended += q.sinceGrant.Value(q.now, rateWindow)
	}
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
