package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/speed"
)

// Costs in milliseconds.
const (
	// noHeartbeatCost and failureCost keep requests off back ends that may have failed, as long as
	// there are others.
	noHeartbeatCost = 4000
	failureCost     = 3000
	// otherZoneCost is the cost of a back end in another zone.
	otherZoneCost = 4
	// awayCost is the cost per shared token of a back end that is not the home of the key. awayStep
	// is the fraction added for each step down the order, up to rankLimit. Together they exceed the
	// time of a transfer, since a copy also takes memory from other prompts.
	awayCost  = 0.1
	awayStep  = 0.25
	rankLimit = 4
	// lateAnswerCost is the cost of an answer that misses its target: it is of little use to the
	// caller, about a third of one in time. The cost equals that of all steps away from the home of a
	// prompt with 7,000 shared tokens: those cost a copy in memory, and the caller loses nothing. Of
	// 400, 800 and 1,400 the last served best.
	lateAnswerCost = 1400
	// decodeCost is the cost of one running request, which slows down each decode step.
	decodeCost = 1.5
	// overloadCost is the cost of a back end whose memory or slots are exhausted.
	overloadCost = 400
	// outdatedShare is the cost of weights older than the preferred version, as a fraction of the
	// request's target.
	outdatedShare = 0.25
	// freeMemoryShare is the fraction of an engine's memory that requests may take at no cost. The
	// rest is left to cached prompts.
	freeMemoryShare = 0.6
)

// typicalDuration is the request duration assumed for a pool before its first answer.
const typicalDuration = 40 * time.Millisecond

// cost returns the cost of a candidate: the expected delay of the request plus penalties.
func (p *Pool) cost(now time.Duration, q *Query, c *candidate, staleness loadStaleness, rate speed.TokensPerMs, preferred int) float64 {
	total := failureCost * c.rate(now)
	if c.noHeartbeat {
		total += noHeartbeatCost
	}
	if c.Zone != cmp.Or(q.Zone, p.zone) {
		total += otherZoneCost
	}
	if q.Slots == 0 {
		return total + loadCost(float64(c.running)+staleness.stillRunning*float64(c.otherLoad.Running), c) + c.latencyCost(now)
	}
	prefill := float64(c.prefillRate(rate).Wait(c.ahead+q.tokensToPrefill(c.versionOf(q)))) / float64(time.Millisecond)
	total += prefill + lateCost(q, c, prefill)
	total += float64(c.running+c.otherLoad.Running) * decodeCost
	total += overloadCost * overload(q, c)
	if c.versionOf(q) < preferred {
		total += outdatedShare * float64(q.Target.Milliseconds())
	}
	if q.Key != "" && c.rank > 0 {
		total += awayCost * float64(q.Shared) * (1 + awayStep*float64(min(c.rank, rankLimit)))
	}
	return total
}

// lateCost returns the cost of targets missed because of the prefill: that of the request itself
// and those of the streams that it interrupts.
func lateCost(q *Query, c *candidate, prefill float64) float64 {
	streams := float64(max(c.running+c.otherLoad.Running-c.unanswered, 0))
	return lateAnswerCost * (lateness(prefill, q.Target) + streams*lateness(prefill, q.GapTarget))
}

// lateness rises from 0 at half of the limit to 1 at the limit. A limit of 0 means none.
func lateness(delay float64, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return min(max(2*delay/float64(limit.Milliseconds())-1, 0), 1)
}

// loadCost returns the delay caused by the requests that run at a back end without engines. It is
// inversely proportional to the number of slots.
func loadCost(running float64, c *candidate) float64 {
	return running * float64(typicalDuration.Milliseconds()) / float64(max(c.Slots, 1))
}

// overload returns by how much the request would exceed an engine's memory and slots, or 0 while
// there is room.
func overload(q *Query, c *candidate) float64 {
	over := 0.0
	if q.Capacity > 0 {
		over += max(0, float64(c.memory+c.otherLoad.Memory+q.Work.Most)/float64(q.Capacity)-freeMemoryShare)
	}
	return over + max(0, float64(c.running+c.otherLoad.Running+1)/float64(q.Slots)-1)
}

// ranking is the order of the candidates that hold one weights version, for a key.
type ranking struct {
	version int
	// holder is the ID of the engine that holds the cached part of the key, or empty.
	holder string
	topRanked[*candidate]
}

// topRanked keeps the first rankLimit items by falling key; the lower ID wins a tie.
type topRanked[T interface{ id() string }] struct {
	best []T
	keys []rankKey
}

// id returns the ID of the back end.
func (r *row) id() string { return r.ID }

// rank orders the candidates by weighted rendezvous hashing of the key and sets their ranks. All routers
// agree on the home of a key, and the loss of a back end moves only its own keys. Back ends are
// hashed by address, so that a restarted one keeps its keys. The holder of the key's cached part
// comes first. If versions is set, each weights version is ranked separately. rank returns the
// first candidate of each version.
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
		r := rankingOf(&rankings, c.versionOf(q), q)
		key := rankKey{hash: mix64(hash ^ c.hash), weight: c.pace.home.value()}
		if c.ID == r.holder {
			key = holderKey()
		}
		all.add(c, key)
		r.add(c, key)
	}
	homes := make(map[int]*row, len(rankings))
	for _, r := range rankings {
		homes[r.version] = r.best[0].row
		if versions {
			r.assignRanks()
		}
	}
	if !versions {
		all.assignRanks()
	}
	return homes
}

// rankingOf returns the ranking of a version and adds it if it is missing.
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

// add inserts an item if it is among the first.
func (f *topRanked[T]) add(item T, key rankKey) {
	at := len(f.best)
	for at > 0 {
		order := key.compare(f.keys[at-1])
		if order < 0 || (order == 0 && item.id() >= f.best[at-1].id()) {
			break
		}
		at--
	}
	if at >= rankLimit {
		return
	}
	f.best, f.keys = slices.Insert(f.best, at, item), slices.Insert(f.keys, at, key)
	if len(f.best) > rankLimit {
		f.best, f.keys = f.best[:rankLimit], f.keys[:rankLimit]
	}
}

// assignRanks sets the ranks of the candidates.
func (r *ranking) assignRanks() {
	for i, c := range r.best {
		c.rank = i
	}
}

// mix64 is the finalizer of SplitMix64, which spreads a hash over all bits.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
