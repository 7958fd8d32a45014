package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// endsToBlock is the number of ended back ends at which a request or a set of parts is blocked.
	// Harmless requests that are retried during several poison requests often meet two ends, but
	// rarely three.
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
	// simultaneous is the time within which ends may have one cause, such as the loss of a rack. At
	// most maxSimultaneous of them count against a part: many requests share it, and stand at many
	// ends of one moment.
	simultaneous    = 100 * time.Millisecond
	maxSimultaneous = 2
	// maxHeartbeatDelay is the time by which a heartbeat may reach the leader later than that of another
	// back end, through another coordinator. Back ends that became silent together sent their last
	// heartbeats within an interval.
	maxHeartbeatDelay = 300 * time.Millisecond
	// answerDelay is the time for which parts are suspects before they are blocked. Routers report
	// within it which of them have been answered.
	answerDelay = 100 * time.Millisecond
	// maxSuspectedParts bounds the suspected parts. Those with the fewest ends are left out.
	maxSuspectedParts = 64
	// endsBeyondRequest is the number of ends without a blocked request that are required to block
	// a part of its prompt as well.
	endsBeyondRequest = 2
	// minCommonAttempts is the number of attempts with a part at each end, on average, from which the
	// part is common. What ends a back end does so with the first of them.
	minCommonAttempts = 2
)

// Verdict is the decision to block a request, or all requests whose prompts contain a set of parts.
type Verdict struct {
	Block
	// Unrelated counts the back ends that ended without it at about the same time, and Doubtful is
	// set for parts that may have met the ends of another cause.
	Unrelated int
	Doubtful  bool
}

// Findings are the results of an evaluation.
type Findings struct {
	Verdicts []Verdict
	// Suspects have almost enough evidence, in ascending order.
	Suspects []Digest
	// Refuted are the blocked sets of parts of which all ends are due to another block, and Confirmed
	// the blocks under which a back end ended although the attempt began while they were in force.
	Refuted, Confirmed []Digest
	// Recovered are the blocks that too few ends support, since back ends that were presumed to have
	// ended send heartbeats again.
	Recovered []Digest
	// Waiting is set if a verdict waits for reports of answers.
	Waiting bool
}

// Evaluate judges the evidence. Signs returns the liveness of a back end, and blocks are those in
// force: an end under one of them does not count against others.
func (l *Detector) Evaluate(now time.Duration, signs func(backend string) Liveness, blocks []Block) Findings {
	if now >= l.expiredAt+expiryInterval {
		l.expire(now)
	}
	found := Findings{Refuted: refuted(blocks)}
	l.updateReturns(signs, blocks)
	if !l.hasCandidates() && len(l.returns) == 0 {
		clear(l.suspectedSince)
		return found
	}
	c := l.newEvaluation(now, signs, blocks)
	found.Recovered = c.recovered()
	found.Confirmed = c.confirmed
	found.Suspects = c.suspects()
	l.updateSuspectedSince(now, found.Suspects)
	for {
		best := c.worst()
		if best == nil {
			return found
		}
		if !l.suspectedLongEnough(now, best.parts) {
			found.Waiting = true
			return found
		}
		v := c.verdict(best)
		found.Verdicts = append(found.Verdicts, v)
		c.block(v.Block)
		found.Suspects = c.suspects()
	}
}

// refuted returns the blocks of parts that stand at no end but those of another block with more.
func refuted(blocks []Block) []Digest {
	var out []Digest
	for i := range blocks {
		b := &blocks[i]
		if len(b.Parts) > 0 && len(b.Backends) > 0 && slices.ContainsFunc(blocks, func(other Block) bool { return explains(&other, b) }) {
			out = append(out, b.ID)
		}
	}
	return out
}

// explains reports whether a block with other parts stands at all ends of a second one and at more.
func explains(b, second *Block) bool {
	if len(b.Backends) <= len(second.Backends) || slices.ContainsFunc(second.Parts, b.concerns) {
		return false
	}
	return !slices.ContainsFunc(second.Backends, func(id string) bool { return !slices.Contains(b.Backends, id) })
}

// hasCandidates reports whether anything may be a suspect.
func (l *Detector) hasCandidates() bool {
	for _, s := range l.subjects {
		if len(s.attempts) >= endsToSuspect {
			return true
		}
	}
	return false
}

