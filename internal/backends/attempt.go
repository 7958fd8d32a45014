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
		p.demandOf(q.Pool).add(now, a.reading.Rate().Wait(choice.Work.Prompt))
	}
	if r := p.rows[a.id]; r != nil {
		r.running++
		r.memory += a.work.Most
		r.prefill = p.unreadOf(now, r, p.readingOf(q.Pool).Rate()) + a.work.Prompt
		r.readAt = now
		r.await(now)
	}
	if choice.Versioned && !p.drains {
		p.waiting[a] = struct{}{}
	}
	return a
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

// Waited tells a pool that drains that the first event has come, now or since its
// last word, and how long it took.
func (a *Attempt) Waited(now, wait time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.reading != nil {
		a.reading.Observe(a.ahead, wait)
		a.reading = nil
	}
	if r := a.pool.rows[a.id]; r != nil {
		r.quietFrom = now
	}
	a.begin()
}

func (a *Attempt) begin() {
	if a.begun {
		return
	}
	a.begun = true
	delete(a.pool.waiting, a)
	r := a.pool.rows[a.id]
	switch {
	case r == nil:
	case a.pool.drains:
		r.unbegun = max(r.unbegun-1, 0)
	default:
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
