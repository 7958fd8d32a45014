package scheduling

import (
	"math"
	"time"
)

const (
	// demandHalfLife is how fast an observed request rate is forgotten.
	demandHalfLife = 5 * time.Second
	// demandLimit bounds how many prefixes are followed.
	demandLimit = 4096
)

type demandEntry struct {
	mass float64
	at   time.Duration
}

// demand estimates the engine time per second that each prefix asks for.
type demand struct {
	entries map[uint64]demandEntry
}

func newDemand() *demand { return &demand{entries: map[uint64]demandEntry{}} }

// add records a request that costs the given engine seconds and returns the
// prefix's demand in engine seconds per second.
func (d *demand) add(now time.Duration, prefix uint64, seconds float64) float64 {
	entry := d.entries[prefix]
	halves := (now - entry.at).Seconds() / demandHalfLife.Seconds()
	entry.mass = entry.mass*math.Exp2(-halves) + seconds
	entry.at = now
	if len(d.entries) >= demandLimit {
		clear(d.entries)
	}
	d.entries[prefix] = entry
	return entry.mass * math.Ln2 / demandHalfLife.Seconds()
}
