package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/placer"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

const (
	// placeTimeout is the default bound of a request to the leader that a caller waits for: a few round
	// trips between zones. After it the router decides by itself.
	placeTimeout = 60 * time.Millisecond
	// lateReplyTimeout is the time after which a reply is not awaited any more whose caller has gone on
	// without it: the permit in it may be used for a while yet. It is shorter than the age at which
	// package peer closes the connection of a call that is cancelled.
	lateReplyTimeout = 350 * time.Millisecond
	// placeBackoff is the time without placement requests to a leader that did not answer.
	placeBackoff = 250 * time.Millisecond
)

// errNotLeader stands for a reply without a placement.
var errNotLeader = errors.New("node is not the leader")

// placements is a router's side of the leader's placements. It is safe for concurrent use.
type placements struct {
	number atomic.Uint64
	// backoffUntil is the time from which the leader may be called again, by the process's clock.
	backoffUntil atomic.Int64
	// standalone is set while the leader does not answer.
	standalone atomic.Bool

	mu      sync.Mutex
	reports coordapi.Reports
}

// add keeps reports until they are taken.
func (p *placements) add(reports coordapi.Reports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports.Begun = append(p.reports.Begun, reports.Begun...)
	p.reports.Ended = append(p.reports.Ended, reports.Ended...)
	p.reports.Spent = append(p.reports.Spent, reports.Spent...)
	for _, t := range reports.Troubles {
		// Other troubles are out of date by the next report.
		if t.Kind == coordapi.Draining {
			p.reports.Troubles = append(p.reports.Troubles, t)
		}
	}
}

// take returns the reports added since the last call.
func (p *placements) take() coordapi.Reports {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := p.reports
	p.reports = coordapi.Reports{}
	return reports
}

// Place asks the leader for an engine, and waits until there is capacity if the leader queues the
// request. Answered is false when there was no answer in time and the router must choose by itself;
// found is false when no engine may serve.
func (f *Follower) Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	leader := f.reachableLeader()
	if leader == nil {
		return choice, false, false
	}
	call := placer.NewRequest(q)
	call.Router, call.Zone, call.Number = f.name, f.config.Zone, f.placements.number.Add(1)
	call.Tried = append(slices.Clone(call.Tried), f.config.Pushbacks.Unavailable(q.Pool)...)
	call.Reports = f.pendingReports()
	requested := clock.Now()
	var one *waiter
	if call.Wait {
		one = f.waiting.add(f.now(), call)
		defer f.waiting.remove(one)
	}
	reply, err := f.callForPermit(ctx, *leader, coordapi.Request{Place: call}, call.Number, func(reply *coordapi.Reply) *ratelimit.Permit {
		if reply.Placed == nil || reply.Placed.Permit == 0 {
			return nil
		}
		return ratelimit.Granted(coordapi.BackendID(reply.Placed.ID), call.Number, requested, reply.Placed.Permit)
	})
	if err != nil || reply.Placed == nil {
		// The request may have been placed, and the reports may be lost.
		f.requeueReports(&call.Reports)
		f.placements.add(coordapi.Reports{Ended: []uint64{call.Number}})
		if ctx.Err() != nil {
			// The caller has left; the leader may be fine.
			return choice, false, false
		}
		f.placements.backoffUntil.Store(int64(f.now() + placeBackoff))
		if err == nil {
			err = errNotLeader
		}
		if !f.placements.standalone.Swap(true) {
			f.config.Logger.Warn("leader does not place requests; choosing engines locally", "part", "follower", "address", *leader, "error", err.Error())
		}
		return choice, false, false
	}
	if f.placements.standalone.Swap(false) {
		f.config.Logger.Info("leader places requests again", "part", "follower", "address", *leader)
	}
	placed := reply.Placed
	if placed.Reason != "" {
		f.config.Logger.Info("refused without waiting", "part", "queue", "request", call.Request.String(), "pool", call.Pool, "tenant_priority", call.Urgency.Tenant,
			"priority", call.Urgency.Route, "tenant", call.Account, "waited_ms", call.Waited.Milliseconds(), "ahead", placed.Queue, "reason", placed.Reason)
	}
	if placed.Queued && one != nil {
		o, decided := f.awaitOutcome(ctx, one, placed)
		if !decided {
			return choice, false, false
		}
		placed, requested = &o.placed, o.requestedAt
	}
	choice, found = placer.Choice(call, placed)
	if placed.Permit > 0 {
		choice.Permit = ratelimit.Granted(coordapi.BackendID(choice.ID), call.Number, requested, placed.Permit)
	}
	return choice, found, true
}

// call sends a request to the leader that a caller waits for.
func (f *Follower) call(ctx context.Context, leader string, request coordapi.Request) (reply coordapi.Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.placeTimeout)
	defer cancel()
	err = f.config.Peers.Call(ctx, leader, coordapi.KindCall, request, &reply)
	return reply, err
}

// callForPermit is call for a request whose reply may grant a permit, under a number. A permit that arrives
// after the caller has gone on without it is kept for another request; granted returns that of a reply, nil
// for none. Without a reply the number is released: the permit may have been granted.
func (f *Follower) callForPermit(ctx context.Context, leader string, request coordapi.Request, number uint64, granted func(*coordapi.Reply) *ratelimit.Permit) (coordapi.Reply, error) {
	type result struct {
		reply coordapi.Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(lateReplyTimeout, f.placeTimeout))
		defer cancel()
		var r result
		r.err = f.config.Peers.Call(call, leader, coordapi.KindCall, request, &r.reply)
		done <- r
	}()
	timeout := time.NewTimer(f.placeTimeout)
	defer timeout.Stop()
	err := context.DeadlineExceeded
	select {
	case r := <-done:
		if r.err != nil {
			f.config.Limits.ReleaseNumbers(number)
		}
		return r.reply, r.err
	case <-timeout.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		r := <-done
		permit := granted(&r.reply)
		if r.err != nil || permit == nil || f.config.Limits == nil {
			f.config.Limits.ReleaseNumbers(number)
			return
		}
		f.config.Limits.AddSpare(permit)
	}()
	return coordapi.Reply{}, err
}

// pendingReports returns what has not been reported to the leader. Troubles are lost with a
// failed report, except for draining, since they are out of date by then.
func (f *Follower) pendingReports() coordapi.Reports {
	pendingReports := f.placements.take()
	pendingReports.Troubles = slices.Concat(pendingReports.Troubles, f.config.Pool.Troubles(), f.config.Pushbacks.TakeUnreported())
	if f.config.Quota != nil {
		pendingReports.Spent = append(pendingReports.Spent, f.config.Quota.Spent()...)
	}
	pendingReports.Limits, pendingReports.Unused = f.config.Limits.TakeUnreported(), f.config.Limits.Unused()
	pendingReports.Finished = f.config.Limits.TakeFinished()
	f.evidence.take(f.now(), &pendingReports)
	return pendingReports
}

// requeueReports keeps reports that did not arrive for the next one.
func (f *Follower) requeueReports(reports *coordapi.Reports) {
	f.placements.add(*reports)
	f.config.Limits.Requeue(reports.Limits)
	f.config.Limits.ReleaseNumbers(reports.Unused...)
	f.config.Limits.RequeueFinished(reports.Finished...)
	f.evidence.requeue(reports)
}

// Begun records that the first event of a placement has arrived, and after how long.
func (f *Follower) Begun(number uint64, first time.Duration) {
	f.placements.add(coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: first}}})
}

// Ended records that a placement is over.
func (f *Follower) Ended(number uint64) {
	f.placements.add(coordapi.Reports{Ended: []uint64{number}})
}
