package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxSends bounds how often one request is offered to back ends.
	maxSends = 4
	// fullRetry is when to come back after all back ends turned a request away.
	fullRetry = 250 * time.Millisecond
)

// verdict is what became of one attempt.
type verdict int

const (
	// done: an answer was passed on, or the caller is gone.
	done verdict = iota
	// notRun: the back end surely did not run the request.
	notRun
	// mayHaveRun: the back end may have run the request and gave no answer.
	mayHaveRun
	// failed: the back end ran the request and answered with an error.
	failed
)

// outcome is one attempt's verdict with what is needed to go on.
type outcome struct {
	verdict verdict
	err     error
	// answer is a failed attempt's whole answer, to be passed on if no other
	// attempt is made.
	answer *whole
	// arrived says that the back end got the request.
	arrived bool
}

// serve runs attempts until one gives an answer or no further one is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	h.budget.Request(h.now(), j.pool.Name)
	s := &session{handler: h, writer: w, job: j}
	defer h.settle(j)
	for {
		// Asked before each attempt, and by what is asked for: a request that ends back
		// ends comes under a new ID each time, here or at another router.
		if blocked, is := h.config.Observer.Blocked(j.digest); is {
			h.refuseBlocked(s, blocked.Backends, blocked.Revision)
			return
		}
		choice, found := h.choose(ctx, j)
		if len(choice.Blocked) > 0 {
			h.refuseBlocked(s, choice.Blocked, 0)
			return
		}
		if choice.OverLimit {
			h.metrics.overLimit.Add(1)
			h.refuse(w, j, &refusal{status: http.StatusTooManyRequests, reason: "tenant " + j.tenant.Name + " is beyond its limit", after: choice.Wait})
			return
		}
		if !found {
			if j.room > 0 {
				h.metrics.noRoom.Add(1)
			}
			h.finish(ctx, s, outcome{verdict: notRun, err: j.whyNone()})
			return
		}
		if choice.Late {
			reason := fmt.Sprintf("engines are behind by %d ms and more", choice.Wait.Milliseconds())
			h.metrics.behind.Add(1)
			h.refuse(w, j, &refusal{status: http.StatusServiceUnavailable, reason: reason, after: returnAfter(&choice, &j.query)})
			return
		}
		result := h.attempt(ctx, s, choice)
		if result.verdict == done {
			j.ran++
			h.logDone(s, "answered")
			return
		}
		if result.arrived {
			j.sent++
		}
		if isKept(result.err) {
			j.kept++
		}
		if result.verdict != notRun {
			j.ran++
		}
		j.query.Tried = append(j.query.Tried, choice.ID)
		if ctx.Err() != nil || h.now() >= j.deadline || !h.again(ctx, j, s, result) {
			h.finish(ctx, s, result)
			return
		}
	}
}

var (
	errNoBackend = errors.New("no back end can take the request now")
	errNoRoom    = errors.New("the back ends take only so much from all machines, and have no room now")
)

// isKept tells whether an attempt was not sent since its back end wants none from here now.
func isKept(err error) bool {
	return errors.Is(err, pushback.ErrUnavailable) || errors.Is(err, ratelimit.ErrNoPermit)
}

// whyNone says why no back end was found.
func (j *job) whyNone() error {
	if j.room > 0 {
		return errNoRoom
	}
	return errNoBackend
}

// again tells whether another attempt is allowed after a result.
func (h *Handler) again(ctx context.Context, j *job, s *session, result outcome) bool {
	if j.tries() >= maxSends || (s.begun && !j.route.Resumable) {
		return false
	}
	if result.verdict == notRun && !result.arrived {
		// What the budget granted for this attempt, if it was a repeat, is still there: only
		// what arrives at a back end counts.
		return true
	}
	if result.verdict != notRun && (!j.route.Retryable() || j.ran >= max(j.route.MaxAttempts, 1)) {
		return false
	}
	if j.sent == 0 || j.granted.Swap(false) {
		return true
	}
	return h.budget.Repeat(ctx, h.now(), j.pool.Name, h.config.Source.Routers())
}

