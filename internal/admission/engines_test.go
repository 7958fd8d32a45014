package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The engine model: an engine runs in steps. Each step prefills one chunk of the prompts that have
// a slot, first come first served, and generates a token for each running stream.
const (
	slots          = 64
	chunkTokens    = 2048
	prefillPerMS   = 92.0
	stepBase       = 3.03
	stepPerRequest = 0.121
	eventTokens    = 8
	// usualRunning divides the fixed part of a step among requests in the estimate of their work.
	usualRunning = 40
	// maxBacklog is the prefill in ms beyond which an engine has no room.
	maxBacklog = 50.0
)

// kind is one of the two kinds of requests.
type kind int

const (
	batch kind = iota
	interactive
	kinds
)

// kindTraits describe a kind; shared parts of prompts are cached.
type kindTraits struct {
	urgency         Urgency
	prompt, output  int
	target, abandon time.Duration
	// share is that of arrivals.
	share float64
}

var traits = [kinds]kindTraits{
	batch:       {Urgency{0, 2}, 2890, 56, 1000 * ms, 4000 * ms, 0.58},
	interactive: {Urgency{0, 0}, 628, 288, 400 * ms, 12000 * ms, 0.42},
}

func (t kindTraits) prefill() float64 { return float64(t.prompt) / prefillPerMS }

func (t kindTraits) work() float64 {
	return t.prefill() + float64(t.output)*(stepPerRequest+stepBase/usualRunning)
}

// meanWork is the work of an average arrival.
func meanWork() float64 {
	sum := 0.0
	for _, t := range traits {
		sum += t.share * t.work()
	}
	return sum
}

// call is one request of the model.
type call struct {
	number  uint64
	kind    kind
	tenant  int
	arrived time.Duration
	// length is its output over the usual one.
	length  float64
	started time.Duration
	prefill int
	// tokens are its output, and left those not yet generated.
	tokens, left int
	// first is when its first event came, 0 for none.
	first   time.Duration
	refused bool
}

func (c *call) inTime() bool {
	return c.first > 0 && c.first-c.arrived <= traits[c.kind].target
}

type engine struct {
	pending, prefilling, decoding []*call
	stepEnd                       time.Duration
	busy, lost                    bool
	chunk                         int
}

func (e *engine) running() int { return len(e.prefilling) + len(e.decoding) }

// backlog returns the ms of prefill that wait.
func (e *engine) backlog() float64 {
	tokens := 0
	for _, calls := range [][]*call{e.pending, e.prefilling} {
		for _, c := range calls {
			tokens += c.prefill
		}
	}
	return float64(tokens) / prefillPerMS
}

// stretch is how much longer prefill takes because of the steps between its chunks.
func (e *engine) stretch() float64 {
	return 1 + (stepBase+stepPerRequest*float64(len(e.decoding)))/(chunkTokens/prefillPerMS)
}

// begin starts a step at the time now if there is something to do.
func (e *engine) begin(now time.Duration) {
	for len(e.pending) > 0 && e.running() < slots {
		e.prefilling = append(e.prefilling, e.pending[0])
		e.pending = e.pending[1:]
	}
	e.busy = !e.lost && e.running() > 0
	if !e.busy {
		return
	}
	e.chunk = 0
	for _, c := range e.prefilling {
		e.chunk += c.prefill
	}
	e.chunk = min(e.chunk, chunkTokens)
	length := float64(e.chunk) / prefillPerMS
	if len(e.decoding) > 0 {
		length += stepBase + stepPerRequest*float64(len(e.decoding))
	}
	e.stepEnd = now + time.Duration(length*float64(ms))
}

// end finishes a step and reports the calls whose first event came.
func (e *engine) end(now time.Duration, first func(c *call)) {
	e.decoding = slices.DeleteFunc(e.decoding, func(c *call) bool {
		c.left--
		if c.left == c.tokens-eventTokens {
			c.first = now
			first(c)
		}
		return c.left == 0
	})
	for e.chunk > 0 {
		c := e.prefilling[0]
		tokens := min(e.chunk, c.prefill)
		c.prefill -= tokens
		e.chunk -= tokens
		if c.prefill == 0 {
			e.prefilling = e.prefilling[1:]
			e.decoding = append(e.decoding, c)
		}
	}
}

// rule decides what runs where.
type rule interface {
	arrive(p *pool, c *call)
	// dispatch is called after each step and every 10 ms.
	dispatch(p *pool)
}

// pool runs the model in virtual time.
type pool struct {
	now     time.Duration
	engines []*engine
	// service is the observed time from start to first event by kind in seconds, and deviation
	// its mean absolute deviation.
	service, deviation [kinds]float64
}

func newPool(engines int) *pool {
	p := &pool{service: [kinds]float64{0.25, 0.15}, deviation: [kinds]float64{0.05, 0.05}}
	for range engines {
		p.engines = append(p.engines, &engine{})
	}
	return p
}

func (p *pool) start(e *engine, c *call) {
	c.started = p.now
	c.prefill, c.tokens = traits[c.kind].prompt, int(c.length*float64(traits[c.kind].output))
	c.left = c.tokens
	e.pending = append(e.pending, c)
	if !e.busy {
		e.begin(p.now)
	}
}

