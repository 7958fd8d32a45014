// Package latency provides the histogram for the latency measurements of the rehearsal kit.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded times in microseconds, and the precision.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

// Histogram records times from a microsecond to ten minutes. Times out of these bounds are recorded
// as the nearest bound. It is not safe for concurrent use.
type Histogram struct{ inner *hdrhistogram.Histogram }

// New returns an empty histogram.
func New() *Histogram { return &Histogram{hdrhistogram.New(minMicros, maxMicros, significantDigits)} }

// Record adds a time.
func (h *Histogram) Record(wait time.Duration) {
	// RecordValue only fails for values out of bounds.
	_ = h.inner.RecordValue(min(max(wait.Microseconds(), minMicros), maxMicros))
}

// Count returns the number of recorded times.
func (h *Histogram) Count() int64 { return h.inner.TotalCount() }

// Seconds returns the given percentile of the recorded times in seconds.
func (h *Histogram) Seconds(percent float64) float64 {
	return float64(h.inner.ValueAtQuantile(percent)) / 1e6
}

// Milliseconds returns the given percentile of the recorded times in milliseconds.
func (h *Histogram) Milliseconds(percent float64) float64 { return 1000 * h.Seconds(percent) }
