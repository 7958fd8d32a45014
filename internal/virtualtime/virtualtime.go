// Package virtualtime runs events in the order of a clock that costs no time.
// Events of equal times run in the order in which they were planned, so equal
// plans give equal runs.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is planned events and the present time. It is not safe for concurrent
// use.
type Queue struct {
	now    time.Duration
	number uint64
	events eventHeap
}

type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// Now returns the present time.
func (q *Queue) Now() time.Duration { return q.now }

// Planned returns how many events were ever planned.
func (q *Queue) Planned() uint64 { return q.number }

// At plans an event. A time in the past means now.
func (q *Queue) At(when time.Duration, run func()) {
	q.number++
	heap.Push(&q.events, event{at: max(when, q.now), number: q.number, run: run})
}

// After plans an event some time from now.
func (q *Queue) After(delay time.Duration, run func()) { q.At(q.now+delay, run) }

// Step runs the next event, unless it comes after the end. It returns false
// when there was none to run.
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
	return h[i].number < h[j].number
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
