package backends

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
	"quinceridge.example/quinceridge/internal/speed"
)

const (
	// speedInterval is the interval at which the factors of engines are updated. Engines whose
	// factor changes move to another group of the index.
	speedInterval = 200 * time.Millisecond
	// equalSpeed is the difference from 1 below which a factor counts as 1, so that equal engines
	// are not told apart by noise.
	equalSpeed = 0.15
	// significantErrors is the number of standard errors by which the factor of an engine must differ
	// from 1 to be taken for another speed, and insignificantErrors the number at which it is 1 again.
	significantErrors   = 3
	insignificantErrors = 1.5
	// largeDifference is the ratio to the median from which a factor is applied after largeUpdates
	// updates. A smaller difference needs smallUpdates, since a busy second of one engine
	// may look like it.
	largeDifference = 1.7
	largeUpdates    = 3
	smallUpdates    = 8
	// minSilence is the multiple of the expected wait without a first event from which an engine
	// counts as slow. A smaller one would be reached by a single long step.
	minSilence = 2.5
	// minSilentTime is the least such time: on a busy machine, reports are late by as much.
	minSilentTime = 500 * time.Millisecond
	// speedStep is the ratio of two adjacent factors. A coarse scale keeps the groups of the index
	// few.
	speedStep = 1.1
	// workWindow is the time constant of the average of an engine's work.
	workWindow = 5 * time.Second
)

// pace is the speed of one start of an engine. The zero value stands for the pool's speed.
type pace struct {
	// factor is the speed that choices assume, as a multiple of the median engine's; 0 stands for 1.
	factor float64
	// differing is the number of updates in which an engine with the factor 1 differed from the
	// median, less that of updates since in which it did not.
	differing int
	// home is the home weight.
	home homeWeight
	// samples is nil before the first request.
	samples *speedSamples
}

// speedSamples holds what the requests of one start of an engine show about its speed.
type speedSamples struct {
	speed.Relative
	// work is the prefill time of its requests, in nanoseconds.
	work decay.Sum
	// prompts is the number of prompt tokens sent to it so far.
	prompts int
}

// reference holds the state of a pool's speeds. The zero value is ready to use.
type reference struct {
	updated time.Duration
	begun   bool
	// median is the median ratio of observed to expected waits, or 0 before the first update.
	median float64
	// waits models the waits for first events at the median engine.
	waits speed.WaitModel
	// scratch is the reused buffer of estimates.
	scratch []float64
}

// prefillRate returns the prefill rate of an engine, given its pool's. The row may be nil.
func (r *row) prefillRate(pool speed.TokensPerMs) speed.TokensPerMs {
	if r == nil || r.pace.factor == 0 {
		return pool
	}
	return pool * speed.TokensPerMs(r.pace.factor)
}

// scaled returns the time that an engine takes for what takes the median engine the time d.
func (r *row) scaled(d time.Duration) time.Duration {
	if r.pace.factor == 0 {
		return d
	}
	return time.Duration(float64(d) / r.pace.factor)
}

// normalized returns the time that the median engine takes for what takes this one the time d. The
// row may be nil.
func (r *row) normalized(d time.Duration) time.Duration {
	if r == nil || r.pace.factor == 0 {
		return d
	}
	return time.Duration(float64(d) * r.pace.factor)
}

// recordWork adds a request to the work of an engine of a central pool. rate is the pool's and slots
// the number of slots of an engine.
func (r *row) recordWork(now time.Duration, a *Attempt, rate speed.TokensPerMs, slots int) {
	if a.prefill == nil {
		return
	}
	if r.pace.samples == nil {
		r.pace.samples = &speedSamples{}
	}
	a.speed = r.pace.samples
	a.speed.work.Add(now, workWindow, float64(r.prefillRate(rate).Wait(a.work.Prompt)))
	a.speed.prompts += a.work.Prompt
	a.promptsAtStart = a.speed.prompts
	a.circumstances = speed.Circumstances{Ahead: a.ahead, Running: max(r.running-r.unanswered, 0), Queued: max(r.running-slots, 0)}
}

// observeSpeed compares the wait for a first event with the wait that is expected of the median
// engine under the same circumstances. The observation applies to the start of the engine that the
// request was sent to, even if another one has the same ID by now.
func (a *Attempt) observeSpeed(now, wait time.Duration) {
	if a.speed == nil {
		return
	}
	waits := &entry(a.pool.speeds, a.poolName).waits
	c := a.circumstances
	c.Later = a.speed.prompts - a.promptsAtStart
	a.speed.Observe(now, waits.Expected(c), wait)
	waits.Observe(c, a.row.normalized(wait))
}

// updateSpeeds updates the factors of the engines of a central pool at intervals. The median of the
// estimates is the reference: if half of a pool slows down at once, none of its engines counts as
// slow, and the pool's rate alone follows.
func (p *Pool) updateSpeeds(now time.Duration, pool string) {
	if !p.central {
		return
	}
	x := entry(p.speeds, pool)
	if x.begun && now-x.updated < speedInterval {
		return
	}
	x.begun, x.updated, x.scratch = true, now, x.scratch[:0]
	for _, r := range p.rows {
		if r.Pool == pool && r.pace.known() {
			x.scratch = append(x.scratch, r.pace.samples.Ratio())
		}
	}
	if len(x.scratch) == 0 {
		return
	}
	slices.Sort(x.scratch)
	// Of two medians the slower one is the reference.
	median := x.scratch[len(x.scratch)/2]
	x.median = median
	for _, r := range p.rows {
		if r.Pool == pool && r.pace.known() {
			p.updateSpeed(now, r, median)
		}
	}
}

