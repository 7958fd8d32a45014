package backends

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// Figures of the requests of a copiesRun, in tokens and steps.
const (
	copiesShared = 6300
	copiesOwn    = 2890
	copiesSteps  = 56
	copiesMemory = 113_741
	copiesParts  = 24
)

const (
	copiesTarget = time.Second
	// maxCopiesWait is the time after which a request has no use.
	maxCopiesWait = 600 * time.Millisecond
	// copiesInterval is the time between two attempts to start waiting requests.
	copiesInterval = 10 * time.Millisecond
	// maxCopiesTries bounds the waiting requests that are tried at once.
	maxCopiesTries = 50
)

// cachingEngine is a limiterEngine that keeps shared parts, those used least recently first.
type cachingEngine struct {
	limiterEngine
	parts []coordapi.PartHash
}

// prefill returns the prompt tokens of a request that the engine must process, and records the use
// of its part.
func (e *cachingEngine) prefill(part coordapi.PartHash) int {
	at := slices.Index(e.parts, part)
	if at >= 0 {
		e.parts = append(slices.Delete(e.parts, at, at+1), part)
		return copiesOwn
	}
	e.parts = append(e.parts, part)
	if free := copiesMemory - len(e.running)*(copiesOwn+copiesSteps); len(e.parts)*copiesShared > free {
		e.parts = e.parts[1:]
	}
	return copiesOwn + copiesShared
}

// copiesRun plays requests with shared parts to 12 engines, and lets those without room wait.
type copiesRun struct {
	// contended is set if the choice learns of waiting requests.
	contended bool
	perSecond float64

	pool    *Pool
	engines map[string]*cachingEngine
	waiting []*limiterRequest
	hashes  map[*limiterRequest]coordapi.PartHash
	// sent and copied are the shared tokens of all prompts and of those that an engine lacked.
	sent, copied int
	// arrived and inTime count requests.
	arrived, inTime int
}

func (run *copiesRun) play(seed uint64) {
	run.pool, run.engines, run.hashes = NewCentralPool(), map[string]*cachingEngine{}, map[*limiterRequest]coordapi.PartHash{}
	var rows []state.Backend
	for i := range 12 {
		row := state.Backend{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i), Weights: map[string]int{"m": 1}}
		rows = append(rows, row)
		run.engines[row.ID] = &cachingEngine{limiterEngine: limiterEngine{slots: believedSlots}}
	}
	run.pool.Apply(rows, nil, true)
	random := rand.New(rand.NewPCG(seed, 1))
	next := time.Duration(0)
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		for ; next <= now; next += time.Duration(random.ExpFloat64() / run.perSecond * float64(time.Second)) {
			r := &limiterRequest{sent: now, steps: copiesSteps}
			run.hashes[r] = coordapi.PartHash(copiesParts * math.Pow(random.Float64(), 2))
			run.waiting = append(run.waiting, r)
			run.arrived++
		}
		if now%copiesInterval == 0 {
			run.dispatch(now)
		}
		for _, row := range rows {
			run.engines[row.ID].advance(func(r *limiterRequest) {
				if now-r.sent <= copiesTarget {
					run.inTime++
				}
				r.FirstEventReported(now, now-r.Attempt.sent)
			}, func(r *limiterRequest) { r.End(now) })
		}
	}
}

// dispatch starts the waiting requests that find room, the oldest first, and drops those that have
// waited too long.
func (run *copiesRun) dispatch(now time.Duration) {
	contended := run.contended && len(run.waiting) > 0 && now > run.waiting[0].sent+copiesInterval
	tries := 0
	run.waiting = slices.DeleteFunc(run.waiting, func(r *limiterRequest) bool {
		if now-r.sent > maxCopiesWait {
			return true
		}
		tries++
		return tries <= maxCopiesTries && run.start(now, r, contended)
	})
}

// start sends a request to an engine with room and returns false if there is none.
func (run *copiesRun) start(now time.Duration, r *limiterRequest, contended bool) bool {
	part := run.hashes[r]
	q := Query{Pool: "llm", Model: "m", Key: fmt.Sprint(part), Shared: copiesShared, Slots: believedSlots, Capacity: copiesMemory, Target: copiesTarget,
		GapTarget: 400 * time.Millisecond, Patience: 200 * time.Millisecond, Work: Work{Prompt: copiesOwn, Most: copiesShared + copiesOwn + copiesSteps},
		Parts: []coordapi.Part{{Hash: part, Tokens: copiesShared}}, Room: true, Contended: contended}
	choice, found := run.pool.Choose(now, &q)
	if !found {
		return false
	}
	r.Attempt = run.pool.Begin(now, &choice, &q, func(error) {})
	e := run.engines[choice.ID]
	tokens := e.prefill(part)
	run.sent += copiesShared
	run.copied += tokens - copiesOwn
	r.prompt = float64(tokens)
	e.queued = append(e.queued, r)
	return true
}

func playCopies(contended bool, perSecond float64, seed uint64) *copiesRun {
	run := &copiesRun{contended: contended, perSecond: perSecond}
	run.play(seed)
	return run
}

// copiedShare returns the share of the shared tokens that were processed again.
func (run *copiesRun) copiedShare() float64 { return float64(run.copied) / float64(run.sent) }

// Guards against engines that spend their prefill time on copies of shared parts under overload. The
// engines could process about 380 prompts per second without copies.
func TestContendedChoiceServesMoreWithFewerCopies(t *testing.T) {
	for seed := range uint64(2) {
		before, after := playCopies(false, 400, seed), playCopies(true, 400, seed)
		t.Logf("of %d: %d in time, %.3f copied; if the choice knows of waiting requests %d and %.3f", before.arrived, before.inTime, before.copiedShare(), after.inTime, after.copiedShare())
		assert.Assert(t, after.copiedShare() < 0.06)
		assert.Assert(t, float64(after.inTime) > 1.05*float64(before.inTime))
	}
}

// Without overload both are alike.
func TestContendedChoiceWithoutOverload(t *testing.T) {
	before, after := playCopies(false, 200, 0), playCopies(true, 200, 0)
	assert.Equal(t, before.inTime, after.inTime)
	assert.Equal(t, before.copied, after.copied)
	assert.Assert(t, float64(after.inTime) > 0.97*float64(after.arrived))
}
