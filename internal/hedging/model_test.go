package hedging

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/placer"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/virtualtime"
)

const (
	ms = time.Millisecond
	// A caller leaves after patience without an event. A stream is late if its first event comes after
	// target or two events are more than gapTarget apart.
	target    = time.Second
	gapTarget = 500 * ms
	patience  = 4 * time.Second
	// streamEvents is the number of events of a stream. An engine takes eventTime and eventTimePerRun for
	// each running request between two of them, and processes tokensPerMs of a prompt.
	streamEvents    = 20
	eventTime       = 40 * ms
	eventTimePerRun = 1250 * time.Microsecond
	tokensPerMs     = 40
	meanPrompt      = 2200
	// hop is the time that a message takes from one process to another.
	hop = ms
	// heartbeatTimeout is the time without heartbeats after which the leader takes an engine for silent.
	heartbeatTimeout = 500 * ms
	// The watchdog of a router acts on an attempt without an event for watchdogTime whatever the leader
	// lists.
	watchdogTime   = 2 * time.Second
	recheckTime    = 100 * ms
	maxAttempts    = 2
	maxHedges      = 3
	checkInterval  = 25 * ms
	stallInterval  = 245 * ms
	leaderInterval = 10 * ms
	listInterval   = 20 * ms
	// forGood is the time until which an engine is silent that does not go on.
	forGood = time.Duration(math.MaxInt64)
)

// rule is how routers treat a silent attempt: before cancels it and then looks for another place, after
// leaves it open as this package decides.
type rule int

const (
	before rule = iota
	after
)

// outcome is what became of a stream. A stream is cut, or failed if it had no event, if its router ends it.
type outcome int

const (
	open outcome = iota
	inTime
	late
	cut
	failed
	refused
	left
	outcomes
)

// play is a deployment in virtual time: one leader with the real placer, routers that track their streams
// with the real liveness.Streams, and model engines.
type play struct {
	virtualtime.Queue
	random  *rand.Rand
	rule    rule
	leader  *placer.Placer
	notes   coordapi.Notes
	slots   int
	routers []*router
	engines map[string]*engine
	streams []*stream
	// budget is the number of further attempts of which the retry budget permits a share of the requests
	// and a burst; unbounded is set if there is none.
	unbounded       bool
	requests, spent int
	// begun are the further attempts, inVain those whose stream went on without them.
	begun, inVain int
	// faults are broken promises.
	faults []string
}

const (
	// budgetShare is the share of the requests, and budgetBurst the burst within one play, that the
	// routers may send again.
	budgetShare = 0.7 * 0.2
	budgetBurst = 50
)

func newPlay(seed uint64, rule rule, engines, slots int) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), rule: rule, leader: placer.New(nil), slots: slots, engines: map[string]*engine{}}
	var rows []state.Backend
	for i := range engines {
		e := &engine{play: p, id: fmt.Sprintf("e%02d", i)}
		p.engines[e.id] = e
		rows = append(rows, state.Backend{ID: e.id, Pool: "llm", Address: e.id + ":1", Zone: "a", Slots: slots, Weights: map[string]int{"m": 1}})
	}
	p.leader.Apply(rows, nil, true)
	for i := range 3 {
		r := &router{Streams: liveness.NewStreams(), play: p, name: fmt.Sprint("r", i), streams: map[uint64]*stream{}}
		p.routers = append(p.routers, r)
		p.every(time.Second+time.Duration(7*i)*ms, checkInterval, r.check)
		p.every(time.Second+time.Duration(80*i)*ms, stallInterval, r.sendStalls)
	}
	p.every(time.Second, leaderInterval, p.lead)
	p.every(time.Second, listInterval, p.list)
	return p
}

func (p *play) every(start, interval time.Duration, run func()) {
	p.At(start, func() {
		run()
		p.every(p.Now()+interval, interval, run)
	})
}

// run advances the play to a time.
func (p *play) run(end time.Duration) {
	for p.Step(end) {
	}
}

// drain advances the play from a time after the last arrival until all streams have ended, or until end.
func (p *play) drain(from, end time.Duration) {
	isOpen := func(s *stream) bool { return s.outcome == open }
	for p.run(from); from < end && slices.ContainsFunc(p.streams, isOpen); p.run(from) {
		from += time.Second
	}
	// The last reports reach the leader.
	p.run(from + time.Second)
	for _, s := range p.streams {
		if s.outcome == open {
			p.faultf("a stream does not end")
		}
	}
	if placements, _ := p.leader.OpenPlacements(); placements > 0 {
		p.faultf("the leader counts %d placements that have ended", placements)
	}
}

func (p *play) faultf(format string, args ...any) {
	if len(p.faults) < 10 {
		p.faults = append(p.faults, fmt.Sprintf("%v: ", p.Now())+fmt.Sprintf(format, args...))
	}
}

