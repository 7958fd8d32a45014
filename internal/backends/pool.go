// Package backends is a router's picture of its back ends: the rows that the
// coordinators keep, joined with what the router's own requests show, and the
// choice of one for a request by filter, scorer and picker.
//
// The package does no I/O; time is an argument.
package backends

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// row is one back end.
type row struct {
	state.Backend
	// silent says that the coordinators hear no heartbeat.
	silent bool
	// wrong says that the address answered as another instance.
	wrong bool
	// unlisted says that the coordinators tell this router nothing of it: it is here for
	// the requests under way that the leader has placed there.
	unlisted bool
	// indexed and group are where the pool's index has it; nil outside.
	indexed *poolIndex
	group   *idleGroup
	// refused maps models to a version that the back end did not hold.
	refused map[string]int
	// running and memory are this router's requests there and their tokens; prefill
	// are the tokens of those that it has not begun to answer. In a pool that drains,
	// readFrom is when it began the last one that it answered, or was sent the first
	// of those: it reads them from then on.
	running  int
	memory   int
	prefill  int
	readFrom time.Duration
	// open are the attempts there, in a router's own pool.
	open map[*Attempt]struct{}
	// unbegun are the requests that it has not begun to answer, in a pool that
	// drains, and quietFrom is when it last showed a sign of life or the first of
	// them was sent.
	unbegun   int
	quietFrom time.Duration
	// hash is of the address, see rank.
	hash uint64
	// others is the work of all other routers there, as of Pool.othersAt, and
	// told what this router told of its own.
	others coordapi.Load
	told   coordapi.Load
	// failures is the rate of failed requests, as of failedAt.
	failures float64
	failedAt time.Duration
	busy     time.Duration
	latency  float64
	// fullUntil is until when it takes no more, for all that is known of what it takes from
	// all machines together.
	fullUntil time.Duration
	// pushedBack is until when it wants nothing from some router, in a pool for all of
	// them. What it wants from this process alone stands in Pool.pushbacks.
	pushedBack time.Duration
	// recovering says that it has pushed back and begun no request since, and trials are
	// the requests that it was sent since.
	recovering bool
	trials     int
}

// Pool holds all back ends of all pools. It is safe for concurrent use.
// Lock order: mu, then that of pushbacks.
type Pool struct {
	zone string
	// drains says that first events are heard of late, by reportDelay in the mean:
	// for that time engines count as reading what they were sent at their speed.
	drains bool
	// pushbacks is what back ends want from this process; nil for nothing.
	pushbacks *pushback.Registry
	// index is nil in a router's own pool.
	index       *index
	reportDelay time.Duration
	mu          sync.Mutex
	rows        map[string]*row
	// scratch is the list of candidates of the last choice.
	scratch []candidate
	// troubles are what Troubles returns next.
	troubles []coordapi.Trouble
	// notes is what the leader said last.
	notes coordapi.Notes
	// othersAt is when the others' work was heard of last, and othersAge how old it
	// was then.
	othersAt  time.Duration
	othersAge time.Duration
	// flows are the requests of each pool, by its name.
	flows map[string]*flow
	// waiting are the attempts whose back ends have not begun.
	waiting map[*Attempt]struct{}
	// refused counts the requests for which all engines were behind.
	refused int
	// reading is how fast the engines of a pool read, and demands how much they have to,
	// by the pool's name.
	reading map[string]*speed.Reading
	demands map[string]*demand
}

// entry returns what is kept of a pool, made when it is first asked for.
func entry[T any](entries map[string]*T, pool string) *T {
	e := entries[pool]
	if e == nil {
		e = new(T)
		entries[pool] = e
	}
	return e
}

// NewPool returns an empty pool as seen from a zone.
func NewPool(zone string) *Pool {
	return &Pool{zone: zone, rows: map[string]*row{}, waiting: map[*Attempt]struct{}{}, reading: map[string]*speed.Reading{},
		flows: map[string]*flow{}, demands: map[string]*demand{}}
}

// Heed makes the pool choose no back end that wants nothing from this process. It is
// called before the pool is used.
func (p *Pool) Heed(pushbacks *pushback.Registry) { p.pushbacks = pushbacks }

