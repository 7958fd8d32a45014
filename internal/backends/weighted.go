package backends

import (
	"cmp"
	"math"
	"time"
)

const (
	// homeStep is the step of home weights. A part whose home changes is processed again, so small
	// differences in speed do not change weights.
	homeStep = 0.25
	// maxHomeWeight bounds home weights.
	maxHomeWeight = 4
	// homeDelay is the time for which the factor of an engine must differ from its home weight by at
	// least homeStep until the weight changes.
	homeDelay = 2 * time.Second
)

// homeWeight determines the share of keys of which an engine is the home. The zero value stands for
// the weight 1.
type homeWeight struct {
	// steps is the weight in units of homeStep, less that of the weight 1.
	steps int
	// differs is set while the factor differs from the weight, since the time since.
	differs bool
	since   time.Duration
}

// value returns the weight.
func (w *homeWeight) value() float64 { return 1 + float64(w.steps)*homeStep }

// update adapts the weight to the factor of the engine, which is 1 for the median one. It reports
// whether the weight has changed.
func (w *homeWeight) update(now time.Duration, factor float64) bool {
	factor = min(max(factor, homeStep), maxHomeWeight)
	if math.Abs(factor-w.value()) < homeStep {
		w.differs = false
		return false
	}
	if !w.differs {
		w.differs, w.since = true, now
	}
	if now-w.since < homeDelay {
		return false
	}
	before := w.steps
	w.differs, w.steps = false, int(math.Round((factor-1)/homeStep))
	return w.steps != before
}

// rankKey is the sort key of a back end in the order of a query's key by weighted rendezvous
// hashing: each back end is first in a share of the orders that is proportional to its weight.
type rankKey struct {
	hash   uint64
	weight float64
}

// holderKey precedes all others.
func holderKey() rankKey { return rankKey{hash: math.MaxUint64, weight: math.Inf(1)} }

// compare returns a positive number if k precedes other. Back ends of the same weight are ordered by
// their hashes alone.
func (k rankKey) compare(other rankKey) int {
	if k.weight == other.weight {
		return cmp.Compare(k.hash, other.hash)
	}
	return cmp.Compare(k.score(), other.score())
}

// score returns -weight/ln(u), where u is the hash as a number between 0 and 1, both excluded. With
// more bits, the greatest u would be rounded to 1.
func (k rankKey) score() float64 {
	const bits = 52
	u := (float64(k.hash>>(64-bits)) + 0.5) / (1 << bits)
	return -k.weight / math.Log(u)
}
