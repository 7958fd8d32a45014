package backends

import "quinceridge.example/quinceridge/internal/speed"

// mayServe is the filter: what fails it must never get the request.
func (p *Pool) mayServe(r *row, q *Query) bool {
	if r.Draining || r.wrong || r.Loading != nil {
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

// Barred tells whether a back end must not get a request for a model, for what this
// pool knows that is never taken back: it drains, it is gone from its address, or
// the time of its weights is over.
func (p *Pool) Barred(id, model string, version int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	return version < p.notes.Minimum[model] || (r != nil && (r.Draining || r.wrong))
}

// within returns the candidates that begin to read the request within its
// patience, or if there are none the one that begins first, and true.
func within(candidates []candidate, q *Query, rate speed.TokensPerMs) ([]candidate, bool) {
	if q.Model == "" || q.Patience <= 0 {
		return candidates, false
	}
	var out []candidate
	first := 0
	for i := range candidates {
		if rate.Wait(candidates[i].ahead) <= q.Patience {
			out = append(out, candidates[i])
		}
		if candidates[i].ahead < candidates[first].ahead {
			first = i
		}
	}
	if len(out) == 0 {
		return candidates[first : first+1], true
	}
	return out, false
}
