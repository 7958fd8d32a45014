package backends

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// Query describes a request for which a back end is chosen.
type Query struct {
	Pool string
	// Zone is the zone of the request's router; empty means the pool's own zone.
	Zone string
	// Model is empty for pools without models.
	Model string
	// Key identifies the shared part of the prompt: requests with the same key prefer the same back
	// end. It is empty if there is none.
	Key string
	// Target is the latency target of the answer.
	Target time.Duration
	// GapTarget is the longest gap between two events of a stream that still meets the target; 0
	// means no limit.
	GapTarget time.Duration
	// Shared is the number of prompt tokens that other requests share.
	Shared int
	Work   Work
	// UncachedTokens returns how many of the shared tokens a back end with this weights version
	// must process because no cache is recorded to hold them. If it is nil, the number is 0.
	UncachedTokens func(version int) int
	// Holder returns the ID of the engine that holds the cached shared part for this weights
	// version, or "" if none is recorded. It may be nil.
	Holder func(version int) string
	// Claimant identifies the owner of the request to back ends with a limit.
	Claimant coordapi.Claimant
	// IncludeLimited keeps back ends that have reached their limit among the candidates.
	IncludeLimited bool
	// Parts are the shared parts of the prompt, in order.
	Parts []coordapi.Part
	// Store is the address of the store that keeps the shared parts, or empty; StoreTokens is its
	// capacity in tokens.
	Store       string
	StoreTokens int
	// Slots and Capacity are the request slots and the memory in tokens of one engine. Slots is 0
	// for pools without engines.
	Slots    int
	Capacity int
	// Routers is the number of routers that share the traffic about equally.
	Routers int
	// Patience is the longest time that the request may wait until an engine starts to process its
	// prompt; 0 means no limit.
	Patience time.Duration
	// Room asks for an engine that has room for the request within its limits on slots, memory and
	// prefill backlog. It has no effect on pools without engines.
	Room bool
	// Contended is set with Room while requests wait for the pool. It keeps the request from causing
	// further copies of its shared parts as long as an engine that holds them has room.
	Contended bool
	// Later is set for later attempts, which are not queued. It asks for an engine that has room or,
	// if none has, for the one with the shortest expected wait, which must be within the patience.
	Later bool
	// Responsive excludes back ends that do not respond even if there are no others: the request still
	// runs at one that may go on.
	Responsive bool
	// RoomOnly asks the leader for an engine that has room, also for a later attempt.
	RoomOnly bool
	// Among lists the only back ends that may be chosen; empty for all.
	Among []string
	// Queueing are the terms for the queue at the leader.
	Queueing coordapi.Queueing
	// Software is the software version that a resumed stream has to go on at; empty for any.
	Software state.SoftwareVersion
	// Draw is a random number in [0, 1) that selects among the candidates.
	Draw float64
	// Tried lists back ends that must not be chosen again.
	Tried []string
	// Excluded reports back ends that must not be chosen although they were not tried; nil excludes
	// none. A choice with it examines all back ends one by one.
	Excluded func(id string) bool
	// Request is the digest of the request; 0 means none.
	Request poison.Digest
	// Trial is the block that applies to the request if it asks to be sent nevertheless, for a trial. It
	// goes to a back end that runs the fewest requests.
	Trial poison.Digest
	// Tenant and Amount are charged to the tenant's limit. Tenant is empty if there is no limit or
	// the request was charged before.
	Tenant string
	Amount quota.Amount
	// uncached caches the results of UncachedTokens during a choice, since many candidates hold the
	// same version.
	uncached map[int]int
}

// Choice is a chosen back end.
type Choice struct {
	ID string
	// Instance is the instance name that the back end reports; empty if that is the ID.
	Instance string
	Address  string
	Zone     string
	// Born is the back end's start time, 0 if it is not known.
	Born state.UnixMilli
	// Software is the version of the back end's software.
	Software state.SoftwareVersion
	// Version is the weights version that the back end holds; Versioned is set if it is known.
	Version   int
	Versioned bool
	// Home is set if the back end is first in the order of the query's key. HomeAddress is the
	// address of the first one with the same weights version, or empty: caches are only valid
	// for the weights that made them.
	Home        bool
	HomeAddress string
	// Holder is the state of the engine that is recorded as the holder of the last shared part. Source
	// is the address from which to fetch shared parts, and Save is set if the request is to
	// save them to the store. The placer sets them.
	Holder coordapi.HolderState
	Source string
	Save   bool
	// Cost is the cost of the chosen back end in milliseconds and Considered the number of
	// candidates that passed the filters.
	Cost       float64
	Considered int
	// Work is the load that the request puts on the chosen back end.
	Work Work
	// Placement is the number of the placement at the leader, or 0 if the router chose by itself.
	Placement uint64
	// Ahead is the number of prompt tokens that the back end processes before the request's, and
	// Wait the estimated time until it starts on these.
	Ahead int
	Wait  time.Duration
	// Late is set if no back end would start to process the prompt within the query's patience.
	Late bool
	// NoRoom is set if Query.Room is set and no eligible engine has room. The choice then names no
	// back end.
	NoRoom bool
	// OverLimit is set if the request exceeds its tenant's limit and may be retried after Wait.
	// Uncounted is set if the placer did not charge it.
	OverLimit bool
	Uncounted bool
	// Blocked lists the back ends that crashed while they ran the request, if it is a blocked
	// poison request.
	Blocked []string
	// Reason is set if the request could wait for capacity but is refused. It may be sent again
	// after RetryAfter.
	Reason string
	// Permit is the permit to send to a back end with a limit; nil if none is needed. RetryAfter is
	// the time until a back end with a limit has capacity, if that is why none was found, else 0.
	Permit     *ratelimit.Permit
	RetryAfter time.Duration
}

