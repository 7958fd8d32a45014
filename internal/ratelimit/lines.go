package ratelimit

import "time"

const (
	// linesTime and maxLines bound the log lines on one start's limit: a back end may name
	// another rate in each answer.
	linesTime = time.Second
	maxLines  = 4
)

// lines counts the log lines on one start. The zero value has none.
type lines struct {
	from  time.Duration
	count int
}

// allow tells whether one more line may be written, and counts it.
func (l *lines) allow(now time.Duration) bool {
	if now >= l.from+linesTime {
		l.from, l.count = now, 0
	}
	l.count++
	return l.count <= maxLines
}
