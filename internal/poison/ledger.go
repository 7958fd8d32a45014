package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EvidenceTTL is how long an ended attempt counts, and BlockDuration how long a request
// stays blocked. Whoever mends what it breaks needs longer; whoever was blocked by
// mistake is helped sooner by hand.
const (
	EvidenceTTL   = 10 * time.Minute
	BlockDuration = 10 * time.Minute
)

const (
	// endsToBlock is under how many ended back ends a request is blocked. While several
	// poison requests come in, harmless ones that are repeated elsewhere are often at two
	// back ends that end, hardly ever at three.
	endsToBlock = 3
	// endsToSuspect is from how many on a request is watched: a whole answer to it shows
	// that it is harmless.
	endsToSuspect = endsToBlock - 1
	// unrelatedForOne is how many back ends that end without a request, about when
	// others end under it, ask for one more end before it is blocked: back ends end
	// for another cause then.
	unrelatedForOne = 8
	// mostDoubt is how many more ends doubts may ask for, and endsInAnyCase how many are
	// enough even if blocked requests account for some: no more than three tries may
	// follow the third end. A harmless request is hardly tried that often.
	mostDoubt     = 2
	endsInAnyCase = 6
	// nearby is how much before the first and after the last end under a request
	// others count as at the same time.
	nearby = time.Second
	// lifeMargin is how long after an attempt broke off a heartbeat must arrive to
	// show that the back end lives: one that was sent before may still be under way,
	// and nodes that answer heartbeats tell of them four times a second.
	lifeMargin = time.Second
	// latestHeartbeat is the same for a back end that refused connections right after and
	// has a successor: a heartbeat that a cut held back may arrive seconds late.
	latestHeartbeat = 10 * time.Second
	// maxRequests bounds for how many requests evidence is kept, about 200 B each. The
	// loss of a fifth of a hundred engines cuts 900.
	maxRequests = 4096
)

// FailedAttempt is an attempt at a back end that ended without a whole answer.
type FailedAttempt struct {
	Backend string `json:"b"`
	Request Digest `json:"d"`
	// Age is how long ago that was, and Lasted how long the attempt had lasted.
	Age      time.Duration `json:"a,omitempty"`
	Duration time.Duration `json:"l,omitempty"`
	// Down says that no process listened at the back end's address right after.
	Down bool `json:"x,omitempty"`
	// Silent says that nothing broke the attempt off: it was given up after the back
	// end had said nothing for a while.
	Silent bool `json:"s,omitempty"`
}

// NoHeartbeat is Signs.Heard of a back end that has sent no heartbeat yet.
const NoHeartbeat = time.Duration(math.MinInt64 / 2)

// Liveness is what is known of a back end beside its requests.
type Liveness struct {
	// LastHeartbeat is when its last heartbeat arrived, by the Detector's clock.
	LastHeartbeat time.Duration
	// Gone says that it has a successor at its address, is on no list any more, or
	// has missed several heartbeats.
	Gone bool
	// Departing says that its end was announced.
	Departing bool
}

// Detector keeps under which requests back ends have ended. It is not safe for
// concurrent use.
type Detector struct {
	// beat is the time between two heartbeats of a back end.
	beat     time.Duration
	requests map[Digest]*request
}

// request is the evidence against one request.
type request struct {
	// endings are by back end.
	endings map[string]ending
	// answered is when it was last seen to be harmless.
	answered time.Duration
	last     time.Duration
}

type ending struct {
	from, at     time.Duration
	down, silent bool
}

// NewDetector returns an empty ledger. Beat is the time between two heartbeats.
func NewDetector(beat time.Duration) *Detector {
	return &Detector{beat: beat, requests: map[Digest]*request{}}
}

// Record takes an ended attempt. One that is told again changes nothing.
func (l *Detector) Record(now time.Duration, e FailedAttempt) {
	if e.Request == 0 || e.Age > EvidenceTTL {
		return
	}
	l.bound(now)
	r := l.entry(e.Request)
	at := now - e.Age
	if old, known := r.endings[e.Backend]; known && (old.down || !e.Down) {
		return
	}
	r.endings[e.Backend] = ending{from: at - e.Duration, at: at, down: e.Down, silent: e.Silent}
	r.last = max(r.last, at)
}

// MarkHarmless takes that a request is harmless: what has ended under it until now does not
// count against it.
func (l *Detector) MarkHarmless(now time.Duration, d Digest) {
	r := l.entry(d)
	r.answered, r.last = max(r.answered, now), max(r.last, now)
}

func (l *Detector) entry(d Digest) *request {
	r := l.requests[d]
	if r == nil {
		// Nothing is known before it, not even at the ledger's first moment.
		r = &request{endings: map[string]ending{}, answered: -EvidenceTTL}
		l.requests[d] = r
	}
	return r
}

// bound makes room by forgetting the older half, and all that is too old to count.
func (l *Detector) bound(now time.Duration) {
	if len(l.requests) < maxRequests {
		return
	}
	times := make([]time.Duration, 0, len(l.requests))
	for _, r := range l.requests {
		times = append(times, r.last)
	}
	slices.Sort(times)
	limit := max(now-EvidenceTTL, times[len(times)/2])
	maps.DeleteFunc(l.requests, func(_ Digest, r *request) bool { return r.last <= limit })
}

// Verdict says that a request is to be blocked.
type Verdict struct {
	Request Digest
	// Backends are those that ended under it, in the order of their ends, and Unrelated
	// counts those that ended without it at about the same time.
	Backends  []string
	Unrelated int
}

