package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// silentFrom is how long a back end must have said nothing before an attempt that is
// given up tells of it: engines send an event at least each half second.
const silentFrom = time.Second

// Observer finds out, together with all routers, which requests end the back ends
// that run them.
type Observer interface {
	// Blocked tells whether a request is kept from back ends.
	Blocked(request poison.Digest) (state.BlockedRequest, bool)
	// RecordFailure notes an attempt that ended without a whole answer.
	RecordFailure(ended poison.FailedAttempt)
	// RecordSuccess notes that a request got a whole answer.
	RecordSuccess(request poison.Digest)
}

// alone is the Observer of a router without others: it blocks nothing.
type alone struct{}

func (alone) Blocked(poison.Digest) (b state.BlockedRequest, blocked bool) { return b, false }
func (alone) RecordFailure(poison.FailedAttempt)                           {}
func (alone) RecordSuccess(poison.Digest)                                  {}

// refuseBlocked gives a request that is kept from back ends its final answer: it has
// run, and trying it again would end another back end with all that this one runs.
func (h *Handler) refuseBlocked(s *session, under []string, revision uint64) {
	h.metrics.blocked.Add(1)
	reason := "blocked: back ends ended while they ran it: " + strings.Join(under, ", ")
	if s.begun {
		h.logDone(s, reason)
		panic(http.ErrAbortHandler)
	}
	h.config.Logger.Info("request is blocked", "part", "forward", "id", s.job.id, "request", s.job.digest.String(), "backends", under,
		"revision", revision, "attempts", strings.Join(s.job.trace, "; "))
	h.refuse(s.writer, s.job, &refusal{status: http.StatusBadGateway, reason: reason, after: poison.BlockDuration,
		text: "The back ends that ran this request ended. It is not tried again for now.\n"})
}

// ended tells the observer what the end of an attempt shows of its back end. Answer is
// nil if none began.
func (h *Handler) ended(ctx context.Context, s *session, choice backends.Choice, answer *upstream.BackendResponse, result outcome, started time.Duration) {
	j, now := s.job, h.now()
	framed := answer != nil && answer.Framed()
	switch {
	case result.verdict == notRun:
	case result.verdict != mayHaveRun && framed:
		h.config.Observer.RecordSuccess(j.digest)
	case errors.Is(context.Cause(ctx), backends.ErrStartedAgain):
		h.config.Observer.RecordFailure(poison.FailedAttempt{Backend: choice.ID, Request: j.digest, Duration: now - started, Down: true})
	case context.Cause(ctx) == nil:
		h.checks.add(choice, poison.FailedAttempt{Backend: choice.ID, Request: j.digest, Duration: now - started}, h.checkBackend)
	case now-max(started, s.lastAt) >= silentFrom:
		h.config.Observer.RecordFailure(poison.FailedAttempt{Backend: choice.ID, Request: j.digest, Duration: now - started, Silent: true})
	}
}

// checkBackend finds out whether a back end still listens and tells the observer of the
// attempts that have ended there. The first caller's leaving does not stop it.
func (h *Handler) checkBackend(choice backends.Choice) {
	down := h.config.Upstream.Down(context.Background(), choice.Address)
	for _, ended := range h.checks.take(choice.ID) {
		ended.Down = down
		h.config.Observer.RecordFailure(ended)
	}
}

// Wait waits until all back ends that are being looked at have answered or timed out,
// a quarter of a second at most.
func (h *Handler) Wait() { h.checks.group.Wait() }

// checks are the back ends that are being looked at. An engine that ends breaks many
// attempts off at once: one look is enough for all of them. It is safe for concurrent
// use.
type checks struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// under maps back ends to the attempts that wait for the outcome.
	under map[string][]poison.FailedAttempt
}

func newChecks() *checks { return &checks{under: map[string][]poison.FailedAttempt{}} }

// add begins a look at a back end unless there is one.
func (c *checks) add(choice backends.Choice, ended poison.FailedAttempt, look func(backends.Choice)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, begun := c.under[choice.ID]
	c.under[choice.ID] = append(waiting, ended)
	if !begun {
		c.group.Go(func() { look(choice) })
	}
}

func (c *checks) take(id string) []poison.FailedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.under[id]
	delete(c.under, id)
	return out
}
