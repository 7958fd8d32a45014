// Package placer chooses engines for the requests of all routers of a deployment.
// One node that sees every request knows what each engine has been sent up to the
// moment; routers that share their loads know it a second late when there are
// hundreds of them, and engines then read long prompts one behind the other while
// their neighbours are idle.
//
// What a placer knows is lost with it and comes back within seconds. It is asked
// for hints only: a router without an answer chooses by itself. The package does
// no I/O; time is an argument.
package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// routerKept is how long the placements of a router count after its last word: a
// router with requests under way is heard of at least once a second.
const routerKept = 3 * time.Second

// longestWait is the longest wait for a first event that is believed: callers leave
// before.
const longestWait = 30 * time.Second

// Placer is safe for concurrent use.
type Placer struct {
	mu   sync.Mutex
	pool *backends.Pool
	// limits counts what engines get that take only so much from all machines; nil for none.
	limits  *ratelimit.Limiter
	routers map[string]*router
	parts   *directory
	// direct is how much longer than expected requests take that take nothing from a
	// store.
	direct speed.Delay
	swept  time.Duration
}

// router is one router's placements under way.
type router struct {
	heard time.Duration
	open  map[uint64]*placement
}

// placement is a request under way.
type placement struct {
	*backends.Attempt
	// from is the store from which it takes shared parts, nil for none.
	from *store
}

// New returns a placer that knows nothing but what limits counts, which may be nil.
func New(limits *ratelimit.Limiter) *Placer {
	p := &Placer{limits: limits}
	p.Reset()
	return p
}

// Reset forgets everything.
func (p *Placer) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool, p.routers = backends.NewCentralPool(), map[string]*router{}
	p.parts, p.direct = newDirectory(), speed.Delay{}
}

// Apply changes rows and removes departed back ends; whole replaces all.
func (p *Placer) Apply(rows []state.Backend, departed []string, whole bool) {
	p.current().Apply(rows, departed, whole)
}

// Note takes what only the leader knows.
func (p *Placer) Note(notes coordapi.Notes) { p.current().Note(notes) }

// Quiet is how many engines have stopped to answer, for all that routers have
// reported.
func (p *Placer) Quiet(now time.Duration) int { return p.current().Quiet(now) }

// ReadingShare is the part of their time that the engines of the busiest pool need
// to read prompts.
func (p *Placer) ReadingShare(now time.Duration) float64 { return p.current().ReadingShare(now) }

func (p *Placer) current() *backends.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool
}

// Open is how many placements are under way, and of how many routers.
func (p *Placer) Open() (placements, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.routers {
		placements += len(r.open)
	}
	return placements, len(p.routers)
}

// Place chooses an engine. Unless the choice is late or empty, it counts as sent
// until the router reports its end.
func (p *Placer) Place(now time.Duration, ask *coordapi.Place) coordapi.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.take(now, ask.Router, &ask.Reports)
	q := p.query(now, ask)
	choice, found, right := p.choose(now, ask, q)
	if !found {
		return coordapi.Placed{Room: choice.Room}
	}
	if !choice.Late {
		from := p.arrange(now, ask, q, &choice)
		a := p.pool.Begin(now, &choice, q, func(error) {})
		if from != nil {
			a.Moves()
		}
		r.open[ask.Number] = &placement{a, from}
	}
	out := placed(&choice)
	out.Right = right
	return out
}

// arrange decides where the chosen engine takes kept parts from, and whether it
// saves them. It returns the store if they are moved from there.
func (p *Placer) arrange(now time.Duration, ask *coordapi.Place, q *backends.Query, choice *backends.Choice) (from *store) {
	if !choice.Versioned || len(ask.Parts) == 0 {
		return nil
	}
	s := p.parts.store(ask)
	if ask.Store == "" || p.storeDelay(now, s) > p.pool.MoveWorth(q) {
		s = nil
	}
	source, moved := p.source(now, ask, choice, s)
	choice.Source = source
	choice.Save = p.parts.read(now, ask, choice, s != nil && q.Saves())
	if !moved {
		return nil
	}
	return s
}

// source is the address from which the chosen engine takes what it lacks of the
// shared parts, and whether it will move some from the store. That is nil where there
// is none, and while it is slow.
func (p *Placer) source(now time.Duration, ask *coordapi.Place, choice *backends.Choice, s *store) (address string, moved bool) {
	last := ask.Parts[len(ask.Parts)-1]
	holds := p.parts.holder(now, last.Hash, choice.Version) == choice.ID
	for _, part := range slices.Backward(ask.Parts) {
		if s != nil && s.holds(now, partKey{part.Hash, choice.Version}) {
			return ask.Store, !holds
		}
		holder := p.parts.holder(now, part.Hash, choice.Version)
		if holder == choice.ID {
			break
		}
		if address := p.pool.AddressOf(holder, ask.Model, choice.Version); address != "" {
			return address, false
		}
	}
	if s != nil && choice.Home {
		// The store may have more than is known.
		return ask.Store, false
	}
	return "", false
}

