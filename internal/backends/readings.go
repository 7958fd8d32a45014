package backends

import (
	"math"
	"time"
)

// readingTime is the time over which reading is averaged.
const readingTime = 2 * time.Second

// readings follows how long engines need to read what they are sent, with weights
// that fall over readingTime. The zero value is ready.
type readings struct {
	total time.Duration
	at    time.Duration
	// engines is how many could be chosen last.
	engines int
}

func (r *readings) add(now, reading time.Duration) {
	r.total = r.until(now) + reading
	r.at = now
}

func (r *readings) until(now time.Duration) time.Duration {
	return time.Duration(float64(r.total) * math.Exp(-float64(now-r.at)/float64(readingTime)))
}

// ReadingShare is the part of their time that the engines of the busiest pool need to read
// prompts.
func (p *Pool) ReadingShare(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, r := range p.read {
		most = max(most, float64(r.until(now))/float64(readingTime)/float64(max(r.engines, 1)))
	}
	return most
}

// readingsOf returns the readings of a pool.
func (p *Pool) readingsOf(pool string) *readings {
	r := p.read[pool]
	if r == nil {
		r = &readings{}
		p.read[pool] = r
	}
	return r
}
