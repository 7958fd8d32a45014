// Package backends keeps a router's view of its back ends and chooses one for each request. The
// view joins the rows that the coordinators send with what the router's own requests observe. A
// choice applies filters, a cost function and a selection among the costs.
//
// The package does no I/O; callers pass the time.
package backends

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/concurrency"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// row is the state of one back end.
type row struct {
	state.Backend
	// noHeartbeat is set if the coordinators receive no heartbeats from it.
	noHeartbeat bool
	// listed is set if the leader lists it as unresponsive.
	listed bool
	// wrongInstance is set if another instance answers at its address.
	wrongInstance bool
	// unlisted is set if the coordinators do not list it for this router. The row remains for
	// requests that are still in flight there.
	unlisted bool
	// departed is set once the coordinators have removed it.
	departed bool
	// removed is set if a view named it as departed. A view of everything may lack rows of another
	// shard as well.
	removed bool
	// indexed, group and room are its location in the pool's index, or zero.
	indexed *poolIndex
	group   *idleGroup
	// activeAt is its position among the active rows of indexed, if group is nil.
	activeAt int
	room     roomPosition
	// held caches the version of a model that it holds.
	held heldVersion
	// mismatched maps models to a version that the back end turned out not to hold.
	mismatched map[string]int
	// running and memory are the number of this router's requests there and the tokens of memory
	// they take. prefillTokens is the number of prompt tokens of those without a first event. In a
	// central pool, prefillStart is the time from which it is assumed to process these.
	running       int
	memory        int
	prefillTokens int
	prefillStart  time.Duration
	// attempts is the set of attempts there. It is not used in a central pool.
	attempts map[*Attempt]struct{}
	// usage is what running requests take and limiter limits it, both in a central pool only.
	usage   usage
	limiter concurrency.Limiter
	// inherited is the load that the pool did not place, in a central pool only.
	inherited inheritedLoad
	// unanswered is the number of requests without a first event. lastProgress is the time of the
	// last reported first event or, if later, of sending the first of these requests. Both are used
	// in a central pool only.
	unanswered   int
	lastProgress time.Duration
	// hash is the hash of the address, see rank.
	hash uint64
	// otherLoad is the load of all other routers, as of Pool.loadsAt, and reportedLoad this
	// router's own load as of its last report.
	otherLoad    coordapi.Load
	reportedLoad coordapi.Load
	// failureRate is the average failure rate as of failedAt.
	failureRate float64
	failedAt    time.Duration
	busyUntil   time.Duration
	// latency is the average latency of its answers in milliseconds as of latencyAt.
	latency   float64
	latencyAt time.Duration
	// limitedUntil is the time until which its limit admits no request from any router.
	limitedUntil time.Duration
	// pushedBackUntil is the end of the latest pushback of any router, in a central pool. Pushbacks
	// of this process alone are in Pool.pushbacks.
	pushedBackUntil time.Duration
	// recovering is set if it has pushed back and begun no request since. trials is the number of
	// requests sent to it meanwhile that have not begun.
	recovering bool
	trials     int
	// brittle is set for an engine that fails if it rejects many requests, in a central pool.
	brittle bool
	// pace is the speed of an engine in a central pool.
	pace pace
}

