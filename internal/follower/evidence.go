package follower

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// unsureRetention is how long failed attempts whose back end still listened, or is not known
	// to have crashed, are reported to a new leader. A leader that did not observe the back end
	// then cannot determine whether it survived. All others are reported for
	// poison.EvidenceTTL.
	unsureRetention = 30 * time.Second
	// maxEvidence bounds the failed attempts kept. The oldest are dropped.
	maxEvidence = 1024
	// maxAnswered bounds the answered requests, and the answered parts, between two updates.
	maxAnswered = 64
	// maxAnsweredParts bounds each of the two generations of answered parts, about 60 B each. Parts
	// whose last answer is the oldest are forgotten first.
	maxAnsweredParts = 4096
)

// evidence is a router's side of detecting poison requests: its failed attempts, until each
// leader has them, and the findings of the coordinators. It is safe for concurrent use.
type evidence struct {
	// blocked, suspects and trials are the latest from the coordinators. The last are the blocks under
	// which the leader lets one request through.
	blocked  atomic.Pointer[blockedList]
	suspects atomic.Pointer[map[poison.Digest]struct{}]
	trials   atomic.Pointer[[]poison.Digest]
	// updateNow wakes Update.
	updateNow chan struct{}

	mu       sync.Mutex
	attempts []failedAttempt
	answered map[poison.Digest]struct{}
	// answeredAt holds when the parts of prompts last got a complete answer, and reportParts those
	// that are reported next.
	answeredAt  answerTimes
	reportParts map[poison.Digest]struct{}
	// leader is the leadership that is followed.
	leader string
}

// blockedList is the list of what is blocked, with its index.
type blockedList struct {
	// inForce are the blocks in the log, and requests these and those that the leader has proposed.
	inForce, requests []state.BlockedRequest
	index             poison.Index
}

// answerTimes holds the times of the last answers by part, in two generations. The older one is
// dropped once the younger one is full.
type answerTimes struct {
	younger, older map[poison.Digest]time.Duration
}

func (t *answerTimes) set(part poison.Digest, now time.Duration) {
	if _, known := t.younger[part]; !known && len(t.younger) >= maxAnsweredParts {
		t.older, t.younger = t.younger, nil
	}
	if t.younger == nil {
		t.younger = map[poison.Digest]time.Duration{}
	}
	t.younger[part] = now
}

func (t *answerTimes) get(part poison.Digest) (at time.Duration, known bool) {
	if at, known = t.younger[part]; !known {
		at, known = t.older[part]
	}
	return at, known
}

// failedAttempt is a failed attempt with the leadership it was reported to.
type failedAttempt struct {
	poison.FailedAttempt
	at         time.Duration
	reportedTo string
}

func (e *evidence) init() {
	e.updateNow = make(chan struct{}, 1)
	e.answered = map[poison.Digest]struct{}{}
	e.reportParts = map[poison.Digest]struct{}{}
	e.blocked.Store(&blockedList{})
	e.suspects.Store(&map[poison.Digest]struct{}{})
	e.trials.Store(&[]poison.Digest{})
}

// setBlocked replaces the blocks in force, and setProposed those that the leader has proposed. One
// goroutine calls both.
func (e *evidence) setBlocked(list *coordapi.Blocked) {
	before := e.blocked.Load()
	e.storeBlocked(list.Requests, before.requests[len(before.inForce):])
}

func (e *evidence) setProposed(proposed []state.BlockedRequest) {
	e.storeBlocked(e.blocked.Load().inForce, proposed)
}

func (e *evidence) storeBlocked(inForce, proposed []state.BlockedRequest) {
	blocked := &blockedList{inForce: inForce, requests: slices.Concat(inForce, proposed)}
	for i, r := range blocked.requests {
		blocked.index.Add(i, r.Request, r.Parts)
	}
	e.blocked.Store(blocked)
}

// find returns the block that applies to a request.
func (e *evidence) find(request poison.Digest, parts func() []poison.Digest) (state.BlockedRequest, bool) {
	blocked := e.blocked.Load()
	i, found := blocked.index.Find(request, parts)
	if !found {
		return state.BlockedRequest{}, false
	}
	return blocked.requests[i], true
}

// mayTry reports whether the leader lets a request through under the only block that applies to it.
func (e *evidence) mayTry(request poison.Digest, parts func() []poison.Digest) bool {
	trials := *e.trials.Load()
	if len(trials) == 0 {
		return false
	}
	blocked := e.blocked.Load()
	applying := blocked.index.All(request, parts)
	return len(applying) == 1 && slices.Contains(trials, blocked.requests[applying[0]].Request)
}

// setTrials sets the blocks under which the leader lets one request through.
func (e *evidence) setTrials(trials []poison.Digest) { e.trials.Store(&trials) }

// follow sets the leadership that is followed and its suspects.
func (e *evidence) follow(token coordapi.LeaderToken, suspects []poison.Digest) {
	named := make(map[poison.Digest]struct{}, len(suspects))
	for _, d := range suspects {
		named[d] = struct{}{}
	}
	before := *e.suspects.Swap(&named)
	leadership := token.Leadership()
	e.mu.Lock()
	defer e.mu.Unlock()
	newLeader := e.leader != leadership
	e.leader = leadership
	for _, d := range suspects {
		_, known := before[d]
		if _, answered := e.answeredAt.get(d); answered && (!known || newLeader) {
			e.reportAnswered(d)
		}
	}
	if len(e.attempts) > 0 && e.attempts[len(e.attempts)-1].reportedTo != leadership {
		e.wake()
	}
}

