package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EvidenceTTL is how long a failed attempt counts, and BlockDuration how long a request is
// blocked. An operator may unblock a request earlier.
const (
	EvidenceTTL   = 10 * time.Minute
	BlockDuration = 10 * time.Minute
)

const (
	// endsToBlock is the number of ended back ends at which a request is blocked. Harmless
	// requests that are retried during several poison requests often meet two ends, but rarely
	// three.
	endsToBlock = 3
	// endsToSuspect is the number of ends from which complete responses to a request are
	// reported as evidence that it is harmless.
	endsToSuspect = endsToBlock - 1
	// unrelatedPerEnd is the number of unrelated ends at about the same time that raise the
	// number of ends required by one: they show another cause.
	unrelatedPerEnd = 8
	// maxExtraEnds bounds the additional ends required, and endsToBlockAlways is the number of
	// ends that is always enough, even if blocked requests account for some: at most three more
	// attempts follow the third end, and a harmless request is hardly retried that often.
	maxExtraEnds      = 2
	endsToBlockAlways = 6
	// unrelatedMargin extends the time between the first and last end under a request in which
	// other ends count as unrelated ones.
	unrelatedMargin = time.Second
	// heartbeatMargin is the delay after a failed attempt within which a heartbeat does not
	// show that the back end is alive: it may have been in flight.
	heartbeatMargin = time.Second
	// lateHeartbeatMargin replaces heartbeatMargin for a back end that refused connections and
	// has a successor: a network partition may have delayed the heartbeat.
	lateHeartbeatMargin = 10 * time.Second
	// maxRequests bounds the requests with evidence, about 200 B each. The loss of a fifth of a
	// hundred engines breaks 900 requests.
	maxRequests = 4096
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

// NoHeartbeat is the LastHeartbeat of a back end that has sent none yet.
const NoHeartbeat = time.Duration(math.MinInt64 / 2)

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

// Detector collects failed attempts and finds the requests that caused them. It is not safe for
// concurrent use.
type Detector struct {
	// heartbeatInterval is the time between two heartbeats of a back end.
	heartbeatInterval time.Duration
	requests          map[Digest]*evidence
}

// evidence is the evidence against one request.
type evidence struct {
	// failures are by back end.
	failures map[string]failure
	// harmlessAt is when the request was last shown to be harmless.
	harmlessAt time.Duration
	lastUpdate time.Duration
}

type failure struct {
	from, at     time.Duration
	down, silent bool
}

// NewDetector returns an empty Detector.
func NewDetector(heartbeatInterval time.Duration) *Detector {
	return &Detector{heartbeatInterval: heartbeatInterval, requests: map[Digest]*evidence{}}
}

// Record records a failed attempt. Recording it again has no effect.
func (l *Detector) Record(now time.Duration, e FailedAttempt) {
	if e.Request == 0 || e.Age > EvidenceTTL {
		return
	}
	l.evict(now)
	r := l.entry(e.Request)
	at := now - e.Age
	if old, known := r.failures[e.Backend]; known && (old.down || !e.Down) {
		return
	}
	r.failures[e.Backend] = failure{from: at - e.Duration, at: at, down: e.Down, silent: e.Silent}
	r.lastUpdate = max(r.lastUpdate, at)
}

// MarkHarmless records that a request is harmless: its failed attempts until now do not count.
func (l *Detector) MarkHarmless(now time.Duration, d Digest) {
	r := l.entry(d)
	r.harmlessAt, r.lastUpdate = max(r.harmlessAt, now), max(r.lastUpdate, now)
}

func (l *Detector) entry(d Digest) *evidence {
	r := l.requests[d]
	if r == nil {
		// The initial value precedes all failures that count.
		r = &evidence{failures: map[string]failure{}, harmlessAt: -EvidenceTTL}
		l.requests[d] = r
	}
	return r
}

// evict removes outdated evidence and the older half of the rest, if there is too much.
func (l *Detector) evict(now time.Duration) {
	if len(l.requests) < maxRequests {
		return
	}
	times := make([]time.Duration, 0, len(l.requests))
	for _, r := range l.requests {
		times = append(times, r.lastUpdate)
	}
	slices.Sort(times)
	limit := max(now-EvidenceTTL, times[len(times)/2])
	maps.DeleteFunc(l.requests, func(_ Digest, r *evidence) bool { return r.lastUpdate <= limit })
}

// Verdict is the decision to block a request.
type Verdict struct {
	Request Digest
	// Backends are those that ended under the request, by time, and Unrelated counts those that
	// ended without it at about the same time.
	Backends  []string
	Unrelated int
}

// Evaluate returns the requests to block, and the suspects, which have almost enough evidence,
// in ascending order. Signs returns the liveness of a back end, and blocked reports whether a
// request is blocked already: an end under a blocked request does not count against others.
func (l *Detector) Evaluate(now time.Duration, signs func(backend string) Liveness, blocked func(Digest) bool) (verdicts []Verdict, suspects []Digest) {
	if !l.hasCandidates() {
		return nil, nil
	}
	c := l.newEvaluation(now, signs)
	for d := range c.ends {
		if blocked(d) {
			c.attribute(d)
		}
	}
	for {
		d, unrelated := c.worst()
		if d == 0 {
			break
		}
		verdicts = append(verdicts, Verdict{Request: d, Backends: c.backendsByTime(d), Unrelated: unrelated})
		c.attribute(d)
	}
	for d := range c.ends {
		if c.unattributed(d) >= endsToSuspect {
			suspects = append(suspects, d)
		}
	}
	slices.Sort(suspects)
	return verdicts, suspects
}

// hasCandidates reports whether any request may be a suspect.
func (l *Detector) hasCandidates() bool {
	for _, r := range l.requests {
		if len(r.failures) >= endsToSuspect {
			return true
		}
	}
	return false
}

// evaluation is the state of one Evaluate call.
type evaluation struct {
	// ends maps requests to the back ends that ended under them, and when.
	ends map[Digest]map[string]time.Duration
	// times maps each ended back end to the time of its end.
	times map[string]time.Duration
	// attributed is the set of back ends whose end is attributed to a blocked request.
	attributed map[string]bool
}

func (l *Detector) newEvaluation(now time.Duration, signs func(string) Liveness) *evaluation {
	c := &evaluation{ends: map[Digest]map[string]time.Duration{}, times: map[string]time.Duration{}, attributed: map[string]bool{}}
	known := map[string]Liveness{}
	for d, r := range l.requests {
		for backend, e := range r.failures {
			s, found := known[backend]
			if !found {
				s = signs(backend)
				known[backend] = s
			}
			if now-e.at > EvidenceTTL || !l.ended(e, s) {
				continue
			}
			c.times[backend] = max(c.times[backend], e.at)
			if e.at <= r.harmlessAt {
				continue
			}
			if c.ends[d] == nil {
				c.ends[d] = map[string]time.Duration{}
			}
			c.ends[d][backend] = e.at
		}
	}
	return c
}

// ended reports whether a back end ended during an attempt.
func (l *Detector) ended(e failure, s Liveness) bool {
	switch {
	case s.Departing:
		return false
	case e.silent:
		// The back end ended within one heartbeat interval of its last heartbeat. An attempt
		// cancelled before the end of that interval may have ended first, and one that began
		// after it never ran.
		last := s.LastHeartbeat + l.heartbeatInterval
		return s.Gone && e.from <= last && e.at > last
	case e.down && s.Gone:
		return s.LastHeartbeat <= e.at+lateHeartbeatMargin
	}
	return (e.down || s.Gone) && s.LastHeartbeat <= e.at+heartbeatMargin
}

// attribute attributes the ends under a request to it.
func (c *evaluation) attribute(d Digest) {
	for backend := range c.ends[d] {
		c.attributed[backend] = true
	}
	delete(c.ends, d)
}

// unattributed returns the number of ends under a request that are not attributed to others.
func (c *evaluation) unattributed(d Digest) int {
	n := 0
	for backend := range c.ends[d] {
		if !c.attributed[backend] {
			n++
		}
	}
	return n
}

// worst returns the request with the most ends among those with enough of them; 0 for none.
func (c *evaluation) worst() (worst Digest, unrelated int) {
	most := 0
	for d, ends := range c.ends {
		n := c.unattributed(d)
		if len(ends) < endsToBlock || n < most || (n == most && worst != 0 && d > worst) {
			continue
		}
		others := c.unrelated(d)
		if n >= endsToBlock+c.extraEnds(d, others) || len(ends) >= endsToBlockAlways {
			worst, most, unrelated = d, n, others
		}
	}
	return worst, unrelated
}

// extraEnds returns the number of ends that are required in addition to endsToBlock.
func (c *evaluation) extraEnds(d Digest, unrelated int) int {
	extraEnds := unrelated / unrelatedPerEnd
	if c.sharedWithSuspects(d) {
		extraEnds++
	}
	if c.indistinguishable(d) {
		extraEnds = maxExtraEnds
	}
	return min(extraEnds, maxExtraEnds)
}

// sharedWithSuspects reports whether each end that counts against a request also counts against
// another suspect. Requiring one more end then keeps harmless requests from being blocked.
func (c *evaluation) sharedWithSuspects(d Digest) bool {
	for backend := range c.ends[d] {
		if !c.attributed[backend] && !c.sharedWithOther(backend, d) {
			return false
		}
	}
	return true
}

// sharedWithOther reports whether a suspect other than one ended with a back end.
func (c *evaluation) sharedWithOther(backend string, but Digest) bool {
	for d, ends := range c.ends {
		if _, under := ends[backend]; under && d != but && len(ends) >= endsToSuspect && c.unattributed(d) >= endsToSuspect {
			return true
		}
	}
	return false
}

// unrelated counts the back ends that ended without a request at about the time of the ends
// under it.
func (c *evaluation) unrelated(d Digest) int {
	times := slices.Sorted(maps.Values(c.ends[d]))
	first, last := times[0], times[len(times)-1]
	n := 0
	for backend, at := range c.times {
		if _, under := c.ends[d][backend]; !under && !c.attributed[backend] && at >= first-unrelatedMargin && at <= last+unrelatedMargin {
			n++
		}
	}
	return n
}

// indistinguishable reports whether another request met all ends that count against this one.
// Neither is blocked until a further end distinguishes them.
func (c *evaluation) indistinguishable(d Digest) bool {
	for other := range c.ends {
		if other != d && c.covers(other, d) {
			return true
		}
	}
	return false
}

func (c *evaluation) covers(other, d Digest) bool {
	for backend := range c.ends[d] {
		if _, under := c.ends[other][backend]; !under && !c.attributed[backend] {
			return false
		}
	}
	return true
}

// backendsByTime returns the back ends that ended under a request, in the order of their ends.
func (c *evaluation) backendsByTime(d Digest) []string {
	var out []string
	for backend := range c.ends[d] {
		out = append(out, backend)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(c.ends[d][a], c.ends[d][b]), cmp.Compare(a, b)) })
	return out
}
