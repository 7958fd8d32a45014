package coordinator

import (
	"cmp"
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

// blocker decides on the leader which poison requests, and which parts of prompts, are blocked.
// Blocks are replicated; the evidence is not, and routers report it again to a new leader. Methods
// are safe for concurrent use only if documented so; everything else belongs to the run goroutine.
type blocker struct {
	logger    *slog.Logger
	heartbeat time.Duration

	mu sync.Mutex
	// detector is nil unless this node leads. dirty is set when evidence arrived after the last
	// evaluation, or that one waits for answers.
	detector *poison.Detector
	dirty    bool
	// blocked are the blocks in force or proposed.
	blocked map[poison.Digest]poison.Block
	// proposed maps blocks to the time at which they were proposed, until they are applied.
	proposed map[poison.Digest]time.Duration
	// answered are the blocked sets of parts on which a request has been answered.
	answered []poison.Digest
	// openTrials are the blocks whose next trial no request has taken yet.
	openTrials map[poison.Digest]struct{}

	evaluatedAt time.Duration
	suspects    []poison.Digest
	// announcedTrials are the open trials as of the last evaluation, in ascending order, and
	// announcedProposed the blocks that were proposed and not applied then, by ID.
	announcedTrials   []poison.Digest
	announcedProposed []state.BlockedRequest
	// revision is the revision of the blocked requests that were copied into blocked, and
	// applied are those in force, by ID.
	revision uint64
	applied  map[poison.Digest]appliedBlock
}

// appliedBlock is a block in force.
type appliedBlock struct {
	// since is when this node first saw it.
	since time.Duration
	trials
}

func newBlocker(heartbeat time.Duration, logger *slog.Logger) *blocker {
	return &blocker{heartbeat: heartbeat, logger: logger, applied: map[poison.Digest]appliedBlock{}}
}

// reset starts or ends a leadership.
func (b *blocker) reset(leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detector, b.dirty, b.suspects, b.answered, b.revision, b.announcedTrials, b.announcedProposed = nil, false, nil, nil, 0, nil, nil
	b.blocked, b.proposed, b.openTrials = map[poison.Digest]poison.Block{}, map[poison.Digest]time.Duration{}, map[poison.Digest]struct{}{}
	for id, block := range b.applied {
		// An entry that an earlier leadership proposed may still be applied.
		block.proposed = 0
		b.applied[id] = block
	}
	if leads {
		b.detector = poison.NewDetector(b.heartbeat)
	}
}

// record adds the evidence of a router's reports. It is safe for concurrent use.
func (b *blocker) record(now time.Duration, router string, reports *coordapi.Reports) {
	if len(reports.FailedAttempts) == 0 && len(reports.Answered) == 0 && len(reports.AnsweredParts) == 0 {
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
		b.logger.Info("back end failed during an attempt", "part", "blocking", "request", e.Request.String(), "prompt_parts", poison.Join(e.Parts), "backend", e.Backend,
			"router", router, "age_ms", e.Age.Milliseconds(), "lasted_ms", e.Duration.Milliseconds(), "down", e.Down, "silent", e.Silent)
	}
	for _, answered := range reports.AnsweredParts {
		b.detector.MarkAnswered(now-answered.Age, answered.Part)
		if contains(b.suspects, answered.Part) {
			b.logger.Info("suspected prompt part was answered", "part", "blocking", "prompt_part", answered.Part.String(), "router", router, "age_ms", answered.Age.Milliseconds())
		}
	}
	for _, d := range reports.Answered {
		b.recordAnswer(now, router, d)
	}
}

// recordAnswer records a complete answer to a suspected request, or to one that contains a blocked
// set of parts. The lock is held.
func (b *blocker) recordAnswer(now time.Duration, router string, d poison.Digest) {
	block, blocked := b.blocked[d]
	if !blocked || len(block.Parts) == 0 {
		b.detector.MarkHarmless(now, d)
		b.logger.Info("suspected request was answered", "part", "blocking", "request", d.String(), "router", router)
		return
	}
	for _, part := range block.Parts {
		b.detector.MarkAnswered(now, part)
	}
	b.answered = append(b.answered, d)
	b.logger.Info("request with blocked prompt parts was answered", "part", "blocking", "block", d.String(), "router", router)
}

func contains(sorted []poison.Digest, d poison.Digest) bool {
	_, found := slices.BinarySearch(sorted, d)
	return found
}

// crashedBackends returns the back ends that crashed while running a blocked request. Blocked is
// false if the request is not blocked. It is safe for concurrent use.
func (b *blocker) crashedBackends(request poison.Digest) (backends []string, blocked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	block, blocked := b.blocked[request]
	return block.Backends, blocked && len(block.Parts) == 0
}

// update copies what is blocked in the deployment. Evidence from before something was unblocked is
// discarded, because routers may report it again.
func (b *blocker) update(now time.Duration, d *state.Deployment) {
	if d.BlockedRevision == b.revision {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	applied := map[poison.Digest]appliedBlock{}
	maps.DeleteFunc(b.blocked, func(id poison.Digest, _ poison.Block) bool {
		_, proposed := b.proposed[id]
		return !proposed
	})
	for _, r := range d.Blocked {
		b.blocked[r.Request] = r.Rule()
		delete(b.proposed, r.Request)
		block, known := b.applied[r.Request]
		if !known {
			block = appliedBlock{since: now, trials: newTrials(now, &r)}
		}
		block.confirmed = block.confirmed || r.Confirmed
		if block.begin(now, r.Trials) {
			b.openTrials[r.Request] = struct{}{}
		}
		applied[r.Request] = block
	}
	b.applied = applied
	maps.DeleteFunc(b.openTrials, func(id poison.Digest, _ struct{}) bool {
		_, inForce := applied[id]
		return !inForce
	})
	for _, c := range d.Cleared {
		if c.Revision > b.revision && b.detector != nil {
			b.clear(now, c)
		}
	}
	b.revision = d.BlockedRevision
}

// clear applies to the evidence that something was unblocked. The lock is held.
func (b *blocker) clear(now time.Duration, c state.ClearedRequest) {
	b.dirty = true
	if len(c.Parts) > 0 {
		b.detector.ClearParts(now, c.Parts)
		return
	}
	b.detector.MarkHarmless(now, c.Request)
}

// evaluate judges the evidence. Changed reports whether the list of suspects has changed.
func (b *blocker) evaluate(now time.Duration, signs func(string) poison.Liveness) (found poison.Findings, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detector == nil || (!b.dirty && now < b.evaluatedAt+evaluateInterval) || now < b.evaluatedAt+b.detector.MinInterval() {
		return poison.Findings{Suspects: b.suspects}, false
	}
	found = b.detector.Evaluate(now, signs, b.pending(now))
	b.dirty, b.evaluatedAt = found.Waiting, now
	for _, v := range found.Verdicts {
		b.blocked[v.ID] = v.Block
		b.proposed[v.ID] = now
	}
	changed = !slices.Equal(found.Suspects, b.suspects)
	b.suspects = found.Suspects
	found.Confirmed = slices.DeleteFunc(found.Confirmed, func(id poison.Digest) bool { return !b.confirm(id) })
	return found, changed
}

// confirm ends the trials of a doubtful block under which a back end ended. It returns false if nothing
// changes. The lock is held.
func (b *blocker) confirm(id poison.Digest) bool {
	block, applied := b.applied[id]
	if !applied || !block.doubtful || block.confirmed {
		return false
	}
	block.confirmed = true
	b.applied[id] = block
	delete(b.openTrials, id)
	return true
}

// backendsChanged has the evidence evaluated without delay if something is suspected: a back end has ended
// or returned, and the next requests with a suspect may end further ones.
func (b *blocker) backendsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dirty = b.dirty || len(b.suspects) > 0
}

// pending returns the blocks in force and those proposed recently.
func (b *blocker) pending(now time.Duration) []poison.Block {
	var out []poison.Block
	for id, block := range b.blocked {
		at, proposed := b.proposed[id]
		if proposed && now >= at+proposalTimeout {
			continue
		}
		block.Since = poison.NotInForce
		if applied, inForce := b.applied[id]; inForce {
			block.Since = applied.since
		}
		out = append(out, block)
	}
	return out
}

// updateProposed sets the proposed blocks that are announced, and reports whether they have changed. A
// commit takes as long as a disk does, and further back ends would end meanwhile.
func (b *blocker) updateProposed(now time.Duration) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []state.BlockedRequest
	for id, at := range b.proposed {
		if block := b.blocked[id]; now < at+proposalTimeout {
			out = append(out, state.BlockedRequest{Request: id, Parts: block.Parts, Backends: block.Backends, Presumed: block.Presumed})
		}
	}
	slices.SortFunc(out, func(x, y state.BlockedRequest) int { return cmp.Compare(x.Request, y.Request) })
	changed = !slices.EqualFunc(out, b.announcedProposed, func(x, y state.BlockedRequest) bool {
		return x.Request == y.Request && slices.Equal(x.Backends, y.Backends)
	})
	b.announcedProposed = out
	return changed
}

