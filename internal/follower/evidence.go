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
	// unsureKept is how long a new leader is told of an attempt whose back end still
	// listened, or was not known to have ended: one that was not there then can't tell any
	// more whether the back end lived on. Of all others it is told as long as they count.
	unsureKept = 30 * time.Second
	// maxEvidence bounds how many it remembers, about 150 B each. The oldest go.
	maxEvidence = 1024
	// maxAnswered bounds the answered suspects between two words to the leader.
	maxAnswered = 64
)

// evidence is a router's side of finding out which requests end back ends: what it
// saw, until each leader has been told, and what the coordinators say. It is safe for
// concurrent use.
type evidence struct {
	// blocked and suspects are what the coordinators said last.
	blocked  atomic.Pointer[map[poison.Digest]state.BlockedRequest]
	suspects atomic.Pointer[map[poison.Digest]struct{}]
	// urgent wakes who tells the leader.
	urgent chan struct{}

	mu       sync.Mutex
	seen     []sighting
	answered map[poison.Digest]struct{}
	// leader names the leadership that is followed.
	leader string
}

// sighting is an attempt that ended, with the leadership that was told of it.
type sighting struct {
	poison.FailedAttempt
	at   time.Duration
	told string
}

func (e *evidence) init() {
	e.urgent = make(chan struct{}, 1)
	e.answered = map[poison.Digest]struct{}{}
	e.blocked.Store(&map[poison.Digest]state.BlockedRequest{})
	e.suspects.Store(&map[poison.Digest]struct{}{})
}

// block takes the blocked requests that the coordinators named.
func (e *evidence) block(list *coordapi.Blocked) {
	blocked := make(map[poison.Digest]state.BlockedRequest, len(list.Requests))
	for _, r := range list.Requests {
		blocked[r.Request] = r
	}
	e.blocked.Store(&blocked)
}

// hear takes which leadership is followed and whom it suspects.
func (e *evidence) hear(token coordapi.LeaderToken, suspects []poison.Digest) {
	named := make(map[poison.Digest]struct{}, len(suspects))
	for _, d := range suspects {
		named[d] = struct{}{}
	}
	e.suspects.Store(&named)
	leadership := token.Leadership()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = leadership
	if len(e.seen) > 0 && e.seen[len(e.seen)-1].told != leadership {
		e.wake()
	}
}

// saw notes an attempt that ended. The leader is told without delay: the request may
// be sent again within a tenth of a second.
func (e *evidence) saw(now time.Duration, ended poison.FailedAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.seen) >= maxEvidence {
		e.seen = append(e.seen[:0], e.seen[maxEvidence/4:]...)
	}
	e.seen = append(e.seen, sighting{FailedAttempt: ended, at: now})
	e.wake()
}

func (e *evidence) wake() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// clear notes that a request got a whole answer, if it is suspected.
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

// take adds what the leadership that is followed has not been told of.
func (e *evidence) take(now time.Duration, reports *coordapi.Reports) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.seen) > 0 && now-e.seen[0].at > poison.EvidenceTTL {
		e.seen = e.seen[1:]
	}
	for i := range e.seen {
		s := &e.seen[i]
		if s.told == e.leader {
			continue
		}
		s.told = e.leader
		if !s.Down && now-s.at > unsureKept {
			continue
		}
		ended := s.FailedAttempt
		ended.Age = now - s.at
		reports.FailedAttempts = append(reports.FailedAttempts, ended)
	}
	for d := range e.answered {
		reports.Answered = append(reports.Answered, d)
	}
	clear(e.answered)
}

// lost notes that reports did not arrive: they are told again.
func (e *evidence) lost(reports *coordapi.Reports) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ended := range reports.FailedAttempts {
		for i := range e.seen {
			if s := &e.seen[i]; s.Backend == ended.Backend && s.Request == ended.Request {
				s.told = ""
			}
		}
	}
	for _, d := range reports.Answered {
		e.answered[d] = struct{}{}
	}
}

// Blocked tells whether a request is kept from back ends, and since which evidence.
func (f *Follower) Blocked(d poison.Digest) (state.BlockedRequest, bool) {
	blocked, is := (*f.evidence.blocked.Load())[d]
	return blocked, is
}

// RecordFailure notes an attempt that ended without a whole answer.
func (f *Follower) RecordFailure(ended poison.FailedAttempt) { f.evidence.saw(f.now(), ended) }

// RecordSuccess notes that a request got a whole answer.
func (f *Follower) RecordSuccess(d poison.Digest) { f.evidence.clear(d) }
