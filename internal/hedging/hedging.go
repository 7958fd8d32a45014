// Package hedging decides what becomes of an attempt whose back end is silent. The back end may go on,
// so the attempt stays open while a further one, its hedge, is looked for; the first that has an answer
// is kept. The package does no I/O; callers pass the time.
package hedging

import "time"

// State is what a router knows of an attempt whose next event, or response, is overdue.
type State struct {
	// Listed is set if the leader lists the engine as unresponsive, by the streams of all routers.
	Listed bool
	// Lost is set if the engine's heartbeats are overdue as well, or if its row was removed.
	Lost bool
	// PathLost is set if this router does not reach the pool and may pass requests on to others.
	PathLost bool
	// Silence is the time without an event, and Limit that after which the caller is taken to have left.
	Silence, Limit time.Duration
}

// Action is what to do with a silent attempt.
type Action int

const (
	// Wait leaves the attempt alone: its back end is slow.
	Wait Action = iota
	// Hedge looks for a further attempt and leaves the present one open.
	Hedge
	// End ends the attempt: its caller has left, and nothing more arrives.
	End
)

// Decide returns what to do with an overdue attempt.
func Decide(s State) Action {
	switch {
	case s.Lost && s.Silence > s.Limit:
		return End
	case s.Listed || s.Lost || s.PathLost:
		return Hedge
	}
	return Wait
}

const (
	// minDelay is the time after which a silent attempt without a place for a hedge looks for one again.
	// It doubles up to maxDelay: capacity is back within a run time, and each search is a call to the
	// leader.
	minDelay = 100 * time.Millisecond
	maxDelay = time.Second
)

// Backoff spaces the searches for a place. The zero value is ready.
type Backoff struct {
	failures int
	at       time.Duration
}

// Ready reports whether a search may begin.
func (b *Backoff) Ready(now time.Duration) bool { return now >= b.at }

// Failed records a search that found no place, or whose attempt failed. First is set for the first one
// since the attempt was last answered.
func (b *Backoff) Failed(now time.Duration) (first bool) {
	delay := minDelay
	for range b.failures {
		delay = min(2*delay, maxDelay)
	}
	first = b.failures == 0
	b.at, b.failures = now+delay, b.failures+1
	return first
}

// Reset records that the attempt was answered.
func (b *Backoff) Reset() { *b = Backoff{} }