// arrivals adds streams at a load of the slots from one time until another.
func (p *play) arrivals(load float64, from, until time.Duration) {
	run := meanPrompt/tokensPerMs*ms + streamEvents*(eventTime+time.Duration(p.slots)*eventTimePerRun)
	interval := float64(run) / (load * float64(len(p.engines)*p.slots))
	for at := from; at < until; at += time.Duration(interval * (0.5 + p.random.Float64())) {
		s := &stream{play: p, router: p.routers[len(p.streams)%len(p.routers)], prompt: meanPrompt/2 + p.random.IntN(meanPrompt), lastAt: at}
		p.streams = append(p.streams, s)
		p.At(at, s.arrive)
	}
}

// silence makes engines silent from a time until another. The streams there meet it; if all engines are
// silent, so do those that wait for a place.
func (p *play) silence(ids []string, from, until time.Duration) {
	p.At(from, func() {
		for _, id := range ids {
			e := p.engines[id]
			e.silentUntil = max(e.silentUntil, until)
			for _, a := range slices.Concat(e.running, e.waiting) {
				a.meets(e)
			}
		}
		for _, s := range p.streams {
			if s.outcome == open && s.present == nil && s.asked && p.allSilent() {
				s.met = true
			}
		}
	})
}

func (p *play) allSilent() bool {
	for _, e := range p.engines {
		if !e.silent() {
			return false
		}
	}
	return true
}

// remove removes the row of an engine, which stops for good or goes on with what it runs.
func (p *play) remove(id string, at time.Duration, stops bool) {
	if stops {
		p.silence([]string{id}, at, forGood)
	}
	p.At(at, func() {
		p.leader.Apply(nil, []string{id}, false)
		p.After(leaderInterval, func() { p.engines[id].removed = true })
	})
}

// lead makes the leader's passes over its queue and hands out what was granted.
func (p *play) lead() {
	if !slices.ContainsFunc(p.routers, func(r *router) bool { return len(r.streams) > 0 }) {
		return
	}
	p.leader.Step(p.Now())
	for _, r := range p.routers {
		reply, _, _ := p.leader.Await(p.Now(), p.Now(), &coordapi.Await{Router: r.name, Session: r.session})
		r.session = reply.Session
		if len(reply.Outcomes) > 0 {
			p.leader.Await(p.Now(), p.Now(), &coordapi.Await{Router: r.name, Session: r.session, Acknowledged: reply.Sequence})
		}
		for _, o := range reply.Outcomes {
			p.After(hop, func() { r.placed(o.Number, o.Placed) })
		}
	}
}

// list updates the leader's notes, which routers receive a little later.
func (p *play) list() {
	now := p.Now()
	notes := coordapi.Notes{}
	for id, e := range p.engines {
		if !e.silent() {
			e.heartbeat = now
		}
		if now-e.heartbeat > heartbeatTimeout {
			notes.Silent = append(notes.Silent, id)
		}
	}
	slices.Sort(notes.Silent)
	notes.Unresponsive, _ = p.leader.CheckStreams(now)
	if slices.Equal(notes.Silent, p.notes.Silent) && slices.Equal(notes.Unresponsive, p.notes.Unresponsive) {
		return
	}
	p.notes = notes
	p.leader.ApplyNotes(notes)
	for _, r := range p.routers {
		p.After(leaderInterval, func() {
			r.notes = notes
			r.SetListed(p.Now(), notes.Unresponsive)
		})
	}
}

// engine is a model engine. While it is silent it does nothing, and then goes on as if nothing had been.
type engine struct {
	play             *play
	id               string
	running, waiting []*attempt
	silentUntil      time.Duration
	heartbeat        time.Duration
	removed          bool
}

func (e *engine) silent() bool { return e.play.Now() < e.silentUntil }

// do calls f once the engine is not silent.
func (e *engine) do(f func()) {
	if e.silent() {
		e.play.At(e.silentUntil, func() { e.do(f) })
		return
	}
	f()
}

func (e *engine) receive(a *attempt) {
	a.atEngine = true
	a.meets(e)
	e.waiting = append(e.waiting, a)
	e.do(e.start)
}

// start begins requests while there are free slots.
func (e *engine) start() {
	for len(e.running) < e.play.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, a)
		e.play.After(time.Duration(a.stream.prompt/tokensPerMs)*ms, func() { e.do(func() { e.send(a) }) })
	}
}

// send sends the next event of a request.
func (e *engine) send(a *attempt) {
	if !a.atEngine {
		return
	}
	event := a.next
	a.next++
	e.play.After(hop, func() { a.event(event) })
	if event == streamEvents {
		e.end(a)
		return
	}
	e.play.After(eventTime+time.Duration(len(e.running))*eventTimePerRun, func() { e.do(func() { e.send(a) }) })
}

