package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// maxHedges bounds the hedges of one request: each processes its prompt anew.
const maxHedges = 3

// race holds the open attempts of a request: the present one, whose response is forwarded, and its
// hedges, which begin while the present one is silent. None is ended before another one has an answer:
// the first that has one is kept. A back end that is silent may go on.
type race struct {
	handler *Handler
	session *session
	// ctx is that of the request.
	ctx context.Context

	// mu guards what follows, the session's position and the job's tally.
	mu      sync.Mutex
	present *attempt
	// forwarding is set while an event of the present attempt is being forwarded.
	forwarding bool
	// pending are the hedges without an answer, and winner is the one whose answer replaces the present
	// attempt.
	pending []*hedge
	winner  *hedge
	// spent is what ended hedges did; it is added to the job once the present attempt has ended.
	spent hedgeRecord
	// vain are the back ends of hedges that the first attempt has outrun. They may have run the request,
	// and it may be sent to them again. vainRelays counts such hedges through other routers, and sent
	// all hedges that were sent.
	vain             []string
	vainRelays, sent int
	// lastHedge is what became of the last hedge, for the log.
	lastHedge string
	// waiting counts the attempts that wait in admit.
	waiting int
	// uncounted is set while the present attempt has ended and is not in the job's tally.
	uncounted bool
	// changed receives when a hedge ends.
	changed chan struct{}
}

func newRace(ctx context.Context, s *session) *race {
	return &race{handler: s.handler, session: s, ctx: ctx, changed: make(chan struct{}, 1)}
}

// begin records that an attempt is open. An attempt that is not of a hedge is the present one.
func (r *race) begin(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := a.session.hedge; g != nil {
		g.attempt = a
		r.sent++
		r.vain = slices.DeleteFunc(r.vain, func(id string) bool { return id == a.choice.ID })
		a.unsent = errors.Is(g.cause, errUnidentified)
		return
	}
	r.present = a
	if r.winner != nil {
		a.cancel(errReplaced)
	}
}

// end records that an attempt is over. No hedge begins from it any more.
func (r *race) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present == a {
		r.present, r.forwarding, r.uncounted = nil, false, !a.unsent
	}
	if g := a.session.hedge; g != nil && g.attempt == a {
		g.attempt, g.last, g.uncounted = nil, a, !a.unsent
	}
}

// goesOn records that the present attempt has an answer, which is being forwarded until forwarded is
// called. It returns false if a hedge has replaced the attempt.
func (r *race) goesOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return false
	}
	r.forwarding = true
	r.outrun()
	return true
}

// forwarded records that the last event has been forwarded, or dropped.
func (r *race) forwarded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwarding = false
}

// outrun cancels the pending hedges. The lock is held.
func (r *race) outrun() {
	for _, g := range r.pending {
		g.cancel(errOutrun)
	}
	r.pending = nil
}

// close cancels what is still open.
func (r *race) close() {
	r.mu.Lock()
	g := r.winner
	r.present, r.winner = nil, nil
	r.outrun()
	r.mu.Unlock()
	if g != nil {
		g.attempt.close()
		g.session.job.memory.Release()
	}
}

// advance changes the session's position.
func (r *race) advance(change func(p *position)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.session.position)
}

// count counts an attempt that ended without a response for the client.
func (r *race) count(result outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.session.job.count(result)
	r.uncounted = false
}

// countHedge counts an attempt of a hedge that ended without an answer.
func (r *race) countHedge(g *hedge, result outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g.session.job.count(result)
	g.ran, g.uncounted = g.session.job.ran-g.base.ran, false
}

// open reports whether an attempt is the present one or that of a pending hedge. The lock is held.
func (r *race) open(a *attempt) bool {
	return a == r.present || slices.ContainsFunc(r.pending, func(g *hedge) bool { return g.attempt == a })
}

// openAttempts returns the attempts that are open. The lock is held.
func (r *race) openAttempts() (open []*attempt) {
	if r.present != nil {
		open = append(open, r.present)
	}
	for _, g := range r.pending {
		if g.attempt != nil {
			open = append(open, g.attempt)
		}
	}
	return open
}

