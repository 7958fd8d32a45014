package concurrency

import "time"

const (
	// increase is the amount that a first event as expected adds to the factor. An engine that begins
	// 40 requests per second recovers from half to its whole capacity in 6 s. With 0.005 the limit
	// rose beyond a capacity that is smaller than believed between two decreases.
	increase = 0.002
	// decrease is the factor of a decrease by one late first event.
	decrease = 0.8
	// minFactor keeps enough requests at an engine to observe its recovery.
	minFactor = 0.1
	// lateDivisor is the divisor of the request's target that yields the excess over the expected
	// wait from which a first event is late.
	lateDivisor = 2
	// expectedDivisor is the divisor of the target that yields the excess up to which a first event
	// is as expected. In between, the limit stays: the engine is about as busy as it can be.
	expectedDivisor = 8
)

// Adaptive lowers the limit of an engine by a factor when a first event is late, and raises it by a
// constant with each one that is as expected. It starts with the whole capacity.
type Adaptive struct {
	factor float64
	// changed is the time of the last decrease. Requests sent before say nothing about the limit
	// since.
	changed time.Duration
}

// NewAdaptive returns an Adaptive limiter.
func NewAdaptive() Limiter { return &Adaptive{factor: 1} }

// Observe adds the sample of a request to the engine.
func (a *Adaptive) Observe(s Sample) {
	if s.Sent < a.changed {
		return
	}
	excess := s.Observed - s.Expected
	switch {
	case s.Target > 0 && excess > s.Target/lateDivisor:
		a.factor = max(a.factor*decrease, minFactor)
		a.changed = s.Now
	case s.Target <= 0 || excess <= s.Target/expectedDivisor:
		a.factor = min(a.factor+increase, 1)
	}
}

// Factor returns the allowed fraction of the engine's capacity.
func (a *Adaptive) Factor() float64 { return a.factor }