// Pool holds the back ends of all pools. It is safe for concurrent use. Lock order: mu, then that
// of pushbacks or paths.
type Pool struct {
	zone string
	// central is set if the pool chooses for all routers and receives first events with a mean
	// delay of reportDelay. Engines are assumed to process prompts at the estimated rate meanwhile.
	central bool
	// pushbacks holds the pushbacks of back ends against this process; nil means none.
	pushbacks *pushback.Registry
	// paths tells which pools this process cannot reach; nil means none.
	paths *reachability.Detector
	// onSuperseded is called without the lock; nil for no call.
	onSuperseded func(id string)
	// index is nil in a router's own pool.
	index       *index
	reportDelay time.Duration
	// newLimiter returns the limiter of an engine in a central pool.
	newLimiter func() concurrency.Limiter
	// SendsWithheld counts the requests that were not sent because their back end was found to
	// drain or to have departed after it was chosen.
	SendsWithheld atomic.Uint64

	mu   sync.Mutex
	rows map[string]*row
	// brittle are the rows with brittle set.
	brittle []*row
	// scratch is the reused buffer for candidates.
	scratch []candidate
	// troubles is the result of the next call of Troubles.
	troubles []coordapi.Trouble
	// notes is the state that the leader sent last.
	notes coordapi.Notes
	// loadsAt is the time of the last call of SetTotalLoads, and loadsAge the age of its loads.
	loadsAt  time.Duration
	loadsAge time.Duration
	// flows holds the request statistics of each pool, by name.
	flows map[string]*flow
	// waiting is the set of attempts whose back ends have not begun to answer.
	waiting map[*Attempt]struct{}
	// refused counts the requests that no engine could start within their patience.
	refused int
	// prefill holds the prefill estimators of the pools and demands their prefill demand, by name.
	prefill map[string]*speed.Estimator
	demands map[string]*demand
	// sizes holds the sizes of the engines of each pool, by name. It is used in a central pool only.
	sizes map[string]*engineSize
	// speeds holds the reference speeds of the pools, by name.
	speeds map[string]*reference
}

// entry returns the entry of a pool and creates it if it is missing.
func entry[T any](entries map[string]*T, pool string) *T {
	e := entries[pool]
	if e == nil {
		e = new(T)
		entries[pool] = e
	}
	return e
}

// NewPool returns an empty pool for a router in a zone.
func NewPool(zone string) *Pool {
	return &Pool{zone: zone, rows: map[string]*row{}, waiting: map[*Attempt]struct{}{}, prefill: map[string]*speed.Estimator{},
		flows: map[string]*flow{}, demands: map[string]*demand{}, sizes: map[string]*engineSize{}, speeds: map[string]*reference{}}
}

// SetPushbacks makes the pool skip back ends that have pushed back this process. It must be
// called before the pool is used.
func (p *Pool) SetPushbacks(pushbacks *pushback.Registry) { p.pushbacks = pushbacks }

// NewCentralPool returns an empty pool that chooses for all routers. It receives first events only
// through the reports of routers.
func NewCentralPool() *Pool {
	p := NewPool("")
	p.central, p.reportDelay, p.index, p.newLimiter = true, initialReportDelay, newIndex(), defaultLimiter
	return p
}

// Apply updates rows and removes departed back ends. If whole is set, it removes all rows that
// are not among the changed ones.
func (p *Pool) Apply(changed []state.Backend, departed []string, whole bool) {
	for _, id := range p.apply(changed, departed, whole) {
		p.onSuperseded(id)
	}
}

// apply is Apply, and returns the back ends whose name a process of another software version has taken.
func (p *Pool) apply(changed []state.Backend, departed []string, whole bool) (superseded []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range changed {
		superseded = append(superseded, p.supersededBy(&b)...)
		r := p.rows[b.ID]
		if r == nil {
			r = &row{}
			if p.central {
				r.limiter = p.newLimiter()
			}
			p.rows[b.ID] = r
		}
		if b.EnrolledRevision != r.EnrolledRevision {
			r.pace = pace{}
		}
		r.Backend, r.hash, r.unlisted, r.departed = b, xxhash.Sum64String(b.Address), false, false
		r.held = heldVersion{}
		p.index.activate(r)
		p.cancelSuperseded(r)
	}
	if whole {
		named := make(map[string]bool, len(changed))
		for _, b := range changed {
			named[b.ID] = true
		}
		p.drop(func(r *row) bool {
			r.departed = r.departed || (!named[r.ID] && !r.unlisted)
			return !named[r.ID]
		})
	}
	for _, id := range departed {
		if r := p.rows[id]; r != nil {
			r.departed, r.removed = true, true
			p.index.remove(r)
			delete(p.rows, id)
		}
	}
	return superseded
}

// RestrictToShard removes the engines outside a shard, for which no more updates follow.
func (p *Pool) RestrictToShard(shard coordapi.Shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(func(r *row) bool { return r.IsEngine() && !shard.Holds(coordapi.BackendID(r.ID)) })
}