func (e *engine) end(a *attempt) {
	a.atEngine = false
	drop := func(other *attempt) bool { return other == a }
	e.running, e.waiting = slices.DeleteFunc(e.running, drop), slices.DeleteFunc(e.waiting, drop)
	e.start()
}

// router tracks its streams and reports to the leader.
type router struct {
	*liveness.Streams
	play    *play
	name    string
	number  uint64
	reports coordapi.Reports
	session coordapi.Session
	notes   coordapi.Notes
	// streams are those that wait for a first place, and overdue the attempts that the present check found.
	streams map[uint64]*stream
	overdue []*attempt
}

// check acts on the overdue attempts in the order of their numbers: Streams has none.
func (r *router) check() {
	r.overdue = r.overdue[:0]
	r.Check(r.play.Now())
	slices.SortFunc(r.overdue, func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
	for _, a := range r.overdue {
		if !a.closed {
			a.stream.overdue(a)
		}
	}
	select {
	case <-r.Urgent():
		r.sendStalls()
	default:
	}
	reports := r.take()
	r.play.After(hop, func() { r.play.leader.ApplyReports(r.play.Now(), r.name, &reports) })
}

func (r *router) sendStalls() {
	stalls := r.Stalls(r.play.Now())
	r.play.After(hop, func() { r.play.leader.ApplyStalls(r.play.Now(), r.name, stalls) })
}

func (r *router) take() coordapi.Reports {
	reports := r.reports
	r.reports = coordapi.Reports{}
	return reports
}

// place asks the leader for an engine and calls then with the reply.
func (r *router) place(ask *coordapi.Place, then func(coordapi.Placed)) {
	ask.Router, ask.Zone, ask.Pool, ask.Model = r.name, "a", "llm", "m"
	ask.Target, ask.GapTarget, ask.Patience = target, gapTarget, target/2
	ask.Most, ask.Slots, ask.Capacity, ask.Reports = 2*meanPrompt, r.play.slots, 100000, r.take()
	r.play.After(hop, func() {
		placed := r.play.leader.Place(r.play.Now(), ask)
		notes := r.play.notes
		if r.play.rule == after && ask.Started > 0 && (slices.Contains(notes.Unresponsive, placed.ID) || slices.Contains(notes.Silent, placed.ID)) {
			r.play.faultf("a further attempt is placed at %s, which does not respond", placed.ID)
		}
		r.play.After(hop, func() { then(placed) })
	})
}

// placed begins or refuses a stream that has waited for its first place.
func (r *router) placed(number uint64, placed coordapi.Placed) {
	s := r.streams[number]
	switch {
	case s == nil && placed.ID != "":
		r.reports.Ended = append(r.reports.Ended, number)
		return
	case s == nil || placed.Queued:
		return
	}
	delete(r.streams, number)
	if placed.ID == "" {
		s.met = s.met || r.play.allSilent()
		s.finish(refused)
		return
	}
	s.present = s.begin(number, placed.ID)
}

// attempt is one run of a stream, at its router and at its engine.
type attempt struct {
	stream  *stream
	engine  *engine
	number  uint64
	sentAt  time.Duration
	tracked *liveness.Stream
	backoff Backoff
	// answered is set with the first event, and closed once the router awaits no more.
	answered, closed bool
	// atEngine is set while the engine holds the request, whose next event is next.
	atEngine bool
	next     int
}

// meets records that the attempt meets a silence.
func (a *attempt) meets(e *engine) {
	if !e.silent() || a.closed {
		return
	}
	a.stream.met = true
	a.stream.stopped = a.stream.stopped || e.silentUntil == forGood
}

// event is one event of the engine at the router.
func (a *attempt) event(id int) {
	if a.closed {
		return
	}
	p, s := a.stream.play, a.stream
	if !a.answered {
		a.answered = true
		s.router.reports.Begun = append(s.router.reports.Begun, coordapi.Begun{Number: a.number, First: p.Now() - a.sentAt})
		a.tracked.Begin(p.Now(), gapTarget)
	}
	a.tracked.Event(p.Now())
	a.tracked.Forwarded(p.Now())
	a.backoff.Reset()
	s.forward(a, id)
}

// close ends an attempt at the router. Its engine receives that once it is not silent.
func (a *attempt) close() {
	a.closed = true
	a.tracked.End()
	r := a.stream.router
	r.reports.Ended = append(r.reports.Ended, a.number)
	a.stream.play.After(hop, func() {
		a.engine.do(func() {
			if a.atEngine {
				a.engine.end(a)
			}
		})
	})
}
