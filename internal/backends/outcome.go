package backends

import (
	"maps"
	"math"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// failureGain is the weight of one outcome in a back end's failure rate.
	failureGain = 0.25
	// failureHalfLife is the time in which an old failure counts half.
	failureHalfLife = 3 * time.Second
	// forgivenRate is the failure rate that counts as none: it would cost less than the
	// way to another zone.
	forgivenRate = 0.001
	// busyPause is how long a back end that turned a request away is avoided.
	busyPause = 150 * time.Millisecond
	// unreachablePause is the same for one that could not be reached.
	unreachablePause = 1500 * time.Millisecond
	// latencyGain is the weight of one answer in the mean time of answers.
	latencyGain = 0.1
	// maxTroubles bounds what is kept for Troubles: more than a router sees between
	// two words to the leader.
	maxTroubles = 64
)

// Succeeded notes a good answer and how long it took.
func (p *Pool) Succeeded(now time.Duration, id string, took time.Duration) {
	p.with(id, func(r *row) {
		r.silent, r.recovering = false, false
		r.failures = r.rate(now) * (1 - failureGain)
		r.failedAt = now
		r.latency += latencyGain * (float64(took.Milliseconds()) - r.latency)
		entry(p.flows, r.Pool).ended(took)
	})
}

// Failed notes a failed request.
func (p *Pool) Failed(now time.Duration, id string) {
	p.with(id, func(r *row) {
		p.trouble(r, coordapi.Failed)
		r.failures = r.rate(now)*(1-failureGain) + failureGain
		r.failedAt = now
	})
}

// Busy notes that a back end turned a request away.
func (p *Pool) Busy(now time.Duration, id string) {
	p.with(id, func(r *row) {
		p.trouble(r, coordapi.Busy)
		r.busy = now + busyPause
	})
}

// Unreachable notes that no connection to a back end could be had.
func (p *Pool) Unreachable(now time.Duration, id string) {
	p.with(id, func(r *row) {
		p.trouble(r, coordapi.Unreachable)
		r.busy = now + unreachablePause
	})
}

// Mismatch notes that the address answered as another instance, or that the
// back end does not hold the version of a model.
func (p *Pool) Mismatch(id, model string, version int, otherInstance bool) {
	p.with(id, func(r *row) {
		if otherInstance {
			p.trouble(r, coordapi.OtherInstance)
			r.wrong = true
			return
		}
		r.refused = map[string]int{model: version}
	})
}

// VersionObserved notes the version of a model that a back end's answer named.
func (p *Pool) VersionObserved(id, model string, version int) {
	p.with(id, func(r *row) {
		if version > r.Weights[model] {
			weights := maps.Clone(r.Weights)
			if weights == nil {
				weights = map[string]int{}
			}
			weights[model] = version
			r.Weights = weights
		}
	})
}

// trouble keeps what an engine's attempt showed, for others to hear of.
func (p *Pool) trouble(r *row, kind coordapi.TroubleKind) {
	if r.IsEngine() && len(p.troubles) < maxTroubles && !p.drains {
		p.troubles = append(p.troubles, coordapi.Trouble{ID: r.ID, Kind: kind})
	}
}

// Troubles returns what attempts at engines have shown since the last call.
func (p *Pool) Troubles() []coordapi.Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.troubles
	p.troubles = nil
	return out
}

// ApplyTroubles takes what attempts of another router have shown.
func (p *Pool) ApplyTroubles(now time.Duration, troubles []coordapi.Trouble) {
	for _, t := range troubles {
		switch t.Kind {
		case coordapi.Failed:
			p.Failed(now, t.ID)
		case coordapi.Busy:
			p.Busy(now, t.ID)
			if t.For > 0 {
				p.PushedBack(now, t.ID, t.For)
			}
		case coordapi.Unreachable:
			p.Unreachable(now, t.ID)
		case coordapi.OtherInstance:
			p.Mismatch(t.ID, "", 0, true)
		}
	}
}

func (p *Pool) with(id string, change func(r *row)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rows[id]; r != nil {
		p.index.activate(r)
		change(r)
	}
}

// rate is the failure rate at now.
func (r *row) rate(now time.Duration) float64 {
	if r.failures == 0 {
		return 0
	}
	rate := r.failures * math.Exp2(-float64(now-r.failedAt)/float64(failureHalfLife))
	if rate < forgivenRate {
		return 0
	}
	return rate
}
