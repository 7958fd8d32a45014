package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// demandTime is the time over which reading is averaged.
const demandTime = 2 * time.Second

// demand follows how long engines need to read what they are sent, with weights
// that fall over demandTime. The zero value is ready.
type demand struct {
	// reading is in nanoseconds.
	reading decay.Sum
	// engines is how many could be chosen last.
	engines int
}

// PrefillShare is the part of their time that the engines of the busiest pool need
// to read prompts.
func (p *Pool) PrefillShare(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, d := range p.demands {
		most = max(most, d.reading.Value(now, demandTime)/float64(demandTime)/float64(max(d.engines, 1)))
	}
	return most
}
