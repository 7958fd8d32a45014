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
	"quinceridge.example/quinceridge/internal/socket"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// maxSends bounds the number of attempts for one request.
	maxSends = 4
	// busyRetryAfter is the Retry-After of a request that all back ends rejected.
	busyRetryAfter = 250 * time.Millisecond
)

// verdict classifies the result of one attempt.
type verdict int

const (
	// done: a response was forwarded, or the client is gone.
	done verdict = iota
	// notRun: the back end did not run the request.
	notRun
	// mayHaveRun: the back end may have run the request and sent no complete response.
	mayHaveRun
	// failed: the back end ran the request and responded with an error.
	failed
)

// outcome is the result of one attempt.
type outcome struct {
	verdict verdict
	err     error
	// response is the complete response of a failed attempt, forwarded if there is no further
	// attempt.
	response *bufferedResponse
	// delivered is set if the back end received the request.
	delivered bool
	// forwarded is set if a failed attempt's response was forwarded while it arrived.
	forwarded bool
	// final is the failure of another router, which has made all attempts that the route allows. It is
	// forwarded as it is unless a hedge goes on.
	final *bufferedResponse
}

// newSession returns the session of a request, which ends with ctx.
func (h *Handler) newSession(ctx context.Context, client http.ResponseWriter, j *job) *session {
	s := &session{handler: h, client: client, job: j}
	s.race = newRace(ctx, s)
	return s
}

// serve makes attempts until one succeeds or no further one is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	s := h.newSession(ctx, w, j)
	defer h.refundQuota(j)
	defer j.releaseShare()
	defer s.race.close()
	// ran is the result of the last attempt that the back end may have run.
	ran := outcome{verdict: mayHaveRun, err: errOrigin}
	if reason := noFurther(j, &s.position); j.ran > 0 && reason != "" {
		// The configuration of the router that passed the request on may have allowed more attempts.
		j.noAttempt = reason
		h.finish(ctx, s, ran)
		return
	}
	for {
		// This is checked before each attempt and by digest: a poison request is resent under
		// new IDs and through other routers.
		if block, allowed := h.allowedByBlocks(j); !allowed {
			h.refuseBlocked(ctx, s, block, ran)
			return
		}
		if h.declines(j) {
			h.decline(w, j, errNoRelay.Error())
			return
		}
		if !s.keepVersion() {
			h.finish(ctx, s, outcome{verdict: mayHaveRun, err: errWriterUnknown})
			return
		}
		if s.unbound() {
			if err := s.bindLate(ctx); err != nil {
				h.refuseUnbound(ctx, s, err, ran)
				return
			}
		}
		if h.needsRelay(j) {
			result := h.passOn(ctx, s, maxRelays)
			j.unrelayed = j.unrelayed || errors.Is(result.err, errNoRelay) || errors.Is(result.err, errDeclined)
			if !h.settleRelayed(ctx, s, result, &ran) {
				return
			}
			continue
		}
		if h.unreachable(j) {
			h.finish(ctx, s, outcome{verdict: notRun, err: errNoRelay})
			return
		}
		h.countRequest(j)
		s.race.restrictChoice()
		choice, found := h.choose(ctx, j)
		if isStopping(ctx) {
			h.cancelPlacement(choice)
			h.finish(ctx, s, outcome{verdict: notRun, err: errStopping})
			return
		}
		if h.passesOnShare(j) && ctx.Err() == nil {
			j.shareAsked = true
			if !h.settleRelayed(ctx, s, h.passOn(ctx, s, maxShareRelays), &ran) {
				return
			}
			continue
		}
		if h.declinesShare(j) {
			h.decline(w, j, choice.Reason)
			return
		}
		if j.ran > 0 && (choice.Late || choice.Reason != "") {
			// No engine begins a further attempt in time, and the refusals below state that the request
			// has not run.
			h.metrics.refusedBehind.Add(1)
			j.noAttempt = lateReason(&choice)
			h.finish(ctx, s, ran)
			return
		}
		if j.ran > 0 && choice.OverLimit {
			choice, found = backends.Choice{}, false
		}
		if len(choice.Blocked) > 0 {
			block := state.BlockedRequest{Request: j.digest, Backends: choice.Blocked}
			if j.trial != nil {
				block = *j.trial
			}
			h.refuseBlocked(ctx, s, block, ran)
			return
		}
		if choice.OverLimit {
			h.metrics.refusedOverLimit.Add(1)
			h.refuse(w, j, &refusal{status: http.StatusTooManyRequests, reason: "tenant " + j.tenant.Name + " is over its limit", retryAfter: choice.Wait})
			return
		}
		if choice.Reason != "" && !clientLeft(ctx) {
			switch {
			case choice.Reason == coordapi.SoftwareGone:
				h.metrics.refusedSoftwareGone.Add(1)
			case j.beyondShare:
				h.metrics.refusedShare.Add(1)
			default:
				h.metrics.refusedQueued.Add(1)
			}
			h.refuse(w, j, &refusal{status: http.StatusServiceUnavailable, reason: choice.Reason, retryAfter: choice.RetryAfter})
			return
		}
		if !found || choice.Reason != "" {
			if j.permitDelay > 0 {
				h.metrics.noPermit.Add(1)
			}
			j.noAttempt = j.noBackendError().Error()
			h.finish(ctx, s, outcome{verdict: notRun, err: j.noBackendError()})
			return
		}
		if choice.Late {
			h.metrics.refusedBehind.Add(1)
			h.refuse(w, j, &refusal{status: http.StatusServiceUnavailable, reason: lateReason(&choice), retryAfter: behindRetryAfter(&choice, &j.query)})
			return
		}
		if blocked, is := h.config.Observer.Blocked(j.digest, j.promptParts); is && (j.trial == nil || blocked.Request != j.trial.Request) {
			// It was blocked while the request waited for a back end.
			h.cancelPlacement(choice)
			h.refuseBlocked(ctx, s, blocked, ran)
			return
		}
		result := h.attempt(ctx, s, choice)
		if !errors.Is(result.err, errUnbound) {
			j.query.Tried = append(j.query.Tried, choice.ID)
		}
		if !h.settle(ctx, s, result, &ran) {
			return
		}
	}
}

