package scheduling

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of a request's weight in the demand of its prefix.
	demandHalfLife = 5 * time.Second
	// maxDemandEntries bounds the number of tracked prefixes. At the limit all are dropped.
	maxDemandEntries = 4096
)

// demandEntry is the exponentially decayed sum of engine seconds as of the time updated.
type demandEntry struct {
	decayedSum float64
	updated    time.Duration
}

// demand estimates the engine seconds per second that the requests of each prefix need.
type demand struct {
	entries map[uint64]demandEntry
}

func newDemand() *demand { return &demand{entries: map[uint64]demandEntry{}} }

// add records a request that takes the given engine seconds and returns the demand of its prefix
// in engine seconds per second.
func (d *demand) add(now time.Duration, prefix uint64, seconds float64) float64 {
	entry := d.entries[prefix]
	halfLives := (now - entry.updated).Seconds() / demandHalfLife.Seconds()
	entry.decayedSum = entry.decayedSum*math.Exp2(-halfLives) + seconds
	entry.updated = now
	if len(d.entries) >= maxDemandEntries {
		clear(d.entries)
	}
	d.entries[prefix] = entry
	return entry.decayedSum * math.Ln2 / demandHalfLife.Seconds()
}
