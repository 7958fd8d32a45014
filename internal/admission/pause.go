package admission

import "time"

// maxPause is the longest pause of a pool. It is the usual patience of callers: engines that respond to
// nothing for longer have stopped.
const maxPause = 4 * time.Second

// pause is a time in which most engines of the pool do not respond. They may go on with what they run,
// so that it says nothing of the rate at which the pool grants work.
type pause struct {
	begun bool
	at    time.Duration
	// rate is the rate before, if it was known.
	rate  float64
	known bool
	// gap is set until the first grant after the pause.
	gap bool
}

// SetPaused records whether most engines of the pool do not respond.
func (q *Queue) SetPaused(now time.Duration, paused bool) {
	q.advance(now)
	if paused == q.pause.begun {
		return
	}
	if !paused {
		q.pause = pause{gap: true}
		return
	}
	// The time since the last grant belongs to the pause.
	q.sinceGrant.Reset()
	rate, known := q.rate()
	q.pause = pause{begun: true, at: q.now, rate: rate, known: known, gap: true}
}

// paused reports whether the pool pauses.
func (q *Queue) paused() bool { return q.pause.begun && q.now-q.pause.at < maxPause }
