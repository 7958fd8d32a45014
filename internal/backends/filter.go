package backends

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
