package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// minSilence is the silence of a back end after which a cancelled attempt is reported as
// silent. It exceeds the interval of events, which engines send at least twice a second.
const minSilence = time.Second

// maxCheckWait is the time for which a probe waits for a check of the path to its pool, polled every
// checkWaitStep.
const (
	maxCheckWait  = 300 * time.Millisecond
	checkWaitStep = 20 * time.Millisecond
)

// Observer detects poison requests together with all other routers.
type Observer interface {
	// Blocked reports whether a request is blocked, and the evidence for it. The digests of the shared
	// parts of its prompt are asked for only if some are blocked.
	Blocked(request poison.Digest, parts func() []poison.Digest) (state.BlockedRequest, bool)
	// MayTry reports whether a blocked request may ask the leader to be sent for a trial.
	MayTry(request poison.Digest, parts func() []poison.Digest) bool
	// RecordFailure records an attempt that ended without a complete response.
	RecordFailure(ended poison.FailedAttempt)
	// RecordSuccess records that a request received a complete response. Parts are the shared parts
	// of its prompt if an engine has answered on it.
	RecordSuccess(request poison.Digest, parts []poison.Digest)
}

// noObserver is an Observer that blocks nothing.
type noObserver struct{}

func (noObserver) Blocked(poison.Digest, func() []poison.Digest) (b state.BlockedRequest, blocked bool) {
	return b, false
}
func (noObserver) MayTry(poison.Digest, func() []poison.Digest) bool { return false }
func (noObserver) RecordFailure(poison.FailedAttempt)                {}
func (noObserver) RecordSuccess(poison.Digest, []poison.Digest)      {}

// allowedByBlocks reports whether a request may be sent, or may ask the leader to be sent for a trial of
// the block that applies to it. It returns the block otherwise.
func (h *Handler) allowedByBlocks(j *job) (block state.BlockedRequest, allowed bool) {
	j.trial, j.query.Trial = nil, 0
	block, blocked := h.config.Observer.Blocked(j.digest, j.promptParts)
	if !blocked {
		return block, true
	}
	if j.pool.Engine == nil || h.config.Placer == nil || j.tries() > 0 || !h.config.Observer.MayTry(j.digest, j.promptParts) {
		return block, false
	}
	j.trial, j.query.Trial = &block, block.Request
	return block, true
}

// placeTrial asks the leader to place a request for a trial. It returns a blocked choice unless the leader
// has placed it.
func (h *Handler) placeTrial(ctx context.Context, j *job) (backends.Choice, bool) {
	choice, found, answered := h.place(ctx, j)
	if answered && choice.OverLimit {
		return choice, found
	}
	if !answered || !found || choice.Late || choice.Reason != "" || len(choice.Blocked) > 0 {
		return backends.Choice{Blocked: j.trial.Backends}, true
	}
	h.config.Logger.Info("request is sent for a trial", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "block", j.trial.Request.String(), "backend", choice.ID)
	return choice, true
}

// refuseBlocked sends the final response to a blocked request. It is not retryable: another
// attempt would end another back end and all requests that it runs. Ran is the result of the last attempt that
// may have run.
func (h *Handler) refuseBlocked(ctx context.Context, s *session, block state.BlockedRequest, ran outcome) {
	j := s.job
	j.noAttempt = errBlocked.Error()
	h.recordEarlyEnd(ctx, s, ran)
	what, text := "they ran it", "The back ends that ran this request ended. It is not tried again for now.\n"
	if len(block.Parts) > 0 {
		h.metrics.refusedBlockedParts.Add(1)
		names := j.partNames(block.Parts)
		what = "they ran prompts with the parts " + names
		text = "Back ends ended while they ran prompts with the parts " + names + ". Such requests are not tried for now.\n"
	} else {
		h.metrics.refusedBlocked.Add(1)
	}
	reason := "blocked: back ends ended while " + what + ": " + strings.Join(block.Backends, ", ")
	if len(block.Backends) == 0 {
		reason, text = "blocked by an operator", "An operator has blocked this request.\n"
	}
	if s.headerSent {
		h.logResponse(s, reason)
		panic(http.ErrAbortHandler)
	}
	h.config.Logger.Info("request is blocked", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "block", block.Request.String(),
		"prompt_parts", poison.Join(block.Parts), "backends", block.Backends, "revision", block.Revision, "attempts", strings.Join(j.trace, "; "))
	h.refuse(s.client, j, &refusal{status: http.StatusBadGateway, reason: reason, retryAfter: poison.BlockDuration, text: text})
}

// maxNamed bounds the length of each name of a part in a response.
const maxNamed = 64

// partNames returns the names that the request has for parts of its prompt, quoted.
func (j *job) partNames(parts []poison.Digest) string {
	var names []string
	for _, name := range j.parts {
		if quoted := fmt.Sprintf("%.*q", maxNamed, name); slices.Contains(parts, poison.PartDigest(j.tenantSuffix(), name)) && !slices.Contains(names, quoted) {
			names = append(names, quoted)
		}
	}
	return strings.Join(names, ", ")
}

// promptParts returns the digests of the shared parts of the request's prompt, without duplicates.
func (j *job) promptParts() []poison.Digest {
	if j.partDigests == nil && len(j.parts) > 0 {
		j.partDigests = make([]poison.Digest, 0, len(j.parts))
		seen := make(map[poison.Digest]bool, len(j.parts))
		for _, name := range j.parts {
			if d := poison.PartDigest(j.tenantSuffix(), name); !seen[d] {
				seen[d] = true
				j.partDigests = append(j.partDigests, d)
			}
		}
	}
	return j.partDigests
}

