package forward

import (
	"context"
	"sync"
	"time"
)

// overdue ends requests whose deadline has passed though their timer has not: timers
// stand still while the machine is suspended. It is safe for concurrent use.
type overdue struct {
	mu   sync.Mutex
	open map[*time.Duration]context.CancelCauseFunc
}

func newOverdue() *overdue { return &overdue{open: map[*time.Duration]context.CancelCauseFunc{}} }

// begin returns a context that ends at a deadline, which is left away. Its cause tells a
// deadline from a caller that left.
func (o *overdue) begin(parent context.Context, deadline, left time.Duration) (ctx context.Context, done func()) {
	ended, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithTimeout(ended, left)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[&deadline] = cancel
	return ctx, func() {
		stop()
		cancel(nil)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, &deadline)
	}
}

// end ends the requests whose deadline has passed.
func (o *overdue) end(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for deadline, cancel := range o.open {
		if now >= *deadline {
			cancel(context.DeadlineExceeded)
		}
	}
}

// CancelOverdue ends the requests whose deadline has passed. It is to be called a few times
// a second.
func (h *Handler) CancelOverdue(context.Context) { h.overdue.end(h.now()) }
