package backends

import (
	"slices"
	"time"
)

// IsFull reports whether no eligible engine of a central pool has the slots and the memory for a
// request. It spares the choice, which examines all engines, while requests wait: it examines only
// those that may have room. It is false if it cannot tell.
func (p *Pool) IsFull(now time.Duration, q *Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !q.hasLimits() || !p.usesIndex(q) {
		return false
	}
	rate := entry(p.prefill, q.Pool).Rate()
	index := p.index.pool(q.Pool)
	for _, group := range index.idle {
		if len(group.rows) > 0 {
			return false
		}
	}
	h := newHolding(q)
	for r := range index.mayHaveRoom(q, h.ownTokens) {
		// An engine without a backlog is never behind, so that only slots and memory count.
		c := candidate{row: r}
		if p.canBegin(now, q, &c, rate) && p.mayGet(now, r, q) && p.hasMemory(q, &h, &c) {
			return false
		}
	}
	for _, r := range index.active {
		if p.mayGet(now, r, q) {
			return true
		}
	}
	return false
}

// mayGet reports whether an engine is eligible for a request and neither tried nor at the limit
// of its owner.
func (p *Pool) mayGet(now time.Duration, r *row, q *Query) bool {
	return now >= r.limitedUntil && p.mayServe(r, q) && !slices.Contains(q.Tried, r.ID)
}
