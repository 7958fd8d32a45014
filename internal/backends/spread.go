package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

const (
	// flowWindow is the time constant of the average arrival rate.
	flowWindow = 5 * time.Second
	// durationWeight is the weight of one answer in the mean duration of requests.
	durationWeight = 0.05
)

// flow keeps statistics of the requests that this router sends to a pool: the arrival rate, with
// exponential decay, and the mean duration. The zero value is ready to use.
type flow struct {
	count decay.Sum
	// meanDuration is the mean duration of a request, or 0 before the first answer.
	meanDuration time.Duration
}

// sent counts a request.
func (f *flow) sent(now time.Duration) { f.count.Add(now, flowWindow, 1) }

// rate returns the arrival rate in requests per second. It includes the request that is being
// placed, so that it is never 0.
func (f *flow) rate(now time.Duration) float64 {
	return (f.count.Value(now, flowWindow) + 1) / flowWindow.Seconds()
}

// ended records the duration of a request.
func (f *flow) ended(took time.Duration) {
	mean := f.mean()
	f.meanDuration = mean + time.Duration(durationWeight*float64(took-mean))
}

// mean returns the mean duration of a request.
func (f *flow) mean() time.Duration {
	if f.meanDuration == 0 {
		return typicalDuration
	}
	return f.meanDuration
}

// loadStaleness describes how the loads exchanged between routers have changed since.
type loadStaleness struct {
	// stillRunning is the fraction of the exchanged requests that are still running.
	stillRunning float64
	// unseen is the number of running requests that other routers have sent since.
	unseen float64
}

// estimateStaleness estimates the changes in loads of the given age. It assumes the same arrival
// rate at each router and exponentially distributed durations.
func (f *flow) estimateStaleness(now, age time.Duration, routers int) loadStaleness {
	stillRunning := math.Exp(-float64(age) / float64(f.mean()))
	others := f.rate(now) * float64(max(routers, 1)-1)
	return loadStaleness{stillRunning: stillRunning, unseen: others * f.mean().Seconds() * (1 - stillRunning)}
}

// drawWaterFilling draws a candidate with a probability proportional to the gap between its cost
// and the level to which the budget raises the lowest costs. Routers that see the same outdated
// loads thus level out the costs instead of all sending to the cheapest candidate. The budget is
// the cost of the unseen requests; if it is 0, the draw is among the cheapest candidates. draw
// is uniform in [0, 1).
func drawWaterFilling(candidates []candidate, budget, draw float64) *candidate {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ID, b.ID)) })
	level, filled := waterLevel(candidates, budget)
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

// waterLevel returns the level to which a budget raises the lowest costs, and the number of
// candidates at or below it. The candidates must be sorted by cost.
func waterLevel(candidates []candidate, budget float64) (level float64, filled int) {
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
