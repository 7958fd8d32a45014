package backends

import "time"

// Expectation is how long an idle engine of a pool is expected to take for a request.
type Expectation struct {
	// Prefill is the time to process the prompt, and FirstEvent that until the first event.
	Prefill    time.Duration
	FirstEvent time.Duration
	// Run is the mean duration of a request.
	Run time.Duration
}

// Expect returns the expectation for a request with a number of prompt tokens to process.
func (p *Pool) Expect(pool string, tokens int) Expectation {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := entry(p.prefill, pool)
	wait := prefill.Rate().Wait(tokens)
	return Expectation{Prefill: wait, FirstEvent: wait + prefill.Overhead(), Run: entry(p.flows, pool).mean()}
}

// HasEngines reports whether a pool has any back end.
func (p *Pool) HasEngines(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		if r.Pool == pool {
			return true
		}
	}
	return false
}

// EngineLimits returns how many requests the engines of a pool may run at once, by ID, for at most
// the given number of engines.
func (p *Pool) EngineLimits(pool string, most int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	size := p.sizes[pool]
	if size == nil {
		return out
	}
	for id, r := range p.rows {
		if len(out) == most {
			break
		}
		if r.Pool == pool {
			out[id] = r.maxRequests(size)
		}
	}
	return out
}