// hedge begins a further attempt beside a silent one, unless one is running or none is allowed.
func (r *race) hedge(from *attempt, cause error) {
	h := r.handler
	now := h.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.open(from) || r.forwarding || r.winner != nil || r.ctx.Err() != nil {
		return
	}
	if from.silent = true; from.unsent {
		cause = errUnidentified
	}
	if from.hedged || !from.backoff.Ready(now) || r.waiting > 0 {
		return
	}
	j, allowed := r.fork(cause)
	if !allowed {
		return
	}
	from.hedged = true
	g := &hedge{race: r, from: from, cause: cause, began: now, base: j.tally}
	g.ctx, g.cancel = context.WithCancelCause(r.ctx)
	g.session = &session{handler: h, job: j, race: r, hedge: g, position: r.session.position}
	r.pending = append(r.pending, g)
	h.hedges.Go(g.run)
}

// running returns the number of attempts that may run the request and are not counted. The lock is held.
func (r *race) running() (n int) {
	if r.uncounted {
		n++
	}
	for _, g := range r.pending {
		if g.uncounted {
			n++
		}
	}
	for _, a := range r.openAttempts() {
		if !a.hold.isStopped() && !a.unsent {
			n++
		}
	}
	return n
}

// fork returns a copy of the request's job for a further attempt beside the open ones, which count as
// attempts that may have run unless their request is unread. Allowed is false if the route permits no
// other back end than those. The lock is held.
func (r *race) fork(cause error) (j *job, allowed bool) {
	open, running := r.openAttempts(), r.running()
	if errors.Is(cause, errUnread) {
		running--
	}
	if !r.mayOpen(running) {
		return nil, false
	}
	j = r.session.job.fork(open, &r.spent)
	j.ran -= len(open) - running
	if noFurther(j, &r.session.position) != "" {
		return nil, false
	}
	r.restrict(j)
	if r.usedUp(j) && len(j.query.Among) == 0 {
		return nil, false
	}
	j.memory = r.handler.config.Memory.NewReservation()
	return j, true
}

// mayOpen reports whether the route permits a further attempt beside a number of open ones. The lock is
// held.
func (r *race) mayOpen(open int) bool {
	j := r.session.job
	engines := j.ran + r.spent.ran + open + len(r.vain) + r.vainRelays
	return j.route.Retryable() && r.sent < maxHedges && (len(r.vain) > 0 || engines < max(j.route.MaxAttempts, 1))
}

// mayHedge reports whether the route allows a further attempt beside this one.
func (a *attempt) mayHedge() bool {
	r := a.session.race
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayOpen(1)
}

// usedUp reports whether a back end that has not had the request yet would exceed the attempts of the
// route. The lock is held.
func (r *race) usedUp(j *job) bool {
	return j.ran+len(r.vain)+r.vainRelays >= max(j.route.MaxAttempts, 1)
}

// restrict limits the choice of a back end to those that have had the request in vain, if others would
// exceed the attempts of the route. The lock is held.
func (r *race) restrict(j *job) {
	j.query.Among = nil
	if len(r.vain) == 0 || !r.usedUp(j) {
		return
	}
	for _, id := range r.vain {
		if !slices.Contains(j.query.Tried, id) {
			j.query.Among = append(j.query.Among, id)
		}
	}
}

// restrictChoice is restrict for the request's own job.
func (r *race) restrictChoice() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restrict(r.session.job)
}

// recordVain records that a hedge was outrun after it was sent. The lock is held.
func (r *race) recordVain(g *hedge) {
	r.spent.trace = append(r.spent.trace, g.session.job.trace...)
	r.spent.prefills = append(r.spent.prefills, g.session.job.prefills...)
	switch {
	case g.last == nil, !g.last.written && g.last.relay == "":
	case g.last.relay != "":
		r.vainRelays++
	case !slices.Contains(r.vain, g.last.choice.ID):
		r.vain = append(r.vain, g.last.choice.ID)
	}
}

// last returns what became of the last hedge, for the log.
func (r *race) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastHedge
}

// signal wakes await. The lock is held.
func (r *race) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// await returns the hedge that goes on with the request after the present attempt has ended. It waits
// while hedges are pending, and returns nil if there is none.
func (r *race) await() *hedge {
	for {
		r.mu.Lock()
		r.spent.moveTo(r.session.job)
		g, pending := r.winner, len(r.pending)
		if r.winner = nil; g != nil {
			r.present = g.attempt
		}
		r.mu.Unlock()
		if g != nil || pending == 0 {
			return g
		}
		select {
		case <-r.changed:
		case <-r.ctx.Done():
			r.countPending()
			return nil
		}
	}
}

// countPending counts the attempts of pending hedges that may run the request, which ends before them.
func (r *race) countPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := r.running()
	for _, g := range r.pending {
		ran += g.ran
	}
	r.session.job.ran += ran
}