// updateSpeed updates the factor of one engine, given the median ratio of its pool.
func (p *Pool) updateSpeed(now time.Duration, r *row, median float64) {
	before := r.pace.factor
	factor := r.significantFactor(now, median)
	if bound := p.silenceFactor(now, r); bound > 0 {
		factor = min(cmp.Or(factor, 1), bound)
	}
	r.applyFactor(factor)
	moves := r.pace.home.update(now, cmp.Or(r.pace.factor, 1))
	if moves || r.pace.factor != before {
		p.index.activate(r)
	}
}

// applyFactor applies an estimated factor once the engine has differed from the median for long
// enough.
func (r *row) applyFactor(factor float64) {
	switch {
	case r.pace.factor != 0:
		r.pace.differing = 0
	case factor == 0:
		r.pace.differing = max(r.pace.differing-1, 0)
	default:
		r.pace.differing++
		needed := smallUpdates
		if math.Max(factor, 1/factor) >= largeDifference {
			needed = largeUpdates
		}
		if r.pace.differing < needed {
			return
		}
	}
	r.pace.factor = factor
}

// silenceFactor returns an upper bound of the factor of an engine that has reported no first event
// for much longer than the median engine takes for all waiting prompts, or 0. It shows a slow engine
// before the first events that it delays.
func (p *Pool) silenceFactor(now time.Duration, r *row) float64 {
	if r.unanswered == 0 {
		return 0
	}
	expected := entry(p.speeds, r.Pool).waits.Expected(speed.Circumstances{Ahead: r.prefillTokens, Running: r.running - r.unanswered})
	silence := now - r.lastProgress - maxReportDelays*p.reportDelay
	if expected <= 0 || silence < minSilentTime || float64(silence) < minSilence*float64(expected) {
		return 0
	}
	return quantize(float64(expected) / float64(silence))
}

// significantFactor returns the estimated factor of an engine, or 0 if it does not differ from the
// median engine.
func (r *row) significantFactor(now time.Duration, median float64) float64 {
	factor, errors := r.pace.samples.FactorTo(now, median), float64(significantErrors)
	if r.pace.factor != 0 {
		errors = insignificantErrors
	}
	if math.Abs(factor-1) <= equalSpeed || math.Abs(math.Log(factor)) <= errors*r.pace.samples.RelativeError(now) {
		return 0
	}
	return quantize(factor)
}

// known reports whether there has been a sample.
func (p *pace) known() bool { return p.samples != nil && p.samples.Known() }

// quantize rounds a factor to a power of speedStep.
func quantize(factor float64) float64 {
	return math.Pow(speedStep, math.Round(math.Log(factor)/math.Log(speedStep)))
}

// maxSpeeds bounds the list of Speeds, since each engine is a label of a metric.
const maxSpeeds = 32

// EngineSpeed is the speed of one engine.
type EngineSpeed struct {
	ID string
	// Factor is the speed that choices assume, as a multiple of the median engine's, and Estimate
	// the one that the requests show. Factor is 1 while the difference is not significant. Error is
	// the standard error of Estimate as a fraction of it.
	Factor   float64
	Estimate float64
	Error    float64
	// Age is the time since the latest sample.
	Age time.Duration
	// Work is the recent prefill time of the engine as a multiple of the mean of the pool's engines.
	Work float64
}

// Speeds returns the speeds of the engines of a pool. If there are more than maxSpeeds, it returns
// those whose estimates differ most from 1.
func (p *Pool) Speeds(now time.Duration, pool string) []EngineSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.speeds[pool]
	if x == nil || x.median == 0 {
		return nil
	}
	var out []EngineSpeed
	total, engines := 0.0, 0
	for _, r := range p.rows {
		if r.Pool != pool || !r.IsEngine() {
			continue
		}
		engines++
		if !r.pace.known() {
			continue
		}
		s := r.pace.samples
		work := s.work.Value(now, workWindow)
		total += work
		out = append(out, EngineSpeed{ID: r.ID, Factor: cmp.Or(r.pace.factor, 1), Estimate: s.FactorTo(now, x.median), Error: s.RelativeError(now),
			Age: s.Age(now), Work: work})
	}
	for i := range out {
		if total > 0 {
			out[i].Work *= float64(engines) / total
		}
	}
	slices.SortFunc(out, func(a, b EngineSpeed) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(b.Estimate)), math.Abs(math.Log(a.Estimate))), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxSpeeds)]
}

// AllSpeeds returns Speeds of all pools together, with the same bound.
func (p *Pool) AllSpeeds(now time.Duration) []EngineSpeed {
	p.mu.Lock()
	pools := slices.Sorted(maps.Keys(p.speeds))
	p.mu.Unlock()
	var out []EngineSpeed
	for _, pool := range pools {
		out = append(out, p.Speeds(now, pool)...)
	}
	slices.SortStableFunc(out, func(a, b EngineSpeed) int {
		return cmp.Compare(math.Abs(math.Log(b.Estimate)), math.Abs(math.Log(a.Estimate)))
	})
	return out[:min(len(out), maxSpeeds)]
}