// Name returns the instance name that the back end reports, which defaults to its ID.
func (c *Choice) Name() string { return cmp.Or(c.Instance, c.ID) }

// minSharedToOwn is the least ratio of the shared tokens of a prompt to its own tokens at which
// its shared parts are saved. Of 1, 2 and 4, 2 led to the fewest tokens processed again.
const minSharedToOwn = 2

// MaySave reports whether the request may save its shared parts. A request with many tokens of
// its own leaves that to another one: its own tokens would be saved too and evict parts that
// others use.
func (q *Query) MaySave() bool { return q.Work.Prompt <= q.Shared/minSharedToOwn }

// tokensToPrefill returns how many prompt tokens an engine with this weights version must process.
func (q *Query) tokensToPrefill(version int) int {
	if q.UncachedTokens == nil {
		return q.Work.Prompt
	}
	tokens, cached := q.uncached[version]
	if !cached {
		tokens = q.UncachedTokens(version)
		q.uncached[version] = tokens
	}
	return q.Work.Prompt + tokens
}

// Choose returns the back end of least cost, or false if no back end is eligible or has room.
func (p *Pool) Choose(now time.Duration, q *Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.uncached = map[int]int{}
	p.updateSpeeds(now, q.Pool)
	rate := entry(p.prefill, q.Pool).Rate()
	eligible := p.candidates(now, q, rate)
	if len(eligible) == 0 {
		return Choice{}, false
	}
	if p.central {
		entry(p.demands, q.Pool).engines = countRepresented(eligible)
	}
	candidates, late := withinPatience(eligible, q, rate, entry(p.flows, q.Pool).mean())
	preferred := p.preferred(q, candidates)
	staleness := entry(p.flows, q.Pool).estimateStaleness(now, p.age(now), q.Routers)
	homes := rank(q, candidates, preferred > 0)
	cost := func(c *candidate) float64 { return p.cost(now, q, c, staleness, rate, preferred) }
	best := p.pick(now, q, candidates, eligible, staleness, rate, cost)
	late = late || (best != nil && q.Later && q.Patience > 0 && best.wait > q.Patience)
	if late && !q.hasLimits() {
		p.refused++
	}
	if best == nil {
		return Choice{NoRoom: true, Considered: countRepresented(candidates)}, false
	}
	version, versioned := best.Weights[q.Model]
	homeAddress := ""
	if versioned && homes[version] != nil {
		homeAddress = homes[version].Address
	}
	work := Work{Prompt: q.tokensToPrefill(version) + best.copied, Most: q.Work.Most}
	return Choice{ID: best.ID, Instance: best.Instance, Address: best.Address, Zone: best.Zone, Born: best.Born, Software: best.Software, Version: version, Versioned: versioned && q.Model != "",
		Home: best.rank == 0, HomeAddress: homeAddress, Cost: best.cost, Considered: countRepresented(candidates), Work: work,
		Ahead: best.ahead, Wait: max(best.wait, best.prefillRate(rate).Wait(best.ahead)), Late: late}, true
}

// candidate is a back end that passed the filters.
type candidate struct {
	*row
	// ahead is the number of prompt tokens that the back end has yet to process.
	ahead int
	// wait is the estimated time until the prompt is processed, set if the query has a patience.
	wait time.Duration
	// lastResort is set if the back end is chosen only if no other is left.
	lastResort bool
	// rank is the position in the order of the query's key, at most rankLimit.
	rank int
	cost float64
	// copied is the number of shared tokens that the chosen back end processes for a further copy.
	copied int
	// represents is the number of equivalent back ends that the candidate stands for, including
	// itself.
	represents int
}

