package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// remainingPrefill returns how many of the prompt tokens sent to an engine it has yet to process.
// Progress is assumed only for as long as a report of the next first event may take. rate is the
// pool's.
func (p *Pool) remainingPrefill(now time.Duration, r *row, rate speed.TokensPerMs) int {
	if !p.central {
		return r.prefillTokens
	}
	elapsed := min(now-r.prefillStart, maxReportDelays*p.reportDelay)
	return max(r.prefillTokens-r.prefillRate(rate).Tokens(max(elapsed, 0)), 0)
}

// Rate is the prefill rate of the engines of a pool. RelativeError is its standard error as a
// fraction of the rate.
type Rate struct {
	Speed         speed.TokensPerMs
	RelativeError float64
}

// PrefillRates returns the estimated prefill rate of each pool.
func (p *Pool) PrefillRates() map[string]Rate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Rate, len(p.prefill))
	for pool, r := range p.prefill {
		out[pool] = Rate{Speed: r.Rate(), RelativeError: r.RelativeError()}
	}
	return out
}

const (
	// maxFetchFactor bounds the delay of a fetch from a store, as a multiple of the time that
	// prefill of the same tokens takes: repeated prefill is lost work.
	maxFetchFactor = 2
	// fetchTargetDivisor is the divisor of the request's target that yields the delay a fetch may
	// take in any case.
	fetchTargetDivisor = 4
)

// MaxFetchDelay returns the longest acceptable delay of fetching the shared parts of a prompt
// from a store.
func (p *Pool) MaxFetchDelay(q *Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(maxFetchFactor*entry(p.prefill, q.Pool).Rate().Wait(q.Shared), q.Target/fetchTargetDivisor)
}
