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
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// routerKept is how long the placements of a router count after its last word: a
// router with requests under way is heard of at least once a second.
const routerKept = 3 * time.Second

// Placer is safe for concurrent use.
type Placer struct {
	mu      sync.Mutex
	pool    *backends.Pool
	routers map[string]*router
	swept   time.Duration
}

// router is one router's placements under way.
type router struct {
	heard time.Duration
	open  map[uint64]*backends.Attempt
}

// New returns a placer that knows nothing.
func New() *Placer {
	p := &Placer{}
	p.Reset()
	return p
}

// Reset forgets everything.
func (p *Placer) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool, p.routers = backends.NewCentralPool(), map[string]*router{}
}

// Apply changes rows and removes departed back ends; whole replaces all.
func (p *Placer) Apply(rows []state.Backend, departed []string, whole bool) {
	p.current().Apply(rows, departed, whole)
}

// Note takes what only the leader knows.
func (p *Placer) Note(notes coordapi.Notes) { p.current().Note(notes) }

// Unread is how many prompt tokens an engine has still to read.
func (p *Placer) Unread(now time.Duration, id string) int { return p.current().Unread(now, id) }

func (p *Placer) current() *backends.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool
}

// Place chooses an engine. Unless the choice is late or empty, it counts as sent
// until the router reports its end.
func (p *Placer) Place(now time.Duration, ask *coordapi.Place) coordapi.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.take(now, ask.Router, &ask.Reports)
	q := query(ask)
	choice, found := p.pool.Choose(now, q)
	if !found {
		return coordapi.Placed{}
	}
	if !choice.Late {
		r.open[ask.Number] = p.pool.Begin(now, &choice, q, func(error) {})
	}
	return placed(&choice)
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
		r = &router{open: map[uint64]*backends.Attempt{}}
		p.routers[name] = r
	}
	r.heard = now
	for _, e := range reports.Ended {
		if a := r.open[e.Number]; a != nil {
			if e.First > 0 {
				a.Waited(e.First)
			}
			a.End()
			delete(r.open, e.Number)
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
			a.End()
		}
		delete(p.routers, name)
	}
}

// query is what a router asks, in the words of the choice.
func query(ask *coordapi.Place) *backends.Query {
	return &backends.Query{Pool: ask.Pool, Zone: ask.Zone, Model: ask.Model, Key: ask.Key, Target: ask.Target, Patience: ask.Patience,
		Shared: ask.Shared, Work: backends.Work{Prompt: ask.Own, Most: ask.Most}, Slots: ask.Slots, Capacity: ask.Capacity,
		Tried: ask.Tried, Draw: rand.Float64(), Cold: func(version int) int {
			if cold, known := ask.Cold[version]; known {
				return cold
			}
			return ask.Shared
		}}
}

// Ask is a router's question for a query, about the versions that it knows of.
func Ask(q *backends.Query, versions []int) *coordapi.Place {
	ask := &coordapi.Place{Pool: q.Pool, Zone: q.Zone, Model: q.Model, Key: q.Key, Target: q.Target, Patience: q.Patience, Shared: q.Shared,
		Own: q.Work.Prompt, Most: q.Work.Most, Slots: q.Slots, Capacity: q.Capacity, Tried: q.Tried, Cold: map[int]int{}}
	for _, version := range versions {
		if q.Cold != nil {
			ask.Cold[version] = q.Cold(version)
		}
	}
	return ask
}

func placed(c *backends.Choice) coordapi.Placed {
	return coordapi.Placed{ID: c.ID, Address: c.Address, Zone: c.Zone, Version: c.Version, Versioned: c.Versioned, Home: c.Home,
		HomeAddress: c.HomeAddress, Cost: c.Cost, Considered: c.Considered, Prompt: c.Work.Prompt, Ahead: c.Ahead, Wait: c.Wait, Late: c.Late}
}

// Choice is a placement in the words of the choice. False says that no engine may
// serve.
func Choice(ask *coordapi.Place, p *coordapi.Placed) (backends.Choice, bool) {
	return backends.Choice{ID: p.ID, Address: p.Address, Zone: p.Zone, Version: p.Version, Versioned: p.Versioned, Home: p.Home,
		HomeAddress: p.HomeAddress, Cost: p.Cost, Considered: p.Considered, Work: backends.Work{Prompt: p.Prompt, Most: ask.Most},
		Ahead: p.Ahead, Wait: p.Wait, Late: p.Late, Placement: ask.Number}, p.ID != ""
}
