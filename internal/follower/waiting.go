package follower

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
)

const (
	// awaitTimeout bounds an Await: the leader holds it, and a reply takes a few round trips between
	// zones.
	awaitTimeout = coordapi.AwaitHold + placeTimeout
	// maxSessions bounds the sessions whose acknowledged outcomes are kept.
	maxSessions = 4
	// maxAsks is the number of waiting requests that are asked for again at once, so that the
	// routers do not flood a new leader.
	maxAsks = 20
	// askRetryDelay is the time after which a request whose repeated Place failed is asked for
	// again.
	askRetryDelay = 100 * time.Millisecond
	// leaderlessWait is the time after a reply to an Await was due at which waiting requests are
	// decided by the router itself. It exceeds watchTimeout, within which a router notices that a
	// leader is cut off, and the time to find the next one, which may take one findTimeout.
	leaderlessWait = 2 * time.Second
	// timeoutRetryAfter is the Retry-After, before jitter, of a request that waited until its
	// time-out.
	timeoutRetryAfter = 500 * time.Millisecond
)

// waiting holds the router's requests that may wait in the queue of the leader. It is safe for
// concurrent use.
type waiting struct {
	mu sync.Mutex
	// requests are those in the queue, and those whose Place is on its way, by number.
	requests map[uint64]*waiter
	// queued is the number of requests that a leader has queued.
	queued int
	// awaiting is set while collectOutcomes runs, and asks is the number of repeated calls in flight.
	awaiting bool
	asks     int
	// session is the leader's present session, and changes counts its changes. It is 0 if the
	// leader's build has no queue.
	session coordapi.Session
	changes int
	// acknowledged is the last outcome applied of each recent session.
	acknowledged map[coordapi.Session]uint64
	// unacknowledged is set if the last reply contained outcomes, which the next Await acknowledges.
	unacknowledged bool
	// interrupt ends the Await in flight.
	interrupt context.CancelFunc
	// heardAt is the time of the last reply to an Await, or of the first view of the present leader.
	heardAt time.Duration
}

// waiter is a request that may wait.
type waiter struct {
	call *coordapi.Place
	// arrivedAt is when the router received the request.
	arrivedAt time.Duration
	// counted is set if a leader counted the request against its tenant's limit.
	counted bool
	queued  bool
	// session is the session that holds the request, and changes the value of waiting.changes when
	// it was asked for. asking is set while it is asked for again, and retryAt is the time before
	// which it is not.
	session coordapi.Session
	changes int
	asking  bool
	retryAt time.Duration
	// outcome receives at most one value.
	outcome chan outcome
}

// outcome is the end of a wait.
type outcome struct {
	placed coordapi.Placed
	// requestedAt is when the reply was requested, by the clock of package clock. Permits count
	// from then.
	requestedAt time.Duration
	// standalone is set if no leader decided and the router must, and ended if the request ended
	// before.
	standalone bool
	ended      bool
}

