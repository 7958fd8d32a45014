package backends

// Slots returns the number of requests that a back end runs at once, 0 if it is not known.
func (p *Pool) Slots(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rows[id]; r != nil {
		return r.Slots
	}
	return 0
}

// SetBrittle replaces the list of brittle engines, which get no requests beyond their slots.
func (p *Pool) SetBrittle(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.brittle {
		r.brittle = false
	}
	p.brittle = p.brittle[:0]
	for _, id := range ids {
		if r := p.rows[id]; r != nil {
			r.brittle = true
			p.brittle = append(p.brittle, r)
		}
	}
}
