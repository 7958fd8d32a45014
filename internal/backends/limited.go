package backends

import "time"

// SetLimited records that the limit of a back end admits no further request from any router for the
// given time; 0 clears it. Unlike Failed and Busy it does not count against the back end.
func (p *Pool) SetLimited(now time.Duration, id string, wait time.Duration) {
	p.update(id, func(r *row) { r.limitedUntil = now + wait })
}
