package admission

import (
	"cmp"
	"slices"
	"time"
)

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

// level returns the level of an urgency.
func (q *Queue) level(u Urgency) *level {
	i, found := slices.BinarySearchFunc(q.levels, u, func(l *level, u Urgency) int { return l.urgency.compare(u) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{urgency: u})
	}
	return q.levels[i]
}

func (n *item) queue() *fairQueue { return &n.level.queues[n.class] }

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

// Waiting returns the waiting requests by urgency and tenant, the most urgent level and its largest
// tenants first. It has at most Config.MaxLevels entries; what exceeds them is summed in the last one,
// whose Others is set and whose Urgency is the most urgent of those summed.
func (q *Queue) Waiting(now time.Duration) []Level {
	q.advance(now)
	var result []Level
	for _, l := range q.levels {
		result = l.appendCounts(result)
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

// appendCounts appends the waiting requests of a level by tenant, in no order.
func (l *level) appendCounts(result []Level) []Level {
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
	return result
}