// drop removes the matching rows. Engines with requests in flight remain as unlisted until these
// end, so that their failures can be reported to the leader.
func (p *Pool) drop(of func(*row) bool) {
	maps.DeleteFunc(p.rows, func(_ string, r *row) bool {
		if !of(r) {
			return false
		}
		r.unlisted = r.IsEngine() && r.running > 0 && !p.central
		if !r.unlisted {
			p.index.remove(r)
		}
		return !r.unlisted
	})
}

// rowOf returns the row of a chosen back end. It adds an unlisted row for one that the leader chose
// and the coordinators do not list for this router.
func (p *Pool) rowOf(choice *Choice, q *Query) *row {
	r := p.rows[choice.ID]
	if r == nil && choice.Placement > 0 && choice.Versioned {
		r = &row{Backend: state.Backend{ID: choice.ID, Instance: choice.Instance, Pool: q.Pool, Address: choice.Address, Zone: choice.Zone, Born: choice.Born, Software: choice.Software,
			Weights: map[string]int{q.Model: choice.Version}}, unlisted: true}
		p.rows[choice.ID] = r
	}
	return r
}

// ApplyNotes replaces the state that only the leader determines, such as missing heartbeats and
// the oldest weights in use.
func (p *Pool) ApplyNotes(notes coordapi.Notes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.notes
	p.notes = notes
	p.cancelExpired(notes.Expired)
	for _, id := range before.Silent {
		if r := p.rows[id]; r != nil {
			r.noHeartbeat = false
		}
	}
	for _, id := range before.Unresponsive {
		if r := p.rows[id]; r != nil {
			r.listed = false
		}
	}
	for _, id := range notes.Unresponsive {
		if r := p.rows[id]; r != nil {
			p.index.activate(r)
			r.listed = true
		}
	}
	for _, id := range notes.Silent {
		if r := p.rows[id]; r != nil {
			p.index.activate(r)
			r.noHeartbeat = true
		}
	}
}

// SetTotalLoads sets the loads of all routers, including this one, which are age old on average. If
// engines is false, the loads do not cover engines and the previous ones of these remain.
func (p *Pool) SetTotalLoads(now time.Duration, loads []coordapi.Load, age time.Duration, engines bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		if engines || !r.IsEngine() {
			r.otherLoad = coordapi.Load{}
		}
	}
	for _, l := range loads {
		if r := p.rows[l.ID]; r != nil {
			p.index.activate(r)
			r.otherLoad = coordapi.Load{Running: max(l.Running-r.reportedLoad.Running, 0), Memory: max(l.Memory-r.reportedLoad.Memory, 0),
				Prompt: max(l.Prompt-r.reportedLoad.Prompt, 0)}
		}
	}
	p.loadsAt, p.loadsAge = now, age
}

// age returns the age of the other routers' loads.
func (p *Pool) age(now time.Duration) time.Duration { return now - p.loadsAt + p.loadsAge }

// OwnLoads returns the load of this router's requests in flight. The next call of SetTotalLoads
// subtracts it from the totals.
func (p *Pool) OwnLoads() []coordapi.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []coordapi.Load
	for id, r := range p.rows {
		r.reportedLoad = coordapi.Load{ID: id, Running: r.running, Memory: r.memory, Prompt: r.prefillTokens, Engine: r.IsEngine()}
		if r.running > 0 {
			out = append(out, r.reportedLoad)
		}
	}
	return out
}

// Refused returns and resets the number of requests that no engine could start within their
// patience.
func (p *Pool) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.refused
	p.refused = 0
	return n
}

// AddressOf returns the address of an engine that holds a version of a model. It is empty if the
// engine does not hold it, loads weights or is not reachable.
func (p *Pool) AddressOf(id, model string, version int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	if r == nil || r.noHeartbeat || r.wrongInstance || r.Loading != nil {
		return ""
	}
	if held, holds := r.Weights[model]; !holds || held != version {
		return ""
	}
	return r.Address
}
