package backends

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/speed"
)

// Query is what a choice needs to know of a request.
type Query struct {
	Pool string
	// Zone is where the request comes from; empty for the pool's own.
	Zone string
	// Model is empty for pools without models.
	Model string
	// Key names the shared part of the prompt; requests with the same key
	// prefer the same back end. Empty for none.
	Key string
	// Target is the time within which an answer is in time.
	Target time.Duration
	// GapTarget is the longest pause of a stream that keeps it in time; 0 for any.
	GapTarget time.Duration
	// Shared is how many tokens of the prompt other requests share.
	Shared int
	Work   Work
	// Cold returns how many of the shared tokens must be read at a back end with
	// this version, for all that is known; nil means none.
	Cold func(version int) int
	// Holder returns the engine that has the key's part with this version; nil when
	// nothing is known of it.
	Holder func(version int) string
	// Claimant says whose request it is, for back ends that take only so much.
	Claimant coordapi.Claimant
	// FullToo lets the choice fall on those that take no more for a while, too.
	FullToo bool
	// Parts are the shared parts of the prompt.
	Parts []coordapi.Part
	// Store is the address of the store that keeps the shared parts, empty for none, and
	// StoreTokens its memory.
	Store       string
	StoreTokens int
	// Slots and Capacity describe one engine; 0 means no engine.
	Slots    int
	Capacity int
	// Routers share the traffic about equally.
	Routers int
	// Patience is how long the request may wait until an engine reads it; 0 for
	// any time.
	Patience time.Duration
	// Draw is a random number in [0, 1) that decides among candidates.
	Draw float64
	// Tried lists back ends that are not to be chosen again.
	Tried []string
	// Request names what is asked for; 0 for none.
	Request poison.Digest
	// Tenant and Amount are what the request counts against a limit; empty if it has
	// none or was counted before.
	Tenant string
	Amount quota.Amount
	// cold keeps what Cold returned in the choice under way: many candidates
	// hold the same version.
	cold map[int]int
}

// Choice is a chosen back end.
type Choice struct {
	ID string
	// Instance is how the back end names itself, empty if that is the ID.
	Instance string
	Address  string
	Zone     string
	// Version is the version of the model that it holds; Versioned says that
	// it is known.
	Version   int
	Versioned bool
	// Home says that the back end is the first for the query's key, and
	// HomeAddress is where that one is reached; empty unless it holds the same
	// version, since what it keeps was made with its own.
	Home        bool
	HomeAddress string
	// Source is the address of an engine that has read some of the shared parts,
	// and Save says that the request is to save them, as who places for all routers
	// knows it.
	Source string
	Save   bool
	// Cost is the winner's cost in milliseconds and Considered how many
	// passed the filters.
	Cost       float64
	Considered int
	// Work is what the request takes of the chosen back end.
	Work Work
	// Placement is its number at who chose for all routers, 0 for a choice of the
	// router's own.
	Placement uint64
	// Ahead are the prompt tokens that the back end reads before the request's,
	// and Wait about how long that takes.
	Ahead int
	Wait  time.Duration
	// Late says that no back end would begin to read within the query's patience.
	Late bool
	// OverLimit says that the request is beyond its tenant's limit and may come back
	// after Wait. Uncounted says that who chose did not count it.
	OverLimit bool
	Uncounted bool
	// Blocked names the back ends that ended while they ran the request, if that is kept
	// from them.
	Blocked []string
	// Right is the right to send to a back end that takes only so much from all machines; nil
	// where there is none. If nothing was found, Room is when there is room at one such, 0
	// if that is not why.
	Right *ratelimit.Right
	Room  time.Duration
}

// Name is how the back end names itself.
func (c *Choice) Name() string { return cmp.Or(c.Instance, c.ID) }

// savedDivisor is the part of a prompt's shared tokens that its own part may be for
// the prompt to be saved: of 1, 2 and 4 tried, 2 led to the fewest tokens read again.
const savedDivisor = 2

// Saves tells whether the request may save its shared parts. One whose own part is
// large leaves that to the next: nobody fetches its own part, which takes the
// store's link and drives others out of its memory.
func (q *Query) Saves() bool { return q.Work.Prompt <= q.Shared/savedDivisor }

