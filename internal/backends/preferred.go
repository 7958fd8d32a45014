package backends

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// preferredLoad is the greatest multiple of their share of the requests that engines with the
// preferred weights get.
const preferredLoad = 2

// preferred returns the version below which engines cost more for this query, or 0. While few
// engines hold that version, only a share of the keys prefers it: otherwise all routers would
// overload these engines before the exchanged loads show it. A central pool knows the loads, and
// all keys prefer it.
func (p *Pool) preferred(q *Query, candidates []candidate) int {
	version := p.notes.Preferred[q.Model]
	if version == 0 || p.central {
		return version
	}
	holding := 0
	for i := range candidates {
		if candidates[i].Weights[q.Model] >= version {
			holding += candidates[i].represents
		}
	}
	// The share of the keys, compared with the hash of this one.
	share := preferredLoad * float64(holding) / float64(countRepresented(candidates))
	if float64(xxhash.Sum64String(q.Key)) >= share*math.MaxUint64 {
		return 0
	}
	return version
}
