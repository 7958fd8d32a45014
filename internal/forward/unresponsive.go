package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/hedging"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/traffic"
)

// StreamCheckInterval is the interval at which CheckStreams is to be called: a small part of the
// pauses of interactive streams, which are some hundred milliseconds.
const StreamCheckInterval = 25 * time.Millisecond

var (
	errUnresponsive = fmt.Errorf("the leader lists the back end as unresponsive: %w", errSilent)
	errPathLost     = fmt.Errorf("the path to the pool is lost: %w", errSilent)
	errLost         = fmt.Errorf("nothing more arrives from the back end: %w", errSilent)
)

// CheckStreams begins further attempts beside overdue requests at unresponsive engines, and ends those
// whose callers have left.
func (h *Handler) CheckStreams(context.Context) { h.config.Streams.Check(h.clock()) }

// trackStream tracks an attempt at an engine. It returns nil for other back ends.
func (h *Handler) trackStream(a *attempt) *liveness.Stream {
	if a.running == nil || a.session.job.pool.Engine == nil {
		return nil
	}
	return h.config.Streams.Add(h.clock(), a.choice.ID, a.session.job.route.Target, a.onOverdue)
}

// recordBegun records that a response has begun. Responses without events are not tracked further.
func (a *attempt) recordBegun() {
	if !a.isStream() {
		a.tracked.End()
		return
	}
	a.tracked.Begin(a.handler.clock(), a.session.job.route.GapTarget)
}

// silenceState returns what is known of an overdue attempt. Without a lease the leader's list may be out
// of date.
func (a *attempt) silenceState(stream *liveness.Stream) hedging.State {
	if !a.handler.config.Source.Fresh() {
		return hedging.State{}
	}
	j := a.session.job
	listed, lost := a.running.EngineStatus()
	return hedging.State{Listed: listed, Lost: lost, PathLost: a.handler.needsRelay(j), Silence: stream.Silence(a.handler.clock()), Limit: silenceLimit(j)}
}

// silenceLimit returns the silence after which the caller is taken to have left. Callers of calls wait
// until their deadline.
func silenceLimit(j *job) time.Duration {
	if j.route.Kind != traffic.KindStream {
		return j.clientWait
	}
	return j.route.SilenceLimit()
}

// onOverdue is called while the next event of the attempt is overdue.
func (a *attempt) onOverdue(stream *liveness.Stream) {
	// An event may have arrived since the check.
	if a.ctx.Err() != nil || !stream.Overdue(a.handler.clock()) {
		return
	}
	state := a.silenceState(stream)
	action := hedging.Decide(state)
	if action == hedging.Wait {
		return
	}
	cause := errPathLost
	if state.Listed || state.Lost {
		cause = errUnresponsive
	}
	if state.Lost && !a.session.race.heldBack(a) {
		a.reportSilence()
	}
	if action == hedging.End {
		a.giveUp(errLost)
		return
	}
	a.session.race.hedge(a, cause)
}

// reportSilence reports once that the engine, whose heartbeats are overdue as well, is taken for stopped
// while it runs the request. Its answer voids the report.
func (a *attempt) reportSilence() {
	if a.silenceReported.Swap(true) {
		return
	}
	failure := a.session.job.failedAttempt(a.choice.ID, a.handler.now()-a.started)
	failure.Silent = true
	a.handler.config.Observer.RecordFailure(failure)
}

func (a *attempt) giveUp(cause error) {
	j := a.session.job
	a.handler.metrics.endedUnresponsive.Add(1)
	a.cancel(cause)
	a.handler.config.Logger.Info("request at an unresponsive engine given up", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(),
		"backend", a.choice.ID, "reason", cause.Error())
}

// isUnresponsive reports whether an attempt ended because all routers together found its engine to be
// unresponsive, or because its row was removed.
func isUnresponsive(cause error) bool {
	return errors.Is(cause, errUnresponsive) || errors.Is(cause, errLost)
}
