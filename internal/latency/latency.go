// Package latency is the histogram of times that all measurements of the
// rehearsal kit share.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded times, in microseconds, and digits that are kept.
const (
	shortest = 1
	longest  = 600_000_000
	digits   = 3
)

// Histogram records times from a microsecond to ten minutes. Shorter and longer
// ones count as these. It is not safe for concurrent use.
type Histogram struct{ inner *hdrhistogram.Histogram }

// New returns an empty histogram.
func New() *Histogram { return &Histogram{hdrhistogram.New(shortest, longest, digits)} }

// Record adds a time.
func (h *Histogram) Record(wait time.Duration) {
	// The value is within the bounds, so it is never refused.
	_ = h.inner.RecordValue(min(max(wait.Microseconds(), shortest), longest))
}

// Count returns how many times were recorded.
func (h *Histogram) Count() int64 { return h.inner.TotalCount() }

// Seconds returns the time below which a percentage of the recorded ones lies.
func (h *Histogram) Seconds(percent float64) float64 {
	return float64(h.inner.ValueAtQuantile(percent)) / 1e6
}

// Milliseconds is Seconds in another unit.
func (h *Histogram) Milliseconds(percent float64) float64 { return 1000 * h.Seconds(percent) }
