package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/speed"
)

// Costs in milliseconds.
const (
	// silentCost and failureCost keep work off back ends that may be lost, as
	// long as there are others.
	silentCost  = 4000
	failureCost = 3000
	// farCost is the cost of leaving the zone.
	farCost = 4
	// strangeCost is the cost of each shared token at a back end that is not
	// the prompt's home, for the first step away and in part for each further
	// one, up to rankLimit steps. It is above the time that a move takes: a copy
	// takes memory that other prompts need.
	strangeCost = 0.1
	strangeStep = 0.25
	rankLimit   = 4
	// stallTime is how long an engine may have to read before the streams that it
	// serves pause for too long: it reads between their tokens. What is beyond
	// costs stallFactor times as much more.
	stallTime   = 240
	stallFactor = 3
	// decodeCost is the cost of one running request: it slows each step.
	decodeCost = 1.5
	// crowdCost is the cost of a back end whose memory or slots are taken.
	crowdCost = 400
	// replacedShare is the cost of weights whose answers have lost a part of their
	// worth, in targets of the request: about the delay that costs as much.
	replacedShare = 0.25
	// roomyShare is the part of an engine's memory that requests may take
	// without a cost: the rest keeps prompts.
	roomyShare = 0.6
)

// typicalWork is the assumed time of a request to a pool without engines, until
// some were answered.
const typicalWork = 40 * time.Millisecond

// cost is the scorer: the expected delay of the request at a candidate.
func (p *Pool) cost(now time.Duration, q *Query, c *candidate, old staleness, rate speed.TokensPerMs, preferred int) float64 {
	total := failureCost * c.rate(now)
	if c.silent {
		total += silentCost
	}
	if c.Zone != p.zone {
		total += farCost
	}
	if q.Slots == 0 {
		return total + loadCost(float64(c.running)+old.kept*float64(c.others.Running), c) + c.latency/4
	}
	reading := float64(rate.Wait(c.ahead()+q.unread(c.Weights[q.Model]))) / float64(time.Millisecond)
	total += reading + stallFactor*max(0, reading-stallTime)
	total += float64(c.running+c.others.Running) * decodeCost
	total += crowdCost * crowding(q, c)
	if c.Weights[q.Model] < preferred {
		total += replacedShare * float64(q.Target.Milliseconds())
	}
	if q.Key != "" && c.rank > 0 {
		total += strangeCost * float64(q.Shared) * (1 + strangeStep*float64(min(c.rank, rankLimit)))
	}
	return total
}

// loadCost is the delay by requests that run at a back end without engines: the
// more places it has, the less each of them delays a further one.
func loadCost(running float64, c *candidate) float64 {
	return running * float64(typicalWork.Milliseconds()) / float64(max(c.Slots, 1))
}

// crowding is how far the request would overfill an engine's memory or slots:
// 0 while there is room.
func crowding(q *Query, c *candidate) float64 {
	over := 0.0
	if q.Capacity > 0 {
		over += max(0, float64(c.memory+c.others.Memory+q.Work.Most)/float64(q.Capacity)-roomyShare)
	}
	return over + max(0, float64(c.running+c.others.Running+1)/float64(q.Slots)-1)
}

// rank orders the candidates by rendezvous hashing of the key, so that all
// routers agree on a key's home and a lost back end moves only its own keys. A
// back end that starts again at its address gets the same keys back.
// With versions
// each version of the weights is ranked by itself, and has a home of its own. It
// returns the first candidate of each version: what an engine keeps
// was made with its own weights.
func rank(key, model string, candidates []candidate, versions bool) map[int]*row {
	if key == "" {
		return nil
	}
	weights := make(map[string]uint64, len(candidates))
	for i := range candidates {
		weights[candidates[i].ID] = xxhash.Sum64String(key + "/" + candidates[i].ID)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if weights[a.ID] != weights[b.ID] {
			if weights[a.ID] > weights[b.ID] {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	homes, ranked := map[int]*row{}, map[int]int{}
	for i := range candidates {
		c := &candidates[i]
		version := c.Weights[model]
		if homes[version] == nil {
			homes[version] = c.row
		}
		group := 0
		if versions {
			group = version
		}
		c.rank = ranked[group]
		ranked[group]++
	}
	return homes
}
