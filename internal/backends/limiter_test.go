package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/concurrency"
	"quinceridge.example/quinceridge/internal/state"
)

// limiterRequest is a request at a limiterEngine, which must process prompt tokens and then steps
// events.
type limiterRequest struct {
	*Attempt
	sent   time.Duration
	prompt float64
	steps  float64
	began  bool
}

// limiterEngine runs as many requests as it has slots and queues the others. Each request that runs
// slows down the steps of all; prompts are processed one after the other.
type limiterEngine struct {
	slots           int
	running, queued []*limiterRequest
}

// Figures of an engine: prefill in tokens per ms, a step in ms, and its increase for each running
// request.
const (
	modelPrefill      = 92
	modelStep         = 3.03
	modelStepIncrease = 0.121
)

// advance runs the engine for one millisecond. It calls began and ended for requests that give
// their first event and their last.
func (e *limiterEngine) advance(began, ended func(*limiterRequest)) {
	for len(e.queued) > 0 && len(e.running) < e.slots {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	budget := float64(modelPrefill)
	steps := 1 / (modelStep + modelStepIncrease*float64(len(e.running)))
	kept := e.running[:0]
	for _, r := range e.running {
		done := min(budget, r.prompt)
		r.prompt -= done
		budget -= done
		if r.prompt == 0 {
			r.steps -= steps
			if !r.began {
				r.began = true
				began(r)
			}
		}
		if r.steps > 0 {
			kept = append(kept, r)
			continue
		}
		ended(r)
	}
	e.running = kept
}

// limiterRun plays requests to a pool of engines with a believed number of slots.
type limiterRun struct {
	limiter func() concurrency.Limiter
	seed    uint64
	// slots are the actual ones of each engine.
	slots []int
	// perSecond is the arrival rate at each engine.
	perSecond float64
	// admitted counts the requests sent to engines in the second half of the run, and inTime those
	// whose first event met the target.
	admitted, inTime int
	// factors are the factors of the engines at the end.
	factors []float64
	// reports are the first events that the pool has yet to receive.
	reports []report
}

// report is a first event that the pool receives at the time due.
type report struct {
	due, wait time.Duration
	attempt   *Attempt
}

const (
	believedSlots = 64
	runTime       = 30 * time.Second
	runTarget     = 400 * time.Millisecond
	reportTime    = 100 * time.Millisecond
)

func (run *limiterRun) play() {
	p := NewCentralPool()
	p.newLimiter = run.limiter
	engines := map[string]*limiterEngine{}
	var rows []state.Backend
	for i, slots := range run.slots {
		row := state.Backend{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i), Slots: believedSlots, Weights: map[string]int{"m": 1}}
		rows = append(rows, row)
		engines[row.ID] = &limiterEngine{slots: slots}
	}
	p.Apply(rows, nil, true)
	random := rand.New(rand.NewPCG(run.seed, 1))
	next := time.Duration(0)
	for now := time.Duration(0); now < runTime; now += time.Millisecond {
		for ; next <= now; next += time.Duration(random.ExpFloat64() / run.perSecond / float64(len(rows)) * float64(time.Second)) {
			run.arrive(p, now, random, engines)
		}
		for ; len(run.reports) > 0 && run.reports[0].due <= now; run.reports = run.reports[1:] {
			run.reports[0].attempt.FirstEventReported(now, run.reports[0].wait)
		}
		for _, row := range rows {
			engines[row.ID].advance(func(r *limiterRequest) {
				if now-r.sent <= runTarget && r.sent > runTime/2 {
					run.inTime++
				}
				run.reports = append(run.reports, report{now + reportTime, now - r.sent, r.Attempt})
			}, func(r *limiterRequest) { r.End(now) })
		}
	}
	for _, row := range rows {
		run.factors = append(run.factors, p.rows[row.ID].limitFactor())
	}
}

// arrive sends a request to an engine with room, if there is one.
func (run *limiterRun) arrive(p *Pool, now time.Duration, random *rand.Rand, engines map[string]*limiterEngine) {
	// The memory is for about 45 requests, which take 1,150 tokens each.
	q := Query{Pool: "llm", Model: "m", Slots: believedSlots, Capacity: 61_500, Room: true, Target: runTarget,
		Work: Work{Prompt: 400 + random.IntN(800), Most: 1500}, Draw: random.Float64()}
	counts := now > runTime/2
	choice, found := p.Choose(now, &q)
	if !found {
		return
	}
	if counts {
		run.admitted++
	}
	a := p.Begin(now, &choice, &q, func(error) {})
	e := engines[choice.ID]
	e.queued = append(e.queued, &limiterRequest{Attempt: a, sent: now, prompt: float64(q.Work.Prompt), steps: 200 + 200*random.Float64()})
}

func playLimiter(limiter func() concurrency.Limiter, seed uint64, perSecond float64, slots ...int) *limiterRun {
	run := &limiterRun{limiter: limiter, seed: seed, perSecond: perSecond, slots: slots}
	run.play()
	return run
}

// share returns the share of the admitted requests that were in time.
func (run *limiterRun) share() float64 { return float64(run.inTime) / float64(run.admitted) }

// overloadRates are arrival rates at an engine that runs about 18 requests per second.
var overloadRates = []float64{20, 120}

// Guards against an adaptive limit that wastes the capacity of engines which have as much as
// believed.
func TestLimitersWithBelievedCapacity(t *testing.T) {
	for seed := range uint64(2) {
		for _, rate := range append([]float64{10}, overloadRates...) {
			static := playLimiter(concurrency.NewStatic, seed, rate, 64, 64, 64, 64)
			adaptive := playLimiter(concurrency.NewAdaptive, seed, rate, 64, 64, 64, 64)
			t.Logf("at %v per second: static %d of %d in time, adaptive %d of %d %.2f", rate, static.inTime, static.admitted, adaptive.inTime, adaptive.admitted, adaptive.factors)
			assert.Assert(t, static.share() > 0.99)
			assert.Assert(t, adaptive.share() > 0.99)
			assert.Assert(t, float64(adaptive.inTime) > 0.99*float64(static.inTime))
		}
	}
}

// Guards against an adaptive limit that does not fall to the capacity of engines which have less
// than believed, while a static one lets requests queue there.
func TestLimitersWithLessThanBelievedCapacity(t *testing.T) {
	for _, test := range []struct {
		slots                  []int
		staticMost, adaptLeast float64
	}{{[]int{64, 64, 64, 24}, 0.85, 0.98}, {[]int{24, 24, 24, 24}, 0.05, 0.95}} {
		for seed := range uint64(2) {
			for _, rate := range overloadRates {
				static := playLimiter(concurrency.NewStatic, seed, rate, test.slots...)
				adaptive := playLimiter(concurrency.NewAdaptive, seed, rate, test.slots...)
				t.Logf("%v at %v per second: static %d of %d in time, adaptive %d of %d %.2f", test.slots, rate, static.inTime, static.admitted, adaptive.inTime, adaptive.admitted, adaptive.factors)
				assert.Assert(t, static.share() < test.staticMost)
				assert.Assert(t, adaptive.share() > test.adaptLeast)
			}
		}
	}
}