// storeDelay is how much longer requests take that take parts from a store than
// others do.
func (p *Placer) storeDelay(now time.Duration, s *store) time.Duration {
	return max(s.delay.At(now)-p.direct.At(now), 0)
}

// learn takes how much longer than expected a placement took to begin.
func (p *Placer) learn(now time.Duration, a *placement, excess time.Duration) {
	if a.from != nil {
		a.from.delay.Observe(now, excess)
		return
	}
	p.direct.Observe(now, excess)
}

// Report takes what a router has to say beside its placements.
func (p *Placer) Report(now time.Duration, name string, reports *coordapi.Reports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(now, name, reports)
}

func (p *Placer) take(now time.Duration, name string, reports *coordapi.Reports) *router {
	p.sweep(now)
	r := p.routers[name]
	if r == nil {
		r = &router{open: map[uint64]*placement{}}
		p.routers[name] = r
	}
	r.heard = now
	for _, b := range reports.Begun {
		if a := r.open[b.Number]; a != nil && b.First > 0 && b.First <= longestWait {
			p.learn(now, a, a.Waited(now, b.First))
		}
	}
	for _, number := range reports.Ended {
		if a := r.open[number]; a != nil {
			a.End(now)
			delete(r.open, number)
		}
	}
	p.pool.Heard(now, reports.Troubles)
	return r
}

// sweep ends the placements of routers that are gone.
func (p *Placer) sweep(now time.Duration) {
	if now-p.swept < routerKept/4 {
		return
	}
	p.swept = now
	for name, r := range p.routers {
		if now-r.heard <= routerKept {
			continue
		}
		for _, a := range r.open {
			a.End(now)
		}
		delete(p.routers, name)
	}
}

// query is what a router asks, in the words of the choice.
func (p *Placer) query(now time.Duration, ask *coordapi.Place) *backends.Query {
	q := &backends.Query{Pool: ask.Pool, Zone: ask.Zone, Model: ask.Model, Key: ask.Key, Target: ask.Target, Patience: ask.Patience, GapTarget: ask.GapTarget,
		Shared: ask.Shared, Work: backends.Work{Prompt: ask.Own, Most: ask.Most}, Slots: ask.Slots, Capacity: ask.Capacity,
		Tried: ask.Tried, Draw: rand.Float64()}
	q.Cold = func(version int) int { return p.parts.cold(now, ask, version) }
	if n := len(ask.Parts); n > 0 {
		q.Holder = func(version int) string { return p.parts.holder(now, ask.Parts[n-1].Hash, version) }
	}
	return q
}

// Ask is a router's question for a query.
func Ask(q *backends.Query) *coordapi.Place {
	return &coordapi.Place{Pool: q.Pool, Zone: q.Zone, Model: q.Model, Key: q.Key, Target: q.Target, Patience: q.Patience, GapTarget: q.GapTarget, Shared: q.Shared,
		Own: q.Work.Prompt, Most: q.Work.Most, Slots: q.Slots, Capacity: q.Capacity, Tried: q.Tried, Parts: q.Parts, Request: q.Request, Store: q.Store, StoreTokens: q.StoreTokens, Tenant: q.Tenant, Amount: q.Amount, Claimant: q.Claimant}
}

func placed(c *backends.Choice) coordapi.Placed {
	return coordapi.Placed{ID: c.ID, Instance: c.Instance, Address: c.Address, Zone: c.Zone, Version: c.Version, Versioned: c.Versioned, Home: c.Home,
		Source: c.Source, Save: c.Save, Cost: c.Cost, Considered: c.Considered, Prompt: c.Work.Prompt, Ahead: c.Ahead, Wait: c.Wait, Late: c.Late}
}

// Choice is a placement in the words of the choice. False says that no engine may
// serve.
func Choice(ask *coordapi.Place, p *coordapi.Placed) (backends.Choice, bool) {
	return backends.Choice{ID: p.ID, Instance: p.Instance, Address: p.Address, Zone: p.Zone, Version: p.Version, Versioned: p.Versioned, Home: p.Home,
		Source: p.Source, Save: p.Save, Cost: p.Cost, Considered: p.Considered, Work: backends.Work{Prompt: p.Prompt, Most: ask.Most},
		Ahead: p.Ahead, Wait: p.Wait, Late: p.Late, Placement: ask.Number, OverLimit: p.OverLimit, Uncounted: p.Uncounted, Room: p.Room,
		Blocked: p.Blocked}, p.ID != "" || p.OverLimit || len(p.Blocked) > 0
}
