package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/hedging"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

// attempt is one attempt of a request, at a back end or through another router.
type attempt struct {
	handler *Handler
	// session is the response that the attempt continues: that to the client or, for a hedge, a copy of
	// its position.
	session *session
	// ctx ends with the attempt, and cancel ends the attempt with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// choice is empty for an attempt through another router, whose address is relay.
	choice  backends.Choice
	relay   string
	started time.Duration
	// begun is when the response header arrived.
	begun   time.Duration
	running *backends.Attempt
	// tracked is nil unless the attempt is at an engine.
	tracked *liveness.Stream
	silence *watchdog
	// successor is the latest start that is known to have taken the back end's address; nil for none.
	successor atomic.Pointer[string]
	awaited   awaited
	response  *upstream.BackendResponse
	reader    *bufio.Reader
	// ahead is what a hedge has read of its response; nil for nothing.
	ahead *readAhead
	// hedged is set while a hedge of this attempt is running, and backoff spaces the hedges. The lock of
	// the session's race guards them.
	hedged  bool
	backoff hedging.Backoff
	// hold is set while a hedge that may not run beside the attempt keeps its request from being written
	// on. The same lock guards it.
	hold *hold
	// unsent is set while the request is not written unless admit allows it, written once it may have been, and
	// silent once the back end has been silent. The same lock guards them.
	unsent, written, silent bool
	// silenceReported is set once the attempt has been reported as one at a stopped engine.
	silenceReported atomic.Bool
	// onClose are called in reverse order when the attempt ends.
	onClose []func()
}

// readAhead is the beginning of a response that was read before it can be forwarded: an event of a
// stream, or another response as far as it is buffered.
type readAhead struct {
	event []byte
	// err is io.EOF for a stream that ended without a further event.
	err      error
	received received
}