// NewCentralPool returns an empty pool for one that chooses for all routers. It is
// told late when engines have read a prompt.
func NewCentralPool() *Pool {
	p := NewPool("")
	p.drains, p.reportDelay, p.index = true, firstReportDelay, newIndex()
	return p
}

// Apply changes rows and removes departed back ends; whole replaces all.
func (p *Pool) Apply(changed []state.Backend, departed []string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range changed {
		r := p.rows[b.ID]
		if r == nil {
			r = &row{}
			p.rows[b.ID] = r
		}
		r.Backend, r.hash, r.unlisted = b, xxhash.Sum64String(b.Address), false
		p.index.activate(r)
		p.supersede(r)
	}
	if whole {
		named := make(map[string]bool, len(changed))
		for _, b := range changed {
			named[b.ID] = true
		}
		p.drop(func(r *row) bool { return !named[r.ID] })
	}
	for _, id := range departed {
		p.index.remove(p.rows[id])
		delete(p.rows, id)
	}
}

// Narrow drops the engines outside a shard, of which nothing more is heard.
func (p *Pool) Narrow(shard coordapi.Shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(func(r *row) bool { return r.IsEngine() && !shard.Holds(coordapi.BackendID(r.ID)) })
}

// drop removes rows. Those of engines with requests under way stay unlisted until these
// are over: what becomes of them is told to the leader.
func (p *Pool) drop(of func(*row) bool) {
	maps.DeleteFunc(p.rows, func(_ string, r *row) bool {
		if !of(r) {
			return false
		}
		r.unlisted = r.IsEngine() && r.running > 0 && !p.drains
		if !r.unlisted {
			p.index.remove(r)
		}
		return !r.unlisted
	})
}

// rowOf returns the row of a chosen back end. One of which the router is told nothing is
// there unlisted from now on.
func (p *Pool) rowOf(choice *Choice, q *Query) *row {
	r := p.rows[choice.ID]
	if r == nil && choice.Placement > 0 && choice.Versioned {
		r = &row{Backend: state.Backend{ID: choice.ID, Instance: choice.Instance, Pool: q.Pool, Address: choice.Address, Zone: choice.Zone,
			Weights: map[string]int{q.Model: choice.Version}}, unlisted: true}
		p.rows[choice.ID] = r
	}
	return r
}

// Note takes what only the leader knows.
func (p *Pool) Note(notes coordapi.Notes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.notes.Silent
	p.notes = notes
	p.expire(notes.Expired)
	for _, id := range before {
		if r := p.rows[id]; r != nil {
			r.silent = false
		}
	}
	for _, id := range notes.Silent {
		if r := p.rows[id]; r != nil {
			p.index.activate(r)
			r.silent = true
		}
	}
}

// Others takes the work of all routers together, this one's among it, as it was
// age ago in the mean. Without engines, what was heard of those stays.
func (p *Pool) Others(now time.Duration, loads []coordapi.Load, age time.Duration, engines bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		if engines || !r.IsEngine() {
			r.others = coordapi.Load{}
		}
	}
	for _, l := range loads {
		if r := p.rows[l.ID]; r != nil {
			p.index.activate(r)
			r.others = coordapi.Load{Running: max(l.Running-r.told.Running, 0), Memory: max(l.Memory-r.told.Memory, 0),
				Prompt: max(l.Prompt-r.told.Prompt, 0)}
		}
	}
	p.othersAt, p.othersAge = now, age
}

// age is how old the others' work is.
func (p *Pool) age(now time.Duration) time.Duration { return now - p.othersAt + p.othersAge }

// Own returns this router's work under way.
func (p *Pool) Own() []coordapi.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []coordapi.Load
	for id, r := range p.rows {
		r.told = coordapi.Load{ID: id, Running: r.running, Memory: r.memory, Prompt: r.prefill, Engine: r.IsEngine()}
		if r.running > 0 {
			out = append(out, r.told)
		}
	}
	return out
}

// Refused returns how many requests found all engines behind since the last call.
func (p *Pool) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.refused
	p.refused = 0
	return n
}

// AddressOf returns where an engine is reached that holds a version of a model,
// empty when it does not or is not heard of.
func (p *Pool) AddressOf(id, model string, version int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	if r == nil || r.silent || r.wrong || r.Loading != nil {
		return ""
	}
	if held, holds := r.Weights[model]; !holds || held != version {
		return ""
	}
	return r.Address
}
