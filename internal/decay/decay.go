// Package decay sums amounts that count less the older they are.
package decay

import (
	"math"
	"time"
)

// Sum is a sum whose amounts fall by a factor of e in a time that is given with each
// use. The zero value is ready. It is not safe for concurrent use.
type Sum struct {
	sum float64
	at  time.Duration
}

// Add counts an amount.
func (s *Sum) Add(now, over time.Duration, amount float64) {
	s.sum = s.Value(now, over) + amount
	s.at = now
}

// Value is the sum as of now.
func (s *Sum) Value(now, over time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.at)/float64(over))
}
