// Package placer chooses engines for the requests of all routers of a deployment. A single node
// that sees every request has the current load of each engine. Routers that exchange their loads
// would act on outdated ones and send long prompts to engines that are already busy.
//
// The state of a placer is soft and is rebuilt within seconds after
// its loss. Its replies are hints: a router without a reply chooses
// by itself. The package does no I/O; callers pass the time.
package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// routerTimeout is the time after the last report of a router at which its placements end. Routers
// with requests in flight report at least once per second.
const routerTimeout = 3 * time.Second

// maxFirstEventWait is the longest plausible wait for a first event; callers give up earlier.
const maxFirstEventWait = 30 * time.Second

// Placer chooses engines and tracks the placements in flight. It is safe for concurrent use.
type Placer struct {
	mu   sync.Mutex
	pool *backends.Pool
	// limits counts the requests admitted to engines with a limit; it may be nil.
	limits  *ratelimit.Limiter
	routers map[string]*router
	// streams finds the engines whose running streams have stopped.
	streams liveness.Detector
	parts   *directory
	// baseDelay is the excess of the wait over the expected one
	// for requests that fetch nothing from a store.
	baseDelay speed.DelayEstimator
	lastSweep time.Duration
	// queues holds the queue of each pool whose requests may wait, and versions the weights version
	// chosen last for each model.
	queues   map[string]*poolQueue
	versions map[poolModel]int
	// wake receives when a pass over a queue is due.
	wake chan struct{}
	// start is the state of the beginning of a leadership.
	start start
	// longestTimeout is the longest time that a request may take, 0 if unknown.
	longestTimeout time.Duration
	// settlements is the result of the next call of TakeSettlements.
	settlements []quota.Settlement
	waits       waitHistogram
	// tried counts the waiting requests for which a pass looked for capacity.
	tried   int
	refused map[admission.Reason]int
}

// router holds the placements of one router.
type router struct {
	// since is the time of its first message to this leader, or of the first one after it was silent for
	// routerTimeout.
	since      time.Duration
	lastReport time.Duration
	open       map[uint64]*placement
	// waiting are its requests in queues by number. session identifies this record to the router.
	waiting map[uint64]*waiting
	session coordapi.Session
	// outcomes are those of requests that waited which the router has not acknowledged, and sequence
	// is the number of the last one. news is closed when there are more; nil if no Await is held.
	outcomes []outcome
	sequence uint64
	news     chan struct{}
}

// placement is a request in flight.
type placement struct {
	*backends.Attempt
	// pool is the name of its pool, engine the ID of its engine, and memory the tokens that it announces.
	pool   string
	engine string
	memory int
	// from is the store from which the engine fetches shared parts, or nil.
	from *store
}

// New returns an empty placer. The limiter limits may be nil.
func New(limits *ratelimit.Limiter) *Placer {
	p := &Placer{limits: limits, wake: make(chan struct{}, 1), refused: map[admission.Reason]int{}}
	p.Reset()
	return p
}

// Reset drops all state.
func (p *Placer) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.routers {
		r.wakeAwait()
	}
	p.pool, p.routers = backends.NewCentralPool(), map[string]*router{}
	p.queues, p.versions, p.settlements = map[string]*poolQueue{}, map[poolModel]int{}, nil
	p.start = start{}
	p.streams = liveness.Detector{}
	p.parts, p.baseDelay = newDirectory(), speed.DelayEstimator{}
}

// Apply updates rows and removes departed back ends. If whole
// is set, it removes all rows that are not given.
func (p *Placer) Apply(rows []state.Backend, departed []string, whole bool) {
	p.current().Apply(rows, departed, whole)
}

// ApplyNotes replaces the state that only the leader determines.
func (p *Placer) ApplyNotes(notes coordapi.Notes) { p.current().ApplyNotes(notes) }

// UnresponsiveEngines returns the number of engines that no
// longer answer, according to the routers' reports.
func (p *Placer) UnresponsiveEngines(now time.Duration) int {
	return p.current().UnresponsiveEngines(now)
}

// PrefillShare returns the share of their time that the
// engines of the busiest pool spend on prefill.
func (p *Placer) PrefillShare(now time.Duration) float64 { return p.current().PrefillShare(now) }

// EngineSpeeds returns the speeds of the engines that differ most from the others of their pools.
func (p *Placer) EngineSpeeds(now time.Duration) []backends.EngineSpeed {
	return p.current().AllSpeeds(now)
}

func (p *Placer) current() *backends.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool
}

// OpenPlacements returns the number of placements in flight and of their routers.
func (p *Placer) OpenPlacements() (placements, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.routers {
		placements += len(r.open)
	}
	return placements, len(p.routers)
}