// countRepresented returns how many back ends the candidates represent.
func countRepresented(candidates []candidate) int {
	count := 0
	for i := range candidates {
		count += candidates[i].represents
	}
	return count
}

// pick selects a candidate by cost. It returns nil if the query has limits and no candidate has room.
// eligible are the candidates irrespective of the patience, and cost returns the cost of one.
func (p *Pool) pick(now time.Duration, q *Query, candidates, eligible []candidate, staleness loadStaleness, rate speed.TokensPerMs,
	cost func(*candidate) float64) *candidate {
	if q.hasLimits() {
		return p.leastWithRoom(now, q, candidates, eligible, rate, cost)
	}
	if q.Later && q.Slots > 0 {
		if best := p.leastWithRoom(now, q, candidates, eligible, rate, cost); best != nil {
			return best
		}
		return p.soonest(now, q, candidates, rate)
	}
	for i := range candidates {
		candidates[i].cost = cost(&candidates[i])
	}
	if q.Slots > 0 && (p.central || q.Key != "") {
		return least(candidates)
	}
	if q.Slots > 0 {
		return leastDrawn(candidates, q.Draw)
	}
	return drawWaterFilling(candidates, staleness.unseen*loadCost(1, &candidates[0]), q.Draw)
}

// least returns the candidate of least cost; the lowest ID wins a tie.
func least(candidates []candidate) *candidate {
	best := &candidates[0]
	for i := range candidates[1:] {
		c := &candidates[i+1]
		if c.cost < best.cost || (c.cost == best.cost && c.ID < best.ID) {
			best = c
		}
	}
	return best
}

// leastDrawn returns a candidate of least cost; the draw decides ties. Routers that choose engines
// without the leader and see the same loads would otherwise all send requests without a key to the
// engines with the lowest IDs, and none to others.
func leastDrawn(candidates []candidate, draw float64) *candidate {
	best, bestMix := &candidates[0], uint64(0)
	for i := range candidates {
		c := &candidates[i]
		mix := mix64(c.hash ^ math.Float64bits(draw))
		if i == 0 || c.cost < best.cost || (c.cost == best.cost && mix < bestMix) {
			best, bestMix = c, mix
		}
	}
	return best
}

// usesIndex reports whether the index serves a choice. It does not for pools without engines, whose
// choice depends on more than the index groups by.
func (p *Pool) usesIndex(q *Query) bool {
	return p.index != nil && q.Slots > 0 && q.Excluded == nil && q.Trial == 0 && len(q.Among) == 0
}

// examined returns the back ends that a choice examines one by one.
func (p *Pool) examined(now time.Duration, q *Query) iter.Seq[*row] {
	if !p.usesIndex(q) {
		return maps.Values(p.rows)
	}
	p.groupIdle(now, q.Pool)
	return slices.Values(p.index.pool(q.Pool).active)
}

// candidates returns the back ends that pass the filters and accept requests. Back ends that are
// busy, send no heartbeat, recover from a pushback or do not respond are returned only if there
// are no others.
func (p *Pool) candidates(now time.Duration, q *Query, rate speed.TokensPerMs) []candidate {
	out := p.scratch[:0]
	lastResort := 0
	for r := range p.examined(now, q) {
		if r.Pool != q.Pool || !p.mayServe(r, q) || slices.Contains(q.Tried, r.ID) || (len(q.Among) > 0 && !slices.Contains(q.Among, r.ID)) {
			continue
		}
		if p.pushbackState(r.ID).Unavailable() || (now < r.limitedUntil && !q.IncludeLimited) || (q.Excluded != nil && q.Excluded(r.ID)) {
			continue
		}
		stopped := r.notResponding() || p.unresponsive(now, r, rate)
		if stopped && q.Responsive {
			continue
		}
		c := candidate{row: r, ahead: p.remainingPrefill(now, r, rate) + r.otherLoad.Prompt,
			lastResort: now < r.busyUntil || stopped || r.lastResort(now), represents: 1}
		if c.lastResort {
			lastResort++
		}
		out = append(out, c)
	}
	if p.usesIndex(q) {
		out = p.representatives(now, q, out)
	}
	p.scratch = out
	if lastResort > 0 && lastResort < len(out) {
		out = slices.DeleteFunc(out, func(c candidate) bool { return c.lastResort })
	}
	if q.Trial != 0 {
		out = p.leastOccupied(out)
	}
	return out
}

// leastOccupied returns the candidates that run the fewest requests.
func (p *Pool) leastOccupied(candidates []candidate) []candidate {
	fewest := math.MaxInt
	for i := range candidates {
		requests, _ := p.taken(&candidates[i])
		fewest = min(fewest, requests)
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool {
		requests, _ := p.taken(&c)
		return requests > fewest
	})
}
