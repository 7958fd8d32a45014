package backends

import (
	"slices"
	"time"
)

// IsFull reports whether no eligible engine of a central pool has the slots and the memory for a
// request. It spares the choice, which takes about ten times as long, while requests wait. It is
// false if it cannot tell.
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
	eligible := false
	for r := range index.active {
		if now < r.limitedUntil || !p.mayServe(r, q) || slices.Contains(q.Tried, r.ID) {
			continue
		}
		eligible = true
		// An engine without a backlog is never behind, so that only slots and memory count.
		if c := (candidate{row: r}); p.canBegin(now, q, &c, rate) && p.hasMemory(q, &h, &c) {
			return false
		}
	}
	return eligible
}