func (h *Handler) newAttempt(ctx context.Context, s *session) *attempt {
	a := &attempt{handler: h, session: s, started: h.now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// close ends the attempt and releases what it holds.
func (a *attempt) close() {
	for i := len(a.onClose) - 1; i >= 0; i-- {
		a.onClose[i]()
	}
	a.onClose = nil
	// A connection is kept only if its request was not cancelled before.
	a.cancel(nil)
}

// isStream reports whether the response is a stream of events.
func (a *attempt) isStream() bool {
	return a.response.StatusCode == http.StatusOK && a.session.job.route.Kind == traffic.KindStream
}

// open sends the request to a back end. The attempt has a response unless the outcome has an error. It
// must be closed.
func (h *Handler) open(ctx context.Context, s *session, choice backends.Choice) (*attempt, outcome) {
	j := s.job
	// Watchers of the attempt may ask for them.
	j.promptParts()
	a := h.newAttempt(ctx, s)
	a.choice = choice
	s.attempted, s.relay, s.attemptedAt, s.gaveUp = choice, "", a.started, nil
	h.setBackendHeaders(j, s, choice)
	a.running = h.config.Pool.Begin(a.started, &choice, &j.query, a.onCancelled)
	a.onClose = append(a.onClose, func() { a.running.End(h.now()) })
	if j.pool.Engine != nil {
		a.onClose = append(a.onClose, h.takeShare(j))
	}
	j.request.Allowed, j.request.OnHeld = a.allowed, a.onHeld
	j.request.Admit = a.admit
	j.request.Born, j.request.Expected = h.requiredStart(j, a.running)
	// The leader lists an engine that has stopped only after a while, and the route may allow no further
	// attempt after this one.
	j.request.Confirm = (s.hedge != nil || j.ran > 0) && j.pool.Engine != nil
	if choice.Placement > 0 {
		a.onClose = append(a.onClose, func() { h.config.Placer.Ended(choice.Placement) })
	}
	h.watch(a)
	a.awaited.begin(h.clock())
	response, err := h.config.Upstream.Do(a.ctx, choice.Address, j.request)
	a.awaited.end(h.clock(), err == nil)
	// A permit that was not consumed by Do is not needed any more.
	h.config.Limits.Release(choice.Permit)
	a.onClose = append(a.onClose, func() { h.config.Limits.Finish(choice.Permit) })
	if err != nil {
		s.race.end(a)
		s.gaveUp = givenUp(a.ctx)
		result := h.handleSendError(a.ctx, j, choice, err)
		h.reportAttempt(a.ctx, s, choice, nil, result, a.started)
		return a, result
	}
	a.begin(response)
	h.config.Paths.Responded(h.clock(), j.pool.Name)
	a.recordBegun()
	if choice.Placement > 0 && response.StatusCode == http.StatusOK {
		h.config.Placer.Begun(choice.Placement, h.now()-a.started)
	}
	h.observeStoreDelay(j, a.running.Begun(h.now(), response.StatusCode == http.StatusOK))
	h.recordVersion(j, choice, response.Header)
	return a, outcome{}
}

// allowed returns nil if the request may still be sent to its back end.
func (a *attempt) allowed() error {
	if a.session.unbound() {
		return errUnbound
	}
	return a.running.Allowed()
}

// watch makes the attempt observed: a further one begins while its back end is silent.
func (h *Handler) watch(a *attempt) {
	a.session.race.begin(a)
	a.tracked = h.trackStream(a)
	a.onClose = append(a.onClose, a.tracked.End)
	a.silence = h.watchSilence(a, silenceFactor)
	a.onClose = append(a.onClose, a.silence.stop)
}

// begin records that the response has begun.
func (a *attempt) begin(response *upstream.BackendResponse) {
	a.response, a.begun = response, a.handler.now()
	response.Body = &awaitedBody{ReadCloser: response.Body, attempt: a}
	a.onClose = append(a.onClose, response.Close)
	a.silence.stop()
	if a.isStream() {
		a.reader = bufio.NewReaderSize(response, streamBuffer)
	}
}

// nextEvent returns the next event of a stream. The result is valid until the next call, which may
// reuse its memory.
func (a *attempt) nextEvent(event []byte) ([]byte, error) {
	if ahead := a.ahead; ahead != nil {
		a.ahead = nil
		return ahead.event, ahead.err
	}
	event, err := readEvent(a.reader, event, &a.session.job.memory)
	if err == io.EOF && len(event) > 0 {
		err = errTruncatedEvent
	}
	return event, err
}

// read reads the response until it can be forwarded. The result has an error if that is not possible.
func (a *attempt) read() outcome {
	s := a.session
	if failure := s.checkRelayed(a); failure.err != nil {
		return failure
	}
	if !a.isStream() {
		received := s.receive(a.response)
		a.ahead = &readAhead{received: received}
		return received.failure
	}
	if a.response.Header.Get(a.handler.config.Headers.Signature) == "" {
		return outcome{verdict: mayHaveRun, delivered: true, err: errNoSeal}
	}
	event, err := a.nextEvent(nil)
	if err != nil && (err != io.EOF || !s.headerSent) {
		if err == io.EOF {
			err = errNoEvent
		}
		return outcome{verdict: mayHaveRun, err: err, delivered: true}
	}
	a.tracked.Event(a.handler.clock())
	a.tracked.Forwarded(a.handler.clock())
	a.ahead = &readAhead{event: event, err: err}
	return outcome{}
}

// attempt sends the request to one back end and forwards the response.
func (h *Handler) attempt(ctx context.Context, s *session, choice backends.Choice) outcome {
	a, result := h.open(ctx, s, choice)
	defer a.close()
	if result.err != nil {
		return result
	}
	return h.forward(s, a)
}

// forward forwards the response of an attempt and records its end.
func (h *Handler) forward(s *session, a *attempt) outcome {
	stall := h.watchStall(a)
	defer stall.stop()
	s.stall = stall
	var result outcome
	if a.relay != "" {
		result = h.forwardVia(s, a)
	} else {
		result = h.forwardResponse(s, a)
	}
	s.race.end(a)
	if a.relay != "" && result.verdict == mayHaveRun {
		s.job.brokenRelays = append(s.job.brokenRelays, a.relay)
	}
	s.gaveUp = givenUp(a.ctx)
	h.recordEnd(s, a, result)
	return result
}

// recordEnd records the end of an attempt that received a response header.
func (h *Handler) recordEnd(s *session, a *attempt, result outcome) {
	if a.relay != "" {
		return
	}
	h.recordPrefill(s.job, a.choice, a.response.Header, result, a.started, a.begun)
	h.recordAttempt(a.ctx, s, a.choice, a.response, result, h.now()-a.started)
	h.reportAttempt(a.ctx, s, a.choice, a.response, result, a.started)
}

// isOurs reports whether the router ended an attempt because another one went on, so that its end says
// nothing of the back end.
func isOurs(err error) bool { return errors.Is(err, errOutrun) && !errors.Is(err, errReplaced) }