// blockedByOperator stands in place of the ended back ends of a block by an operator.
const blockedByOperator = "blocked by an operator"

// isByOperator reports whether an operator has set a block. Evidence does not end it.
func isByOperator(block poison.Block) bool { return len(block.Backends) == 0 }

// unblocking is a block to end, and why.
type unblocking struct {
	state.Unblock
	reason string
}

// ending returns the blocks to end: those that have lasted for long enough, those by evidence on which a
// request was answered, and those that the evaluation found refuted or without enough ends.
func (b *blocker) ending(now time.Duration, found *poison.Findings) []unblocking {
	var out []unblocking
	for id, block := range b.applied {
		if now >= block.since+poison.BlockDuration {
			out = append(out, unblocking{state.Unblock{Request: id}, "expired"})
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.answered {
		if _, applied := b.applied[id]; applied && !isByOperator(b.blocked[id]) {
			out = append(out, unblocking{state.Unblock{Request: id}, "answered"})
		}
	}
	b.answered = nil
	for _, id := range found.Refuted {
		if _, applied := b.applied[id]; applied {
			out = append(out, unblocking{state.Unblock{Request: id}, "another block explains all ends"})
		}
	}
	for _, id := range found.Recovered {
		if _, applied := b.applied[id]; applied {
			out = append(out, unblocking{state.Unblock{Request: id, KeepEvidence: true}, "back ends that were presumed to have ended send heartbeats again"})
		}
	}
	return out
}

// evaluateBlocks proposes to block what crashes back ends, and to unblock what is not to be blocked
// any longer.
func (s *Server) evaluateBlocks(now time.Duration, d *state.Deployment) {
	s.blocker.update(now, d)
	if s.lastRole != raft.Leader || !s.core.HoldsLease(now) {
		return
	}
	found, changed := s.blocker.evaluate(now, s.signs(d))
	if changed {
		s.logger.Info("suspected requests changed", "part", "blocking", "requests", digestStrings(s.blocker.suspects))
	}
	if s.blocker.updateProposed(now) || changed {
		s.soft.changes++
		s.notify.wake()
	}
	for _, v := range found.Verdicts {
		s.logVerdict(v)
		s.propose(now, "blocking", state.Command{Block: &state.Block{Request: v.ID, Parts: v.Parts, Backends: v.Backends, Presumed: v.Presumed, Doubtful: v.Doubtful}})
	}
	for _, id := range found.Confirmed {
		s.logger.Info("block confirmed: a back end ended under a trial", "part", "blocking", "block", id.String())
		s.propose(now, "blocking", state.Command{Block: &state.Block{Request: id, Confirmed: true}})
	}
	s.runTrials(now)
	for _, ended := range s.blocker.ending(now, &found) {
		s.logger.Info("unblocking request", "part", "blocking", "request", ended.Request.String(), "reason", ended.reason)
		// Restarts the expiry, so that a lost proposal is made again.
		block := s.blocker.applied[ended.Request]
		block.since = now
		s.blocker.applied[ended.Request] = block
		s.propose(now, "blocking", state.Command{Unblock: &ended.Unblock})
	}
}

func (s *Server) logVerdict(v poison.Verdict) {
	if len(v.Parts) == 0 {
		s.logger.Warn("blocking poison request", "part", "blocking", "request", v.ID.String(), "backends", v.Backends, "presumed", v.Presumed, "unrelated", v.Unrelated)
		return
	}
	s.logger.Warn("blocking prompt parts", "part", "blocking", "block", v.ID.String(), "prompt_parts", poison.Join(v.Parts), "backends", v.Backends,
		"presumed", v.Presumed, "unrelated", v.Unrelated, "doubtful", v.Doubtful)
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