// Place chooses an engine, or queues the request if it may wait. The request counts as sent to an
// engine until the router reports its end, unless the reply is late or names no engine.
func (p *Placer) Place(now time.Duration, ask *coordapi.Place) coordapi.Placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.applyReports(now, ask.Router, &ask.Reports)
	if p.softwareGone(now, ask) {
		return coordapi.Placed{Reason: coordapi.SoftwareGone}
	}
	if mayQueue(ask) {
		return p.placeOrQueue(now, r, ask)
	}
	q := p.query(now, ask)
	if q.Later = ask.Started > 0; q.Later {
		queue := p.queues[ask.Pool]
		q.Contended, q.Room = queue != nil && queue.Len() > 0, ask.RoomOnly
	}
	choice, found, permitTerm := p.choose(now, ask, q)
	switch {
	case !found:
		return coordapi.Placed{RetryAfter: choice.RetryAfter}
	case choice.Late:
		return newReply(&choice)
	}
	return p.begin(now, r, ask, q, &choice, permitTerm)
}

// begin starts a placement.
func (p *Placer) begin(now time.Duration, r *router, ask *coordapi.Place, q *backends.Query, choice *backends.Choice, permitTerm time.Duration) coordapi.Placed {
	from := p.planFetch(now, ask, q, choice)
	a := p.pool.Begin(now, choice, q, func(error) {})
	if from != nil {
		a.SetFetches()
	}
	r.open[ask.Number] = &placement{Attempt: a, pool: ask.Pool, engine: choice.ID, memory: choice.Work.Most, from: from}
	if choice.Versioned {
		p.versions[poolModel{ask.Pool, ask.Model}] = choice.Version
	}
	out := newReply(choice)
	out.Permit = permitTerm
	return out
}

// planFetch sets the source from which the chosen engine fetches cached parts, and whether the
// request saves its parts. It returns the store if the engine fetches from it, or nil.
func (p *Placer) planFetch(now time.Duration, ask *coordapi.Place, q *backends.Query, choice *backends.Choice) (from *store) {
	if !choice.Versioned || len(ask.Parts) == 0 {
		return nil
	}
	choice.Holder = p.pool.HolderState(now, q, p.parts.holder(now, ask.Parts[len(ask.Parts)-1].Hash, choice.Version), choice)
	s := p.parts.store(ask)
	if ask.Store == "" || p.storeDelay(now, s) > p.pool.MaxFetchDelay(q) {
		s = nil
	}
	source, fetches := p.source(now, ask, choice, s)
	choice.Source = source
	choice.Save = p.parts.recordPrefill(now, ask, choice, s != nil && q.MaySave())
	if !fetches {
		return nil
	}
	return s
}

// source returns the address from which the chosen engine fetches the
// shared parts that it lacks, or "", and whether it is expected to fetch
// some from the store. s is nil if there is no store or it is slow.
func (p *Placer) source(now time.Duration, ask *coordapi.Place, choice *backends.Choice, s *store) (address string, fetches bool) {
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
		// The store may hold more than is recorded here.
		return ask.Store, false
	}
	return "", false
}

// storeDelay returns how much longer requests wait if they fetch parts from the store.
func (p *Placer) storeDelay(now time.Duration, s *store) time.Duration {
	return max(s.delay.At(now)-p.baseDelay.At(now), 0)
}

// observeDelay records the excess of a placement's wait over the expected one.
func (p *Placer) observeDelay(now time.Duration, a *placement, excess time.Duration) {
	if a.from != nil {
		a.from.delay.Observe(now, excess)
		return
	}
	p.baseDelay.Observe(now, excess)
}

// ApplyReports applies the reports that a router sends apart from its placements.
func (p *Placer) ApplyReports(now time.Duration, name string, reports *coordapi.Reports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyReports(now, name, reports)
}

// ApplyStalls replaces what a router last reported on its streams.
func (p *Placer) ApplyStalls(now time.Duration, name string, stalls []liveness.Stall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams.Report(now, name, stalls)
}

// CheckStreams updates the list of engines whose running streams have stopped and returns it with its
// changes. The list must not be modified.
func (p *Placer) CheckStreams(now time.Duration) (listed []string, changes []liveness.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes = p.streams.Check(now, p.pool.EngineState)
	for pool, queue := range p.queues {
		queue.SetPaused(now, p.pool.Pauses(pool))
	}
	return p.streams.Listed(), changes
}

func (p *Placer) applyReports(now time.Duration, name string, reports *coordapi.Reports) *router {
	r := p.router(now, name)
	for _, b := range reports.Begun {
		if a := r.open[b.Number]; a != nil && b.First > 0 && b.First <= maxFirstEventWait {
			p.observeDelay(now, a, a.FirstEventReported(now, b.First))
			engine, at := a.FirstEventAt(now, b.First)
			p.streams.Event(at, engine)
		}
	}
	for _, number := range reports.Ended {
		if !p.endPlacement(now, r, number) {
			p.endWait(name, r, number)
		}
	}
	p.pool.ApplyTroubles(now, reports.Troubles)
	return r
}

