package placer

import (
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
)

const (
	// passInterval is the time between two passes over a queue, and minPassInterval that between two
	// passes because of freed capacity. A pass for each of thousands of reports a second would take
	// most of the leader's time.
	passInterval    = 10 * time.Millisecond
	minPassInterval = 2 * time.Millisecond
	// maxMisses is the number of requests in order without capacity after which a pass ends: what
	// they lack, those behind them mostly lack too.
	maxMisses = 8
	// uncollectedTime is the time after which a grant that its router has not collected is
	// withdrawn. A router that waits collects its outcomes within a round trip, and asks for them again
	// after a lost reply.
	uncollectedTime = time.Second
)

// poolQueue is the queue of a pool.
type poolQueue struct {
	*admission.Queue
	passedAt time.Duration
	// expiredAt is when requests that cannot begin in time were last looked for, which takes as long
	// as several choices while thousands wait.
	expiredAt time.Duration
	// due is set if capacity was freed since the last pass. It is false while nothing waits.
	due bool
}

// waiting is a request in a queue.
type waiting struct {
	ask      *coordapi.Place
	queuedAt time.Duration
}

// outcome is an outcome that its router has not acknowledged.
type outcome struct {
	coordapi.Outcome
	at time.Duration
	// deliveries is the number of replies that contain it, and deliveredAt the time of the last one.
	deliveries  int
	deliveredAt time.Duration
}

// isUncollected reports whether a router that waits would have acknowledged the outcome. The router may have
// received the only reply that contains it and have no cause to ask again.
func (o *outcome) isUncollected(now time.Duration) bool {
	return o.deliveries != 1 && now-max(o.at, o.deliveredAt) >= uncollectedTime
}

// mayQueue reports whether a request may wait in a queue.
func mayQueue(ask *coordapi.Place) bool {
	return ask.Wait && ask.Started == 0 && ask.Target > 0 && ask.Slots > 0
}

// queue returns the queue of a pool.
func (p *Placer) queue(pool string) *poolQueue {
	queue := p.queues[pool]
	if queue == nil {
		queue = &poolQueue{Queue: admission.New(admission.Config{})}
		p.queues[pool] = queue
	}
	return queue
}

// newSession returns a session that differs from all others and is not 0.
func newSession() coordapi.Session { return coordapi.Session(rand.Uint64() | 1) }

// Holds reports whether a request waits, or was granted and not collected yet. It was admitted to
// its tenant's limit then.
func (p *Placer) Holds(name string, number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routers[name]
	return r != nil && r.holds(number)
}

// holds reports whether the outcome of a request is still to be collected.
func (r *router) holds(number uint64) bool {
	if r.waiting[number] != nil {
		return true
	}
	if r.open[number] == nil {
		return false
	}
	for i := range r.outcomes {
		if r.outcomes[i].Number == number {
			return true
		}
	}
	return false
}

// placeOrQueue places a request, queues it if there is no capacity or others wait, or refuses it.
func (p *Placer) placeOrQueue(now time.Duration, r *router, ask *coordapi.Place) coordapi.Placed {
	queue := p.queue(ask.Pool)
	queued := coordapi.Placed{Queued: true, Session: r.session, Queue: queue.Len()}
	if r.holds(ask.Number) {
		// The router asks again because it may have missed a reply.
		return queued
	}
	// The router does not run what it asks for.
	p.endPlacement(now, r, ask.Number)
	request := p.request(now, ask)
	if ask.Again {
		p.start.settle(now)
	}
	if queue.Len() == 0 && now >= p.start.settledAt {
		q := p.query(now, ask)
		q.Room = true
		choice, found, permitTerm := p.choose(now, ask, q)
		switch {
		case found && !choice.Late:
			queue.Admitted(now, request)
			return p.begin(now, r, ask, q, &choice, permitTerm)
		case !found && !choice.NoRoom && !p.softwareLoads(now, ask):
			return coordapi.Placed{RetryAfter: choice.RetryAfter}
		}
	}
	if refusal := queue.Push(now, request, rand.Float64()); refusal != nil {
		p.countRefusal(refusal.Reason)
		return coordapi.Placed{Reason: string(refusal.Reason), RetryAfter: refusal.RetryAfter, Queue: queue.Len()}
	}
	ask.Reports = coordapi.Reports{}
	r.waiting[ask.Number] = &waiting{ask: ask, queuedAt: now}
	p.setDue(ask.Pool)
	return queued
}

