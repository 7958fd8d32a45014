package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// candidate is a request, or a set of parts, that may be blocked.
type candidate struct {
	id Digest
	// parts are in ascending order; empty for a request.
	parts []Digest
	ends  map[string]time.Duration
	// counted is the number of ends that count, unrelated that of the ends without it at about the same
	// time, otherCauses those of them that do not have one cause together, and runTime the sum of the
	// shortest attempts at each end.
	counted, unrelated, otherCauses int
	runTime                         time.Duration
	// rivaled is set if another request or part met all of the ends.
	rivaled bool
}

// concerns reports whether a digest is the candidate's request or one of its parts.
func (x *candidate) concerns(d Digest) bool {
	return d == x.id || contains(x.parts, d)
}

// excused reports whether an end is due to a block that has nothing in common with a candidate.
func (c *evaluation) excused(x *candidate, backend string) bool {
	for i := range c.blocks {
		if b := &c.blocks[i]; b.ends[backend] && !c.related(b, x) {
			return true
		}
	}
	return false
}

// related reports whether a block names a part of the candidate, or a request that contains it. The
// candidate may then be what the block has named too narrowly.
func (c *evaluation) related(b *blockEnds, x *candidate) bool {
	if len(b.Parts) > 0 {
		return slices.ContainsFunc(b.Parts, x.concerns)
	}
	if b.ID == x.id || len(x.parts) == 0 {
		return b.ID == x.id
	}
	blocked := c.detector.subjects[b.ID]
	return blocked != nil && containsAll(blocked.digests(), x.parts)
}

// remaining returns the ends under a candidate that are not excused.
func (c *evaluation) remaining(x *candidate) map[string]time.Duration {
	out := make(map[string]time.Duration, len(x.ends))
	for backend, at := range x.ends {
		if !c.excused(x, backend) {
			out[backend] = at
		}
	}
	return out
}

// subject returns a request or part as a candidate of its own.
func (c *evaluation) subject(d Digest) *candidate {
	x := &candidate{id: d, ends: c.ends[d]}
	if c.detector.subjects[d].isPart {
		x.parts = []Digest{d}
	}
	return x
}

// isBlocked reports whether a block applies to all requests that a candidate stands for.
func (c *evaluation) isBlocked(x *candidate) bool {
	digests := x.parts
	if len(x.parts) == 0 {
		digests = []Digest{x.id}
	}
	return slices.ContainsFunc(c.blocks, func(b blockEnds) bool { return b.covers(digests) })
}

// countEnds returns the number of ends that count against a candidate. Many requests share a part, and
// stand at all back ends that end at one moment or become silent together.
func (c *evaluation) countEnds(x *candidate, ends map[string]time.Duration) int {
	if len(x.parts) == 0 {
		return len(ends)
	}
	var ended, silent []time.Duration
	for backend, at := range ends {
		if last, is := c.silent[backend]; is {
			silent = append(silent, last)
		} else {
			ended = append(ended, at)
		}
	}
	slices.Sort(ended)
	slices.Sort(silent)
	return countCauses(ended, simultaneous) + countCauses(silent, c.detector.heartbeatInterval+maxHeartbeatDelay)
}

// countCauses counts ends by their times, at most maxSimultaneous of those within a period.
func countCauses(sorted []time.Duration, period time.Duration) (count int) {
	first, within := never, 0
	for _, at := range sorted {
		if at > first+period {
			first, within = at, 0
		}
		if within++; within <= maxSimultaneous {
			count++
		}
	}
	return count
}

// wasAnswered reports whether a complete answer on a part is known.
func (c *evaluation) wasAnswered(d Digest) bool {
	s := c.detector.subjects[d]
	return s != nil && s.answeredAt > c.now-EvidenceTTL
}

// required returns the number of ends that a candidate needs without regard to others. Parts on
// which back ends have answered need more.
func (c *evaluation) required(x *candidate) int {
	if len(x.parts) > 0 && !slices.ContainsFunc(x.parts, func(d Digest) bool { return !c.wasAnswered(d) }) {
		return endsToBlockAlways
	}
	return endsToBlock
}

// suspects returns the requests and parts that lack one end to be blocked.
func (c *evaluation) suspects() []Digest {
	var requests []Digest
	parts := map[Digest]int{}
	for d := range c.ends {
		x := c.subject(d)
		n := len(c.remaining(x))
		if (n < c.required(x)-1 && len(x.ends) < c.endsAlways(x)-1) || c.isBlocked(x) {
			continue
		}
		if len(x.parts) == 0 {
			requests = append(requests, d)
		} else {
			parts[d] = n
		}
	}
	most := slices.SortedFunc(maps.Keys(parts), func(a, b Digest) int { return cmp.Or(cmp.Compare(parts[b], parts[a]), cmp.Compare(a, b)) })
	out := append(requests, most[:min(len(most), maxSuspectedParts)]...)
	slices.Sort(out)
	return out
}

