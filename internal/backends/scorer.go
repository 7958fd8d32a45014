package backends

import (
	"cmp"
	"math"
	"slices"
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
	// answerCost is the cost of an answer that becomes late, which is then worth about
	// a third. It is as much as all steps away from home of a prompt with 7,000 shared
	// tokens: those are a copy that costs memory, not an answer. Of 400, 800 and 1,400
	// the last was best on six days of three deployments (docs/design/shifted.md).
	answerCost = 1400
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
	if c.Zone != cmp.Or(q.Zone, p.zone) {
		total += farCost
	}
	if q.Slots == 0 {
		return total + loadCost(float64(c.running)+old.kept*float64(c.others.Running), c) + c.latency/4
	}
	reading := float64(rate.Wait(c.ahead+q.unread(c.Weights[q.Model]))) / float64(time.Millisecond)
	total += reading + lateCost(q, c, reading)
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

// lateCost is the cost of what reading makes late: the request itself, and the
// streams that the engine serves, since it reads between their tokens.
func lateCost(q *Query, c *candidate, reading float64) float64 {
	streams := float64(max(c.running+c.others.Running-c.unbegun, 0))
	return answerCost * (lateness(reading, q.Target) + streams*lateness(reading, q.GapTarget))
}

// lateness rises from 0 at half of a limit to 1 at the limit; 0 means no limit.
func lateness(delay float64, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return min(max(2*delay/float64(limit.Milliseconds())-1, 0), 1)
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

// ranking is the order of a key's candidates with one version of the weights.
type ranking struct {
	version int
	// holder is the engine that has the key's part, empty for none.
	holder string
	firsts[*candidate]
}

// firsts are the first rankLimit of an order by falling weight; of equal weights the lower
// ID comes first.
type firsts[T interface{ id() string }] struct {
	best    []T
	weights []uint64
}

// id is the back end's ID.
func (r *row) id() string { return r.ID }

// rank orders the candidates by rendezvous hashing of the key, so that all
// routers agree on a key's home and a lost back end moves only its own keys. A
// back end that starts again at its address gets the same keys back. With
// versions each version of the weights is ranked by itself, and has a home of its
// own. An engine that has the key's part comes first. It returns the first
// candidate of each version: what an engine keeps was made with its own weights.
func rank(q *Query, candidates []candidate, versions bool) map[int]*row {
	if q.Key == "" {
		return nil
	}
	hash := xxhash.Sum64String(q.Key)
	var all ranking
	var rankings []*ranking
	for i := range candidates {
		c := &candidates[i]
		c.rank = rankLimit
		r := rankingOf(&rankings, c.Weights[q.Model], q)
		weight := mixed(hash ^ c.hash)
		if c.ID == r.holder {
			weight = math.MaxUint64
		}
		all.add(c, weight)
		r.add(c, weight)
	}
	homes := make(map[int]*row, len(rankings))
	for _, r := range rankings {
		homes[r.version] = r.best[0].row
		if versions {
			r.number()
		}
	}
	if !versions {
		all.number()
	}
	return homes
}

// rankingOf returns the ranking of a version.
func rankingOf(rankings *[]*ranking, version int, q *Query) *ranking {
	for _, r := range *rankings {
		if r.version == version {
			return r
		}
	}
	r := &ranking{version: version}
	if q.Holder != nil {
		r.holder = q.Holder(version)
	}
	*rankings = append(*rankings, r)
	return r
}

// add puts one into its place, if it is among the first.
func (f *firsts[T]) add(item T, weight uint64) {
	at := len(f.best)
	for at > 0 && (weight > f.weights[at-1] || (weight == f.weights[at-1] && item.id() < f.best[at-1].id())) {
		at--
	}
	if at >= rankLimit {
		return
	}
	f.best, f.weights = slices.Insert(f.best, at, item), slices.Insert(f.weights, at, weight)
	if len(f.best) > rankLimit {
		f.best, f.weights = f.best[:rankLimit], f.weights[:rankLimit]
	}
}

// number tells the candidates their places.
func (r *ranking) number() {
	for i, c := range r.best {
		c.rank = i
	}
}

// mixed spreads a hash over all bits (the finalizer of SplitMix64).
func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
