package coordinator

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// evaluateInterval is the time between evaluations without new evidence: changes of the back
	// ends' state count as evidence too.
	evaluateInterval = 300 * time.Millisecond
	// proposalTimeout is how long a proposed block counts as pending.
	proposalTimeout = time.Second
)

// blocker decides on the leader which poison requests are blocked. Blocks are replicated; the
// evidence is not, and routers report it again to a new leader. Methods are safe for
// concurrent use only if documented so; everything else belongs to the run goroutine.
type blocker struct {
	logger    *slog.Logger
	heartbeat time.Duration

	mu sync.Mutex
	// detector is nil unless this node leads. dirty is set when evidence arrived after the last
	// evaluation.
	detector *poison.Detector
	dirty    bool
	// blocked maps requests that are blocked, or proposed to be, to the back ends that crashed
	// while running them.
	blocked map[poison.Digest][]string
	// proposed maps requests to the time at which their block was proposed, until it is applied.
	proposed map[poison.Digest]time.Duration

	evaluatedAt time.Duration
	suspects    []poison.Digest
	// revision is the revision of the blocked requests that were copied into blocked, and
	// blockedSince the time at which this node first saw each of them.
	revision     uint64
	blockedSince map[poison.Digest]time.Duration
}

func newBlocker(heartbeat time.Duration, logger *slog.Logger) *blocker {
	return &blocker{heartbeat: heartbeat, logger: logger, blockedSince: map[poison.Digest]time.Duration{}}
}

// reset starts or ends a leadership.
func (b *blocker) reset(leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detector, b.dirty, b.suspects, b.revision = nil, false, nil, 0
	b.blocked, b.proposed = map[poison.Digest][]string{}, map[poison.Digest]time.Duration{}
	if leads {
		b.detector = poison.NewDetector(b.heartbeat)
	}
}

// record adds the evidence of a router's reports. It is safe for concurrent use.
func (b *blocker) record(now time.Duration, router string, reports *coordapi.Reports) {
	if len(reports.FailedAttempts) == 0 && len(reports.Answered) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detector == nil {
		return
	}
	b.dirty = true
	for _, e := range reports.FailedAttempts {
		b.detector.Record(now, e)
		b.logger.Info("back end failed during an attempt", "part", "blocking", "request", e.Request.String(), "prompt_parts", poison.Join(e.Parts), "backend", e.Backend, "router", router,
			"age_ms", e.Age.Milliseconds(), "lasted_ms", e.Duration.Milliseconds(), "down", e.Down, "silent", e.Silent)
	}
	for _, d := range reports.Answered {
		b.detector.MarkHarmless(now, d)
		b.logger.Info("suspected request was answered", "part", "blocking", "request", d.String(), "router", router)
	}
}

// crashedBackends returns the back ends that crashed while running a blocked request, or nil if
// the request is not blocked. It is safe for concurrent use.
func (b *blocker) crashedBackends(request poison.Digest) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[request]
}

// update copies the blocked requests of the deployment. Evidence against a request from before it
// was unblocked is discarded, because routers may report it again.
func (b *blocker) update(now time.Duration, d *state.Deployment) {
	if d.BlockedRevision == b.revision {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	blockedSince := map[poison.Digest]time.Duration{}
	maps.DeleteFunc(b.blocked, func(request poison.Digest, _ []string) bool {
		_, proposed := b.proposed[request]
		return !proposed
	})
	for _, r := range d.Blocked {
		b.blocked[r.Request] = r.Backends
		delete(b.proposed, r.Request)
		blockedSince[r.Request] = now
		if at, known := b.blockedSince[r.Request]; known {
			blockedSince[r.Request] = at
		}
	}
	b.blockedSince = blockedSince
	for _, c := range d.Cleared {
		if c.Revision > b.revision && b.detector != nil {
			b.detector.MarkHarmless(now, c.Request)
			b.dirty = true
		}
	}
	b.revision = d.BlockedRevision
}

// evaluate returns the requests to block now, and whether the list of suspects has changed.
func (b *blocker) evaluate(now time.Duration, signs func(string) poison.Liveness) (verdicts []poison.Verdict, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detector == nil || (!b.dirty && now < b.evaluatedAt+evaluateInterval) {
		return nil, false
	}
	b.dirty, b.evaluatedAt = false, now
	verdicts, suspects := b.detector.Evaluate(now, signs, b.pending(now))
	for _, v := range verdicts {
		b.blocked[v.Request] = v.Backends
		b.proposed[v.Request] = now
	}
	changed = !slices.Equal(suspects, b.suspects)
	b.suspects = suspects
	return verdicts, changed
}

// pending returns a function that reports whether a request is blocked or its block was proposed
// recently.
func (b *blocker) pending(now time.Duration) func(poison.Digest) bool {
	return func(d poison.Digest) bool {
		at, proposed := b.proposed[d]
		if proposed {
			return now < at+proposalTimeout
		}
		return b.blocked[d] != nil
	}
}

// expired returns the requests whose block has lasted for poison.BlockDuration.
func (b *blocker) expired(now time.Duration) []poison.Digest {
	var out []poison.Digest
	for request, at := range b.blockedSince {
		if now >= at+poison.BlockDuration {
			out = append(out, request)
		}
	}
	return out
}

// evaluateBlocks proposes to block requests that crash back ends and to unblock those whose block
// has expired.
func (s *Server) evaluateBlocks(now time.Duration, d *state.Deployment) {
	s.blocker.update(now, d)
	if s.lastRole != raft.Leader || !s.core.HoldsLease(now) {
		return
	}
	verdicts, changed := s.blocker.evaluate(now, s.signs(d))
	if changed {
		s.logger.Info("suspected requests changed", "part", "blocking", "requests", digestStrings(s.blocker.suspects))
		s.soft.changes++
		s.notify.wake()
	}
	for _, v := range verdicts {
		s.logger.Warn("blocking poison request", "part", "blocking", "request", v.Request.String(), "backends", v.Backends, "unrelated", v.Unrelated)
		s.propose(now, "blocking", state.Command{Block: &state.Block{Request: v.Request, Backends: v.Backends}})
	}
	for _, request := range s.blocker.expired(now) {
		s.logger.Info("unblocking request", "part", "blocking", "request", request.String(), "after_ms", poison.BlockDuration.Milliseconds())
		// Restarts the expiry, so that a lost proposal is made again.
		s.blocker.blockedSince[request] = now
		s.propose(now, "blocking", state.Command{Unblock: &state.Unblock{Request: request}})
	}
}

// signs returns a function that reports the state of a back end other than the requests it ran.
func (s *Server) signs(d *state.Deployment) func(string) poison.Liveness {
	return func(id string) poison.Liveness {
		signs := poison.Liveness{LastHeartbeat: poison.NoHeartbeat}
		if last, found := s.soft.heartbeats[id]; found {
			signs.LastHeartbeat = last.at
		}
		row, known := d.Backends[id]
		if !known {
			departure, _ := d.Departure(id)
			signs.Gone, signs.Departing = true, departure.Draining
			return signs
		}
		signs.Departing = row.Draining
		signs.Gone = s.soft.isSilent(id)
		return signs
	}
}

func digestStrings(digests []poison.Digest) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = d.String()
	}
	return out
}