// unread is how many prompt tokens an engine with this version must read.
func (q *Query) unread(version int) int {
	if q.Cold == nil {
		return q.Work.Prompt
	}
	tokens, asked := q.cold[version]
	if !asked {
		tokens = q.Cold(version)
		q.cold[version] = tokens
	}
	return q.Work.Prompt + tokens
}

// Choose returns the back end of least cost, and false when none may serve.
func (p *Pool) Choose(now time.Duration, q *Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.cold = map[int]int{}
	rate := entry(p.reading, q.Pool).Rate()
	candidates := p.candidates(now, q, rate)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if p.drains {
		entry(p.demands, q.Pool).engines = standing(candidates)
	}
	candidates, late := within(candidates, q, rate, entry(p.flows, q.Pool).mean())
	if late {
		p.refused++
	}
	preferred := p.preferred(q, candidates)
	old := entry(p.flows, q.Pool).stale(now, p.age(now), q.Routers)
	homes := rank(q, candidates, preferred > 0)
	for i := range candidates {
		candidates[i].cost = p.cost(now, q, &candidates[i], old, rate, preferred)
	}
	best := p.pick(q, candidates, old)
	version, versioned := best.Weights[q.Model]
	homeAddress := ""
	if versioned && homes[version] != nil {
		homeAddress = homes[version].Address
	}
	work := Work{Prompt: q.unread(version), Most: q.Work.Most}
	return Choice{ID: best.ID, Instance: best.Instance, Address: best.Address, Zone: best.Zone, Version: version, Versioned: versioned && q.Model != "",
		Home: best.rank == 0, HomeAddress: homeAddress, Cost: best.cost, Considered: standing(candidates), Work: work,
		Ahead: best.ahead, Wait: max(best.wait, rate.Wait(best.ahead)), Late: late}, true
}

// candidate is a back end under decision.
type candidate struct {
	*row
	// ahead are the prompt tokens that the back end has still to read.
	ahead int
	// wait is about how long the request waits until it is read, in choices with a
	// patience.
	wait time.Duration
	// aside says that it stands back while there are others.
	aside bool
	// rank is its place in the order of the query's key, from 0 to rankLimit for
	// all further ones.
	rank int
	cost float64
	// stands is how many back ends it stands for that are like it, itself among them.
	stands int
}

// standing is how many back ends candidates stand for.
func standing(candidates []candidate) int {
	count := 0
	for i := range candidates {
		count += candidates[i].stands
	}
	return count
}

// pick chooses among the candidates by their costs.
func (p *Pool) pick(q *Query, candidates []candidate, old staleness) *candidate {
	if q.Slots > 0 {
		return least(candidates)
	}
	return spread(candidates, old.unseen*loadCost(1, &candidates[0]), q.Draw)
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

// indexed tells whether the index serves a choice: those among plain back ends depend on
// more than it knows.
func (p *Pool) indexed(q *Query) bool { return p.index != nil && q.Slots > 0 }

// considered are the back ends that a choice looks at one by one.
func (p *Pool) considered(now time.Duration, q *Query) iter.Seq[*row] {
	if !p.indexed(q) {
		return maps.Values(p.rows)
	}
	p.settle(now, q.Pool)
	return maps.Keys(p.index.pool(q.Pool).active)
}

// candidates returns the back ends that pass the filters and want requests. Those that
// turned a request away a moment ago, are silent or have stopped to answer stand back unless
// no other is left.
func (p *Pool) candidates(now time.Duration, q *Query, rate speed.TokensPerMs) []candidate {
	out := p.scratch[:0]
	aside := 0
	for r := range p.considered(now, q) {
		if r.Pool != q.Pool || !p.mayServe(r, q) || slices.Contains(q.Tried, r.ID) {
			continue
		}
		if p.standing(r.ID).Unavailable() || (now < r.fullUntil && !q.FullToo) {
			continue
		}
		c := candidate{row: r, ahead: p.unreadOf(now, r, rate) + r.others.Prompt,
			aside: now < r.busy || r.silent || r.aside(now) || p.quiet(now, r, rate), stands: 1}
		if c.aside {
			aside++
		}
		out = append(out, c)
	}
	if p.indexed(q) {
		out = p.representatives(q, out)
	}
	p.scratch = out
	if aside == 0 || aside == len(out) {
		return out
	}
	return slices.DeleteFunc(out, func(c candidate) bool { return c.aside })
}
