package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/concurrency"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
)

// memoryShare is the share of an engine's memory that running requests may take under the hard
// limit of Query.Room. The rest keeps cached parts of prompts that no running request uses, and
// takes up outputs that exceed the expected length.
const memoryShare = 0.85

// defaultLimiter returns the limiter of an engine in a central pool: concurrency.NewStatic or
// concurrency.NewAdaptive.
var defaultLimiter = concurrency.NewStatic

// requestMemoryWeight is the weight of one request in the mean memory that a request takes.
const requestMemoryWeight = 0.02

// engineSize is the size of one engine of a pool, as stated by the latest request.
type engineSize struct {
	slots    int
	capacity int
	// requestMemory is the mean memory that a request adds to its engine, in tokens.
	requestMemory float64
}

// hasLimits reports whether the choice must respect the hard limits of the engines.
func (q *Query) hasLimits() bool { return q.Room && q.Slots > 0 }

// canBegin reports whether an engine has a free slot and a prefill backlog within the patience. One that
// has just rejected a request as busy has none, whatever is known of it.
func (p *Pool) canBegin(now time.Duration, q *Query, c *candidate, rate speed.TokensPerMs) bool {
	if now < c.busyUntil {
		return false
	}
	if q.Patience > 0 && c.prefillRate(rate).Wait(c.ahead) > q.Patience {
		return false
	}
	requests, _ := p.taken(c)
	if c.brittle {
		return requests < c.slotLimit(q.Slots)
	}
	run := entry(p.flows, q.Pool).mean()
	return requests < c.slotLimit(q.Slots)+slotsFreedWithin(q.Patience, c.scaled(run), q.Slots)
}

// maxAheadDivisor divides the slots of an engine to give the most requests beyond them.
const maxAheadDivisor = 12

// slotsFreedWithin returns how many slots of an engine become free within a time, up to a bound. As
// many requests may be sent beyond its slots: ends are reported late, and a slot would stay empty
// until then.
func slotsFreedWithin(patience, run time.Duration, slots int) int {
	freed := float64(slots) * float64(patience) / float64(max(run, 1))
	return min(int(freed), slots/maxAheadDivisor)
}

// hasMemory reports whether an engine's memory limit admits the request. An engine that runs nothing
// admits any request, as one that exceeds the limit by itself could otherwise never run.
func (p *Pool) hasMemory(q *Query, h *holding, c *candidate) bool {
	requests, tokens := p.taken(c)
	if requests == 0 || q.Capacity <= 0 {
		return true
	}
	added := q.Work.Most
	if p.central {
		added = c.usage.added(h)
	}
	return tokens+added <= c.memoryLimit(q.Capacity)
}

// taken returns the number of requests that an engine runs and the memory that they take.
func (p *Pool) taken(c *candidate) (requests, tokens int) {
	if !p.central {
		return c.running + c.otherLoad.Running, c.memory + c.otherLoad.Memory
	}
	return c.usage.requests + c.inherited.requests, c.usage.tokens + c.inherited.tokens
}

// slotLimit returns how many requests an engine with a number of slots may run, at least 1.
func (r *row) slotLimit(slots int) int { return max(int(float64(slots)*r.limitFactor()), 1) }

// memoryLimit returns how many tokens of its memory running requests may take.
func (r *row) memoryLimit(capacity int) int {
	return int(memoryShare * float64(capacity) * r.limitFactor())
}

// limitFactor returns the fraction of its limits that an engine's limiter allows.
func (r *row) limitFactor() float64 {
	if r.limiter == nil {
		return 1
	}
	return r.limiter.Factor()
}

// leastWithRoom returns the candidate of least cost among those with room, or nil. While requests
// wait, engines that hold the shared parts of the prompt come first. eligible are the candidates
// irrespective of the patience. It sets the costs of candidates with a free slot only, by costOf.
func (p *Pool) leastWithRoom(now time.Duration, q *Query, candidates, eligible []candidate, rate speed.TokensPerMs,
	costOf func(*candidate) float64) *candidate {
	h, copies := newHolding(q), newCopyPreference(now, q, rate)
	held := sync.OnceValue(func() bool { return copies.heldBy(eligible) })
	var best *candidate
	var bestPreference int
	var bestCost float64
	alive := false
	for i := 0; i < len(candidates) && !alive; i++ {
		alive = !candidates[i].notResponding()
	}
	for i := range candidates {
		c := &candidates[i]
		if alive && c.notResponding() {
			// It would get all requests for which the others have no room.
			continue
		}
		if !p.canBegin(now, q, c, rate) {
			continue
		}
		c.cost = costOf(c)
		if best != nil && bestPreference == holdsParts && c.cost > bestCost {
			continue
		}
		preference, cost := copies.of(c)
		if preference != holdsParts && !copies.fits(c) && held() {
			continue
		}
		if best != nil && cmp.Or(cmp.Compare(preference, bestPreference), cmp.Compare(cost, bestCost), cmp.Compare(c.ID, best.ID)) > 0 {
			continue
		}
		if p.hasMemory(q, &h, c) {
			best, bestPreference, bestCost = c, preference, cost
		}
	}
	if best != nil {
		best.copied = copies.copyWork(best.row)
	}
	return best
}

