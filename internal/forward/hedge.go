package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
)

var (
	// errOutrun is the cause of cancellation of an attempt beside which another one was answered first.
	errOutrun = errors.New("another attempt was answered first")
	// errReplaced is errOutrun for an attempt at a silent back end.
	errReplaced = fmt.Errorf("%w, while the back end was silent", errOutrun)
)

// Results of hedges, for the log and metrics.
const (
	hedgeTookOver  = "took over"
	hedgeInVain    = "in vain"
	hedgeFailed    = "failed"
	hedgeNotPlaced = "not placed"
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
	// changed receives when a hedge ends.
	changed chan struct{}
}

// hedge is a further attempt of a request while another one is open.
type hedge struct {
	race *race
	// from is the silent attempt, and cause why it is taken for silent.
	from  *attempt
	cause error
	// session is a copy that has no client, with a copy of the job.
	session *session
	// base is the record of the copy before the hedge.
	base   tally
	ctx    context.Context
	cancel context.CancelCauseFunc
	began  time.Duration
	// attempt is the open attempt, nil if there is none, and last the one before.
	attempt, last *attempt
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
		r.present, r.forwarding = nil, false
	}
	if g := a.session.hedge; g != nil && g.attempt == a {
		g.attempt, g.last = nil, a
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
	if !r.open(from) || r.forwarding || from.hedging || !from.backoff.Ready(now) || r.winner != nil || r.ctx.Err() != nil {
		return
	}
	j, allowed := r.fork()
	if !allowed {
		return
	}
	from.hedging = true
	g := &hedge{race: r, from: from, cause: cause, began: now, base: j.tally}
	g.ctx, g.cancel = context.WithCancelCause(r.ctx)
	g.session = &session{handler: h, job: j, race: r, hedge: g, position: r.session.position}
	r.pending = append(r.pending, g)
	h.hedges.Go(g.run)
}

// fork returns a copy of the request's job for a further attempt beside the open ones, which count as
// attempts that may have run. Allowed is false if the route permits no other back end than those that
// are open. The lock is held.
func (r *race) fork() (j *job, allowed bool) {
	open := r.openAttempts()
	if !r.mayOpen(len(open)) {
		return nil, false
	}
	j = r.session.job.fork(open, &r.spent)
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

// run looks for a place, sends the request and waits for the first answer.
func (g *hedge) run() {
	h := g.handler()
	a, reason := g.seek()
	if a != nil {
		// The connection is kept only if its request was not cancelled before the response was closed.
		a.onClose = slices.Insert(a.onClose, 0, func() { g.cancel(nil) })
		if g.claim() {
			h.metrics.hedges.tookOver.Add(1)
			if isUnresponsive(g.cause) || errors.Is(g.cause, errPathLost) {
				h.metrics.resumedUnresponsive.Add(1)
			}
			g.log(hedgeTookOver, "", a)
			return
		}
		reason = errOutrun.Error()
		g.race.end(a)
		h.recordEnd(g.session, a, outcome{verdict: mayHaveRun, err: errOutrun, delivered: true})
		a.close()
	}
	g.session.job.memory.Release()
	g.lose(reason)
	g.cancel(nil)
}

func (g *hedge) handler() *Handler { return g.race.handler }

// claim replaces the present attempt if it is still silent.
func (g *hedge) claim() bool {
	r := g.race
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.Index(r.pending, g)
	if at < 0 || r.winner != nil || r.ctx.Err() != nil {
		return false
	}
	r.pending = slices.Delete(r.pending, at, at+1)
	r.outrun()
	r.winner = g
	if r.present != nil {
		r.present.cancel(fmt.Errorf("%w: %w", errReplaced, g.cause))
	}
	r.signal()
	return true
}

// lose records that the hedge has no answer.
func (g *hedge) lose(reason string) {
	r, h := g.race, g.handler()
	outrun := errors.Is(context.Cause(g.ctx), errOutrun)
	result, logged := hedgeNotPlaced, true
	r.mu.Lock()
	r.pending = slices.DeleteFunc(r.pending, func(other *hedge) bool { return other == g })
	g.from.hedging = false
	switch {
	case outrun:
		g.from.backoff.Reset()
		result, logged = hedgeInVain, g.last != nil
		r.recordVain(g)
	case g.last != nil:
		result = hedgeFailed
		g.from.backoff.Failed(h.now())
		r.spent.add(g)
	default:
		logged = g.from.backoff.Failed(h.now())
	}
	r.lastHedge = result + ": " + reason
	r.signal()
	r.mu.Unlock()
	if g.last != nil || !outrun {
		h.metrics.hedges.count(result)
	}
	if logged {
		g.log(result, reason, g.last)
	}
}

// recordVain records that a hedge was outrun after it was sent. The lock is held.
func (r *race) recordVain(g *hedge) {
	r.spent.trace = append(r.spent.trace, g.session.job.trace...)
	r.spent.prefills = append(r.spent.prefills, g.session.job.prefills...)
	switch {
	case g.last == nil:
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
			return nil
		}
	}
}