// attempt sends the request to one back end and passes the answer on.
func (h *Handler) attempt(ctx context.Context, s *session, choice backends.Choice) outcome {
	j := s.job
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := h.watchSilence(ctx, j, cancel)
	defer silence.stop()
	h.address(j, s, choice)
	started := h.now()
	running := h.config.Pool.Begin(started, &choice, &j.query, cancel)
	defer func() { running.End(h.now()) }()
	if choice.Placement > 0 {
		defer h.config.Placer.Ended(choice.Placement)
	}
	answer, err := h.config.Upstream.Do(ctx, choice.Address, j.request)
	// One that is not used by now never will be.
	h.config.Limits.Release(choice.Right)
	if err != nil {
		result := h.noAnswer(ctx, j, choice, err)
		h.ended(ctx, s, choice, nil, result, started)
		return result
	}
	defer answer.Close()
	silence.stop()
	if choice.Placement > 0 && answer.StatusCode == http.StatusOK {
		h.config.Placer.Begun(choice.Placement, h.now()-started)
	}
	h.noteStore(j, running.Begun(h.now(), answer.StatusCode == http.StatusOK))
	h.noteVersion(j, choice, answer.Header)
	if j.route.Kind == traffic.KindStream && silence != nil {
		s.stall = newAlarm(max(stallFactor*j.route.GapTarget, leastStall), h.giveUp(ctx, j, cancel))
		defer s.stall.stop()
	}
	result := h.take(ctx, s, answer)
	h.note(ctx, s, choice, answer, result, h.now()-started)
	h.ended(ctx, s, choice, answer, result, started)
	return result
}

// address fills the headers that depend on the back end.
func (h *Handler) address(j *job, s *session, choice backends.Choice) {
	names, header := &h.config.Headers, j.request.Header
	header.Set(names.Instance, choice.Name())
	j.request.Backend = pushback.Backend{ID: coordapi.BackendID(choice.ID), Pool: j.pool.Name}
	j.request.Instance = choice.Name()
	j.request.Right = choice.Right
	header.Set(names.Deadline, strconv.FormatInt(max((j.deadline-h.now()).Milliseconds(), 1), 10))
	if s.lastEvent != "" {
		header.Set(names.LastEvent, s.lastEvent)
	}
	if j.pool.Engine == nil {
		return
	}
	header.Del(names.Version)
	if choice.Versioned {
		header.Set(names.Version, strconv.Itoa(choice.Version))
	}
	h.addressPrompt(j, choice)
}

// noAnswer judges an attempt that got no head of an answer.
func (h *Handler) noAnswer(ctx context.Context, j *job, choice backends.Choice, err error) outcome {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w (%w)", err, cause)
	}
	j.trace = append(j.trace, h.explain(j, choice)+": "+err.Error())
	if isKept(err) {
		// That is no failure of the back end, and nothing has reached it.
		return outcome{verdict: notRun, err: err}
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		h.config.Pool.Failed(h.now(), choice.ID)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		h.config.Pool.Unreachable(h.now(), choice.ID)
		return outcome{verdict: notRun, err: err}
	}
	h.logBroken(ctx, j, choice, 0, err)
	return outcome{verdict: mayHaveRun, err: err, arrived: true}
}

// logBroken says which attempt ended without a whole answer, and whether that was the
// router's or the caller's doing: only what the back end did tells of it.
func (h *Handler) logBroken(ctx context.Context, j *job, choice backends.Choice, events int, err error) {
	ours := ""
	if cause := context.Cause(ctx); cause != nil {
		ours = cause.Error()
	}
	if ours == "" {
		h.metrics.broken.Add(1)
	}
	h.config.Logger.Warn("attempt broke off", "part", "forward", "id", j.id, "request", j.digest.String(), "backend", choice.ID,
		"address", choice.Address, "events", events, "given_up", ours, "error", err.Error())
}

// noteVersion learns the weights version that an answer names.
func (h *Handler) noteVersion(j *job, choice backends.Choice, header http.Header) {
	if j.query.Model == "" {
		return
	}
	if version, err := strconv.Atoi(header.Get(h.config.Headers.VersionIs)); err == nil {
		h.config.Pool.VersionObserved(choice.ID, j.query.Model, version)
	}
}