// HolderState returns the state of the engine that is recorded as the holder of shared parts, which
// may be "", relative to a choice for a query.
func (p *Pool) HolderState(now time.Duration, q *Query, holder string, choice *Choice) coordapi.HolderState {
	switch holder {
	case "":
		return ""
	case choice.ID:
		return coordapi.HolderChosen
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[holder]
	if r == nil || r.Pool != q.Pool || r.noHeartbeat || !p.mayServe(r, q) || slices.Contains(q.Tried, holder) || p.pushbackState(holder).Unavailable() {
		return coordapi.HolderUnavailable
	}
	rate := entry(p.prefill, q.Pool).Rate()
	h, c := newHolding(q), candidate{row: r, ahead: p.remainingPrefill(now, r, rate) + r.otherLoad.Prompt}
	if p.canBegin(now, q, &c, rate) && p.hasMemory(q, &h, &c) {
		return coordapi.HolderFree
	}
	return coordapi.HolderFull
}

// soonest returns the candidate without room that is expected to begin the request first, and sets the
// candidate's wait; the lowest ID wins a tie.
func (p *Pool) soonest(now time.Duration, q *Query, candidates []candidate, rate speed.TokensPerMs) *candidate {
	h, run := newHolding(q), entry(p.flows, q.Pool).mean()
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		c.wait = p.waitForRoom(now, q, &h, c, rate, run)
		if best == nil || cmp.Or(cmp.Compare(c.wait, best.wait), cmp.Compare(c.ID, best.ID)) < 0 {
			best = c
		}
	}
	return best
}

// waitForRoom estimates when an engine begins a request: once it has processed the prompts ahead, and as
// many of its requests have ended as take the slots and the memory that the request lacks.
func (p *Pool) waitForRoom(now time.Duration, q *Query, h *holding, c *candidate, rate speed.TokensPerMs, run time.Duration) time.Duration {
	requests, tokens := p.taken(c)
	missing := 0.0
	if slots := c.slotLimit(q.Slots); requests >= slots {
		missing = float64(requests+1-slots) / float64(slots)
	}
	if !p.hasMemory(q, h, c) {
		added := q.Work.Most
		if p.central {
			added = c.usage.added(h)
		}
		missing = max(missing, float64(tokens+added-c.memoryLimit(q.Capacity))/float64(max(tokens, 1)))
	}
	wait := c.prefillRate(rate).Wait(c.ahead) + c.scaled(time.Duration(missing*float64(run)))
	return max(wait, c.busyUntil-now)
}

// hold records what an attempt takes of its engine's room.
func (p *Pool) hold(a *Attempt, q *Query) {
	if a.row == nil || q.Slots == 0 {
		return
	}
	a.holding = newHolding(q)
	a.holds = true
	size := entry(p.sizes, q.Pool)
	size.slots, size.capacity = q.Slots, q.Capacity
	added := float64(a.row.usage.added(&a.holding))
	if size.requestMemory == 0 {
		size.requestMemory = added
	}
	size.requestMemory += requestMemoryWeight * (added - size.requestMemory)
	a.row.usage.add(&a.holding, a.version, q.Capacity)
	a.row.updateRoom()
}

// release ends what an attempt takes of its engine's room. An engine that has restarted meanwhile
// has another row, which is not affected.
func (a *Attempt) release(now time.Duration) {
	if a.holds {
		a.holds = false
		a.row.usage.release(now, &a.holding)
		a.row.updateRoom()
	}
}

// observeLimit passes the wait for the first event of an attempt to its engine's limiter. An engine
// that fetches cached parts first gives no sample, as the fetch is not part of the expected wait.
func (a *Attempt) observeLimit(now, wait time.Duration) {
	if a.prefill == nil || a.fetches || a.row == nil || a.row.limiter == nil {
		return
	}
	a.row.limiter.Observe(concurrency.Sample{Now: now, Sent: a.sent, Expected: a.prefill.Rate().Wait(a.ahead), Observed: wait, Target: a.target})
}

// Room is the capacity of the engines of a pool that serve requests, and how much of it is in use.
type Room struct {
	// Requests is the number of running requests and MaxRequests an estimate of how many can run at
	// once, given the mean memory that a request takes.
	Requests    int
	MaxRequests int
	// Used and Limit are the tokens of memory that running requests take and may take.
	Used  int
	Limit int
}

// Room returns the capacity of a pool's engines. It is zero before the first request was sent to
// the pool, and in pools that are not central.
func (p *Pool) Room(pool string) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Room
	size := p.sizes[pool]
	if size == nil {
		return out
	}
	for _, r := range p.rows {
		if r.Pool != pool || r.Draining || r.wrongInstance || r.unlisted || r.notResponding() || r.Loading != nil {
			continue
		}
		out.Requests += r.usage.requests + r.inherited.requests
		out.Used += r.usage.tokens + r.inherited.tokens
		out.Limit += r.memoryLimit(size.capacity)
		out.MaxRequests += r.maxRequests(size)
	}
	return out
}

// maxRequests estimates how many requests of mean size an engine can run at once.
func (r *row) maxRequests(size *engineSize) int {
	slots := r.slotLimit(size.slots)
	if size.capacity <= 0 || size.requestMemory < 1 {
		return slots
	}
	return min(slots, max(int(float64(r.memoryLimit(size.capacity))/size.requestMemory), 1))
}

// inheritedLoad is the load of requests that a central pool did not place.
type inheritedLoad struct {
	requests int
	tokens   int
}

// SetInheritedLoad sets the load of the requests at an engine that the pool did not place. The limits
// of Query.Room count it in addition to the pool's own placements until it is set again.
func (p *Pool) SetInheritedLoad(id string, requests, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rows[id]; r != nil {
		p.index.activate(r)
		r.inherited = inheritedLoad{requests, tokens}
	}
}
