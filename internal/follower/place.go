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
	// placeTimeout is how long the leader has to choose an engine, or to grant something:
	// some ways between zones and back. Past it the router goes on by itself.
	placeTimeout = 60 * time.Millisecond
	// placePause is how long the leader is not asked after it gave no answer.
	placePause = 250 * time.Millisecond
)

// errNotLeader is what a reply without a placement means.
var errNotLeader = errors.New("it does not lead")

// placements is a router's side of the choices that the leader makes for it. It
// is safe for concurrent use.
type placements struct {
	number atomic.Uint64
	// askAfter is when the leader may be asked again, by the process's clock.
	askAfter atomic.Int64
	// alone says that the last question had no answer.
	alone atomic.Bool

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
		// Other troubles are old when they are told again.
		if t.Kind == coordapi.Draining {
			p.reports.Troubles = append(p.reports.Troubles, t)
		}
	}
}

// take returns what the leader has not heard of.
func (p *placements) take() coordapi.Reports {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := p.reports
	p.reports = coordapi.Reports{}
	return reports
}

// Place asks the leader for an engine. Answered is false when there was no answer
// in time and the router must choose by itself; found is false when the leader
// knows of none that may serve.
func (f *Follower) Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	leader := f.askable()
	if leader == nil {
		return choice, false, false
	}
	ask := placer.Ask(q)
	ask.Router, ask.Zone, ask.Number = f.name, f.config.Zone, f.placements.number.Add(1)
	ask.Tried = append(slices.Clone(ask.Tried), f.config.Pushbacks.Unavailable(q.Pool)...)
	ask.Reports = f.reports()
	asked := clock.Now()
	reply, err := f.ask(ctx, *leader, coordapi.Request{Place: ask})
	if err != nil || reply.Placed == nil {
		// It may have been placed, and the reports may not have arrived.
		f.keep(&ask.Reports)
		f.placements.add(coordapi.Reports{Ended: []uint64{ask.Number}})
		f.config.Limits.Lost(ask.Number)
		if ctx.Err() != nil {
			// The caller has left: that says nothing of the leader.
			return choice, false, false
		}
		f.placements.askAfter.Store(int64(f.now() + placePause))
		if err == nil {
			err = errNotLeader
		}
		if !f.placements.alone.Swap(true) {
			f.config.Logger.Warn("leader places nothing, engines are chosen here", "part", "follower", "address", *leader, "error", err.Error())
		}
		return choice, false, false
	}
	if f.placements.alone.Swap(false) {
		f.config.Logger.Info("leader places again", "part", "follower", "address", *leader)
	}
	choice, found = placer.Choice(ask, reply.Placed)
	if reply.Placed.Right > 0 {
		choice.Right = ratelimit.Granted(coordapi.BackendID(choice.ID), ask.Number, asked, reply.Placed.Right)
	}
	return choice, found, true
}

// ask puts a question to the leader for which a request waits.
func (f *Follower) ask(ctx context.Context, leader string, question coordapi.Request) (reply coordapi.Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	err = f.config.Peers.Call(ctx, leader, coordapi.KindCall, question, &reply)
	return reply, err
}

// reports is what the leader has not heard of yet. Troubles that are lost on the way
// are not told again, but for what drains: they are old by then.
func (f *Follower) reports() coordapi.Reports {
	reports := f.placements.take()
	reports.Troubles = slices.Concat(reports.Troubles, f.config.Pool.Troubles(), f.config.Pushbacks.TakeUnreported())
	if f.config.Quota != nil {
		reports.Spent = append(reports.Spent, f.config.Quota.Spent()...)
	}
	reports.Limits, reports.Unused = f.config.Limits.News(), f.config.Limits.Unused()
	f.evidence.take(f.now(), &reports)
	return reports
}

// keep takes back reports that no leader has taken, for the next word.
func (f *Follower) keep(reports *coordapi.Reports) {
	f.placements.add(*reports)
	f.config.Limits.Untold(reports.Limits)
	f.config.Limits.Lost(reports.Unused...)
	f.evidence.lost(reports)
}

// Begun notes that the first event of a placement has come, and how long it took.
func (f *Follower) Begun(number uint64, first time.Duration) {
	f.placements.add(coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: first}}})
}

// Ended notes that a placement is over.
func (f *Follower) Ended(number uint64) {
	f.placements.add(coordapi.Reports{Ended: []uint64{number}})
}
