package backends

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// Preferences among engines with room while requests wait, the most preferred first.
const (
	// holdsParts is an engine that holds the last shared part of the prompt.
	holdsParts = iota
	// firstRank is one of the first engines in the order of the key. Copies on these are used again.
	firstRank
	// elsewhere is any other engine.
	elsewhere
)

// avoidsCopies reports whether the choice must not cause further copies of the shared parts as long
// as an engine that holds them has room. If such engines exist without room, a copy must fit into
// the patience: otherwise the request waits, since under overload the prefill of a
// copy displaces requests that need none. Small shared parts are exempt: they cost less than the
// uneven load that the requests would cause.
func (q *Query) avoidsCopies() bool { return q.Contended && len(q.Parts) > 0 && q.MaySave() }

// copyPreference is the preference among engines for one query.
type copyPreference struct {
	now  time.Duration
	q    *Query
	rate speed.TokensPerMs
	// holders caches the results of Query.Holder by weights version.
	holders map[int]string
}

func newCopyPreference(now time.Duration, q *Query, rate speed.TokensPerMs) *copyPreference {
	return &copyPreference{now: now, q: q, rate: rate, holders: map[int]string{}}
}

// of returns the preference of a candidate, and its cost including the prefill of a copy of the
// shared parts. The latter is the same for all engines with a weights version, as idle ones are
// represented by one of them.
func (p *copyPreference) of(c *candidate) (preference int, cost float64) {
	if !p.q.avoidsCopies() {
		return holdsParts, c.cost
	}
	if p.holdsLast(c.row) {
		return holdsParts, c.cost
	}
	cost = c.cost + float64(p.rate.Wait(p.q.copiedTokens(p.q.partTokens(), c.versionOf(p.q))))/float64(time.Millisecond)
	if c.rank < rankLimit {
		return firstRank, cost
	}
	return elsewhere, cost
}

// heldBy reports whether one of the candidates holds the last shared part of the prompt.
func (p *copyPreference) heldBy(candidates []candidate) bool {
	for i := range candidates {
		if p.holdsLast(candidates[i].row) {
			return true
		}
	}
	return false
}

// fits reports whether an engine can process a copy of the shared parts within the patience, before
// it begins with the rest of the prompt. An engine without a backlog always can.
func (p *copyPreference) fits(c *candidate) bool {
	if p.q.Patience <= 0 || c.ahead == 0 {
		return true
	}
	missing := c.usage.missing(p.now, p.q.Parts, c.versionOf(p.q))
	return p.rate.Wait(c.ahead+missing) <= p.q.Patience
}

// holdsLast reports whether an engine holds the last shared part of the prompt.
func (p *copyPreference) holdsLast(r *row) bool {
	version := r.versionOf(p.q)
	if r.usage.holds(p.now, p.q.Parts[len(p.q.Parts)-1].Hash, version) {
		return true
	}
	if p.q.Holder == nil {
		return false
	}
	holder, known := p.holders[version]
	if !known {
		holder = p.q.Holder(version)
		p.holders[version] = holder
	}
	return holder == r.ID
}

// partTokens returns the number of tokens of all shared parts.
func (q *Query) partTokens() int {
	total := 0
	for _, part := range q.Parts {
		total += part.Tokens
	}
	return total
}

// copiedTokens returns how many of the shared tokens that an engine does not hold are in addition to
// those that tokensToPrefill includes.
func (q *Query) copiedTokens(missing, version int) int {
	return max(missing-(q.tokensToPrefill(version)-q.Work.Prompt), 0)
}

// copyWork returns the additional tokens that the chosen engine must process for a copy of shared
// parts.
func (p *copyPreference) copyWork(r *row) int {
	if !p.q.avoidsCopies() || p.holdsLast(r) {
		return 0
	}
	version := r.versionOf(p.q)
	return p.q.copiedTokens(r.usage.missing(p.now, p.q.Parts, version), version)
}

// idleHolders adds the engines of a group that hold the last shared part, apart from those of the
// list, if the choice depends on it.
func (p *Pool) idleHolders(now time.Duration, q *Query, group *idleGroup, list []*row) []*row {
	if !q.hasLimits() || !q.avoidsCopies() {
		return list
	}
	last := q.Parts[len(q.Parts)-1].Hash
	for _, r := range group.rows {
		if r.usage.holds(now, last, r.Weights[q.Model]) && !slices.Contains(q.Tried, r.ID) && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}
