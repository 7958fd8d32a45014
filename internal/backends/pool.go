// Package backends is a router's picture of its back ends: the rows that the
// coordinators keep, joined with what the router's own requests show, and the
// choice of one for a request by filter, scorer and picker.
//
// The package does no I/O; time is an argument.
package backends

import (
	"errors"
	"maps"
	"math"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// failureGain is the weight of one outcome in a back end's failure rate.
	failureGain = 0.25
	// failureHalfLife is the time in which an old failure counts half.
	failureHalfLife = 3 * time.Second
	// busyPause is how long a back end that turned a request away is avoided.
	busyPause = 150 * time.Millisecond
	// unreachablePause is the same for one that could not be reached.
	unreachablePause = 1500 * time.Millisecond
	// latencyGain is the weight of one answer in the mean time of answers.
	latencyGain = 0.1
)

// row is one back end.
type row struct {
	state.Backend
	// silent says that the coordinators hear no heartbeat.
	silent bool
	// wrong says that the address answered as another instance.
	wrong bool
	// refused maps models to a version that the back end did not hold.
	refused map[string]int
	// running and memory are this router's requests there and their tokens;
	// prefill are the tokens whose reading has not ended.
	running int
	memory  int
	prefill int
	// others is the work of all other routers there, as of Pool.othersAt, and
	// told what this router told of its own.
	others coordapi.Load
	told   coordapi.Load
	// failures is the rate of failed requests, as of failedAt.
	failures float64
	failedAt time.Duration
	busy     time.Duration
	latency  float64
}

// Pool holds all back ends of all pools. It is safe for concurrent use.
// Lock order: mu only.
type Pool struct {
	zone string
	mu   sync.Mutex
	rows map[string]*row
	// notes is what the leader said last.
	notes coordapi.Notes
	// othersAt is when the others' work was heard of last, and othersAge how old it
	// was then.
	othersAt  time.Duration
	othersAge time.Duration
	// flows are the requests of each pool, by its name.
	flows map[string]*flow
	// waiting are the attempts whose back ends have not begun.
	waiting map[*Attempt]struct{}
	// refused counts the requests for which all engines were behind.
	refused int
	// reading is how fast the engines of a pool read, by the pool's name.
	reading map[string]*speed.Reading
}

// NewPool returns an empty pool as seen from a zone.
func NewPool(zone string) *Pool {
	return &Pool{zone: zone, rows: map[string]*row{}, waiting: map[*Attempt]struct{}{}, reading: map[string]*speed.Reading{},
		flows: map[string]*flow{}}
}

// Apply changes rows and removes departed back ends; whole replaces all.
func (p *Pool) Apply(changed []state.Backend, departed []string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		named := make(map[string]bool, len(changed))
		for _, b := range changed {
			named[b.ID] = true
		}
		maps.DeleteFunc(p.rows, func(id string, _ *row) bool { return !named[id] })
	}
	for _, b := range changed {
		if held, known := p.rows[b.ID]; known {
			held.Backend = b
			continue
		}
		p.rows[b.ID] = &row{Backend: b}
	}
	for _, id := range departed {
		delete(p.rows, id)
	}
}

// Note takes what only the leader knows.
func (p *Pool) Note(notes coordapi.Notes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = notes
	p.expire(notes.Expired)
	quiet := make(map[string]bool, len(notes.Silent))
	for _, id := range notes.Silent {
		quiet[id] = true
	}
	for id, r := range p.rows {
		r.silent = quiet[id]
	}
}

// Work is what a request takes of a back end, in tokens.
type Work struct {
	// Prompt is read before the first event; Most is the most that the request
	// may take of the memory.
	Prompt int
	Most   int
}

// Others takes the work of all routers together, this one's among it, as it was
// age ago in the mean.
func (p *Pool) Others(now time.Duration, loads []coordapi.Load, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		r.others = coordapi.Load{}
	}
	for _, l := range loads {
		if r := p.rows[l.ID]; r != nil {
			r.others = coordapi.Load{Running: max(l.Running-r.told.Running, 0), Memory: max(l.Memory-r.told.Memory, 0),
				Prompt: max(l.Prompt-r.told.Prompt, 0)}
		}
	}
	p.othersAt, p.othersAge = now, age
}

// age is how old the others' work is.
func (p *Pool) age(now time.Duration) time.Duration { return now - p.othersAt + p.othersAge }

// Own returns this router's work under way.
func (p *Pool) Own() []coordapi.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []coordapi.Load
	for id, r := range p.rows {
		r.told = coordapi.Load{ID: id, Running: r.running, Memory: r.memory, Prompt: r.prefill}
		if r.running > 0 {
			out = append(out, r.told)
		}
	}
	return out
}

// Refused returns how many requests found all engines behind since the last call.
func (p *Pool) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.refused
	p.refused = 0
	return n
}

// Attempt is a request under way at a back end.
type Attempt struct {
	pool    *Pool
	id      string
	work    Work
	model   string
	version int
	cancel  func(error)
	begun   bool
	// sent is when the request was sent, and ahead the prompt tokens that its engine
	// had to read up to its first event. reading learns from them; nil for back
	// ends without models, and once it has.
	sent    time.Duration
	ahead   int
	reading *speed.Reading
}

