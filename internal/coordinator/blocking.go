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
	// judgeEvery is the time between two looks at the evidence without news: what is
	// known of back ends changes it too.
	judgeEvery = 300 * time.Millisecond
	// proposalTime is how long a proposed block counts as under way.
	proposalTime = time.Second
)

// blocking judges, while this node leads, which requests back ends are kept from. What
// is blocked is replicated; the evidence is told again to a new leader. Methods
// named so are safe for concurrent use; all else belongs to the run goroutine.
type blocking struct {
	logger *slog.Logger
	beat   time.Duration

	mu sync.Mutex
	// ledger is nil while this node does not lead, and news says that evidence came
	// since it was judged.
	ledger *poison.Detector
	news   bool
	// kept maps requests that are blocked, or about to be, to the back ends that ended
	// under them.
	kept map[poison.Digest][]string
	// proposed is when blocks were proposed that are not in force yet.
	proposed map[poison.Digest]time.Duration

	judged   time.Duration
	suspects []poison.Digest
	// seen is the revision of the blocked requests that kept has, and since when this
	// node knows of each.
	seen  uint64
	since map[poison.Digest]time.Duration
}

func newBlocking(beat time.Duration, logger *slog.Logger) *blocking {
	return &blocking{beat: beat, logger: logger, since: map[poison.Digest]time.Duration{}}
}

// reset begins or ends a leadership.
func (b *blocking) reset(leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger, b.news, b.suspects, b.seen = nil, false, nil, 0
	b.kept, b.proposed = map[poison.Digest][]string{}, map[poison.Digest]time.Duration{}
	if leads {
		b.ledger = poison.NewDetector(b.beat)
	}
}

// take takes what routers tell of ended attempts. It is safe for concurrent use.
func (b *blocking) take(now time.Duration, router string, reports *coordapi.Reports) {
	if len(reports.FailedAttempts) == 0 && len(reports.Answered) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger == nil {
		return
	}
	b.news = true
	for _, e := range reports.FailedAttempts {
		b.ledger.Record(now, e)
		b.logger.Info("attempt ended at a back end", "part", "blocking", "request", e.Request.String(), "backend", e.Backend, "router", router,
			"age_ms", e.Age.Milliseconds(), "lasted_ms", e.Duration.Milliseconds(), "down", e.Down, "silent", e.Silent)
	}
	for _, d := range reports.Answered {
		b.ledger.MarkHarmless(now, d)
		b.logger.Info("suspected request was answered", "part", "blocking", "request", d.String(), "router", router)
	}
}

// keeps returns the back ends that ended under a request that is kept from them, nil
// for any other. It is safe for concurrent use.
func (b *blocking) keeps(request poison.Digest) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept[request]
}

// follow takes the blocked requests in force. What was cleared is harmless as of now:
// evidence from before may be told again.
func (b *blocking) follow(now time.Duration, d *state.Deployment) {
	if d.BlockedRevision == b.seen {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	since := map[poison.Digest]time.Duration{}
	maps.DeleteFunc(b.kept, func(request poison.Digest, _ []string) bool {
		_, proposed := b.proposed[request]
		return !proposed
	})
	for _, r := range d.Blocked {
		b.kept[r.Request] = r.Backends
		delete(b.proposed, r.Request)
		since[r.Request] = now
		if at, known := b.since[r.Request]; known {
			since[r.Request] = at
		}
	}
	b.since = since
	for _, c := range d.Cleared {
		if c.Revision > b.seen && b.ledger != nil {
			b.ledger.MarkHarmless(now, c.Request)
			b.news = true
		}
	}
	b.seen = d.BlockedRevision
}

// judge returns the requests that are to be blocked now, and whether the suspects
// have changed.
func (b *blocking) judge(now time.Duration, signs func(string) poison.Liveness) (verdicts []poison.Verdict, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger == nil || (!b.news && now < b.judged+judgeEvery) {
		return nil, false
	}
	b.news, b.judged = false, now
	verdicts, suspects := b.ledger.Evaluate(now, signs, b.underWay(now))
	for _, v := range verdicts {
		b.kept[v.Request] = v.Backends
		b.proposed[v.Request] = now
	}
	changed = !slices.Equal(suspects, b.suspects)
	b.suspects = suspects
	return verdicts, changed
}

// underWay tells of a request whether it is blocked or was proposed a moment ago.
func (b *blocking) underWay(now time.Duration) func(poison.Digest) bool {
	return func(d poison.Digest) bool {
		at, proposed := b.proposed[d]
		if proposed {
			return now < at+proposalTime
		}
		return b.kept[d] != nil
	}
}

// expired returns the requests that have been blocked for long enough.
func (b *blocking) expired(now time.Duration) []poison.Digest {
	var out []poison.Digest
	for request, at := range b.since {
		if now >= at+poison.BlockDuration {
			out = append(out, request)
		}
	}
	return out
}

// judgeRequests blocks requests that end back ends, and lets go of those that were
// blocked long ago.
func (s *Server) judgeRequests(now time.Duration, d *state.Deployment) {
	s.blocking.follow(now, d)
	if s.lastRole != raft.Leader || !s.core.HoldsLease(now) {
		return
	}
	verdicts, changed := s.blocking.judge(now, s.signs(d))
	if changed {
		s.logger.Info("suspected requests", "part", "blocking", "requests", texts(s.blocking.suspects))
		s.soft.changes++
		s.notify.wake()
	}
	for _, v := range verdicts {
		s.logger.Warn("request is blocked", "part", "blocking", "request", v.Request.String(), "backends", v.Backends, "unrelated", v.Unrelated)
		s.propose(now, "blocking", state.Command{Block: &state.Block{Request: v.Request, Backends: v.Backends}})
	}
	for _, request := range s.blocking.expired(now) {
		s.logger.Info("request is blocked no more", "part", "blocking", "request", request.String(), "after_ms", poison.BlockDuration.Milliseconds())
		// Asked for again after another such time, should the proposal be lost.
		s.blocking.since[request] = now
		s.propose(now, "blocking", state.Command{Unblock: &state.Unblock{Request: request}})
	}
}

// signs tells what is known of back ends beside their requests.
func (s *Server) signs(d *state.Deployment) func(string) poison.Liveness {
	return func(id string) poison.Liveness {
		signs := poison.Liveness{LastHeartbeat: poison.NoHeartbeat}
		if last, heard := s.soft.beats[id]; heard {
			signs.LastHeartbeat = last.at
		}
		row, known := d.Backends[id]
		if !known {
			signs.Gone, signs.Departing = true, s.soft.left[id]
			return signs
		}
		signs.Departing = row.Draining
		signs.Gone = s.soft.isSilent(id)
		return signs
	}
}

func texts(digests []poison.Digest) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = d.String()
	}
	return out
}
