package backends

import "time"

// SetLimited notes that a back end which takes only so much from all machines takes no more for a
// while, whoever sends. That is no trouble of it: it has neither failed nor turned anything
// away.
func (p *Pool) SetLimited(now time.Duration, id string, wait time.Duration) {
	p.with(id, func(r *row) { r.fullUntil = now + wait })
}
