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
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/upstream"
)

// handleSendError returns the outcome of an attempt that received no response header.
func (h *Handler) handleSendError(ctx context.Context, j *job, choice backends.Choice, err error) outcome {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w (%w)", err, cause)
	}
	j.trace = append(j.trace, h.choiceText(j, choice)+": "+err.Error())
	if isWithheld(err) {
		// Nothing was sent, so this is not a failure of the back end.
		return outcome{verdict: notRun, err: err}
	}
	if errors.Is(err, errUnbound) {
		return outcome{verdict: notRun, err: err}
	}
	if errors.Is(err, errAttemptsSpent) {
		return outcome{verdict: mayHaveRun, err: err}
	}
	if errors.Is(err, upstream.ErrOtherStart) || errors.Is(err, upstream.ErrNotIdentified) {
		if errors.Is(err, upstream.ErrOtherStart) {
			h.metrics.otherStarts.Add(1)
			h.config.Pool.Mismatch(choice.ID, j.query.Model, choice.Version, true)
		}
		return outcome{verdict: notRun, err: err}
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) && !h.provesNothing(j, context.Cause(ctx)) {
		h.config.Pool.Failed(h.now(), choice.ID)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() == nil {
			h.config.Pool.Unreachable(h.now(), choice.ID)
		}
		return outcome{verdict: notRun, err: err}
	}
	if errors.Is(err, upstream.ErrIncomplete) && j.route.Retryable() {
		// A request that may run only once is not sent again: a back end may start to run it before
		// it has read the whole body.
		h.metrics.unreadBodies.Add(1)
		return outcome{verdict: notRun, err: err, delivered: true}
	}
	h.logFailedAttempt(ctx, j, choice, 0, err)
	return outcome{verdict: mayHaveRun, err: err, delivered: true}
}

// provesNothing reports whether the end of an attempt, given its cause of cancellation, says nothing of
// its back end: the router ended it when another one was answered. Whether an engine has stopped is
// known from all routers; a plain back end that was silent for longer counts as failing.
func (h *Handler) provesNothing(j *job, cause error) bool {
	return errors.Is(cause, errOutrun) && (j.pool.Engine != nil || !errors.Is(cause, errReplaced))
}

// logFailedAttempt logs an attempt that ended without a complete response. An attempt that the
// router or the client cancelled is not counted as a failure of the back end.
func (h *Handler) logFailedAttempt(ctx context.Context, j *job, choice backends.Choice, events int, err error) {
	if errors.Is(err, errOutrun) || errors.Is(context.Cause(ctx), errOutrun) {
		// The line of the further attempt names it.
		return
	}
	if isStopping(ctx) {
		// The line on the early end names it, or that of the further attempt. Many are cut at once, while little of
		// the grace is left.
		return
	}
	ours := ""
	if cause := context.Cause(ctx); cause != nil {
		ours = cause.Error()
	}
	if isLocal(err) {
		ours = err.Error()
	}
	if ours == "" {
		h.metrics.failedAttempts.Add(1)
	}
	h.config.Logger.Warn("attempt failed", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "backend", choice.ID,
		"address", choice.Address, "events", events, "given_up", ours, "error", err.Error(), "prompt_parts", poison.Join(j.promptParts()))
}

// recordVersion records the weights version that a response names.
func (h *Handler) recordVersion(j *job, choice backends.Choice, header http.Header) {
	if j.query.Model == "" {
		return
	}
	if version, err := strconv.Atoi(header.Get(h.config.Headers.ResponseVersion)); err == nil {
		h.config.Pool.VersionObserved(choice.ID, j.query.Model, version)
	}
}

// recordAttempt updates the pool with the result of an attempt that received a response header.
func (h *Handler) recordAttempt(ctx context.Context, s *session, choice backends.Choice, response *upstream.BackendResponse, result outcome, took time.Duration) {
	j, now := s.job, h.now()
	text := h.choiceText(j, choice) + ": " + strconv.Itoa(response.StatusCode)
	if result.err != nil {
		text += " " + result.err.Error()
	}
	text += headerText("retry after", response.Header["Retry-After"])
	text += headerText("limit", response.Header[h.config.Headers.Limit])
	j.trace = append(j.trace, text)
	switch result.verdict {
	case done:
		h.config.Pool.Succeeded(now, choice.ID, took)
		if response.StatusCode < http.StatusInternalServerError {
			h.countFairRun(j, took)
		}
	case notRun:
		h.config.Pool.Busy(now, choice.ID)
		h.recordPushback(now, choice)
		if response.StatusCode == http.StatusMisdirectedRequest {
			other := result.response.header.Get(h.config.Headers.ResponseInstance)
			h.config.Pool.Mismatch(choice.ID, j.query.Model, choice.Version, other != "" && other != choice.Name())
		}
	default:
		if h.recordPushback(now, choice) {
			// A pushback is not a failure of the back end.
			break
		}
		if h.provesNothing(j, context.Cause(ctx)) {
			break
		}
		if !isLocal(result.err) && (ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent)) {
			h.config.Pool.Failed(now, choice.ID)
		}
	}
	if result.verdict == mayHaveRun {
		h.logFailedAttempt(ctx, j, choice, s.events, result.err)
	}
}

// headerText formats a response header for the trace; it returns "" if the header is missing.
func headerText(what string, values []string) string {
	if len(values) == 0 {
		return ""
	}
	return fmt.Sprintf(", %s %.32q", what, strings.Join(values, ", "))
}

// recordPushback updates the pool if a pushback of the back end is in force, and reports
// whether one is.
func (h *Handler) recordPushback(now time.Duration, choice backends.Choice) bool {
	wait := h.config.Pushbacks.Status(coordapi.BackendID(choice.ID)).Wait
	if wait > 0 {
		h.config.Pool.PushedBack(now, choice.ID, wait)
	}
	return wait > 0
}

// choiceText describes a back end and why it was chosen, for the trace.
func (h *Handler) choiceText(j *job, choice backends.Choice) string {
	text := fmt.Sprintf("%s (cost %.0f of %d, software %q", choice.ID, choice.Cost, choice.Considered, string(choice.Software))
	if choice.Versioned {
		text += fmt.Sprintf(", weights %d, home %t, unread %d, from %s", choice.Version, choice.Home, choice.Work.Prompt,
			j.request.Header.Get(h.config.Headers.FetchFrom))
	}
	if choice.Placement > 0 {
		text += ", placed by the leader"
	}
	return text + fmt.Sprintf(", view %d of %d ms)", j.viewRevision, j.viewAge.Milliseconds())
}
