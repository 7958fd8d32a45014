package scheduling

import (
	"math"
	"time"
)

// demandHalfLife is how fast an observed request rate is forgotten.
const demandHalfLife = 5 * time.Second

// demandLimit bounds how many keys are followed.
const demandLimit = 4096

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
// key's demand in engine seconds per second.
func (d *demand) add(now time.Duration, key uint64, seconds float64) float64 {
	entry := d.entries[key]
	entry.mass = entry.mass*decay(now-entry.at) + seconds
	entry.at = now
	if len(d.entries) >= demandLimit {
		d.expire(now)
	}
	d.entries[key] = entry
	return entry.mass * math.Ln2 / demandHalfLife.Seconds()
}

func (d *demand) expire(now time.Duration) {
	for key, entry := range d.entries {
		if now-entry.at > 4*demandHalfLife {
			delete(d.entries, key)
		}
	}
	if len(d.entries) >= demandLimit {
		clear(d.entries)
	}
}

func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
}
