package backends

import (
	"errors"
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// Work is what a request takes of a back end, in tokens.
type Work struct {
	// Prompt is read before the first event; Most is the most that the request
	// may take of the memory.
	Prompt int
	Most   int
}

// Attempt is a request under way at a back end.
type Attempt struct {
	pool *Pool
	// name is the pool's and id the back end's.
	name    string
	id      string
	work    Work
	model   string
	version int
	cancel  func(error)
	begun   bool
	// trial says that it shows whether a back end that pushed back is well again.
	trial bool
	// sent is when the request was sent, and ahead the prompt tokens that its engine
	// had to read up to its first event. reading learns from them; nil for back
	// ends without models, and once it has.
	sent    time.Duration
	ahead   int
	reading *speed.Estimator
	// moves says that its engine takes kept parts from a store first: how long it waits
	// tells nothing of reading.
	moves bool
}

// ErrExpired is why an attempt is cancelled whose back end has not begun when
// the time of its weights is over.
var ErrExpired = errors.New("the back end did not begin before its weights expired")

// Begin notes that a request is sent to a chosen back end. Cancel gives the
// attempt up.
func (p *Pool) Begin(now time.Duration, choice *Choice, q *Query, cancel func(error)) *Attempt {
	a := &Attempt{pool: p, name: q.Pool, id: choice.ID, work: choice.Work, model: q.Model, version: choice.Version, cancel: cancel, sent: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	reading := entry(p.reading, q.Pool)
	if q.Model != "" {
		a.ahead, a.reading = choice.Ahead+choice.Work.Prompt, reading
	}
	r := p.rowOf(choice, q)
	if r != nil {
		p.index.activate(r)
		r.running++
		r.memory += a.work.Most
		r.prefill += a.work.Prompt
		if a.trial = r.recovering; a.trial {
			r.trials++
		}
	}
	if p.drains {
		p.placed(now, a, r, entry(p.demands, q.Pool), reading.Rate())
		return a
	}
	entry(p.flows, q.Pool).sent(now)
	if r != nil {
		r.opened(a)
	}
	if choice.Versioned {
		p.waiting[a] = struct{}{}
	}
	return a
}

// SetFetches says that the engine takes kept parts from a store before it reads.
func (a *Attempt) SetFetches() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.moves = true
}

// placed notes what only a pool that drains keeps of an attempt.
func (p *Pool) placed(now time.Duration, a *Attempt, r *row, d *demand, rate speed.TokensPerMs) {
	if a.reading != nil {
		d.reading.Add(now, demandTime, float64(rate.Wait(a.work.Prompt)))
	}
	if r != nil {
		r.await(now)
	}
}

// learn teaches the reading speed, once. It returns how much longer than expected
// the first event took, 0 where no time is expected.
func (a *Attempt) learn(wait time.Duration) (excess time.Duration) {
	if a.reading == nil {
		return 0
	}
	excess = max(wait-a.reading.Rate().Wait(a.ahead), 0)
	if !a.moves {
		a.reading.Observe(a.ahead, wait)
	}
	a.reading = nil
	return excess
}

// Begun notes that the back end has begun to answer; ran says that it has read
// the prompt. It returns how much longer than expected that took, 0 where no time
// is expected.
func (a *Attempt) Begun(now time.Duration, ran bool) (excess time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if ran {
		excess = a.learn(now - a.sent)
		a.recovered()
	}
	a.begin()
	return excess
}

// FirstEventReported tells a pool that drains that the first event has come, now or since its
// last word, and how long it took. It returns how much longer than expected that
// was, 0 where no time is expected.
func (a *Attempt) FirstEventReported(now, wait time.Duration) (excess time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	excess = a.learn(wait)
	a.recovered()
	first := min(a.sent+wait, now)
	a.pool.reportDelay += time.Duration(reportGain * float64(now-first-a.pool.reportDelay))
	if r := a.pool.rows[a.id]; r != nil {
		r.quietFrom = now
		r.readFrom = max(r.readFrom, first)
	}
	a.begin()
	return excess
}

// recovered notes that the back end has begun a request.
func (a *Attempt) recovered() {
	if r := a.pool.rows[a.id]; r != nil && a.trial {
		r.recovering = false
	}
}

func (a *Attempt) begin() {
	if a.begun {
		return
	}
	a.begun = true
	delete(a.pool.waiting, a)
	if r := a.pool.rows[a.id]; r != nil {
		r.unbegun = max(r.unbegun-1, 0)
		r.prefill = max(r.prefill-a.work.Prompt, 0)
		if a.trial {
			r.trials = max(r.trials-1, 0)
		}
	}
}

// End notes that the attempt is over.
func (a *Attempt) End(now time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.pool.drains && a.begun {
		entry(a.pool.flows, a.name).ended(now - a.sent)
	}
	a.begin()
	if r := a.pool.rows[a.id]; r != nil {
		delete(r.open, a)
		r.running = max(r.running-1, 0)
		r.memory = max(r.memory-a.work.Most, 0)
		if r.unlisted && r.running == 0 {
			delete(a.pool.rows, a.id)
		}
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