// adopt makes the attempt of a hedge that of the session.
func (s *session) adopt(g *hedge) *attempt {
	a, j, forked := g.attempt, s.job, g.session.job
	s.race.mu.Lock()
	s.race.spent.add(g)
	s.race.spent.moveTo(j)
	if a.relay == "" {
		j.query.Tried = union(j.query.Tried, []string{a.choice.ID})
	}
	s.race.mu.Unlock()
	j.request, j.viewRevision, j.viewAge, j.standalone = forked.request, forked.viewRevision, forked.viewAge, forked.standalone
	s.attempted, s.attemptedAt = a.choice, a.started
	a.onClose = append(a.onClose, forked.memory.Release)
	return a
}

// seek makes attempts until one has an answer, or returns why there is none.
func (g *hedge) seek() (a *attempt, reason string) {
	h, s := g.handler(), g.session
	for {
		a, result := g.send()
		if a == nil {
			return nil, result.err.Error()
		}
		if result.err == nil {
			if result = a.read(); result.err == nil {
				return a, ""
			}
			g.race.end(a)
			h.recordEnd(s, a, result)
		}
		a.close()
		s.job.count(result)
		if a.relay != "" {
			s.job.brokenRelays = append(s.job.brokenRelays, a.relay)
			s.job.deliveriesElsewhere++
		} else {
			s.job.query.Tried = append(s.job.query.Tried, a.choice.ID)
		}
		if cause := context.Cause(g.ctx); cause != nil {
			return nil, cause.Error()
		}
		if reason := noFurther(s.job, &s.position); reason != "" {
			return nil, result.err.Error() + "; " + reason
		}
	}
}

// send sends the request to one back end, or to another router if the path to the pool is lost. Without
// an attempt the error tells why.
func (g *hedge) send() (*attempt, outcome) {
	h, s := g.handler(), g.session
	j := s.job
	if !s.keepVersion() {
		return nil, outcome{err: errWriterUnknown}
	}
	if h.needsRelay(j) {
		if !h.takeRetry(g.ctx, j) {
			return nil, outcome{err: errNoBudget}
		}
		if a, result := h.openRelay(g.ctx, s, maxRelays); a != nil {
			return a, result
		}
		j.retry.giveBack()
		j.unrelayed = true
	}
	if h.unreachable(j) {
		return nil, outcome{err: errNoRelay}
	}
	choice, err := g.choose()
	if err != nil {
		return nil, outcome{err: err}
	}
	a, result := h.open(g.ctx, s, choice)
	if result.err != nil && !result.delivered {
		j.retry.giveBack()
	}
	return a, result
}

// choose chooses a back end that responds, and spends a retry for it.
func (g *hedge) choose() (backends.Choice, error) {
	h, j := g.handler(), g.session.job
	// An engine that is merely slow answers in the end, and the further run delays others.
	j.query.Responsive, j.query.RoomOnly = true, !isUnresponsive(g.cause) && !errors.Is(g.cause, errPathLost)
	choice, found := h.choose(g.ctx, j)
	err := j.unusable(&choice, found)
	if err != nil {
		return choice, err
	}
	_, blocked := h.config.Observer.Blocked(j.digest, j.promptParts)
	switch {
	case blocked:
		err = errBlocked
	case h.config.Pool.NotResponding(choice.ID):
		// Leaders of older builds do not know the condition.
		err = errNoBackend
	case !h.takeRetry(g.ctx, j):
		err = errNoBudget
	case g.ctx.Err() != nil:
		j.retry.giveBack()
		err = context.Cause(g.ctx)
	}
	if err != nil {
		h.cancelPlacement(choice)
	}
	return choice, err
}

var (
	errBlocked   = errors.New("the request is blocked")
	errNoBudget  = errors.New("the retry budget is used up")
	errOverLimit = errors.New("the tenant is over its limit")
)

// unusable returns why a choice names no back end for a further attempt, nil if it names one.
func (j *job) unusable(choice *backends.Choice, found bool) error {
	switch {
	case len(choice.Blocked) > 0:
		return errBlocked
	case choice.OverLimit:
		return errOverLimit
	case choice.Late, choice.Reason != "":
		return errors.New(lateReason(choice))
	case !found:
		return j.noBackendError()
	}
	return nil
}

func (g *hedge) log(result, reason string, a *attempt) {
	j, backend := g.session.job, ""
	if a != nil {
		backend = a.choice.ID
		if a.relay != "" {
			backend = a.relay
		}
	}
	h := g.handler()
	h.config.Logger.Info("further attempt", "part", "forward", "id", j.id, "request", j.digest.String(), "result", result, "reason", reason, "backend", backend,
		"silent", g.from.choice.ID, "cause", g.cause.Error(), "silent_ms", (g.began - max(g.session.lastAt, g.from.started)).Milliseconds(), "took_ms", (h.now() - g.began).Milliseconds())
}
