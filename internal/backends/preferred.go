package backends

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// preferredLoad is how much more than their share of the requests engines with
// the newest weights may get.
const preferredLoad = 2

// preferred returns the version below which engines cost more for this query.
// While few engines hold it they take some keys only: all routers would send
// them more than they can do before the loads that they share show it.
func (p *Pool) preferred(q *Query, candidates []candidate) int {
	version := p.notes.Preferred[q.Model]
	if version == 0 {
		return 0
	}
	holding := 0
	for i := range candidates {
		if candidates[i].Weights[q.Model] >= version {
			holding += candidates[i].stands
		}
	}
	// A share of the hashes of keys.
	share := preferredLoad * float64(holding) / float64(standing(candidates))
	if float64(xxhash.Sum64String(q.Key)) >= share*math.MaxUint64 {
		return 0
	}
	return version
}
