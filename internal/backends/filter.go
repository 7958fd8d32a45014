package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// mayServe reports whether a back end is eligible for a request. An ineligible one is never chosen.
func (p *Pool) mayServe(r *row, q *Query) bool {
	if r.Loading != nil || !p.isOpen(r, q) {
		return false
	}
	if q.Model == "" {
		return true
	}
	version, holds := r.version(q.Model)
	if !holds {
		return p.notes.Minimum[q.Model] == 0 && len(r.Weights) == 0
	}
	if mismatched, ok := r.mismatched[q.Model]; ok && mismatched == version {
		return false
	}
	return version >= p.notes.Minimum[q.Model]
}

// isOpen reports whether a back end takes requests, as far as that does not depend on its weights.
func (p *Pool) isOpen(r *row, q *Query) bool {
	return !r.Draining && !r.wrongInstance && !r.unlisted && p.hasSoftware(r, q)
}

// heldVersion caches a version in the weights of a row. A choice needs it several times for each
// back end; lookups in the maps of 10,000 engines took a quarter of its time.
type heldVersion struct {
	known   bool
	holds   bool
	model   string
	version int
}

// version returns the version of a model that a back end holds.
func (r *row) version(model string) (version int, holds bool) {
	if !r.held.known || r.held.model != model {
		version, holds = r.Weights[model]
		r.held = heldVersion{known: true, holds: holds, model: model, version: version}
	}
	return r.held.version, r.held.holds
}

// versionOf returns the version of the query's model that a back end holds, or 0.
func (r *row) versionOf(q *Query) int {
	version, _ := r.version(q.Model)
	return version
}

// Unavailable reports whether a request for a model must not be sent to a back end, no matter
// which node chose it: the back end is draining, another instance answers at its address, the
// weights version is below the minimum, or it has pushed back this process.
func (p *Pool) Unavailable(id, model string, version int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	return version < p.notes.Minimum[model] || (r != nil && (r.Draining || r.wrongInstance)) || p.pushbackState(id).Unavailable()
}

// slotWait estimates how long a request waits for a slot of an engine whose slots are all taken,
// where run is the mean duration of a request.
func slotWait(q *Query, c *candidate, run time.Duration) time.Duration {
	over := c.running + c.otherLoad.Running + 1 - q.Slots
	if q.Slots == 0 || over <= 0 {
		return 0
	}
	return time.Duration(over) * run / time.Duration(q.Slots)
}

// withinPatience returns the candidates that start to process the prompt within the request's
// patience. If there are none, it returns the one that starts first, and true.
func withinPatience(candidates []candidate, q *Query, rate speed.TokensPerMs, run time.Duration) ([]candidate, bool) {
	if q.Model == "" || q.Patience <= 0 {
		return candidates, false
	}
	within, first := 0, 0
	for i := range candidates {
		c := &candidates[i]
		c.wait = c.prefillRate(rate).Wait(c.ahead) + c.scaled(slotWait(q, c, run))
		if c.wait <= q.Patience {
			within++
		}
		if c.wait < candidates[first].wait {
			first = i
		}
	}
	switch within {
	case 0:
		return candidates[first : first+1], true
	case len(candidates):
		return candidates, false
	}
	out := make([]candidate, 0, within)
	for i := range candidates {
		if candidates[i].wait <= q.Patience {
			out = append(out, candidates[i])
		}
	}
	return out, false
}