// candidates returns what may be blocked: for each request or part with enough ends, what all failed
// attempts with it have in common.
func (c *evaluation) candidates() []*candidate {
	seen := map[Digest]bool{}
	var out []*candidate
	for d, ends := range c.ends {
		if c.countEnds(c.subject(d), ends) < endsToBlock {
			continue
		}
		x := c.narrowest(d)
		if seen[x.id] || c.isBlocked(x) {
			continue
		}
		seen[x.id] = true
		out = append(out, x)
	}
	return out
}

// narrowest returns the request, or else the largest set of parts, that all attempts with a request
// or part have in common. Parts on which back ends have answered are left out unless nothing else is
// left.
func (c *evaluation) narrowest(d Digest) *candidate {
	common := c.common(d)
	for _, other := range common {
		if !c.detector.subjects[other].isPart {
			return &candidate{id: other, ends: c.ends[other]}
		}
	}
	unanswered := slices.DeleteFunc(slices.Clone(common), c.wasAnswered)
	if len(unanswered) > 0 {
		common = unanswered
	}
	return &candidate{id: SetDigest(common), parts: common, ends: c.endsOfSet(common)}
}

// endsOfSet returns the back ends that ended under a set of parts since one of them was last shown to
// be harmless.
func (c *evaluation) endsOfSet(parts []Digest) map[string]time.Duration {
	harmlessAt := never
	for _, d := range parts {
		harmlessAt = max(harmlessAt, c.detector.subjects[d].harmlessAt)
	}
	out := map[string]time.Duration{}
	for backend, attempts := range c.detector.subjects[parts[0]].attempts {
		for _, a := range attempts {
			if a.ended && a.at > harmlessAt && containsAll(a.digests, parts) {
				out[backend] = max(out[backend], a.at)
			}
		}
	}
	return out
}

// common returns what all attempts with a request or part have in common that ended with their back
// end, in ascending order.
func (c *evaluation) common(d Digest) []Digest {
	var out []Digest
	s := c.detector.subjects[d]
	for backend := range c.ends[d] {
		for _, a := range s.attempts[backend] {
			if !a.ended {
				continue
			}
			if out == nil {
				out = slices.Clone(a.digests)
				continue
			}
			out = slices.DeleteFunc(out, func(other Digest) bool { return !contains(a.digests, other) })
		}
	}
	// A subject may have been evicted, and is then known no longer.
	return slices.DeleteFunc(out, func(other Digest) bool { return c.detector.subjects[other] == nil })
}

// worst returns the candidate with the most ends among those with enough of them; nil for none.
// Between equal ones the more specific one is returned, and then the one whose attempts were
// shorter: what ends a back end does so soon after it begins.
func (c *evaluation) worst() *candidate {
	var worst *candidate
	for _, x := range c.candidates() {
		if c.hasEnoughEnds(x) && (worst == nil || compareCandidates(x, worst) < 0) {
			worst = x
		}
	}
	return worst
}

// hasEnoughEnds reports whether a candidate is to be blocked, and sets the fields on which that
// depends.
func (c *evaluation) hasEnoughEnds(x *candidate) bool {
	x.counted = c.countEnds(x, c.remaining(x))
	always := c.countEnds(x, x.ends) >= c.endsAlways(x)
	if len(x.ends) < endsToBlock || (x.counted < c.required(x) && !always) || !c.endsBeyondBlocks(x) {
		return false
	}
	unrelated := c.unrelated(x)
	x.unrelated, x.otherCauses, x.runTime = len(unrelated), countCauses(unrelated, simultaneous), c.shortestRuns(x)
	rivals := c.rivals(x)
	x.rivaled = rivals.covering
	extra := min(x.unrelated/unrelatedPerEnd, maxExtraEnds)
	switch {
	case rivals.covering:
		extra = maxExtraEnds
	case rivals.shared:
		extra = min(extra+1, maxExtraEnds)
	}
	return always || x.counted >= c.required(x)+extra
}

// endsAlways returns the number of ends that is enough without regard to others.
func (c *evaluation) endsAlways(x *candidate) int {
	return c.required(x) + endsToBlockAlways - endsToBlock
}

func compareCandidates(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.counted, a.counted), cmp.Compare(len(b.parts), len(a.parts)), cmp.Compare(a.runTime, b.runTime), cmp.Compare(a.id, b.id))
}

