package control

import (
	"context"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/raft"
)

// Limits of the event queue and of the events that share a disk sync.
const (
	eventQueueSize = 4096
	maxEventBatch  = 512
)

// Loop passes functions to the goroutine that owns a Core.
type Loop struct {
	// priority is drained before events.
	priority chan func(now time.Duration)
	events   chan func(now time.Duration)
	stopped  chan struct{}
	clock    func() time.Duration
}

// NewLoop returns a loop that reads the time from clock, which must be monotonic.
func NewLoop(clock func() time.Duration) *Loop {
	return &Loop{priority: make(chan func(time.Duration), eventQueueSize), events: make(chan func(time.Duration), eventQueueSize), stopped: make(chan struct{}), clock: clock}
}

// Events returns the queue of events. The owner passes each event to Run.
func (l *Loop) Events() <-chan func(now time.Duration) { return l.events }

// PriorityEvents returns the queue of events that run before those of Events.
func (l *Loop) PriorityEvents() <-chan func(now time.Duration) { return l.priority }

// Run runs event and up to maxEventBatch queued events, which share a disk sync.
func (l *Loop) Run(event func(now time.Duration)) {
	event(l.clock())
	for range maxEventBatch {
		event, queued := l.next()
		if !queued {
			return
		}
		event(l.clock())
	}
}

// next returns a queued event, priority events first.
func (l *Loop) next() (event func(now time.Duration), queued bool) {
	select {
	case event = <-l.priority:
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

// OfferPriority queues an event to run before those of Offer and Do. It does not block, and
// drops the event if the queue is full.
func (l *Loop) OfferPriority(event func(now time.Duration)) {
	select {
	case l.priority <- event:
	default:
	}
}

// Offer queues an event. It does not block, and drops the event if the queue is full.
func (l *Loop) Offer(event func(now time.Duration)) {
	select {
	case l.events <- event:
	default:
	}
}

// MarkStopped closes the channel of Stopped. The owner calls it when it runs no more events.
func (l *Loop) MarkStopped() { close(l.stopped) }

// Stopped returns a channel that is closed when the owner runs no more events.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Do runs work on the owner's goroutine and waits for it. It returns false if the owner
// stopped or ctx ended first. In that case work has not run and never will, so that work may
// write variables that the caller reads after Do.
func (l *Loop) Do(ctx context.Context, work func(now time.Duration)) bool {
	done := make(chan struct{})
	var started atomic.Bool
	event := func(now time.Duration) {
		if started.Swap(true) {
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
	if !started.Swap(true) {
		return false
	}
	<-done
	return true
}

// StepDown transfers leadership to the most up-to-date voter, so that a planned stop causes no
// election timeout. It returns when the core is not the leader or ctx ends.
func (l *Loop) StepDown(ctx context.Context, core func() *Core, tick time.Duration) {
	leading := false
	l.Do(ctx, func(time.Duration) { leading = core().stepDown() })
	for leading && ctx.Err() == nil {
		time.Sleep(tick)
		l.Do(ctx, func(time.Duration) { leading = core().Status().Role == raft.Leader })
	}
}

// stepDown starts a transfer of leadership and reports whether it did: the node must be the
// leader and have a successor.
func (c *Core) stepDown() bool {
	status := c.Status()
	successor := uint64(0)
	for id, match := range status.Match {
		if status.Membership.IsVoter(id) && (successor == 0 || match > status.Match[successor]) {
			successor = id
		}
	}
	return successor != 0 && c.TransferLeadership(successor) == nil
}
