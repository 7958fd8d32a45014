package backends

import (
	"errors"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// Work is the load that a request puts on a back end, in tokens.
type Work struct {
	// Prompt is the number of prompt tokens to process before the first event. Most is the upper
	// bound of the memory that the request takes.
	Prompt int
	Most   int
}

// Attempt is a request in flight at a back end.
type Attempt struct {
	pool *Pool
	// poolName and backendID identify where the request runs.
	poolName  string
	backendID string
	// row is the row at the beginning, nil if there was none.
	row     *row
	work    Work
	model   string
	version int
	cancel  func(error)
	started bool
	// trial marks a request that tests whether a back end has recovered from a pushback.
	trial bool
	// sent is the time at which the request was sent, and ahead the number of prompt tokens to
	// process up to and including this request's. prefill is the estimator that observes them;
	// it is nil for back ends without models and after the first observation.
	sent    time.Duration
	ahead   int
	prefill *speed.Estimator
	// speed observes the speed of the engine's current start; it is nil outside a central pool.
	speed *speedSamples
	// circumstances are the causes of the wait that were known at the start, and promptsAtStart is
	// the number of prompt tokens sent to the engine until then. They belong to speed.
	circumstances  speed.Circumstances
	promptsAtStart int
	// fetches is set if the engine fetches cached parts from a store first, so that its wait
	// is no sample of the prefill rate.
	fetches bool
	// holding is what the attempt takes of its engine's room while holds is set, and target the
	// request's latency target. They are used in a central pool only.
	holding holding
	holds   bool
	target  time.Duration
}

// ErrExpired is the cause of cancellation of an attempt whose back end had not begun to answer
// when its weights expired.
var ErrExpired = errors.New("the back end did not begin to answer before its weights expired")

// Begin records that a request is sent to a chosen back end. The pool calls cancel to abort the
// attempt, with AddressReused only if it runs at a start that has ended; it may repeat that.
func (p *Pool) Begin(now time.Duration, choice *Choice, q *Query, cancel func(error)) *Attempt {
	a := &Attempt{pool: p, poolName: q.Pool, backendID: choice.ID, work: choice.Work, model: q.Model, version: choice.Version, cancel: cancel, sent: now, target: q.Target}
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := entry(p.prefill, q.Pool)
	if q.Model != "" {
		a.ahead, a.prefill = choice.Ahead+choice.Work.Prompt, prefill
	}
	r := p.rowOf(choice, q)
	a.row = r
	if r != nil {
		p.index.activate(r)
		r.running++
		r.memory += a.work.Most
		r.prefillTokens += a.work.Prompt
		if a.trial = r.recovering; a.trial {
			r.trials++
		}
	}
	if p.central {
		p.recordPlacement(now, a, r, q, prefill.Rate())
		p.hold(a, q)
		return a
	}
	entry(p.flows, q.Pool).sent(now)
	if r != nil {
		r.addAttempt(a)
	}
	if choice.Versioned {
		p.waiting[a] = struct{}{}
	}
	return a
}

// Born returns the start time of the attempt's back end, 0 if it is not known.
func (a *Attempt) Born() state.UnixMilli {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.row == nil {
		return 0
	}
	return a.row.Born
}

// Allowed returns nil if the request may still be sent, else an error that matches
// pushback.ErrUnavailable: since the choice, a view has shown that the back end is draining or has
// departed.
func (a *Attempt) Allowed() error {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.row == nil || !(a.row.Draining || a.row.departed) {
		return nil
	}
	a.pool.SendsWithheld.Add(1)
	if a.row.departed {
		return fmt.Errorf("%w: departed", pushback.ErrUnavailable)
	}
	return fmt.Errorf("%w: draining", pushback.ErrUnavailable)
}

// SetFetches marks that the engine fetches cached parts from a store before it processes the
// prompt.
func (a *Attempt) SetFetches() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.fetches = true
}

