package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

const (
	// flowTime is the time over which arrivals are averaged.
	flowTime = 5 * time.Second
	// workGain is the weight of one answer in the mean time of answers.
	workGain = 0.05
)

// flow follows the requests that this router sends to a pool, with weights that
// fall over flowTime, and how long they take. The zero value is ready.
type flow struct {
	count decay.Sum
	// work is the mean time of a request; 0 before the first answer.
	work time.Duration
}

// sent counts a request.
func (f *flow) sent(now time.Duration) { f.count.Add(now, flowTime, 1) }

// rate is how many requests come in a second. The one that is being decided
// counts, so that a router that has just started takes part.
func (f *flow) rate(now time.Duration) float64 {
	return (f.count.Value(now, flowTime) + 1) / flowTime.Seconds()
}

// ended takes how long a request took.
func (f *flow) ended(took time.Duration) {
	mean := f.mean()
	f.work = mean + time.Duration(workGain*float64(took-mean))
}

// mean is how long a request takes.
func (f *flow) mean() time.Duration {
	if f.work == 0 {
		return typicalWork
	}
	return f.work
}

// staleness says what loads that routers shared some time ago are still worth.
type staleness struct {
	// kept is the part of the requests seen then that is still running.
	kept float64
	// unseen is how many requests other routers have sent since that are running
	// now.
	unseen float64
}

// stale reckons it: requests come at the same rate at each router, and end after
// a time that is exponentially distributed.
func (f *flow) stale(now, age time.Duration, routers int) staleness {
	kept := math.Exp(-float64(age) / float64(f.mean()))
	others := f.rate(now) * float64(max(routers, 1)-1)
	return staleness{kept: kept, unseen: others * f.mean().Seconds() * (1 - kept)}
}

// spread draws a candidate so that requests from all routers together, which
// see the same old loads, even the costs out instead of all going to the least:
// each candidate's part is what it lacks to the level that the budget would
// raise all to. Budget is the cost that the unseen requests add. Without any, the
// least cost is chosen. Draw is uniform in [0, 1).
func spread(candidates []candidate, budget, draw float64) *candidate {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ID, b.ID)) })
	level, filled := fill(candidates, budget)
	if budget <= 0 {
		return &candidates[int(draw*float64(filled))]
	}
	rest := draw * budget
	for i := range filled {
		if rest -= level - candidates[i].cost; rest < 0 {
			return &candidates[i]
		}
	}
	return &candidates[filled-1]
}

// fill returns the level to which a budget raises the lowest costs, and how many
// candidates lie at or below it. Costs are in rising order.
func fill(candidates []candidate, budget float64) (level float64, filled int) {
	sum := 0.0
	for i := range candidates {
		if i > 0 && candidates[i].cost > (budget+sum)/float64(i) {
			break
		}
		sum += candidates[i].cost
		filled = i + 1
	}
	return (budget + sum) / float64(filled), filled
}
