package backends

import "math/rand/v2"

// Sample returns the addresses of up to size random back ends of a pool that are up according to the
// coordinators.
func (p *Pool) Sample(pool string, size int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sample []string
	seen := 0
	for _, r := range p.rows {
		if r.Pool != pool || r.noHeartbeat || r.unlisted || r.wrongInstance || r.Draining {
			continue
		}
		seen++
		if len(sample) < size {
			sample = append(sample, r.Address)
		} else if i := rand.IntN(seen); i < size {
			sample[i] = r.Address
		}
	}
	return sample
}
