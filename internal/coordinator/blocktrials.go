package coordinator

import (
	"maps"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// trialDelay is the time from the block of doubtful parts to its first trial. Another block may
	// explain the ends until then.
	trialDelay = 2 * time.Second
	// trialTimeout is the time after which a trial without a result is replaced by the next one.
	trialTimeout = 10 * time.Second
	// maxTrials bounds the requests that are let through for the trials of a block.
	maxTrials = 3
)

// trials is the state of the trials of a block. A trial is one request that is let through although the
// block applies to it: a complete answer ends the block, and the end of its back end confirms it.
type trials struct {
	doubtful, confirmed bool
	// begun is the number of trials in the log, proposed that of the last one that this leader has
	// proposed, and dueAt the time of the next one.
	begun, proposed int
	dueAt           time.Duration
}

// newTrials returns the trials of a block that this node sees in force for the first time. A trial of an
// earlier leader may still run.
func newTrials(now time.Duration, b *state.BlockedRequest) trials {
	delay := trialDelay
	if b.Trials > 0 {
		delay = trialTimeout
	}
	return trials{doubtful: b.Doubtful, confirmed: b.Confirmed, begun: b.Trials, dueAt: now + delay}
}

// begin records the number of trials in the log. It reports whether this leader has begun one, which a
// request may take.
func (t *trials) begin(now time.Duration, begun int) bool {
	if begun <= t.begun {
		return false
	}
	t.begun = begun
	t.dueAt = now + trialTimeout
	return begun == t.proposed
}

// due reports whether the next trial may begin.
func (t *trials) due(now time.Duration) bool {
	return t.doubtful && !t.confirmed && t.begun < maxTrials && now >= t.dueAt
}

// takeTrial reports whether a request may run as the trial of a block. If it may not, it returns the
// back ends that ended under the block, or none if nothing is blocked. It is safe for concurrent use.
func (b *blocker) takeTrial(id poison.Digest) (backends []string, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.openTrials[id]; open {
		delete(b.openTrials, id)
		return nil, true
	}
	return b.blocked[id].Backends, false
}

// returnTrial returns a trial whose request was not placed. It is safe for concurrent use.
func (b *blocker) returnTrial(id poison.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, blocked := b.blocked[id]; blocked {
		b.openTrials[id] = struct{}{}
	}
}

// updateTrials returns the blocks whose next trial is due, and whether the list of open trials has
// changed.
func (b *blocker) updateTrials(now time.Duration) (due []poison.Digest, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, block := range b.applied {
		_, open := b.openTrials[id]
		switch {
		case open:
			// It may be taken late, and needs its time from then.
			block.dueAt = now + trialTimeout
		case block.due(now):
			block.proposed, block.dueAt = block.begun+1, now+trialTimeout
			due = append(due, id)
		default:
			continue
		}
		b.applied[id] = block
	}
	open := slices.Sorted(maps.Keys(b.openTrials))
	changed = !slices.Equal(open, b.announcedTrials)
	b.announcedTrials = open
	return due, changed
}

// runTrials begins the trials that are due and announces those that are open.
func (s *Server) runTrials(now time.Duration) {
	due, changed := s.blocker.updateTrials(now)
	for _, id := range due {
		trial := s.blocker.applied[id].proposed
		s.logger.Info("letting one request through for a trial", "part", "blocking", "block", id.String(), "trial", trial)
		s.propose(now, "blocking", state.Command{Block: &state.Block{Request: id, Trials: trial}})
	}
	if changed {
		s.soft.changes++
		s.notify.wake()
	}
}
