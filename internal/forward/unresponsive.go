package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/traffic"
)

// StreamCheckInterval is the interval at which CheckStreams is to be called: a small part of the
// pauses of interactive streams, which are some hundred milliseconds.
const StreamCheckInterval = 25 * time.Millisecond

var (
	errUnresponsive = fmt.Errorf("the leader lists the back end as unresponsive: %w", errSilent)
	errPathLost     = fmt.Errorf("the path to the pool is lost: %w", errSilent)
	errLost         = fmt.Errorf("nothing more can arrive from the back end: %w", errSilent)
)

// CheckStreams cancels the overdue requests at unresponsive engines that may be repeated or resumed
// elsewhere, and those to which nothing more can arrive.
func (h *Handler) CheckStreams(context.Context) { h.config.Streams.Check(h.clock()) }

// trackedAttempt is an attempt at an engine. Its fields do not change while it is tracked.
type trackedAttempt struct {
	handler *Handler
	ctx     context.Context
	job     *job
	backend string
	running *backends.Attempt
	cancel  context.CancelCauseFunc
	// mayRetry is set if the route and the number of attempts permit another one.
	mayRetry bool
	// retrying is set while the retry budget is asked, and retryAt is when it may be asked again.
	retrying atomic.Bool
	retryAt  atomic.Int64
}

// trackStream tracks an attempt at an engine. It returns nil for other back ends.
func (h *Handler) trackStream(ctx context.Context, j *job, choice backends.Choice, running *backends.Attempt, cancel context.CancelCauseFunc) *liveness.Stream {
	if j.pool.Engine == nil {
		return nil
	}
	a := &trackedAttempt{handler: h, ctx: ctx, job: j, backend: choice.ID, running: running, cancel: cancel,
		mayRetry: j.route.Retryable() && j.ran+1 < max(j.route.MaxAttempts, 1) && j.tries()+1 < maxSends}
	return h.config.Streams.Add(h.clock(), choice.ID, j.route.Target, a.onOverdue)
}

// recordBegun records that a response has begun. Responses without events are not tracked further.
func (h *Handler) recordBegun(s *session, status int) {
	if status != http.StatusOK || s.job.route.Kind != traffic.KindStream {
		s.tracked.End()
		return
	}
	s.tracked.Begin(h.clock(), s.job.route.GapTarget)
}

// cause returns the reason to give up the attempt, nil for none. Without a lease the leader's list
// may be out of date.
func (a *trackedAttempt) cause() error {
	if !a.handler.config.Source.Fresh() {
		return nil
	}
	listed, lost := a.running.EngineStatus()
	switch {
	case a.mayRetry && (listed || lost):
		return errUnresponsive
	case a.mayRetry && a.handler.needsRelay(a.job):
		return errPathLost
	case lost:
		return errLost
	}
	return nil
}

// onOverdue is called while the next event of the attempt is overdue.
func (a *trackedAttempt) onOverdue(stream *liveness.Stream) {
	cause := a.cause()
	if cause == nil || a.ctx.Err() != nil {
		return
	}
	if !a.mayRetry {
		a.giveUp(cause, &a.handler.metrics.endedUnresponsive)
		return
	}
	if int64(a.handler.now()) < a.retryAt.Load() || !a.retrying.CompareAndSwap(false, true) {
		return
	}
	go a.retry(stream)
}

// retry cancels the attempt if the budget allows another one. The leader may be asked for that, so
// that the engine may have recovered meanwhile.
func (a *trackedAttempt) retry(stream *liveness.Stream) {
	defer a.retrying.Store(false)
	h := a.handler
	if a.ctx.Err() != nil {
		return
	}
	granted := h.grantRetry(a.ctx, a.job)
	a.retryAt.Store(int64(h.now() + recheckDelay))
	if cause := a.cause(); granted && cause != nil && stream.Overdue(h.clock()) {
		a.giveUp(cause, &h.metrics.resumedUnresponsive)
	}
}

func (a *trackedAttempt) giveUp(cause error, counter *atomic.Uint64) {
	if a.ctx.Err() != nil {
		return
	}
	counter.Add(1)
	a.cancel(cause)
	a.handler.config.Logger.Info("request at an unresponsive engine given up", "part", "forward", "id", a.job.id, "request", a.job.digest.String(),
		"backend", a.backend, "retry", a.mayRetry, "reason", cause.Error())
}

// isUnresponsive reports whether an attempt was given up because all routers together found its
// engine to be unresponsive, or because its row was removed.
func isUnresponsive(cause error) bool {
	return errors.Is(cause, errUnresponsive) || errors.Is(cause, errLost)
}
