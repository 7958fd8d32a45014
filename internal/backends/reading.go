package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// unreadOf is how many of the tokens sent to an engine it has not read. One that
// shows no first event for longer than reports take has fallen behind: nothing more
// counts as read then.
func (p *Pool) unreadOf(now time.Duration, r *row, rate speed.TokensPerMs) int {
	if !p.drains {
		return r.prefill
	}
	unheard := min(now-r.readFrom, reportFactor*p.reportDelay)
	return max(r.prefill-rate.Tokens(max(unheard, 0)), 0)
}

// Rate is how fast the engines of a pool read, and how uncertain that is, as a part of
// it.
type Rate struct {
	Speed         speed.TokensPerMs
	RelativeError float64
}

// PrefillRates returns how fast the engines of each pool read, for all that is known.
func (p *Pool) PrefillRates() map[string]Rate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Rate, len(p.reading))
	for pool, r := range p.reading {
		out[pool] = Rate{Speed: r.Rate(), RelativeError: r.RelativeError()}
	}
	return out
}

const (
	// moveFactor is how many times longer than reading it a prompt may take from a
	// store: what is read twice is lost work.
	moveFactor = 2
	// moveDivisor is the part of a request's target that it may take in any case.
	moveDivisor = 4
)

// MaxFetchDelay is the delay that taking the shared parts of a prompt from a store is
// worth.
func (p *Pool) MaxFetchDelay(q *Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(moveFactor*entry(p.reading, q.Pool).Rate().Wait(q.Shared), q.Target/moveDivisor)
}
