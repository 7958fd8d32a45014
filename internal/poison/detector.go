package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EvidenceTTL is how long a failed attempt counts, and BlockDuration how long a request or a set of
// parts is blocked. An operator may unblock it earlier.
const (
	EvidenceTTL   = 10 * time.Minute
	BlockDuration = 10 * time.Minute
)

const (
	// MaxParts bounds the parts of one failed attempt. Further ones are not accused.
	MaxParts = 64
	// maxSubjects bounds the requests and parts with evidence, about 200 B each. The loss of a fifth
	// of a hundred engines breaks 900 requests, which may have six parts each.
	maxSubjects = 16384
	// intervalPerSubject is MinInterval for each request or part with evidence. The evaluation takes
	// about half a microsecond for each.
	intervalPerSubject = 10 * time.Microsecond
	// expiryInterval is the time between two removals of outdated evidence.
	expiryInterval = time.Minute
	// heartbeatMargin is the delay after a failed attempt within which a heartbeat does not
	// show that the back end is alive: it may have been in flight.
	heartbeatMargin = time.Second
	// lateHeartbeatMargin replaces heartbeatMargin for a back end that refused connections and
	// has a successor: a network partition may have delayed the heartbeat.
	lateHeartbeatMargin = 10 * time.Second
)

// FailedAttempt is an attempt at a back end that ended without a complete response.
type FailedAttempt struct {
	Backend string `json:"b"`
	Request Digest `json:"d"`
	// Parts are the shared parts of the request's prompt, without duplicates.
	Parts []Digest `json:"p,omitempty"`
	// Age is the time since the attempt ended, and Duration the time that it lasted.
	Age      time.Duration `json:"a,omitempty"`
	Duration time.Duration `json:"l,omitempty"`
	// Down is set if the back end's address refused connections right afterwards.
	Down bool `json:"x,omitempty"`
	// Silent is set if the attempt was cancelled after the back end had sent nothing for a
	// while.
	Silent bool `json:"s,omitempty"`
}

// AnsweredPart is a shared part whose request got a complete answer. Age is the time since the last
// such answer.
type AnsweredPart struct {
	Part Digest        `json:"d"`
	Age  time.Duration `json:"a,omitempty"`
}

// NoHeartbeat is the LastHeartbeat of a back end that has sent none yet.
const NoHeartbeat = time.Duration(math.MinInt64 / 2)

// never precedes all times of a Detector.
const never = time.Duration(math.MinInt64 / 2)

// Liveness is the state of a back end according to its heartbeats and row.
type Liveness struct {
	// LastHeartbeat is when the last heartbeat arrived, by the Detector's clock.
	LastHeartbeat time.Duration
	// Gone is set if the back end has a successor at its address, has no row any more, or has
	// missed several heartbeats.
	Gone bool
	// Departing is set if the end was announced.
	Departing bool
}

// Detector collects failed attempts and finds the requests, or the shared parts of prompts, that
// caused them. It is not safe for concurrent use.
type Detector struct {
	// heartbeatInterval is the time between two heartbeats of a back end.
	heartbeatInterval time.Duration
	// subjects are the requests and parts with evidence.
	subjects map[Digest]*evidence
	// suspectedSince maps the suspected parts to the time at which they became suspects.
	suspectedSince map[Digest]time.Duration
	// returns maps blocks to those of their back ends that are presumed to have ended and send heartbeats
	// again.
	returns map[Digest]map[string]*backendReturn
	// evaluations counts the calls of Evaluate.
	evaluations uint64
	// expiredAt is when outdated evidence was last removed.
	expiredAt time.Duration
}

// evidence is the evidence against one request or part.
type evidence struct {
	// isPart is set for a part.
	isPart bool
	// attempts are the failed attempts by back end. Those of a request are one each.
	attempts map[string][]*attempt
	// harmlessAt is when the subject was last shown to be harmless, and answeredAt when a request
	// with the part last got a complete answer.
	harmlessAt, answeredAt time.Duration
	lastUpdate             time.Duration
}

// attempt is a failed attempt.
type attempt struct {
	request Digest
	// digests are those of the request and its parts, in ascending order.
	digests      []Digest
	from, at     time.Duration
	down, silent bool
	// ended is whether the back end ended during the attempt, as of the evaluation with that number.
	ended      bool
	evaluation uint64
}

// NewDetector returns an empty Detector.
func NewDetector(heartbeatInterval time.Duration) *Detector {
	return &Detector{heartbeatInterval: heartbeatInterval, subjects: map[Digest]*evidence{}, suspectedSince: map[Digest]time.Duration{}, returns: map[Digest]map[string]*backendReturn{}}
}