// lostLeader has all attempts reported with the next update, which may reach a new leader before the first
// view of it arrives.
func (e *evidence) lostLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.attempts {
		e.attempts[i].reportedTo = ""
	}
}

// add records a failed attempt and has it reported at once, since the request may be retried
// within a tenth of a second.
func (e *evidence) add(now time.Duration, attempt poison.FailedAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.attempts) >= maxEvidence {
		e.attempts = append(e.attempts[:0], e.attempts[maxEvidence/4:]...)
	}
	attempt.Parts = e.accused(attempt.Parts)
	e.attempts = append(e.attempts, failedAttempt{FailedAttempt: attempt, at: now - attempt.Age})
	e.wake()
}

// accused bounds the parts of a failed attempt. Those on which answers are known are left out first.
func (e *evidence) accused(parts []poison.Digest) []poison.Digest {
	if len(parts) <= poison.MaxParts {
		return parts
	}
	var unanswered, answered []poison.Digest
	for _, part := range parts {
		if _, known := e.answeredAt.get(part); known {
			answered = append(answered, part)
		} else {
			unanswered = append(unanswered, part)
		}
	}
	return append(unanswered, answered...)[:poison.MaxParts]
}

func (e *evidence) wake() {
	select {
	case e.updateNow <- struct{}{}:
	default:
	}
}

// reportAnswered has an answered part reported. The lock is held.
func (e *evidence) reportAnswered(part poison.Digest) {
	if len(e.reportParts) < maxAnswered {
		e.reportParts[part] = struct{}{}
	}
	e.wake()
}

// recordAnswer records that a request got a complete answer. It is reported if the request or one of its
// parts is a suspect, or if a block applies to the request.
func (e *evidence) recordAnswer(now time.Duration, d poison.Digest, parts []poison.Digest) {
	suspects := *e.suspects.Load()
	_, suspected := suspects[d]
	blocked, isBlocked := e.find(d, func() []poison.Digest { return parts })
	if len(parts) == 0 && !suspected && !isBlocked {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, part := range parts {
		e.answeredAt.set(part, now)
		if _, suspected := suspects[part]; suspected {
			e.reportAnswered(part)
		}
	}
	if suspected {
		e.addAnswered(d)
	}
	if isBlocked && len(blocked.Parts) > 0 {
		e.addAnswered(blocked.Request)
	}
}

// addAnswered has a request, or a blocked set of parts, reported as answered. The lock is held.
func (e *evidence) addAnswered(d poison.Digest) {
	if len(e.answered) < maxAnswered {
		e.answered[d] = struct{}{}
	}
	e.wake()
}

// take adds what has not been reported to the current leadership.
func (e *evidence) take(now time.Duration, reports *coordapi.Reports) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.attempts) > 0 && now-e.attempts[0].at > poison.EvidenceTTL {
		e.attempts = e.attempts[1:]
	}
	for i := range e.attempts {
		s := &e.attempts[i]
		if s.reportedTo == e.leader {
			continue
		}
		s.reportedTo = e.leader
		if !s.Down && now-s.at > unsureRetention {
			continue
		}
		attempt := s.FailedAttempt
		attempt.Age = now - s.at
		reports.FailedAttempts = append(reports.FailedAttempts, attempt)
		for _, part := range attempt.Parts {
			e.reportParts[part] = struct{}{}
		}
	}
	for d := range e.answered {
		reports.Answered = append(reports.Answered, d)
	}
	clear(e.answered)
	for part := range e.reportParts {
		if at, known := e.answeredAt.get(part); known && now-at <= poison.EvidenceTTL {
			reports.AnsweredParts = append(reports.AnsweredParts, poison.AnsweredPart{Part: part, Age: now - at})
		}
	}
	clear(e.reportParts)
}

// requeue has reports sent again that did not arrive.
func (e *evidence) requeue(reports *coordapi.Reports) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, attempt := range reports.FailedAttempts {
		for i := range e.attempts {
			if s := &e.attempts[i]; s.Backend == attempt.Backend && s.Request == attempt.Request {
				s.reportedTo = ""
			}
		}
	}
	for _, d := range reports.Answered {
		e.answered[d] = struct{}{}
	}
	for _, answered := range reports.AnsweredParts {
		e.reportParts[answered.Part] = struct{}{}
	}
}

// Blocked reports whether a request is blocked, and by which evidence. The digests of the parts of
// its prompt are asked for only if some are blocked.
func (f *Follower) Blocked(d poison.Digest, parts func() []poison.Digest) (state.BlockedRequest, bool) {
	return f.evidence.find(d, parts)
}

// MayTry reports whether a blocked request may ask the leader to be sent for a trial.
func (f *Follower) MayTry(d poison.Digest, parts func() []poison.Digest) bool {
	return f.evidence.mayTry(d, parts)
}

// RecordFailure records an attempt that failed without a complete answer.
func (f *Follower) RecordFailure(attempt poison.FailedAttempt) { f.evidence.add(f.now(), attempt) }

// RecordSuccess records that a request, with these parts in its prompt, got a complete answer.
func (f *Follower) RecordSuccess(d poison.Digest, parts []poison.Digest) {
	f.evidence.recordAnswer(f.now(), d, parts)
}