func (l *Detector) updateSuspectedSince(now time.Duration, suspects []Digest) {
	maps.DeleteFunc(l.suspectedSince, func(d Digest, _ time.Duration) bool { return !contains(suspects, d) })
	for _, d := range suspects {
		if _, known := l.suspectedSince[d]; !known && l.subjects[d].isPart {
			l.suspectedSince[d] = now
		}
	}
}

func (l *Detector) suspectedLongEnough(now time.Duration, parts []Digest) bool {
	for _, d := range parts {
		if since, suspected := l.suspectedSince[d]; !suspected || now < since+answerDelay {
			return false
		}
	}
	return true
}

// evaluation is the state of one Evaluate call.
type evaluation struct {
	detector *Detector
	now      time.Duration
	// ends maps requests and parts to the back ends that ended under them, and when. Those with one
	// failed attempt are left out.
	ends map[Digest]map[string]time.Duration
	// times maps each ended back end to the time of its end.
	times map[string]time.Duration
	// silent maps the back ends that ended without a sign but silence to their last heartbeats, and down
	// contains those that refused connections.
	silent map[string]time.Duration
	down   map[string]bool
	// blocks are those in force and those of the verdicts so far, and confirmed those among them under
	// which a back end ended since.
	blocks    []blockEnds
	confirmed []Digest
}

// blockEnds is a block with the back ends that ended under it.
type blockEnds struct {
	Block
	ends map[string]bool
}

func (l *Detector) newEvaluation(now time.Duration, signs func(string) Liveness, blocks []Block) *evaluation {
	c := &evaluation{detector: l, now: now, ends: map[Digest]map[string]time.Duration{}, times: map[string]time.Duration{}, silent: map[string]time.Duration{}, down: map[string]bool{}}
	l.evaluations++
	known, noticed := map[string]Liveness{}, map[string]bool{}
	for _, s := range l.subjects {
		for backend, attempts := range s.attempts {
			for _, a := range attempts {
				if a.evaluation == l.evaluations {
					continue
				}
				signed, found := known[backend]
				if !found {
					signed = signs(backend)
					known[backend] = signed
				}
				a.evaluation, a.ended = l.evaluations, now-a.at <= EvidenceTTL && l.ended(a, signed)
				if a.ended {
					c.times[backend] = max(c.times[backend], a.at)
					if a.silent {
						c.silent[backend] = signed.LastHeartbeat
					} else {
						noticed[backend] = true
					}
					c.down[backend] = c.down[backend] || a.down
				}
			}
		}
	}
	maps.DeleteFunc(c.silent, func(backend string, _ time.Duration) bool { return noticed[backend] })
	for d, s := range l.subjects {
		if len(s.attempts) >= endsToSuspect {
			c.ends[d] = s.ends()
		}
	}
	for _, b := range blocks {
		c.block(b)
	}
	return c
}

// ends returns the back ends that ended under a request or part since it was last shown to be
// harmless.
func (s *evidence) ends() map[string]time.Duration {
	out := map[string]time.Duration{}
	for backend, attempts := range s.attempts {
		for _, a := range attempts {
			if a.ended && a.at > s.harmlessAt {
				out[backend] = max(out[backend], a.at)
			}
		}
	}
	return out
}

// digests returns the digests of a request and its parts, which all attempts with it have; nil if none
// is known.
func (s *evidence) digests() []Digest {
	for _, attempts := range s.attempts {
		return attempts[0].digests
	}
	return nil
}

// block adds a block.
func (c *evaluation) block(b Block) {
	ends, confirmed := map[string]bool{}, false
	for _, backend := range b.Backends {
		ends[backend] = true
	}
	first := b.ID
	if len(b.Parts) > 0 {
		first = b.Parts[0]
	}
	if s := c.detector.subjects[first]; s != nil {
		for backend, attempts := range s.attempts {
			for _, a := range attempts {
				under := a.ended && b.covers(a.digests)
				ends[backend] = ends[backend] || under
				confirmed = confirmed || (under && a.from > b.Since)
			}
		}
	}
	c.blocks = append(c.blocks, blockEnds{b, ends})
	if confirmed {
		c.confirmed = append(c.confirmed, b.ID)
	}
}
