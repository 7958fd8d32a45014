package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work that runs after its caller has returned and writes variables that the
// caller reads.
func TestDoSkipsWorkOfCanceledCaller(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ran := false
	for range 20 {
		if l.Do(ctx, func(time.Duration) { ran = true }) {
			t.Fatal("Do returned true without an owner to run the work")
		}
	}
	for len(l.Events()) > 0 {
		l.Run(<-l.Events())
	}
	assert.Assert(t, !ran)
}

func TestDoWaitsForStartedWorkAfterCancellation(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	ctx, cancel := context.WithCancel(t.Context())
	go func() { l.Run(<-l.Events()) }()
	finished := false
	ran := l.Do(ctx, func(time.Duration) {
		cancel()
		time.Sleep(20 * time.Millisecond)
		finished = true
	})
	assert.Assert(t, ran)
	assert.Assert(t, finished)
}

// Guards against Raft messages that are delayed by the requests of many back ends.
func TestPriorityEventsRunBeforeOthers(t *testing.T) {
	l := NewLoop(func() time.Duration { return 0 })
	var order []string
	note := func(what string) func(time.Duration) {
		return func(time.Duration) { order = append(order, what) }
	}
	l.Offer(note("call"))
	l.Offer(note("second call"))
	l.OfferPriority(note("vote"))
	l.Run(<-l.PriorityEvents())
	assert.DeepEqual(t, order, []string{"vote", "call", "second call"})
	l.Offer(note("third call"))
	l.Offer(func(time.Duration) {
		order = append(order, "fourth call")
		l.OfferPriority(note("second vote"))
	})
	l.Offer(note("fifth call"))
	l.Run(<-l.Events())
	assert.DeepEqual(t, order[3:], []string{"third call", "fourth call", "second vote", "fifth call"})
}