// endsBeyondBlocks reports whether enough ends under a candidate came without each block that names
// a part of it, or a request that contains it.
func (c *evaluation) endsBeyondBlocks(x *candidate) bool {
	for i := range c.blocks {
		b := &c.blocks[i]
		if !c.related(b, x) {
			continue
		}
		needed := 1
		if len(b.Parts) == 0 {
			needed = endsBeyondRequest
		}
		beyond := 0
		for backend := range x.ends {
			if !b.ends[backend] {
				beyond++
			}
		}
		if beyond < needed {
			return false
		}
	}
	return true
}

// rivals tells how far others met the ends that count against a candidate.
type rivals struct {
	// shared is set if each end also counts against a suspect, and covering if one met all of them.
	shared, covering bool
}

// rivals compares a candidate with all others that may have caused its ends. Parts that are in the
// same attempts are none, nor are those on which back ends have answered.
func (c *evaluation) rivals(x *candidate) rivals {
	remaining := c.remaining(x)
	enough := endsToSuspect
	if len(x.parts) > 0 {
		enough = x.counted
	}
	shared := map[string]bool{}
	var out rivals
	for d := range c.ends {
		other := c.subject(d)
		if x.concerns(d) || len(other.ends) < endsToSuspect || c.required(other) > endsToBlock {
			continue
		}
		suspect, covering, common := len(c.remaining(other)) >= enough, true, false
		for backend := range remaining {
			_, met := other.ends[backend]
			covering, common = covering && met, common || met
		}
		if !covering && !(common && suspect) || c.isBlocked(other) || c.nested(x, d) {
			continue
		}
		for backend := range remaining {
			_, met := other.ends[backend]
			shared[backend] = shared[backend] || (met && suspect)
		}
		out.covering = out.covering || covering
	}
	out.shared = len(shared) > 0
	for backend := range remaining {
		out.shared = out.shared && shared[backend]
	}
	return out
}

// nested reports whether all attempts with a request or part are among those of a candidate.
func (c *evaluation) nested(x *candidate, d Digest) bool {
	if len(x.parts) == 0 {
		return contains(c.common(d), x.id)
	}
	return containsAll(c.common(d), x.parts)
}

// unrelated returns when back ends ended without a candidate at about the time of the ends under it, in
// ascending order.
func (c *evaluation) unrelated(x *candidate) (out []time.Duration) {
	times := slices.Sorted(maps.Values(x.ends))
	first, last := times[0], times[len(times)-1]
	for backend, at := range c.times {
		if _, under := x.ends[backend]; !under && !c.excused(x, backend) && at >= first-unrelatedMargin && at <= last+unrelatedMargin {
			out = append(out, at)
		}
	}
	slices.Sort(out)
	return out
}

// shortestRuns returns the sum over the ends under a candidate of the shortest attempt with it.
func (c *evaluation) shortestRuns(x *candidate) time.Duration {
	first := x.id
	if len(x.parts) > 0 {
		first = x.parts[0]
	}
	total := time.Duration(0)
	for backend := range x.ends {
		shortest := EvidenceTTL
		for _, a := range c.detector.subjects[first].attempts[backend] {
			if a.ended && containsAll(a.digests, x.parts) {
				shortest = min(shortest, a.at-a.from)
			}
		}
		total += shortest
	}
	return total
}

// verdict returns the decision to block a candidate.
func (c *evaluation) verdict(x *candidate) Verdict {
	backends := slices.SortedFunc(maps.Keys(x.ends), func(a, b string) int { return cmp.Or(cmp.Compare(x.ends[a], x.ends[b]), cmp.Compare(a, b)) })
	presumed := slices.DeleteFunc(slices.Clone(backends), func(id string) bool { return c.down[id] })
	if len(presumed) == 0 {
		presumed = nil
	}
	return Verdict{Block: Block{ID: x.id, Parts: x.parts, Backends: backends, Presumed: presumed}, Unrelated: x.unrelated, Doubtful: c.doubtful(x)}
}

// doubtful reports whether the ends under a set of parts may have had another cause: others met all of
// them, at least as many ended without it for other causes, or most of what ran at the ends had it,
// several attempts at each.
func (c *evaluation) doubtful(x *candidate) bool {
	if len(x.parts) == 0 {
		return false
	}
	if x.rivaled || x.otherCauses >= len(x.ends) {
		return true
	}
	with, all := c.attemptsAt(x)
	return 2*with >= all && with >= minCommonAttempts*len(x.ends)
}

// attemptsAt counts the attempts that ended with the back ends of a candidate, and those with its parts
// among them.
func (c *evaluation) attemptsAt(x *candidate) (with, all int) {
	for d, s := range c.detector.subjects {
		if s.isPart {
			continue
		}
		for backend := range x.ends {
			for _, a := range s.attempts[backend] {
				if a.ended && a.request == d {
					all++
					if containsAll(a.digests, x.parts) {
						with++
					}
				}
			}
		}
	}
	return with, all
}
