// Package decay provides sums with exponentially decaying terms.
package decay

import (
	"math"
	"time"
)

// Sum is a sum whose terms fall by a factor of e per time constant, which is passed to each call.
// The zero value is ready to use. It is not safe for concurrent use.
type Sum struct {
	sum float64
	at  time.Duration
}

// Add adds an amount at the time now.
func (s *Sum) Add(now, timeConstant time.Duration, amount float64) {
	s.sum = s.Value(now, timeConstant) + amount
	s.at = now
}

// Value returns the sum at the time now.
func (s *Sum) Value(now, timeConstant time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.at)/float64(timeConstant))
}

// Reset removes all terms.
func (s *Sum) Reset() { *s = Sum{} }
