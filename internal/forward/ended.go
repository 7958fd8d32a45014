package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
)

// endedBy is what ended an answer before it was complete.
type endedBy int

const (
	endedByBackend endedBy = iota
	endedByRouter
	endedByClient
	endedByDeadline
	// endedByRelay: the router that the request was passed on to.
	endedByRelay
	endedByCount
)

var endedByNames = [endedByCount]string{"back end", "router", "client", "deadline", "other router"}

// errStopping is the cause of cancellation of requests that are open at the end of a router's stop. Like a
// client's leave it says nothing of back ends.
var errStopping = fmt.Errorf("the router stops: %w", context.Canceled)

// routerCause is why the router ended an attempt.
type routerCause int

const (
	causeOther routerCause = iota
	// causeUnresponsive: the leader lists the engine as unresponsive.
	causeUnresponsive
	// causeLost: nothing more can arrive.
	causeLost
	// causePathLost: the path to the pool is lost.
	causePathLost
	// causeSilent: nothing arrived in time.
	causeSilent
	// causeExpired: the engine did not begin before its weights expired.
	causeExpired
	// causeRestarted: the back end has restarted.
	causeRestarted
	// causeStopping: the router stops.
	causeStopping
	// causeMemory: the memory for responses is used up.
	causeMemory
	routerCauseCount
)

var routerCauseNames = [routerCauseCount]string{"other", "unresponsive", "lost", "path lost", "silent", "weights expired", "restarted", "stopping", "memory"}

// routerCauseOf classifies the cause with which the router cancelled an attempt.
func routerCauseOf(cause error) routerCause {
	for _, c := range []struct {
		err   error
		cause routerCause
	}{{errUnresponsive, causeUnresponsive}, {errLost, causeLost}, {errPathLost, causePathLost}, {errSilent, causeSilent},
		{backends.ErrExpired, causeExpired}, {backends.ErrRestarted, causeRestarted}, {errStopping, causeStopping}, {errMemory, causeMemory}} {
		if errors.Is(cause, c.err) {
			return c.cause
		}
	}
	return causeOther
}

// earlyEnds counts the answers that ended before they were complete. It is safe for concurrent use.
type earlyEnds struct {
	by     [endedByCount]atomic.Uint64
	causes [routerCauseCount]atomic.Uint64
}

func (e *earlyEnds) writeTo(w io.Writer) {
	for by := range e.by {
		if endedBy(by) != endedByRouter {
			fmt.Fprintf(w, "quinceridge_answers_ended_early_total{by=%q} %d\n", endedByNames[by], e.by[by].Load())
		}
	}
	for cause := range e.causes {
		fmt.Fprintf(w, "quinceridge_answers_ended_early_total{by=%q,cause=%q} %d\n", endedByNames[endedByRouter], routerCauseNames[cause], e.causes[cause].Load())
	}
}

// recordEarlyEnd logs and counts an answer to a request that may have run and that ends without a
// complete response.
func (h *Handler) recordEarlyEnd(ctx context.Context, s *session, result outcome) {
	j := s.job
	if j.ran == 0 && !s.headerSent {
		return
	}
	by, cause := h.endOf(ctx, s, result)
	h.metrics.earlyEnds.by[by].Add(1)
	text := ""
	if by == endedByRouter {
		c := routerCauseOf(cause)
		h.metrics.earlyEnds.causes[c].Add(1)
		text = routerCauseNames[c]
	}
	if cause == nil {
		cause = result.err
	}
	h.config.Logger.Info("answer ended early", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "ended_by", endedByNames[by], "cause", text,
		"error", errorText(cause), "backend", s.attempted.ID, "other_router", s.relay, "relayed_for", j.relayed(), "events", s.events, "last_event_ms", s.lastEventAge().Milliseconds(), "further_attempt", j.noAttempt, "beside", s.race.last(),
		"attempts", strings.Join(j.trace, "; "))
}

// endOf returns what ended an answer, and why.
func (h *Handler) endOf(ctx context.Context, s *session, result outcome) (by endedBy, cause error) {
	var client *clientError
	switch {
	case isStopping(ctx):
		return endedByRouter, errStopping
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return endedByDeadline, context.Cause(ctx)
	case ctx.Err() != nil, errors.As(result.err, &client):
		return endedByClient, context.Cause(ctx)
	case s.gaveUp != nil:
		return endedByRouter, s.gaveUp
	case errors.Is(result.err, errMemory):
		return endedByRouter, errMemory
	case s.relay != "":
		return endedByRelay, result.err
	}
	return endedByBackend, result.err
}

// givenUp returns the cause with which the router cancelled an attempt, nil if it did not.
func givenUp(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) {
		return nil
	}
	return cause
}

// lastEventAge returns the time since the last event, or since the attempt began if there was none.
func (s *session) lastEventAge() time.Duration { return s.handler.now() - max(s.lastAt, s.attemptedAt) }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
