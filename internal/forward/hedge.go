package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
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
	// hold is set while the hedge keeps the silent attempt from running beside it.
	hold *hold
	// granted is set if the attempt has taken a retry from the budget.
	granted atomic.Bool
	// ran counts the attempts that may have run, and uncounted is set while the last one is missing there.
	// The lock of the race guards them.
	ran       int
	uncounted bool
}

// run looks for a place, sends the request and waits for the first answer.
func (g *hedge) run() {
	h := g.handler()
	a, reason := g.seek()
	if a != nil {
		// The connection is kept only if its request was not cancelled before the response was closed.
		a.onClose = slices.Insert(a.onClose, 0, func() { g.cancel(nil) })
		if g.claim() {
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

// countTakeover counts that the attempt of the hedge replaces a silent one. It does so before the answer goes on.
func (g *hedge) countTakeover() {
	m := &g.handler().metrics
	m.hedges.tookOver.Add(1)
	if isUnresponsive(g.cause) || errors.Is(g.cause, errPathLost) {
		m.resumedUnresponsive.Add(1)
	}
}

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
	g.countTakeover()
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
	g.from.hedged = false
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
	g.release(!outrun)
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
	s.attempted, s.relay, s.attemptedAt = a.choice, a.relay, a.started
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
		g.race.countHedge(g, result)
		if a.relay != "" {
			s.job.brokenRelays = append(s.job.brokenRelays, a.relay)
			s.job.deliveriesElsewhere++
		} else if !errors.Is(result.err, errUnbound) {
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
	if s.unbound() {
		if err := s.bindLate(g.ctx); err != nil {
			return nil, outcome{err: err}
		}
	}
	if h.needsRelay(j) {
		if !h.takeRetry(g.ctx, j) {
			return nil, outcome{err: errNoBudget}
		}
		if !g.makeWay() {
			j.retry.giveBack()
			return nil, outcome{err: errReadsOn}
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
		g.giveBack()
	}
	return a, result
}

// choose chooses a back end that responds, and spends a retry for it.
func (g *hedge) choose() (backends.Choice, error) {
	h, j := g.handler(), g.session.job
	// An engine that is merely slow answers in the end, and the further run delays others.
	j.query.Responsive, j.query.RoomOnly = true, !isUnresponsive(g.cause) && !errors.Is(g.cause, errPathLost) && !isHeld(g.cause)
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
	case errors.Is(g.cause, errUnidentified):
		// The request has not been sent, and one of the attempts waits for the other.
		g.granted.Store(false)
		h.config.Pool.Unreachable(h.now(), g.from.choice.ID)
	case !h.takeRetry(g.ctx, j):
		err = errNoBudget
	case !g.makeWay():
		j.retry.giveBack()
		err = errReadsOn
	default:
		g.granted.Store(true)
	}
	if err == nil && g.ctx.Err() != nil {
		g.giveBack()
		err = context.Cause(g.ctx)
	}
	if err != nil {
		h.cancelPlacement(choice)
	}
	return choice, err
}

// giveBack returns the retry of an attempt that was not delivered, or waits for others. A nil hedge has none.
func (g *hedge) giveBack() {
	if g != nil && g.granted.Swap(false) {
		g.session.job.retry.giveBack()
	}
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
	h.config.Logger.Info("further attempt", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "result", result, "reason", reason, "backend", backend,
		"silent", g.from.choice.ID, "cause", g.cause.Error(), "silent_ms", (g.began - max(g.session.lastAt, g.from.started)).Milliseconds(), "took_ms", (h.now() - g.began).Milliseconds())
}