// add records a request before its Place is sent: its outcome may arrive before the reply.
func (w *waiting) add(now time.Duration, call *coordapi.Place) *waiter {
	one := &waiter{call: call, arrivedAt: now - call.Waited, outcome: make(chan outcome, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == nil {
		w.requests = map[uint64]*waiter{}
	}
	w.requests[call.Number] = one
	return one
}

// remove ends a wait.
func (w *waiting) remove(one *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop(one)
}

func (w *waiting) drop(one *waiter) {
	if w.requests[one.call.Number] != one {
		return
	}
	delete(w.requests, one.call.Number)
	if one.queued {
		w.queued--
	}
}

// resolve ends a wait with an outcome.
func (w *waiting) resolve(one *waiter, o outcome) {
	if w.requests[one.call.Number] == one {
		w.drop(one)
		one.outcome <- o
	}
}

// setQueued records that a leader has queued a request. It returns true if collectOutcomes must be
// started.
func (w *waiting) setQueued(now time.Duration, one *waiter, placed *coordapi.Placed) (start bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests[one.call.Number] != one {
		return false
	}
	if !one.queued {
		one.queued, one.counted = true, one.call.Amount > 0 && !placed.Uncounted
		w.queued++
	}
	w.hold(one, placed.Session)
	if w.awaiting {
		return false
	}
	w.awaiting, w.heardAt = true, now
	return true
}

// hold records that a session holds a request. An Await of another session is of no use any more.
func (w *waiting) hold(one *waiter, session coordapi.Session) {
	if session != w.session && w.interrupt != nil {
		w.interrupt()
	}
	w.setSession(session)
	one.session, one.changes = session, w.changes
}

func (w *waiting) setSession(session coordapi.Session) {
	if session != w.session {
		w.session = session
		w.changes++
	}
}

// acknowledge records the last outcome applied of the present session. It is kept for some of the
// sessions before, so that a late reply of a former leader does not make outcomes be applied again.
func (w *waiting) acknowledge(sequence uint64) {
	if len(w.acknowledged) >= maxSessions || w.acknowledged == nil {
		w.acknowledged = map[coordapi.Session]uint64{w.session: w.acknowledged[w.session]}
	}
	w.acknowledged[w.session] = max(w.acknowledged[w.session], sequence)
}

// next returns the next Await, which interrupt may end. It returns false, and the loop must end, if
// no request is queued and no outcome is to be acknowledged: the leader withdraws grants without an
// acknowledgement.
func (w *waiting) next(router string, interrupt context.CancelFunc) (call coordapi.Await, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = interrupt
	if w.queued == 0 && !w.unacknowledged {
		w.awaiting, w.interrupt = false, nil
		return call, false
	}
	return coordapi.Await{Router: router, Session: w.session, Acknowledged: w.acknowledged[w.session]}, true
}

// apply applies a reply to an Await. It returns the placements that nobody waits for any more.
func (w *waiting) apply(now, requestedAt time.Duration, reply *coordapi.Awaited) (unused []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = now
	w.setSession(reply.Session)
	first := reply.Sequence + 1 - uint64(len(reply.Outcomes))
	for i, o := range reply.Outcomes {
		if first+uint64(i) <= w.acknowledged[w.session] {
			// It was applied before.
			continue
		}
		one := w.requests[o.Number]
		switch {
		case one == nil:
			if o.Placed.ID != "" {
				unused = append(unused, o.Number)
			}
		case o.Placed.ID == "" && o.Placed.Reason == "":
			// The leader withdrew a grant that was not awaited in time.
			one.session, one.changes = 0, -1
		default:
			w.resolve(one, outcome{placed: o.Placed, requestedAt: requestedAt})
		}
	}
	w.acknowledge(reply.Sequence)
	w.unacknowledged = len(reply.Outcomes) > 0
	return unused
}

// lost returns the queued requests that the leader's session does not hold, oldest first, as many
// as may be asked for now, and marks them. The caller must call asked for each.
func (w *waiting) lost(now time.Duration) []*waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asks >= maxAsks {
		return nil
	}
	var out []*waiter
	for _, one := range w.requests {
		if one.queued && !one.asking && now >= one.retryAt && one.session != w.session && one.changes != w.changes {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.call.Number, b.call.Number))
	})
	out = out[:min(len(out), maxAsks-w.asks)]
	for _, one := range out {
		one.asking = true
	}
	w.asks += len(out)
	return out
}

// asked records the reply to a repeated Place, nil if it failed. It returns false if the request
// has ended meanwhile.
func (w *waiting) asked(now, requestedAt time.Duration, one *waiter, placed *coordapi.Placed) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asks--
	one.asking = false
	if w.requests[one.call.Number] != one {
		return false
	}
	switch {
	case placed == nil:
		one.retryAt = now + askRetryDelay
	case placed.Queued:
		w.hold(one, placed.Session)
	default:
		w.resolve(one, outcome{placed: *placed, requestedAt: requestedAt})
	}
	return true
}

// follow records that another node leads: an Await at the former one is of no use any more.
func (w *waiting) follow(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = now
	if w.interrupt != nil {
		w.interrupt()
	}
}

// release ends all waits without an outcome if a reply of the leader has been overdue for
// leaderlessWait, and returns their numbers. The leader may hold an Await for AwaitHold.
func (w *waiting) release(now time.Duration) (numbers []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now-w.heardAt < coordapi.AwaitHold+leaderlessWait {
		return nil
	}
	w.unacknowledged = false
	for number, one := range w.requests {
		if one.queued {
			numbers = append(numbers, number)
			w.resolve(one, outcome{standalone: true})
		}
	}
	return numbers
}

// withdrawSession makes all queued requests be asked for again at a leader whose build has no
// queue.
func (w *waiting) withdrawSession(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt, w.unacknowledged = now, false
	w.setSession(0)
}

// Waiting returns the number of requests that wait in the leader's queue.
func (f *Follower) Waiting() int {
	f.waiting.mu.Lock()
	defer f.waiting.mu.Unlock()
	return f.waiting.queued
}