// answeredParts returns the parts of the prompt if a back end has answered on them.
func (j *job) answeredParts(response *upstream.BackendResponse) []poison.Digest {
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	return j.promptParts()
}

// failedAttempt describes an attempt at a back end that ends now.
func (j *job) failedAttempt(backend string, took time.Duration) poison.FailedAttempt {
	return poison.FailedAttempt{Backend: backend, Request: j.digest, Parts: j.promptParts(), Duration: took}
}

// reportAttempt reports the end of an attempt to the observer. Response is nil if no header was
// received.
func (h *Handler) reportAttempt(ctx context.Context, s *session, choice backends.Choice, response *upstream.BackendResponse, result outcome, started time.Duration) {
	j, now := s.job, h.now()
	framed := response != nil && response.Framed()
	ended := func() poison.FailedAttempt { return j.failedAttempt(choice.ID, now-started) }
	complete := result.verdict != mayHaveRun
	switch {
	case result.verdict == notRun, errors.Is(result.err, errAttemptsSpent), isLocal(result.err), isOurs(result.err), isOurs(context.Cause(ctx)):
	case complete && response != nil && !framed:
		// The connections of a back end that crashes are closed as well.
		h.probes.add(choice, ending{FailedAttempt: ended(), at: now, complete: true, answered: j.answeredParts(response)}, h.probeBackend)
	case !framed && h.pathLost(j):
		// It may be a failure of this router's path: heartbeats tell whether the back end has ended.
		h.config.Observer.RecordFailure(ended())
	case complete && framed:
		h.config.Observer.RecordSuccess(j.digest, j.answeredParts(response))
	case errors.Is(context.Cause(ctx), backends.ErrRestarted):
		failure := ended()
		failure.Down = true
		h.config.Observer.RecordFailure(failure)
	case context.Cause(ctx) == nil:
		h.probes.add(choice, ending{FailedAttempt: ended(), at: now}, h.probeBackend)
	case now-max(started, s.lastAt) >= minSilence || isUnresponsive(context.Cause(ctx)):
		failure := ended()
		failure.Silent = true
		h.config.Observer.RecordFailure(failure)
	}
}

// probeBackend checks whether a back end accepts connections and reports the attempts that
// ended there. It does not use the context of a request, so that a disconnected client does not
// stop it.
func (h *Handler) probeBackend(choice backends.Choice) {
	down := h.config.Upstream.Down(context.Background(), choice.Address)
	if !h.config.Pool.PathKnown(choice.ID) {
		// If it is lost, nothing else may be known soon, and the request may be sent again meanwhile.
		for _, e := range h.probes.failures(choice.ID) {
			h.reportEnding(e)
		}
	}
	for waited := time.Duration(0); waited < maxCheckWait && !h.config.Pool.PathKnown(choice.ID); waited += checkWaitStep {
		time.Sleep(checkWaitStep)
	}
	known := h.config.Pool.PathKnown(choice.ID)
	for _, e := range h.probes.take(choice.ID) {
		// A refused connection shows that the back end has ended only if others are reached.
		e.Down = down && known
		switch {
		case e.reported && !e.Down:
		case !e.complete || e.Down:
			h.reportEnding(e)
		case known:
			h.config.Observer.RecordSuccess(e.Request, e.answered)
		}
	}
}

// reportEnding reports a failed attempt with the time since its end.
func (h *Handler) reportEnding(e ending) {
	e.Age = h.now() - e.at
	h.config.Observer.RecordFailure(e.FailedAttempt)
}

// Wait waits until all probes and all attempts beside others are done. It is to be called when all
// requests are, and takes no longer than a connect timeout.
func (h *Handler) Wait() {
	h.hedges.Wait()
	h.probes.group.Wait()
}

// ending is an attempt whose result depends on whether its back end has ended.
type ending struct {
	poison.FailedAttempt
	// at is when the attempt ended.
	at time.Duration
	// reported is set once the attempt has been reported as one whose back end may be alive.
	reported bool
	// complete is set if a response ended with its connection, without an error. Answered are then
	// the parts on which an engine has answered.
	complete bool
	answered []poison.Digest
}

// probes are the running probes of back ends. An engine that ends breaks many attempts at once,
// which share one probe. It is safe for concurrent use.
type probes struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// pending maps back ends to the attempts that wait for the result.
	pending map[string][]ending
}

func newProbes() *probes { return &probes{pending: map[string][]ending{}} }

// add starts a probe of a back end unless one is running.
func (p *probes) add(choice backends.Choice, ended ending, probe func(backends.Choice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, begun := p.pending[choice.ID]
	p.pending[choice.ID] = append(waiting, ended)
	if !begun {
		p.group.Go(func() { probe(choice) })
	}
}

// failures returns the failed attempts of a running probe that have not been reported, and marks them.
func (p *probes) failures(id string) (out []ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.pending[id]
	for i := range pending {
		if !pending[i].complete && !pending[i].reported {
			pending[i].reported = true
			out = append(out, pending[i])
		}
	}
	return out
}

func (p *probes) take(id string) []ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.pending[id]
	delete(p.pending, id)
	return out
}