// endPlacement ends a placement of a router. It returns false if there is none.
func (p *Placer) endPlacement(now time.Duration, r *router, number uint64) bool {
	a := r.open[number]
	if a == nil {
		return false
	}
	a.End(now)
	delete(r.open, number)
	p.setDue(a.pool)
	return true
}

// router returns the record of a router that sends a message.
func (p *Placer) router(now time.Duration, name string) *router {
	p.expireRouters(now)
	r := p.routers[name]
	if r == nil {
		r = &router{since: now, open: map[uint64]*placement{}, waiting: map[uint64]*waiting{}, session: newSession()}
		p.routers[name] = r
	}
	r.lastReport = now
	p.start.begin(now)
	p.expireInherited(now)
	return r
}

// expireRouters ends the placements and waits of routers that no longer report. The loads of one that
// reports again count as inherited.
func (p *Placer) expireRouters(now time.Duration) {
	if now-p.lastSweep < routerTimeout/4 {
		return
	}
	p.lastSweep = now
	for name, r := range p.routers {
		if now-r.lastReport <= routerTimeout {
			p.withdraw(now, r)
			continue
		}
		for _, a := range r.open {
			a.End(now)
			p.setDue(a.pool)
		}
		for number := range r.waiting {
			p.endWait(name, r, number)
		}
		r.wakeAwait()
		p.inherit(name, nil)
		delete(p.routers, name)
	}
}

// query converts a router's request to a query.
func (p *Placer) query(now time.Duration, ask *coordapi.Place) *backends.Query {
	q := &backends.Query{Pool: ask.Pool, Zone: ask.Zone, Model: ask.Model, Key: ask.Key, Target: ask.Target, Patience: ask.Patience, GapTarget: ask.GapTarget,
		Shared: ask.Shared, Work: backends.Work{Prompt: ask.Own, Most: ask.Most}, Slots: ask.Slots, Capacity: ask.Capacity,
		Software: ask.Software, Responsive: ask.Responsive, Among: ask.Among, Tried: ask.Tried, Parts: ask.Parts, Trial: ask.Trial, Draw: rand.Float64()}
	q.UncachedTokens = func(version int) int { return p.parts.uncachedTokens(now, ask, version) }
	if n := len(ask.Parts); n > 0 {
		q.Holder = func(version int) string { return p.parts.holder(now, ask.Parts[n-1].Hash, version) }
	}
	return q
}

// NewRequest converts a query to a router's request.
func NewRequest(q *backends.Query) *coordapi.Place {
	return &coordapi.Place{Pool: q.Pool, Zone: q.Zone, Model: q.Model, Key: q.Key, Target: q.Target, Patience: q.Patience, GapTarget: q.GapTarget, Shared: q.Shared,
		Own: q.Work.Prompt, Most: q.Work.Most, Slots: q.Slots, Capacity: q.Capacity, Software: q.Software, Responsive: q.Responsive, RoomOnly: q.RoomOnly, Among: q.Among, Tried: q.Tried, Parts: q.Parts, Request: q.Request, Trial: q.Trial, Store: q.Store, StoreTokens: q.StoreTokens, Tenant: q.Tenant, Amount: q.Amount, Claimant: q.Claimant,
		Queueing: q.Queueing}
}

func newReply(c *backends.Choice) coordapi.Placed {
	return coordapi.Placed{ID: c.ID, Instance: c.Instance, Address: c.Address, Zone: c.Zone, Born: c.Born, Software: c.Software, Version: c.Version, Versioned: c.Versioned, Home: c.Home,
		Holder: c.Holder, Source: c.Source, Save: c.Save, Cost: c.Cost, Considered: c.Considered, Prompt: c.Work.Prompt, Ahead: c.Ahead, Wait: c.Wait, Late: c.Late}
}

// Choice converts the reply to a request to a choice. It returns false if no engine may serve.
func Choice(ask *coordapi.Place, p *coordapi.Placed) (backends.Choice, bool) {
	return backends.Choice{ID: p.ID, Instance: p.Instance, Address: p.Address, Zone: p.Zone, Born: p.Born, Software: p.Software, Version: p.Version, Versioned: p.Versioned, Home: p.Home,
		Holder: p.Holder, Source: p.Source, Save: p.Save, Cost: p.Cost, Considered: p.Considered, Work: backends.Work{Prompt: p.Prompt, Most: ask.Most},
		Ahead: p.Ahead, Wait: p.Wait, Late: p.Late, Placement: ask.Number, OverLimit: p.OverLimit, Uncounted: p.Uncounted, RetryAfter: p.RetryAfter,
		Blocked: p.Blocked, Reason: p.Reason}, p.ID != "" || p.OverLimit || len(p.Blocked) > 0 || p.Reason != ""
}
