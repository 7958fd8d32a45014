package follower

import (
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
	// maxAnswered bounds the answered suspects between two updates.
	maxAnswered = 64
)

// evidence is a router's side of detecting poison requests: its failed attempts, until each
// leader has them, and the findings of the coordinators. It is safe for concurrent use.
type evidence struct {
	// blocked and suspects are the latest from the coordinators.
	blocked  atomic.Pointer[map[poison.Digest]state.BlockedRequest]
	suspects atomic.Pointer[map[poison.Digest]struct{}]
	// updateNow wakes Update.
	updateNow chan struct{}

	mu       sync.Mutex
	attempts []failedAttempt
	answered map[poison.Digest]struct{}
	// leader is the leadership that is followed.
	leader string
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
	e.blocked.Store(&map[poison.Digest]state.BlockedRequest{})
	e.suspects.Store(&map[poison.Digest]struct{}{})
}

// setBlocked replaces the blocked requests.
func (e *evidence) setBlocked(list *coordapi.Blocked) {
	blocked := make(map[poison.Digest]state.BlockedRequest, len(list.Requests))
	for _, r := range list.Requests {
		blocked[r.Request] = r
	}
	e.blocked.Store(&blocked)
}

// follow sets the leadership that is followed and its suspects.
func (e *evidence) follow(token coordapi.LeaderToken, suspects []poison.Digest) {
	named := make(map[poison.Digest]struct{}, len(suspects))
	for _, d := range suspects {
		named[d] = struct{}{}
	}
	e.suspects.Store(&named)
	leadership := token.Leadership()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = leadership
	if len(e.attempts) > 0 && e.attempts[len(e.attempts)-1].reportedTo != leadership {
		e.wake()
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
	e.attempts = append(e.attempts, failedAttempt{FailedAttempt: attempt, at: now})
	e.wake()
}

func (e *evidence) wake() {
	select {
	case e.updateNow <- struct{}{}:
	default:
	}
}

// clear records that a request got a complete answer, if it is a suspect.
func (e *evidence) clear(d poison.Digest) {
	if _, suspected := (*e.suspects.Load())[d]; !suspected {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
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
	}
	for d := range e.answered {
		reports.Answered = append(reports.Answered, d)
	}
	clear(e.answered)
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
}

// Blocked reports whether a request is blocked, and by which evidence.
func (f *Follower) Blocked(d poison.Digest) (state.BlockedRequest, bool) {
	blocked, is := (*f.evidence.blocked.Load())[d]
	return blocked, is
}

// RecordFailure records an attempt that failed without a complete answer.
func (f *Follower) RecordFailure(attempt poison.FailedAttempt) { f.evidence.add(f.now(), attempt) }

// RecordSuccess records that a request got a complete answer.
func (f *Follower) RecordSuccess(d poison.Digest) { f.evidence.clear(d) }
