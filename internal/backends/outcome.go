package backends

import (
	"maps"
	"math"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// failureWeight is the weight of one outcome in the average failure rate of a back end.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 3 * time.Second
	// negligibleRate is the failure rate that is rounded down to
	// 0. It would cost less than the use of another zone.
	negligibleRate = 0.001
	// busyPause is the time for which a back end that rejected a request as busy is avoided.
	busyPause = 150 * time.Millisecond
	// unreachablePause is the time for which an unreachable back end is avoided.
	unreachablePause = 1500 * time.Millisecond
	// latencyWeight is the weight of one answer in the average latency of a back end.
	latencyWeight = 0.1
	// latencyHalfLife is the half-life of the average latency without answers. A back end whose
	// first answers were slow would otherwise not be chosen again while another one is idle.
	latencyHalfLife = 3 * time.Second
	// latencyShare is the cost of a back end's average latency as a fraction of it. Costs are rounded
	// down to multiples of latencyResolution milliseconds: on a busy machine an answer takes 10 ms
	// longer than others by chance, which must not decide among idle back ends for seconds.
	latencyShare = 0.25
	// minLatencyStep and latencyStepShare bound the rise of the average by one answer, in
	// milliseconds and as a fraction of the average, so that a single stall does not exclude a back
	// end until it is forgotten.
	minLatencyStep    = 3
	latencyStepShare  = 0.25
	latencyResolution = 1
	// maxTroubles bounds the troubles kept until the next call of Troubles. It is more than a
	// router observes between two reports to the leader.
	maxTroubles = 64
)

// Succeeded records a successful answer and its latency.
func (p *Pool) Succeeded(now time.Duration, id string, took time.Duration) {
	p.update(id, func(r *row) {
		r.noHeartbeat, r.recovering = false, false
		r.failureRate = r.rate(now) * (1 - failureWeight)
		r.failedAt = now
		r.recordLatency(now, took)
		entry(p.flows, r.Pool).ended(took)
	})
}

// Failed records a failed request.
func (p *Pool) Failed(now time.Duration, id string) {
	p.update(id, func(r *row) {
		p.recordTrouble(r, coordapi.Failed)
		r.failureRate = r.rate(now)*(1-failureWeight) + failureWeight
		r.failedAt = now
	})
}

// Busy records that a back end rejected a request because it is busy.
func (p *Pool) Busy(now time.Duration, id string) {
	p.update(id, func(r *row) {
		p.recordTrouble(r, coordapi.Busy)
		r.busyUntil = now + busyPause
	})
}

// Unreachable records that no connection to a back end could be opened.
func (p *Pool) Unreachable(now time.Duration, id string) {
	p.update(id, func(r *row) {
		p.recordTrouble(r, coordapi.Unreachable)
		r.busyUntil = now + unreachablePause
	})
}

// Mismatch records that another instance answers at the address of a back end, or that the back end
// does not hold the given version of a model.
func (p *Pool) Mismatch(id, model string, version int, otherInstance bool) {
	p.update(id, func(r *row) {
		if otherInstance {
			p.recordTrouble(r, coordapi.OtherInstance)
			r.wrongInstance = true
			return
		}
		r.mismatched = map[string]int{model: version}
	})
}

// VersionObserved records the weights version that a back end's answer named.
func (p *Pool) VersionObserved(id, model string, version int) {
	p.update(id, func(r *row) {
		if version > r.Weights[model] {
			weights := maps.Clone(r.Weights)
			if weights == nil {
				weights = map[string]int{}
			}
			weights[model] = version
			r.Weights, r.held = weights, heldVersion{}
		}
	})
}

// recordTrouble keeps the failure of an attempt at an engine for the report to the leader.
func (p *Pool) recordTrouble(r *row, kind coordapi.TroubleKind) {
	if r.IsEngine() && len(p.troubles) < maxTroubles && !p.central {
		p.troubles = append(p.troubles, coordapi.Trouble{ID: r.ID, Kind: kind})
	}
}

// Troubles returns and clears the failures of attempts at engines, except those that may be failures of
// this process's own path.
func (p *Pool) Troubles() []coordapi.Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []coordapi.Trouble
	out, p.troubles = p.sortTroubles(p.troubles)
	return out
}

// ApplyTroubles applies the failures that another router has reported.
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

func (p *Pool) update(id string, change func(r *row)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rows[id]; r != nil {
		p.index.activate(r)
		change(r)
	}
}

// recordLatency adds the latency of an answer to the average.
func (r *row) recordLatency(now, took time.Duration) {
	average := r.averageLatency(now)
	step := latencyWeight * (float64(took.Milliseconds()) - average)
	r.latency = average + min(step, max(minLatencyStep, latencyStepShare*average))
	r.latencyAt = now
}

// averageLatency returns the average latency in milliseconds, decayed to now.
func (r *row) averageLatency(now time.Duration) float64 {
	if r.latency == 0 {
		return 0
	}
	return r.latency * math.Exp2(-float64(max(now-r.latencyAt, 0))/float64(latencyHalfLife))
}

// latencyCost returns the cost of the average latency in milliseconds.
func (r *row) latencyCost(now time.Duration) float64 {
	return math.Floor(latencyShare*r.averageLatency(now)/latencyResolution) * latencyResolution
}

// rate returns the failure rate, decayed to now.
func (r *row) rate(now time.Duration) float64 {
	if r.failureRate == 0 {
		return 0
	}
	rate := r.failureRate * math.Exp2(-float64(now-r.failedAt)/float64(failureHalfLife))
	if rate < negligibleRate {
		return 0
	}
	return rate
}
