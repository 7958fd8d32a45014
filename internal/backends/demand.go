package backends

import (
	"math"
	"time"
)

// demandTime is the time over which reading is averaged.
const demandTime = 2 * time.Second

// demand follows how long engines need to read what they are sent, with weights
// that fall over demandTime. The zero value is ready.
type demand struct {
	// total is the reading of the last moments, as of at.
	total time.Duration
	at    time.Duration
	// engines is how many could be chosen last.
	engines int
}

func (d *demand) add(now, reading time.Duration) {
	d.total = d.until(now) + reading
	d.at = now
}

func (d *demand) until(now time.Duration) time.Duration {
	return time.Duration(float64(d.total) * math.Exp(-float64(now-d.at)/float64(demandTime)))
}

// ReadingShare is the part of their time that the engines of the busiest pool need
// to read prompts.
func (p *Pool) ReadingShare(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, d := range p.demands {
		most = max(most, float64(d.until(now))/float64(demandTime)/float64(max(d.engines, 1)))
	}
	return most
}

// demandOf returns the demand on a pool.
func (p *Pool) demandOf(pool string) *demand {
	d := p.demands[pool]
	if d == nil {
		d = &demand{}
		p.demands[pool] = d
	}
	return d
}
