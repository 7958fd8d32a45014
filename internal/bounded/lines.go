package bounded

import (
	"sync"
	"time"
)

// lineWindow is the time within which LineLimiter counts.
const lineWindow = time.Second

// LineLimiter bounds the log lines on an event that other processes trigger. The zero value is
// ready to use. It is safe for concurrent use.
type LineLimiter struct {
	mu    sync.Mutex
	start time.Duration
	count int
}

// Allow counts a line and reports whether it may be written, of at most limit lines within a
// second.
func (l *LineLimiter) Allow(now time.Duration, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 || now >= l.start+lineWindow {
		l.start, l.count = now, 0
	}
	l.count++
	return l.count <= limit
}