// ErrExpired is why an attempt is cancelled whose back end has not begun when
// the time of its weights is over.
var ErrExpired = errors.New("the back end did not begin before its weights expired")

// Begin notes that a request is sent to a chosen back end. Cancel gives the
// attempt up.
func (p *Pool) Begin(now time.Duration, choice *Choice, q *Query, cancel func(error)) *Attempt {
	a := &Attempt{pool: p, id: choice.ID, work: choice.Work, model: q.Model, version: choice.Version, cancel: cancel, sent: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flowOf(q.Pool).sent(now)
	if q.Model != "" {
		a.ahead, a.reading = choice.Ahead+choice.Work.Prompt, p.readingOf(q.Pool)
	}
	if r := p.rows[a.id]; r != nil {
		r.running++
		r.memory += a.work.Most
		r.prefill += a.work.Prompt
	}
	if choice.Versioned {
		p.waiting[a] = struct{}{}
	}
	return a
}

// flowOf returns the flow of requests to a pool.
func (p *Pool) flowOf(pool string) *flow {
	f := p.flows[pool]
	if f == nil {
		f = &flow{}
		p.flows[pool] = f
	}
	return f
}

// readingOf returns the estimate for a pool.
func (p *Pool) readingOf(pool string) *speed.Reading {
	r := p.reading[pool]
	if r == nil {
		r = &speed.Reading{}
		p.reading[pool] = r
	}
	return r
}

// Begun notes that the back end has begun to answer; ran says that it has read
// the prompt. It returns how much longer than expected that took, 0 where no time
// is expected.
func (a *Attempt) Begun(now time.Duration, ran bool) (excess time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.reading != nil && ran {
		excess = max(now-a.sent-a.reading.Rate().Wait(a.ahead), 0)
		a.reading.Observe(a.ahead, now-a.sent)
		a.reading = nil
	}
	a.begin()
	return excess
}

// Rates returns how fast the engines of each pool read, for all that is known.
func (p *Pool) Rates() map[string]speed.TokensPerMs {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]speed.TokensPerMs, len(p.reading))
	for pool, r := range p.reading {
		out[pool] = r.Rate()
	}
	return out
}

// ReadTime is about how long the engines of a pool take to read tokens.
func (p *Pool) ReadTime(pool string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readingOf(pool).Rate().Wait(tokens)
}

func (a *Attempt) begin() {
	if a.begun {
		return
	}
	a.begun = true
	delete(a.pool.waiting, a)
	if r := a.pool.rows[a.id]; r != nil {
		r.prefill = max(r.prefill-a.work.Prompt, 0)
	}
}

// End notes that the attempt is over.
func (a *Attempt) End() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.begin()
	if r := a.pool.rows[a.id]; r != nil {
		r.running = max(r.running-1, 0)
		r.memory = max(r.memory-a.work.Most, 0)
	}
}

// expire gives up the attempts whose back ends hold weights that are over.
func (p *Pool) expire(expired map[string]int) {
	for a := range p.waiting {
		if a.version < expired[a.model] {
			a.cancel(ErrExpired)
		}
	}
}

// Succeeded notes a good answer and how long it took.
func (p *Pool) Succeeded(now time.Duration, id string, took time.Duration) {
	p.with(id, func(r *row) {
		r.silent = false
		r.failures = r.rate(now) * (1 - failureGain)
		r.failedAt = now
		r.latency += latencyGain * (float64(took.Milliseconds()) - r.latency)
		p.flowOf(r.Pool).ended(took)
	})
}

// Failed notes a failed request.
func (p *Pool) Failed(now time.Duration, id string) {
	p.with(id, func(r *row) {
		r.failures = r.rate(now)*(1-failureGain) + failureGain
		r.failedAt = now
	})
}

// Busy notes that a back end turned a request away.
func (p *Pool) Busy(now time.Duration, id string) {
	p.with(id, func(r *row) { r.busy = now + busyPause })
}

// Unreachable notes that no connection to a back end could be had.
func (p *Pool) Unreachable(now time.Duration, id string) {
	p.with(id, func(r *row) { r.busy = now + unreachablePause })
}

// Mismatch notes that the address answered as another instance, or that the
// back end does not hold the version of a model.
func (p *Pool) Mismatch(id, model string, version int, otherInstance bool) {
	p.with(id, func(r *row) {
		if otherInstance {
			r.wrong = true
			return
		}
		r.refused = map[string]int{model: version}
	})
}

// Holds notes the version of a model that a back end's answer named.
func (p *Pool) Holds(id, model string, version int) {
	p.with(id, func(r *row) {
		if version > r.Weights[model] {
			weights := maps.Clone(r.Weights)
			if weights == nil {
				weights = map[string]int{}
			}
			weights[model] = version
			r.Weights = weights
		}
	})
}

func (p *Pool) with(id string, change func(r *row)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rows[id]; r != nil {
		change(r)
	}
}

// rate is the failure rate at now.
func (r *row) rate(now time.Duration) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-float64(now-r.failedAt)/float64(failureHalfLife))
}