// Record records a failed attempt. Recording it again has no effect.
func (l *Detector) Record(now time.Duration, e FailedAttempt) {
	if e.Request == 0 || e.Age > EvidenceTTL {
		return
	}
	l.evict(now)
	at := now - e.Age
	recorded := attempt{request: e.Request, from: at - e.Duration, at: at, down: e.Down, silent: e.Silent}
	if known := l.entry(e.Request, false).attempts[e.Backend]; len(known) > 0 {
		if old := known[0]; !old.down && e.Down {
			recorded.digests = old.digests
			*old = recorded
		}
		return
	}
	recorded.digests = slices.Concat([]Digest{e.Request}, e.Parts[:min(len(e.Parts), MaxParts)])
	slices.Sort(recorded.digests)
	recorded.digests = slices.Compact(recorded.digests)
	for _, d := range recorded.digests {
		s := l.entry(d, d != e.Request)
		s.attempts[e.Backend] = append(s.attempts[e.Backend], &recorded)
		s.lastUpdate = max(s.lastUpdate, at)
	}
}

// MarkHarmless records that a request or part is harmless: its failed attempts until now do not
// count.
func (l *Detector) MarkHarmless(now time.Duration, d Digest) {
	s := l.entry(d, false)
	s.harmlessAt, s.lastUpdate = max(s.harmlessAt, now), max(s.lastUpdate, now)
}

// ClearParts records that an operator takes a set of parts for harmless: failed attempts until now do
// not count against them.
func (l *Detector) ClearParts(now time.Duration, parts []Digest) {
	for _, d := range parts {
		s := l.entry(d, true)
		s.harmlessAt, s.lastUpdate = max(s.harmlessAt, now), max(s.lastUpdate, now)
	}
}

// MarkAnswered records that a request with a part got a complete answer at a time. Failed attempts
// until then do not count against the part, and later ones count less.
func (l *Detector) MarkAnswered(at time.Duration, part Digest) {
	s := l.entry(part, true)
	s.harmlessAt, s.answeredAt, s.lastUpdate = max(s.harmlessAt, at), max(s.answeredAt, at), max(s.lastUpdate, at)
}

func (l *Detector) entry(d Digest, isPart bool) *evidence {
	s := l.subjects[d]
	if s == nil {
		s = &evidence{isPart: isPart, attempts: map[string][]*attempt{}, harmlessAt: never, answeredAt: never, lastUpdate: never}
		l.subjects[d] = s
	}
	return s
}

// evict removes outdated evidence if there is too much, and half of the rest: first the subjects
// with failed attempts at one back end, and the oldest among equal ones.
func (l *Detector) evict(now time.Duration) {
	if len(l.subjects) < maxSubjects {
		return
	}
	l.expire(now)
	digests := slices.SortedFunc(maps.Keys(l.subjects), func(a, b Digest) int {
		x, y := l.subjects[a], l.subjects[b]
		return cmp.Or(cmp.Compare(min(len(x.attempts), endsToSuspect), min(len(y.attempts), endsToSuspect)), cmp.Compare(x.lastUpdate, y.lastUpdate), cmp.Compare(a, b))
	})
	for _, d := range digests[:max(len(digests)-maxSubjects/2, 0)] {
		delete(l.subjects, d)
	}
}

// expire removes outdated evidence.
func (l *Detector) expire(now time.Duration) {
	l.expiredAt = now
	maps.DeleteFunc(l.subjects, func(_ Digest, s *evidence) bool { return s.lastUpdate <= now-EvidenceTTL })
}

// MinInterval returns the time that should pass between two evaluations, so that these take a small
// part of a processor's time.
func (l *Detector) MinInterval() time.Duration {
	return time.Duration(len(l.subjects)) * intervalPerSubject
}

// ended reports whether a back end ended during an attempt.
func (l *Detector) ended(a *attempt, s Liveness) bool {
	switch {
	case s.Departing:
		return false
	case a.silent:
		// The back end ended within one heartbeat interval of its last heartbeat. An attempt
		// cancelled before the end of that interval may have ended first, and one that began
		// after it never ran.
		last := s.LastHeartbeat + l.heartbeatInterval
		return s.Gone && a.from <= last && a.at > last
	case a.down && s.Gone:
		return s.LastHeartbeat <= a.at+lateHeartbeatMargin
	}
	return (a.down || s.Gone) && s.LastHeartbeat <= a.at+heartbeatMargin
}
