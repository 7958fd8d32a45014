package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// demandWindow is the time constant of the average of prefill time.
const demandWindow = 2 * time.Second

// demand averages the prefill time of the requests sent to a pool, with exponential decay. The
// zero value is ready to use.
type demand struct {
	// prefill is in nanoseconds.
	prefill decay.Sum
	// engines is the number of engines that were candidates of the last choice.
	engines int
}

// PrefillShare returns the share of their time that the engines of the busiest pool spend on
// prefill.
func (p *Pool) PrefillShare(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, d := range p.demands {
		most = max(most, d.prefill.Value(now, demandWindow)/float64(demandWindow)/float64(max(d.engines, 1)))
	}
	return most
}
