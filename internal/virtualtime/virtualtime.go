// Package virtualtime is a deterministic event queue with a virtual clock. Events at the same time
// run in the order in which they were scheduled.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events and the current virtual time. It is not safe for concurrent use.
type Queue struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the current virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// Planned returns the total number of events scheduled so far.
func (q *Queue) Planned() uint64 { return q.sequence }

// At schedules run at a time, or now if that is in the past.
func (q *Queue) At(when time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: max(when, q.now), sequence: q.sequence, run: run})
}

// After schedules run after a delay.
func (q *Queue) After(delay time.Duration, run func()) { q.At(q.now+delay, run) }

// Step advances the clock to the next event and runs it, unless it is after end. It reports whether
// an event was run.
func (q *Queue) Step(end time.Duration) bool {
	if len(q.events) == 0 || q.events[0].at > end {
		return false
	}
	next := heap.Pop(&q.events).(event)
	q.now = next.at
	next.run()
	return true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