// note tells the pool what an attempt showed.
func (h *Handler) note(ctx context.Context, s *session, choice backends.Choice, answer *upstream.BackendResponse, result outcome, took time.Duration) {
	j, now := s.job, h.now()
	text := h.explain(j, choice) + ": " + strconv.Itoa(answer.StatusCode)
	if result.err != nil {
		text += " " + result.err.Error()
	}
	text += asks("retry after", answer.Header["Retry-After"])
	text += asks("limit", answer.Header[h.config.Headers.Limit])
	j.trace = append(j.trace, text)
	switch result.verdict {
	case done:
		h.config.Pool.Succeeded(now, choice.ID, took)
	case notRun:
		h.config.Pool.Busy(now, choice.ID)
		h.notePushback(now, choice)
		if answer.StatusCode == http.StatusMisdirectedRequest {
			other := result.answer.header.Get(h.config.Headers.InstanceIs)
			h.config.Pool.Mismatch(choice.ID, j.query.Model, choice.Version, other != "" && other != choice.Name())
		}
	default:
		if h.notePushback(now, choice) {
			// A back end that wants a wait is not one that fails.
			break
		}
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
			h.config.Pool.Failed(now, choice.ID)
		}
	}
	if result.verdict == mayHaveRun {
		h.logBroken(ctx, j, choice, s.events, result.err)
	}
}

// asks is what an answer asks of the router, as it stands in a header; empty if that is not
// there.
func asks(what string, values []string) string {
	if len(values) == 0 {
		return ""
	}
	return fmt.Sprintf(", %s %.32q", what, strings.Join(values, ", "))
}

// notePushback tells the pool of a back end that wants a wait, and returns whether it does.
func (h *Handler) notePushback(now time.Duration, choice backends.Choice) bool {
	wait := h.config.Pushbacks.Status(coordapi.BackendID(choice.ID)).Wait
	if wait > 0 {
		h.config.Pool.PushedBack(now, choice.ID, wait)
	}
	return wait > 0
}

// explain names a back end and what decided for it.
func (h *Handler) explain(j *job, choice backends.Choice) string {
	text := fmt.Sprintf("%s (cost %.0f of %d", choice.ID, choice.Cost, choice.Considered)
	if choice.Versioned {
		text += fmt.Sprintf(", weights %d, home %t, unread %d, from %s", choice.Version, choice.Home, choice.Work.Prompt,
			j.request.Header.Get(h.config.Headers.FetchFrom))
	}
	if choice.Placement > 0 {
		text += ", placed by the leader"
	}
	return text + ")"
}

// finish ends a request for which no further attempt is made.
func (h *Handler) finish(ctx context.Context, s *session, result outcome) {
	j := s.job
	if s.begun || errors.Is(context.Cause(ctx), context.Canceled) {
		h.logDone(s, h.ending(ctx, result))
		panic(http.ErrAbortHandler)
	}
	switch {
	case result.verdict == failed:
		s.writeWhole(result.answer)
		h.logDone(s, "passed a failure on")
	case j.ran == 0:
		h.refuse(s.writer, j, &refusal{status: http.StatusServiceUnavailable, reason: h.reason(j, result), after: h.comeBack(j)})
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		h.refuse(s.writer, j, &refusal{status: http.StatusGatewayTimeout, reason: h.reason(j, result)})
	default:
		h.refuse(s.writer, j, &refusal{status: http.StatusBadGateway, reason: h.reason(j, result)})
	}
}

// ending says why an answer ends without its end. A caller that leaves and a
// deadline show as a failed read of the back end's connection, for that is how
// they end it.
func (h *Handler) ending(ctx context.Context, result outcome) string {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return "broken off at its deadline"
	case ctx.Err() == nil:
		return "broken off: " + result.err.Error()
	case h.stopping.Load():
		return "caller gone or cut by the stop"
	}
	return "caller gone"
}

func (h *Handler) reason(j *job, result outcome) string {
	text := strings.Join(j.trace, "; ")
	if result.err != nil && text == "" {
		return result.err.Error()
	}
	return text
}

func (h *Handler) logDone(s *session, what string) {
	j := s.job
	took := h.now() - j.arrived
	h.metrics.CountResponse(s.status, false)
	h.metrics.ObserveDurations(took, s.firstAt-j.arrived)
	h.config.Logger.Info(what, "part", "forward", "id", j.id, "request", j.digest.String(), "route", j.route.Name, "pool", j.pool.Name,
		"table", j.table.Version, "key", j.query.Key, "status", s.status, "events", s.events, "gap_ms", s.longestGap.Milliseconds(), "took_ms", took.Milliseconds(),
		"first_ms", (s.firstAt - j.arrived).Milliseconds(), "attempts", strings.Join(j.trace, "; "))
}
