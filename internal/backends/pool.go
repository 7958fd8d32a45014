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

	"github.com/cespare/xxhash/v2"

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
	// prefill are the tokens whose reading has not ended; in a pool that drains,
	// as of readAt.
	running int
	memory  int
	prefill int
	readAt  time.Duration
	// hash is of the address, see rank.
	hash uint64
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
	// drains says that nobody tells when engines have read: what they were sent
	// counts as read at their speed.
	drains bool
	mu     sync.Mutex
	rows   map[string]*row
	// scratch is the list of candidates of the last choice.
	scratch []candidate
	// troubles are what Troubles returns next.
	troubles []coordapi.Trouble
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
	// reading is how fast the engines of a pool read, and read how much they had to,
	// by the pool's name.
	reading map[string]*speed.Reading
	read    map[string]*readings
}

// NewPool returns an empty pool as seen from a zone.
func NewPool(zone string) *Pool {
	return &Pool{zone: zone, rows: map[string]*row{}, waiting: map[*Attempt]struct{}{}, reading: map[string]*speed.Reading{},
		flows: map[string]*flow{}, read: map[string]*readings{}}
}

// NewCentralPool returns an empty pool for one that chooses for all routers. It is
// not told when engines have read a prompt.
func NewCentralPool() *Pool {
	p := NewPool("")
	p.drains = true
	return p
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
			held.Backend, held.hash = b, xxhash.Sum64String(b.Address)
			continue
		}
		p.rows[b.ID] = &row{Backend: b, hash: xxhash.Sum64String(b.Address)}
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
		p.readingsOf(q.Pool).add(now, a.reading.Rate().Wait(choice.Work.Prompt))
	}
	if r := p.rows[a.id]; r != nil {
		r.running++
		r.memory += a.work.Most
		r.prefill = p.unreadOf(now, r, p.readingOf(q.Pool).Rate()) + a.work.Prompt
		r.readAt = now
	}
	if choice.Versioned && !p.drains {
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

// unreadOf is how many of the tokens sent to an engine it has not read.
func (p *Pool) unreadOf(now time.Duration, r *row, rate speed.TokensPerMs) int {
	if !p.drains {
		return r.prefill
	}
	return max(r.prefill-rate.Tokens(now-r.readAt), 0)
}

// Unread is how many tokens an engine has still to read.
func (p *Pool) Unread(now time.Duration, id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	if r == nil {
		return 0
	}
	return p.unreadOf(now, r, p.readingOf(r.Pool).Rate())
}

// AddressOf returns where an engine is reached that holds a version of a model,
// empty when it does not or is not heard of.
func (p *Pool) AddressOf(id, model string, version int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	if r == nil || r.silent || r.wrong || r.Loading != nil {
		return ""
	}
	if held, holds := r.Weights[model]; !holds || held != version {
		return ""
	}
	return r.Address
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
	if r := a.pool.rows[a.id]; r != nil && !a.pool.drains {
		r.prefill = max(r.prefill-a.work.Prompt, 0)
	}
}

// Waited tells a pool that drains how long the first event of an attempt took.
func (a *Attempt) Waited(wait time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.reading != nil {
		a.reading.Observe(a.ahead, wait)
		a.reading = nil
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
		p.trouble(r, coordapi.Failed)
		r.failures = r.rate(now)*(1-failureGain) + failureGain
		r.failedAt = now
	})
}

// Busy notes that a back end turned a request away.
func (p *Pool) Busy(now time.Duration, id string) {
	p.with(id, func(r *row) {
		p.trouble(r, coordapi.Busy)
		r.busy = now + busyPause
	})
}

// Unreachable notes that no connection to a back end could be had.
func (p *Pool) Unreachable(now time.Duration, id string) {
	p.with(id, func(r *row) {
		p.trouble(r, coordapi.Unreachable)
		r.busy = now + unreachablePause
	})
}

// Mismatch notes that the address answered as another instance, or that the
// back end does not hold the version of a model.
func (p *Pool) Mismatch(id, model string, version int, otherInstance bool) {
	p.with(id, func(r *row) {
		if otherInstance {
			p.trouble(r, coordapi.OtherInstance)
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

// maxTroubles bounds what is kept for Troubles.
const maxTroubles = 64

// trouble keeps what an engine's attempt showed, for others to hear of.
func (p *Pool) trouble(r *row, kind coordapi.TroubleKind) {
	if len(r.Weights) > 0 && len(p.troubles) < maxTroubles && !p.drains {
		p.troubles = append(p.troubles, coordapi.Trouble{ID: r.ID, Kind: kind})
	}
}

// Troubles returns what attempts at engines have shown since the last call.
func (p *Pool) Troubles() []coordapi.Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.troubles
	p.troubles = nil
	return out
}

// Heard takes what attempts of another router have shown.
func (p *Pool) Heard(now time.Duration, troubles []coordapi.Trouble) {
	for _, t := range troubles {
		switch t.Kind {
		case coordapi.Failed:
			p.Failed(now, t.ID)
		case coordapi.Busy:
			p.Busy(now, t.ID)
		case coordapi.Unreachable:
			p.Unreachable(now, t.ID)
		case coordapi.OtherInstance:
			p.Mismatch(t.ID, "", 0, true)
		}
	}
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
