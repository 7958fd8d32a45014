// Package concurrency limits how much of an engine's capacity running requests may take. The
// package does no I/O; callers pass the time. Limiters are not safe for concurrent use.
package concurrency

import "time"

// Sample is the wait of a request for its first event.
type Sample struct {
	// Now is the time of the observation and Sent the time at which the request was sent.
	Now  time.Duration
	Sent time.Duration
	// Expected and Observed are the expected and the actual wait.
	Expected time.Duration
	Observed time.Duration
	// Target is the request's latency target; 0 means none.
	Target time.Duration
}

// Limiter determines the limit of one engine.
type Limiter interface {
	// Observe adds the sample of a request to the engine.
	Observe(s Sample)
	// Factor returns the allowed fraction of the engine's capacity, in (0, 1].
	Factor() float64
}

// Static always allows the whole capacity.
type Static struct{}

// NewStatic returns a Static limiter.
func NewStatic() Limiter { return Static{} }

// Observe does nothing.
func (Static) Observe(Sample) {}

// Factor returns 1.
func (Static) Factor() float64 { return 1 }