// Evaluate returns the requests that are to be blocked, and those with almost enough
// evidence. Signs tells what is known of a back end, and blocked which requests are
// blocked already: an end under one of those tells nothing of others.
func (l *Detector) Evaluate(now time.Duration, signs func(backend string) Liveness, blocked func(Digest) bool) (verdicts []Verdict, suspects []Digest) {
	if !l.pressing() {
		return nil, nil
	}
	c := l.open(now, signs)
	for d := range c.ends {
		if blocked(d) {
			c.explain(d)
		}
	}
	for {
		d, unrelated := c.worst()
		if d == 0 {
			break
		}
		verdicts = append(verdicts, Verdict{Request: d, Backends: c.inOrder(d), Unrelated: unrelated})
		c.explain(d)
	}
	for d := range c.ends {
		if c.count(d) >= endsToSuspect {
			suspects = append(suspects, d)
		}
	}
	slices.Sort(suspects)
	return verdicts, suspects
}

// pressing tells whether any request may have enough evidence to be suspected.
func (l *Detector) pressing() bool {
	for _, r := range l.requests {
		if len(r.endings) >= endsToSuspect {
			return true
		}
	}
	return false
}

// evaluation is one look at all evidence.
type evaluation struct {
	// ends are the back ends that have ended under each request, and when.
	ends map[Digest]map[string]time.Duration
	// times is when each back end ended that did.
	times map[string]time.Duration
	// explained are the back ends whose end a blocked request accounts for.
	explained map[string]bool
}

func (l *Detector) open(now time.Duration, signs func(string) Liveness) *evaluation {
	c := &evaluation{ends: map[Digest]map[string]time.Duration{}, times: map[string]time.Duration{}, explained: map[string]bool{}}
	known := map[string]Liveness{}
	for d, r := range l.requests {
		for backend, e := range r.endings {
			s, asked := known[backend]
			if !asked {
				s = signs(backend)
				known[backend] = s
			}
			if now-e.at > EvidenceTTL || !l.ended(e, s) {
				continue
			}
			c.times[backend] = max(c.times[backend], e.at)
			if e.at <= r.answered {
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

// ended tells whether a back end ended while an attempt was under way there.
func (l *Detector) ended(e ending, s Liveness) bool {
	switch {
	case s.Departing:
		return false
	case e.silent:
		// It ended within a heartbeat's time of the last that was heard. An attempt
		// that was given up before that time is over may have been stopped first; one
		// that began after it was never run.
		last := s.LastHeartbeat + l.beat
		return s.Gone && e.from <= last && e.at > last
	case e.down && s.Gone:
		return s.LastHeartbeat <= e.at+latestHeartbeat
	}
	return (e.down || s.Gone) && s.LastHeartbeat <= e.at+lifeMargin
}

// explain takes the ends under a request as its doing.
func (c *evaluation) explain(d Digest) {
	for backend := range c.ends[d] {
		c.explained[backend] = true
	}
	delete(c.ends, d)
}

// count is how many ends under a request nothing else accounts for.
func (c *evaluation) count(d Digest) int {
	n := 0
	for backend := range c.ends[d] {
		if !c.explained[backend] {
			n++
		}
	}
	return n
}

// worst returns the request under which most back ends have ended, if there are enough.
func (c *evaluation) worst() (worst Digest, unrelated int) {
	most := 0
	for d, ends := range c.ends {
		n := c.count(d)
		if len(ends) < endsToBlock || n < most || (n == most && worst != 0 && d > worst) {
			continue
		}
		others := c.unrelated(d)
		if n >= endsToBlock+c.doubt(d, others) || len(ends) >= endsInAnyCase {
			worst, most, unrelated = d, n, others
		}
	}
	return worst, unrelated
}

// doubt is how many more ends than usual it takes to block a request.
func (c *evaluation) doubt(d Digest, unrelated int) int {
	doubt := unrelated / unrelatedForOne
	if c.metByOthers(d) {
		doubt++
	}
	if c.indistinguishable(d) {
		doubt = mostDoubt
	}
	return min(doubt, mostDoubt)
}

// metByOthers tells whether some other suspect met each end that counts against a
// request. With one to four poison requests at a time, beside harmless ones that are
// tried up to four times, 1 of those was blocked without it to 500 of the former, and
// 20 to 10,000 with it (TestOnlyPoisonRequestsAreBlocked with 200 and 4,000 seeds).
func (c *evaluation) metByOthers(d Digest) bool {
	for backend := range c.ends[d] {
		if !c.explained[backend] && !c.metByAnother(backend, d) {
			return false
		}
	}
	return true
}

// metByAnother tells whether a suspect other than one ended with a back end.
func (c *evaluation) metByAnother(backend string, but Digest) bool {
	for d, ends := range c.ends {
		if _, under := ends[backend]; under && d != but && len(ends) >= endsToSuspect && c.count(d) >= endsToSuspect {
			return true
		}
	}
	return false
}

// unrelated counts the back ends that ended without a request at about the time when
// others ended under it.
func (c *evaluation) unrelated(d Digest) int {
	times := slices.Sorted(maps.Values(c.ends[d]))
	first, last := times[0], times[len(times)-1]
	n := 0
	for backend, at := range c.times {
		if _, under := c.ends[d][backend]; !under && !c.explained[backend] && at >= first-nearby && at <= last+nearby {
			n++
		}
	}
	return n
}

// indistinguishable tells whether another request met all the ends that count against
// this one: neither is blocked until one more end tells them apart.
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
		if _, under := c.ends[other][backend]; !under && !c.explained[backend] {
			return false
		}
	}
	return true
}

// inOrder returns the back ends that ended under a request, the first first.
func (c *evaluation) inOrder(d Digest) []string {
	var out []string
	for backend := range c.ends[d] {
		out = append(out, backend)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(c.ends[d][a], c.ends[d][b]), cmp.Compare(a, b)) })
	return out
}
