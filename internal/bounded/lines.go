package bounded

import (
	"sync"
	"time"
)

// linesTime is the time for which Lines counts.
const linesTime = time.Second

// LineLimiter bounds the log lines on one matter: others may bring it up with each word that they
// say. The zero value has none. It is safe for concurrent use.
type LineLimiter struct {
	mu    sync.Mutex
	from  time.Duration
	count int
}

// Allow tells whether one more line may be written, of at most a number within a second, and
// counts it.
func (l *LineLimiter) Allow(now time.Duration, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 || now >= l.from+linesTime {
		l.from, l.count = now, 0
	}
	l.count++
	return l.count <= most
}