// awaitOutcome waits for the outcome of a request that the leader has queued. Answered is false if the
// router must decide by itself.
func (f *Follower) awaitOutcome(ctx context.Context, one *waiter, queued *coordapi.Placed) (o outcome, answered bool) {
	if f.waiting.setQueued(f.now(), one, queued) {
		go f.collectOutcomes()
	}
	select {
	case o = <-one.outcome:
		if ctx.Err() == nil {
			f.logOutcome(one, queued.Queue, &o)
			return o, !o.standalone
		}
	case <-ctx.Done():
	}
	f.waiting.remove(one)
	// If the request was granted meanwhile, this ends the placement.
	f.giveBack(one.call.Number)
	o = outcome{placed: coordapi.Placed{Reason: coordapi.NoRoomInTime, RetryAfter: timeoutRetryAfter + rand.N(timeoutRetryAfter/2)}, ended: true}
	f.logOutcome(one, queued.Queue, &o)
	return o, true
}

// logOutcome logs the end of a wait. Ahead is the number of requests in the queue when it began.
func (f *Follower) logOutcome(one *waiter, ahead int, o *outcome) {
	call, message := one.call, "granted after waiting"
	switch {
	case o.ended:
		message = "caller left or time-out while waiting"
	case o.standalone:
		message = "no leader while waiting"
	case o.placed.Reason != "":
		message = "refused after waiting"
	case o.placed.ID == "":
		message = "no engine after waiting"
	}
	f.config.Logger.Info(message, "part", "queue", "request", call.Request.String(), "pool", call.Pool, "tenant_priority", call.Urgency.Tenant,
		"priority", call.Urgency.Route, "tenant", call.Account, "waited_ms", (f.now() - one.arrivedAt).Milliseconds(), "ahead", ahead, "reason", o.placed.Reason)
}

// giveBack ends a placement that is not used.
func (f *Follower) giveBack(numbers ...uint64) {
	if len(numbers) > 0 {
		f.placements.add(coordapi.Reports{Ended: numbers})
		f.config.Limits.ReleaseNumbers(numbers...)
	}
}

// collectOutcomes calls Await until no request is queued any more and the outcomes are acknowledged. Each
// of them ends with its context at the latest.
func (f *Follower) collectOutcomes() {
	for f.collectOnce() {
		f.giveBack(f.waiting.release(f.now())...)
		f.askAgain()
	}
}

// collectOnce calls Await once, and delays the next call if it failed. It returns false if there is no
// cause for one.
func (f *Follower) collectOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	call, more := f.waiting.next(f.name, cancel)
	if !more {
		return false
	}
	leader := f.following.Load()
	if leader == nil {
		time.Sleep(retryDelay)
		return true
	}
	requestedAt := clock.Now()
	var reply coordapi.Reply
	err := f.config.Peers.Call(ctx, *leader, coordapi.KindCall, coordapi.Request{Await: &call}, &reply)
	switch {
	case err == nil && reply.Awaited != nil:
		f.giveBack(f.waiting.apply(f.now(), requestedAt, reply.Awaited)...)
	case errors.Is(err, peer.ErrRemote):
		f.waiting.withdrawSession(f.now())
		time.Sleep(retryDelay)
	case !errors.Is(ctx.Err(), context.Canceled):
		// It was not interrupted.
		time.Sleep(retryDelay)
	}
	return true
}

// askAgain asks the leader for the requests that its session does not hold.
func (f *Follower) askAgain() {
	for _, one := range f.waiting.lost(f.now()) {
		go func() {
			call := *one.call
			call.Waited, call.Again = f.now()-one.arrivedAt, true
			if one.counted {
				call.Tenant, call.Amount = "", 0
			}
			requestedAt := clock.Now()
			placed := f.ask(&call)
			if !f.waiting.asked(f.now(), requestedAt, one, placed) {
				// The end of the request may have reached the leader before the call did.
				f.giveBack(call.Number)
			}
			if placed != nil {
				f.askAgain()
			}
		}()
	}
}

// ask repeats a Place. It returns nil if that failed.
func (f *Follower) ask(call *coordapi.Place) *coordapi.Placed {
	leader := f.following.Load()
	if leader == nil {
		return nil
	}
	call.Reports = f.pendingReports()
	reply, err := f.call(context.Background(), *leader, coordapi.Request{Place: call})
	if err != nil || reply.Placed == nil {
		f.requeueReports(&call.Reports)
		return nil
	}
	return reply.Placed
}