// withRoom returns the engine with the least backlog among those with room, nil for none.
func (p *pool) withRoom() *engine {
	var best *engine
	least := math.Inf(1)
	for _, e := range p.engines {
		if e.lost || len(e.pending)+e.running() >= slots || e.backlog() > maxBacklog {
			continue
		}
		if load := e.backlog() + float64(e.running())/slots; load < least {
			best, least = e, load
		}
	}
	return best
}

func (p *pool) observe(c *call) {
	const weight = 0.02
	error := (c.first - c.started).Seconds() - p.service[c.kind]
	p.service[c.kind] += weight * error
	p.deviation[c.kind] += weight * (math.Abs(error) - p.deviation[c.kind])
}

// run lets the arrivals, which are in order of time, happen until the time end. Change is called
// at each tick of 10 ms.
func (p *pool) run(arrivals []*call, r rule, end time.Duration, change func(p *pool)) {
	const tick = 10 * ms
	next := 0
	for nextTick := time.Duration(0); p.now < end; {
		at := nextTick
		var stepping *engine
		for _, e := range p.engines {
			if e.busy && e.stepEnd < at {
				at, stepping = e.stepEnd, e
			}
		}
		if next < len(arrivals) && arrivals[next].arrived < at {
			p.now = arrivals[next].arrived
			r.arrive(p, arrivals[next])
			next++
			continue
		}
		p.now = at
		if stepping != nil {
			stepping.end(at, p.observe)
			stepping.begin(at)
		} else {
			nextTick += tick
			change(p)
		}
		r.dispatch(p)
	}
}

// today refuses what no engine is expected to start within half of the lowest target of its own
// and all more urgent kinds. Engines queue.
type today struct{}

func (today) dispatch(*pool) {}

func (today) arrive(p *pool, c *call) {
	patience := traits[c.kind].target
	for _, t := range traits {
		if t.urgency.compare(traits[c.kind].urgency) < 0 {
			patience = min(patience, t.target)
		}
	}
	var best *engine
	least := math.Inf(1)
	for _, e := range p.engines {
		if e.lost {
			continue
		}
		wait := e.backlog() * e.stretch()
		if above := len(e.pending) + e.running() - slots + 1; above > 0 {
			wait += 1500 * float64(above) / slots
		}
		if wait < least {
			best, least = e, wait
		}
	}
	if best == nil || least > float64(patience/ms)/2 {
		c.refused = true
		return
	}
	p.start(best, c)
}

// firstCome is one queue in order of arrival, which a request leaves when it is of no use.
type firstCome struct{ waiting []*call }

func (f *firstCome) arrive(p *pool, c *call) {
	f.waiting = append(f.waiting, c)
	f.dispatch(p)
}

func (f *firstCome) dispatch(p *pool) {
	for len(f.waiting) > 0 {
		c := f.waiting[0]
		if p.now-c.arrived > traits[c.kind].abandon {
			c.refused = true
			f.waiting = f.waiting[1:]
			continue
		}
		e := p.withRoom()
		if e == nil {
			return
		}
		f.waiting = f.waiting[1:]
		p.start(e, c)
	}
}

// queued uses a Queue.
type queued struct {
	queue      *Queue
	calls      map[uint64]*call
	random     *rand.Rand
	nextExpire time.Duration
	// refused counts refusals, and refusedLate those after more than half of the target.
	refused, refusedLate int
	// blamed are the refusals by tenant because of the tenant's share.
	blamed [tenants]int
}

func newQueued() *queued {
	return &queued{queue: New(Config{}), calls: map[uint64]*call{}, random: rand.New(rand.NewPCG(1, 2))}
}

func (q *queued) request(p *pool, c *call) Request {
	t := traits[c.kind]
	service := p.service[c.kind] + p.deviation[c.kind]
	return Request{
		Key: Key{"r", c.number}, Tenant: string(rune('a' + c.tenant)), Urgency: t.urgency, Arrived: c.arrived,
		Target: t.target, Abandon: t.abandon, Service: time.Duration(service * float64(time.Second)), Work: t.work(),
	}
}

func (q *queued) arrive(p *pool, c *call) {
	request := q.request(p, c)
	if q.queue.Len() == 0 {
		if e := p.withRoom(); e != nil {
			q.queue.Admitted(p.now, request)
			p.start(e, c)
			return
		}
	}
	if refusal := q.queue.Push(p.now, request, q.random.Float64()); refusal != nil {
		q.refuse(c, refusal.Reason)
		return
	}
	q.calls[c.number] = c
	q.dispatch(p)
}

func (q *queued) refuse(c *call, reason Reason) {
	c.refused = true
	q.refused++
	if reason == TenantOverShare {
		q.blamed[c.tenant]++
	}
}

func (q *queued) dispatch(p *pool) {
	for q.queue.Len() > 0 {
		e := p.withRoom()
		if e == nil {
			break
		}
		r, ok := q.queue.Next(p.now)
		if !ok {
			break
		}
		c := q.calls[r.Key.Number]
		delete(q.calls, c.number)
		q.queue.Granted(p.now, r.Key)
		p.start(e, c)
	}
	if p.now >= q.nextExpire {
		q.nextExpire = p.now + 20*ms
		for _, refusal := range q.queue.Expire(p.now, q.random.Float64) {
			c := q.calls[refusal.Key.Number]
			delete(q.calls, c.number)
			q.refuse(c, refusal.Reason)
			if p.now-c.arrived > traits[c.kind].target/2 {
				q.refusedLate++
			}
		}
	}
}