// goOn counts an attempt that ended without a response for the client, and forwards the answers of
// hedges that go on with the request. It returns the result of the last attempt.
func (h *Handler) goOn(s *session, result outcome) outcome {
	for {
		s.race.count(result)
		g := s.race.await()
		if g == nil {
			return result
		}
		a := s.adopt(g)
		result = h.forward(s, a)
		a.close()
		if result.verdict == done {
			return result
		}
		if a.relay != "" && result.delivered {
			s.job.deliveriesElsewhere++
		}
	}
}

// settleRelayed is settle for a request that was passed on. Hedges that began beside routers which declined it go on
// with it.
func (h *Handler) settleRelayed(ctx context.Context, s *session, result outcome, ran *outcome) (again bool) {
	if result.delivered {
		s.job.deliveriesElsewhere++
	}
	again = h.settle(ctx, s, result, ran)
	if again && errors.Is(result.err, errNewerConfiguration) {
		h.refuseByNewer(ctx, s, *ran)
		return false
	}
	return again
}

// settle records the result of an attempt, and those of the hedges that go on with the request. It
// finishes the request and returns false unless another attempt is allowed. Ran becomes the last result
// if the request may have run.
func (h *Handler) settle(ctx context.Context, s *session, result outcome, ran *outcome) (again bool) {
	j, counted := s.job, s.job.ran
	if result.verdict != done {
		result = h.goOn(s, result)
	}
	if result.verdict == done {
		j.ran++
		h.logResponse(s, "answered")
		return false
	}
	if result.final != nil && notRunStatuses[result.final.status] && j.ran > counted+1 {
		// It states that the request has not run, but a hedge may have run it.
		h.finish(ctx, s, outcome{verdict: mayHaveRun, err: result.err})
		return false
	}
	if result.final != nil {
		s.copyHeader(result.final.header)
		s.writeBody(result.final.status, result.final.body)
		h.logResponse(s, "answered")
		return false
	}
	if ctx.Err() != nil || h.now() >= j.deadline || !h.shouldRetry(ctx, j, s, result) {
		h.finish(ctx, s, result)
		return false
	}
	if result.verdict != notRun {
		*ran = result
	}
	return true
}