// request describes a request to the queue.
func (p *Placer) request(now time.Duration, ask *coordapi.Place) admission.Request {
	e := p.pool.Expect(ask.Pool, ask.Own+p.uncachedTokens(now, ask))
	abandon := ask.Abandon
	if latest := ask.Deadline - e.Run; ask.Deadline > 0 && (abandon <= 0 || latest < abandon) {
		// A mean run time above the deadline must not mean that there is none.
		abandon = max(latest, e.FirstEvent)
	}
	return admission.Request{Key: admission.Key{Router: ask.Router, Number: ask.Number}, Tenant: ask.Account,
		Urgency: admission.Urgency{Tenant: ask.Urgency.Tenant, Route: ask.Urgency.Route}, Digest: uint64(ask.Request),
		Arrived: now - ask.Waited, Target: ask.Target, Abandon: abandon, Service: e.FirstEvent,
		Work: milliseconds(e.Prefill) + milliseconds(e.Run)/float64(ask.Slots)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// uncachedTokens returns how many of a prompt's shared tokens no engine with the weights version
// that was chosen last holds.
func (p *Placer) uncachedTokens(now time.Duration, ask *coordapi.Place) int {
	version, tokens := p.versions[poolModel{ask.Pool, ask.Model}], 0
	for _, part := range ask.Parts {
		if p.parts.holder(now, part.Hash, version) == "" {
			tokens += part.Tokens
		}
	}
	return tokens
}

// poolModel identifies a model of a pool.
type poolModel struct{ pool, model string }

// setDue requests a pass over the queue of a pool.
func (p *Placer) setDue(pool string) {
	queue := p.queues[pool]
	if queue == nil || queue.due || queue.Len() == 0 {
		return
	}
	queue.due = true
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives when Step is to be called.
func (p *Placer) Wake() <-chan struct{} { return p.wake }

// Step makes the passes that are due over the queues. It returns when it is to be called again, or
// false if no request waits.
func (p *Placer) Step(now time.Duration) (next time.Duration, more bool) {
	p.mu.Lock()
	p.expireRouters(now)
	var due []string
	for pool, queue := range p.queues {
		if queue.Len() > 0 && now >= max(queue.nextPass(), p.start.settledAt) {
			due = append(due, pool)
		}
	}
	p.mu.Unlock()
	for _, pool := range due {
		p.expire(now, pool)
		p.pass(now, pool)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next = now + settleTime
	for _, queue := range p.queues {
		if queue.Len() == 0 {
			// setDue does not wake the caller for a pass that is due already.
			queue.due = false
			continue
		}
		next, more = min(next, max(queue.nextPass(), p.start.settledAt)), true
	}
	return next, more
}

// nextPass returns the time of the next pass.
func (q *poolQueue) nextPass() time.Duration {
	if q.due {
		return q.passedAt + minPassInterval
	}
	return q.passedAt + passInterval
}

// expire refuses the requests of a pool that can no longer begin in time.
func (p *Placer) expire(now time.Duration, pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if queue := p.queues[pool]; queue != nil {
		queue.passedAt, queue.due = now, false
		queue.Restart()
		if now >= queue.expiredAt+passInterval {
			queue.expiredAt = now
			p.refuse(now, queue.Expire(now, rand.Float64))
		}
	}
}

// pass grants capacity to waiting requests of a pool in their order, until maxMisses of them found
// none. It takes the lock for each request anew, since one may take as long as a choice.
func (p *Placer) pass(now time.Duration, pool string) {
	for missed := (misses{}); !missed.ends(); {
		if more := p.serveNext(now, pool, missed); !more {
			return
		}
	}
}

// serveNext grants capacity to the next waiting request of a pool, or skips it and counts the miss. It
// returns false if there is none.
func (p *Placer) serveNext(now time.Duration, pool string, missed misses) (more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[pool]
	if queue == nil {
		return false
	}
	request, more := queue.Next(now)
	if !more {
		return false
	}
	software := p.waitingSoftware(request.Key)
	if missed.skips(software) {
		queue.Skip(request.Key)
		return true
	}
	granted, gone := p.grant(now, queue, request.Key)
	switch {
	case gone:
		p.refuse(now, queue.RefuseAll(now, rand.Float64))
	case !granted:
		missed[software]++
		queue.Skip(request.Key)
	}
	return !gone
}

// grant places a waiting request if there is capacity for it. Gone is true if its pool has no
// engine.
func (p *Placer) grant(now time.Duration, queue *poolQueue, key admission.Key) (granted, gone bool) {
	r := p.routers[key.Router]
	if r == nil || r.waiting[key.Number] == nil {
		queue.Remove(key)
		return true, false
	}
	w := r.waiting[key.Number]
	if p.softwareGone(now, w.ask) {
		queue.Remove(key)
		p.settle(w, false)
		r.finish(now, w, coordapi.Placed{Reason: coordapi.SoftwareGone})
		return true, false
	}
	q := p.query(now, w.ask)
	q.Room, q.Contended = true, true
	p.tried++
	if p.pool.IsFull(now, q) {
		return false, false
	}
	choice, found, permitTerm := p.choose(now, w.ask, q)
	if !found || choice.Late {
		return false, !found && !choice.NoRoom && !p.pool.HasEngines(w.ask.Pool)
	}
	queue.Granted(now, key)
	p.settle(w, true)
	p.waits.add(now - w.queuedAt)
	r.finish(now, w, p.begin(now, r, w.ask, q, &choice, permitTerm))
	return true, false
}

// finish records the outcome of a request that waited.
func (r *router) finish(now time.Duration, w *waiting, placed coordapi.Placed) {
	number := w.ask.Number
	delete(r.waiting, number)
	placed.Uncounted = w.ask.Amount == 0
	r.sequence++
	r.outcomes = append(r.outcomes, outcome{Outcome: coordapi.Outcome{Number: number, Placed: placed}, at: now})
	r.wakeAwait()
}

// wakeAwait makes a held Await return.
func (r *router) wakeAwait() {
	if r.news != nil {
		close(r.news)
		r.news = nil
	}
}

// countRefusal counts a refused request.
func (p *Placer) countRefusal(reason admission.Reason) {
	p.refused[reason]++
}

// refuse ends waits without a placement.
func (p *Placer) refuse(now time.Duration, refusals []admission.Refusal) {
	for _, refusal := range refusals {
		p.countRefusal(refusal.Reason)
		r := p.routers[refusal.Key.Router]
		if r == nil || r.waiting[refusal.Key.Number] == nil {
			continue
		}
		w := r.waiting[refusal.Key.Number]
		p.settle(w, false)
		r.finish(now, w, coordapi.Placed{Reason: string(refusal.Reason), RetryAfter: refusal.RetryAfter})
	}
}

// settle records whether a request that waited runs, for its tenant's limit.
func (p *Placer) settle(w *waiting, used bool) {
	if w.ask.Amount > 0 {
		p.settlements = append(p.settlements, quota.Settlement{Tenant: w.ask.Tenant, Amount: w.ask.Amount, Used: used})
	}
}

// TakeSettlements returns the amounts of tenants' limits that were held for requests which no longer
// wait.
func (p *Placer) TakeSettlements() []quota.Settlement {
	p.mu.Lock()
	defer p.mu.Unlock()
	settlements := p.settlements
	p.settlements = nil
	return settlements
}

// endWait ends the wait of a request whose caller or router has left. It returns false if the
// request does not wait.
func (p *Placer) endWait(name string, r *router, number uint64) bool {
	w := r.waiting[number]
	if w == nil {
		return false
	}
	p.queue(w.ask.Pool).Remove(admission.Key{Router: name, Number: number})
	p.settle(w, false)
	delete(r.waiting, number)
	return true
}

// withdraw ends the placements that a router has not collected in time. If it still waits for them
// it asks again.
func (p *Placer) withdraw(now time.Duration, r *router) {
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.Placed.ID == "" || !o.isUncollected(now) {
			continue
		}
		p.endPlacement(now, r, o.Number)
		o.Placed = coordapi.Placed{}
	}
	for len(r.outcomes) > 0 && now-r.outcomes[0].at > routerTimeout {
		// No request of the router waits for it, or the router has turned to another leader.
		r.outcomes = r.outcomes[1:]
	}
}

// Await returns the outcomes for a router that it has not acknowledged. If there are none and the
// session is the router's, ready is false and changed is closed when there are. ArrivedAt is when
// the Await arrived: permits count from the time that it was sent.
func (p *Placer) Await(now, arrivedAt time.Duration, call *coordapi.Await) (reply coordapi.Awaited, ready bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.router(now, call.Router)
	reply = coordapi.Awaited{Session: r.session}
	if call.Session != r.session {
		return reply, true, nil
	}
	r.acknowledge(call.Acknowledged)
	reply.Sequence = r.sequence
	for i := range r.outcomes {
		o := &r.outcomes[i]
		o.deliveries, o.deliveredAt = o.deliveries+1, now
		sent := o.Outcome
		if sent.Placed.Permit > 0 {
			sent.Placed.Permit = max(sent.Placed.Permit-max(arrivedAt-o.at, 0), 1)
		}
		reply.Outcomes = append(reply.Outcomes, sent)
	}
	if len(reply.Outcomes) > 0 {
		return reply, true, nil
	}
	if r.news == nil {
		r.news = make(chan struct{})
	}
	return reply, false, r.news
}

// acknowledge drops the outcomes up to a sequence number.
func (r *router) acknowledge(sequence uint64) {
	first := r.sequence + 1 - uint64(len(r.outcomes))
	if sequence < first {
		return
	}
	r.outcomes = r.outcomes[min(sequence-first+1, uint64(len(r.outcomes))):]
	if len(r.outcomes) == 0 {
		// Frees the memory of a burst.
		r.outcomes = nil
	}
}

// Rooms returns the capacity of the pools that have served requests which may wait.
func (p *Placer) Rooms() map[string]coordapi.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]coordapi.Room, len(p.queues))
	for pool := range p.queues {
		room := p.pool.Room(pool)
		out[pool] = coordapi.Room{Limit: room.MaxRequests, Running: room.Requests}
	}
	return out
}
