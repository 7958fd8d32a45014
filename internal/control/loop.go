package control

import (
	"context"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/raft"
)

// Batching of work between two syncs of the disk.
const (
	eventQueue = 4096
	eventBatch = 512
)

// Loop hands functions to the one goroutine that owns a Core.
type Loop struct {
	// first goes before events.
	first   chan func(now time.Duration)
	events  chan func(now time.Duration)
	stopped chan struct{}
	clock   func() time.Duration
}

// NewLoop returns a loop by a monotonic clock.
func NewLoop(clock func() time.Duration) *Loop {
	return &Loop{first: make(chan func(time.Duration), eventQueue), events: make(chan func(time.Duration), eventQueue), stopped: make(chan struct{}), clock: clock}
}

// Events are the functions that wait. The owner runs each with Run.
func (l *Loop) Events() <-chan func(now time.Duration) { return l.events }

// PriorityEvents are those that were offered to be run before all Events.
func (l *Loop) PriorityEvents() <-chan func(now time.Duration) { return l.first }

// Run runs an event and those that wait behind it, so that they share a sync.
func (l *Loop) Run(event func(now time.Duration)) {
	event(l.clock())
	for range eventBatch {
		event, waits := l.next()
		if !waits {
			return
		}
		event(l.clock())
	}
}

// next returns an event that waits, the first ones before the others.
func (l *Loop) next() (event func(now time.Duration), waits bool) {
	select {
	case event = <-l.first:
		return event, true
	default:
	}
	select {
	case event = <-l.events:
		return event, true
	default:
		return nil, false
	}
}

// OfferPriority queues a function before those of Offer and Do, without waiting for it. A
// full queue loses it.
func (l *Loop) OfferPriority(event func(now time.Duration)) {
	select {
	case l.first <- event:
	default:
	}
}

// Offer queues a function without waiting for it. A full queue loses it.
func (l *Loop) Offer(event func(now time.Duration)) {
	select {
	case l.events <- event:
	default:
	}
}

// MarkStopped says that the owner runs no more events.
func (l *Loop) MarkStopped() { close(l.stopped) }

// Stopped is closed by End.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Do runs a function on the owner's goroutine and waits for it. It returns
// false when the owner has stopped or the context ended first; the function was not
// run then and never will be, so that it may write what its caller goes on to read.
func (l *Loop) Do(ctx context.Context, work func(now time.Duration)) bool {
	done := make(chan struct{})
	var claimed atomic.Bool
	event := func(now time.Duration) {
		if claimed.Swap(true) {
			return
		}
		work(now)
		close(done)
	}
	select {
	case l.events <- event:
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-l.stopped:
	}
	if !claimed.Swap(true) {
		return false
	}
	<-done
	return true
}

// StepDown gives leadership to the voter that is furthest, so that a planned
// stop costs no election timeout. It returns when the core leads no more.
func (l *Loop) StepDown(ctx context.Context, core func() *Core, tick time.Duration) {
	leading := false
	l.Do(ctx, func(time.Duration) { leading = core().offerLeadership() })
	for leading && ctx.Err() == nil {
		time.Sleep(tick)
		l.Do(ctx, func(time.Duration) { leading = core().Status().Role == raft.Leader })
	}
}

// offerLeadership starts a hand-over, if this node leads and has a successor.
func (c *Core) offerLeadership() bool {
	status := c.Status()
	best := uint64(0)
	for id, match := range status.Match {
		if status.Membership.IsVoter(id) && (best == 0 || match > status.Match[best]) {
			best = id
		}
	}
	return best != 0 && c.TransferLeadership(best) == nil
}