// countRequest counts a request once: for the retry budget, at the router that sends it to a back end,
// and as one that another router has passed on.
func (h *Handler) countRequest(j *job) {
	if j.origin != nil && !j.accepted {
		j.accepted = true
		h.metrics.accepted.Add(1)
	}
	if !j.counted {
		j.counted = true
		h.budget.CountRequest(h.now(), j.pool.Name)
	}
}

var (
	errNoBackend = errors.New("no back end is available")
	errNoPermit  = errors.New("all back ends are at their limits")
)

// isWithheld reports whether an attempt was not sent because of a pushback or limit of its back
// end.
func isWithheld(err error) bool {
	return errors.Is(err, pushback.ErrUnavailable) || errors.Is(err, ratelimit.ErrNoPermit)
}

// noBackendError returns the reason why no back end was found.
func (j *job) noBackendError() error {
	if j.permitDelay > 0 {
		return errNoPermit
	}
	return errNoBackend
}

// lateReason returns why no engine is chosen: none begins to process the prompt in time.
func lateReason(choice *backends.Choice) string {
	if choice.Reason != "" {
		return choice.Reason
	}
	return fmt.Sprintf("all engines are behind by at least %d ms", choice.Wait.Milliseconds())
}

// Reasons why a request has no further attempt.
const (
	tooManySends  = "the request was sent too often"
	notResumable  = "the response has begun and cannot be resumed"
	runsOnce      = "the request may run only once"
	attemptsSpent = "the attempts of the route are used up"
	noBudget      = "the retry budget is used up"
)

// noFurther returns why a request that may have run is not sent again, whatever the retry budget and
// the back ends allow; empty if it may be.
func noFurther(j *job, p *position) string {
	switch {
	case j.tries() >= maxSends:
		return tooManySends
	case p.bodySent || (p.headerSent && !j.route.Resumable):
		return notResumable
	case !j.route.Retryable():
		return runsOnce
	case j.ran >= max(j.route.MaxAttempts, 1):
		return attemptsSpent
	}
	return ""
}

// shouldRetry reports whether another attempt is allowed after a result.
func (h *Handler) shouldRetry(ctx context.Context, j *job, s *session, result outcome) bool {
	reason := noFurther(j, &s.position)
	if result.verdict == notRun && reason == runsOnce {
		reason = ""
	}
	if reason != "" {
		j.noAttempt = reason
		return false
	}
	if result.verdict == notRun && !result.delivered {
		// A retry that the budget granted for this attempt is not spent: only delivered
		// attempts count.
		return true
	}
	if j.deliveries == 0 || j.retry.use() || h.budget.AllowRetry(ctx, h.now(), j.pool.Name, h.config.Source.Routers()) {
		return true
	}
	j.noAttempt = noBudget
	return false
}

// setBackendHeaders sets the headers and fields of the request that depend on the back end.
func (h *Handler) setBackendHeaders(j *job, s *session, choice backends.Choice) {
	names, header := &h.config.Headers, j.request.Header
	header.Set(names.Instance, choice.Name())
	j.request.Backend = j.backend(choice.ID)
	j.request.Instance = choice.Name()
	j.request.Permit = choice.Permit
	h.setDeadline(j)
	if s.lastEventID != "" {
		header.Set(names.LastEvent, s.lastEventID)
	}
	if j.pool.Engine == nil {
		return
	}
	header.Del(names.Version)
	if choice.Versioned {
		header.Set(names.Version, strconv.Itoa(choice.Version))
	}
	h.setPromptHeaders(j, choice)
}