// recordPlacement keeps the state of an attempt that only a central pool needs.
func (p *Pool) recordPlacement(now time.Duration, a *Attempt, r *row, q *Query, rate speed.TokensPerMs) {
	if a.prefill != nil {
		entry(p.demands, q.Pool).prefill.Add(now, demandWindow, float64(r.prefillRate(rate).Wait(a.work.Prompt)))
	}
	if r != nil {
		r.recordSent(now)
		r.recordWork(now, a, rate, q.Slots)
	}
}

// observeWait adds the wait for the first event to the prefill estimate, once per attempt. It
// returns by how much the wait exceeds the expected one, or 0 if no wait is expected.
func (a *Attempt) observeWait(now, wait time.Duration) (excess time.Duration) {
	if a.prefill == nil {
		return 0
	}
	excess = max(wait-a.row.prefillRate(a.prefill.Rate()).Wait(a.ahead), 0)
	if !a.fetches {
		a.observeSpeed(now, wait)
		a.prefill.Observe(a.ahead, a.row.normalized(wait))
	}
	a.prefill = nil
	return excess
}

// Begun records that the back end has begun to answer; ran is set if it has processed the prompt.
// It returns by how much the wait exceeds the expected one, or 0 if no wait is expected.
func (a *Attempt) Begun(now time.Duration, ran bool) (excess time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if ran {
		excess = a.observeWait(now, now-a.sent)
		a.markRecovered()
	}
	a.markStarted()
	return excess
}

// FirstEventReported records in a central pool that a router has received the first event, wait
// after the request was sent. It returns by how much the wait exceeds the expected one, or 0 if
// no wait is expected.
func (a *Attempt) FirstEventReported(now, wait time.Duration) (excess time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.observeLimit(now, wait)
	excess = a.observeWait(now, wait)
	a.markRecovered()
	first := min(a.sent+wait, now)
	a.pool.reportDelay += time.Duration(reportWeight * float64(now-first-a.pool.reportDelay))
	if r := a.pool.rows[a.backendID]; r != nil {
		r.lastProgress = now
		r.prefillStart = max(r.prefillStart, first)
	}
	a.markStarted()
	return excess
}

// FirstEventAt returns the back end of the attempt and the time of its first event, which a router
// received wait after the request was sent.
func (a *Attempt) FirstEventAt(now, wait time.Duration) (backend string, at time.Duration) {
	return a.backendID, min(a.sent+wait, now)
}

// markRecovered ends the recovery of the back end if the attempt was a trial.
func (a *Attempt) markRecovered() {
	if r := a.pool.rows[a.backendID]; r != nil && a.trial {
		r.recovering = false
	}
}

func (a *Attempt) markStarted() {
	if a.started {
		return
	}
	a.started = true
	delete(a.pool.waiting, a)
	if r := a.pool.rows[a.backendID]; r != nil {
		r.unanswered = max(r.unanswered-1, 0)
		r.prefillTokens = max(r.prefillTokens-a.work.Prompt, 0)
		if a.trial {
			r.trials = max(r.trials-1, 0)
		}
	}
}

// End records that the attempt is over and releases its load.
func (a *Attempt) End(now time.Duration) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.pool.central && a.started {
		entry(a.pool.flows, a.poolName).ended(a.row.normalized(now - a.sent))
	}
	a.markStarted()
	a.release(now)
	if r := a.pool.rows[a.backendID]; r != nil {
		delete(r.attempts, a)
		r.running = max(r.running-1, 0)
		r.memory = max(r.memory-a.work.Most, 0)
		if r.unlisted && r.running == 0 {
			delete(a.pool.rows, a.backendID)
		}
	}
}

// cancelExpired cancels the attempts that still wait at back ends with expired weights. expired
// maps models to the lowest version that is still valid.
func (p *Pool) cancelExpired(expired map[string]int) {
	for a := range p.waiting {
		if a.version < expired[a.model] {
			a.cancel(ErrExpired)
		}
	}
}
