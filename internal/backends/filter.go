package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// mayServe is the filter: what fails it must never get the request.
func (p *Pool) mayServe(r *row, q *Query) bool {
	if r.Draining || r.wrong || r.unlisted || r.Loading != nil {
		return false
	}
	if q.Model == "" {
		return true
	}
	version, holds := r.Weights[q.Model]
	if !holds {
		return p.notes.Minimum[q.Model] == 0 && len(r.Weights) == 0
	}
	if refused, ok := r.refused[q.Model]; ok && refused == version {
		return false
	}
	return version >= p.notes.Minimum[q.Model]
}

// Unavailable tells whether a back end must not get a request for a model, whoever chose it:
// for what this pool knows that is never taken back (it drains, it is gone from its
// address, or the time of its weights is over), or since it wants nothing from this process.
func (p *Pool) Unavailable(id, model string, version int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	return version < p.notes.Minimum[model] || (r != nil && (r.Draining || r.wrong)) || p.standing(id).Unavailable()
}

// placeWait is about how long a request waits for a place at an engine whose places
// are taken: one becomes free each time a part of the mean run is over.
func placeWait(q *Query, c *candidate, run time.Duration) time.Duration {
	over := c.running + c.others.Running + 1 - q.Slots
	if q.Slots == 0 || over <= 0 {
		return 0
	}
	return time.Duration(over) * run / time.Duration(q.Slots)
}

// within returns the candidates that begin to read the request within its
// patience, or if there are none the one that begins first, and true.
func within(candidates []candidate, q *Query, rate speed.TokensPerMs, run time.Duration) ([]candidate, bool) {
	if q.Model == "" || q.Patience <= 0 {
		return candidates, false
	}
	var out []candidate
	first := 0
	for i := range candidates {
		c := &candidates[i]
		c.wait = rate.Wait(c.ahead) + placeWait(q, c, run)
		if c.wait <= q.Patience {
			out = append(out, *c)
		}
		if c.wait < candidates[first].wait {
			first = i
		}
	}
	if len(out) == 0 {
		return candidates[first : first+1], true
	}
	return out, false
}