// setDeadline sets the time that the request has left.
func (h *Handler) setDeadline(j *job) {
	j.request.Header.Set(h.config.Headers.Deadline, strconv.FormatInt(max((j.deadline-h.now()).Milliseconds(), 1), 10))
}

// finish ends a request for which there is no further attempt.
func (h *Handler) finish(ctx context.Context, s *session, result outcome) {
	j := s.job
	if result.forwarded {
		h.logResponse(s, "forwarded a failure")
		return
	}
	if s.headerSent || clientLeft(ctx) || cutsRelayed(ctx, j) {
		h.recordEarlyEnd(ctx, s, result)
		h.logResponse(s, h.abortReason(ctx, result))
		panic(http.ErrAbortHandler)
	}
	switch {
	case result.verdict == failed && result.response != nil:
		s.writeBuffered(result.response)
		h.logResponse(s, "forwarded a failure")
	case h.declines(j), isStopping(ctx) && j.origin != nil:
		h.decline(s.client, j, h.reason(j, result))
	case j.ran == 0:
		h.refuse(s.client, j, &refusal{status: http.StatusServiceUnavailable, reason: h.reason(j, result), retryAfter: h.unavailableRetryAfter(j)})
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		h.recordEarlyEnd(ctx, s, result)
		h.refuse(s.client, j, &refusal{status: http.StatusGatewayTimeout, reason: h.reason(j, result)})
	default:
		h.recordEarlyEnd(ctx, s, result)
		h.refuse(s.client, j, &refusal{status: http.StatusBadGateway, reason: h.reason(j, result)})
	}
}

// clientLeft reports whether the client of a request has left, so that it gets no answer.
func clientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled) && !isStopping(ctx)
}

// isStopping reports whether the end of the router's stop ends a request.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// cutsRelayed reports whether a request of another router that may have run here is cut by the end of the stop, so that
// the other router decides on a further attempt.
func cutsRelayed(ctx context.Context, j *job) bool {
	return isStopping(ctx) && j.origin != nil && j.ran > j.origin.Ran
}

// abortReason returns the log message for a response that was aborted. A disconnected client
// and an expired deadline both show as a read error of the back end's connection, because they
// close it.
func (h *Handler) abortReason(ctx context.Context, result outcome) string {
	switch {
	case errors.Is(result.err, socket.ErrStalled):
		return "client disconnected: " + stalledReason(h.clientStall)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return "aborted at the deadline"
	case isStopping(ctx):
		return "aborted: " + errStopping.Error()
	case ctx.Err() == nil:
		return "aborted: " + result.err.Error()
	}
	return "client disconnected"
}

// reason returns the log message for a refused request: its attempts, or else the error.
func (h *Handler) reason(j *job, result outcome) string {
	text := strings.Join(j.trace, "; ")
	if result.err != nil && text == "" {
		return result.err.Error()
	}
	return text
}

// logResponse logs and counts a response of a back end.
func (h *Handler) logResponse(s *session, message string) {
	j := s.job
	took := h.now() - j.receivedAt
	h.metrics.CountResponse(s.status, false)
	h.metrics.ObserveDurations(took, s.firstAt-j.receivedAt)
	switch {
	case errors.Is(s.writeError, socket.ErrStalled):
		message = "client disconnected: " + stalledReason(h.clientStall)
	case s.writeError != nil:
		message = "client disconnected"
	}
	h.config.Logger.Info(message, "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "route", j.route.Name, "pool", j.pool.Name,
		"table", j.table.Version, "key", j.query.Key, "status", s.status, "events", s.events, "gap_ms", s.longestGap.Milliseconds(), "took_ms", took.Milliseconds(),
		"first_ms", (s.firstAt - j.receivedAt).Milliseconds(), "relayed_for", j.relayed(), "attempts", strings.Join(j.trace, "; "), h.prefillAttributes(j), s.attributes())
}
