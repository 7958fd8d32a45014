package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
)

// pushbackState returns the pushback of a back end against this process.
func (p *Pool) pushbackState(id string) pushback.Status {
	return p.pushbacks.Status(coordapi.BackendID(id))
}

// RetryDelay returns the time until the first eligible back end of the query's pool accepts
// requests again, or 0 if one does now or none will.
func (p *Pool) RetryDelay(now time.Duration, q *Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := time.Duration(0)
	for _, r := range p.rows {
		if r.Pool != q.Pool || !p.mayServe(r, q) {
			continue
		}
		s := p.pushbackState(r.ID)
		wait := max(s.Wait, r.limitedUntil-now)
		switch {
		case !s.Draining && wait <= 0:
			return 0
		case !s.Draining && (first == 0 || wait < first):
			first = wait
		}
	}
	return first
}

// AllDraining reports whether a pool has back ends and all of them are draining, so that a request
// for it cannot be served until another one registers.
func (p *Pool) AllDraining(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, r := range p.rows {
		if r.Pool != pool || r.unlisted {
			continue
		}
		if !r.Draining && !p.pushbackState(r.ID).Draining {
			return false
		}
		found = true
	}
	return found
}

// PushedBack records that a back end has asked a router to wait. A central pool then prefers other
// back ends for all routers until the wait is over, but may choose it: it may reject only some. Of
// 10,000 requests beside four of twelve engines that rejected all for nine seconds, 566 were rejected
// with nothing known, 256 with the wait known to the router that was asked, and 49 with the preference.
// After that, the back end gets one trial request at a time until it begins one, so that it is not
// flooded while it recovers.
func (p *Pool) PushedBack(now time.Duration, id string, wait time.Duration) {
	p.update(id, func(r *row) {
		if p.central {
			r.pushedBackUntil = max(r.pushedBackUntil, now+wait)
		}
		r.recovering = true
	})
}

// lastResort reports whether a back end is to be chosen only if there is no other, because of a
// pushback.
func (r *row) lastResort(now time.Duration) bool {
	return now < r.pushedBackUntil || (r.recovering && r.trials > 0)
}
