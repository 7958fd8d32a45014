package forward

import (
	"context"
	"sync"
	"time"
)

// deadlines cancels requests whose deadline passed while their timers did not fire: timers do
// not advance while the machine is suspended. It is safe for concurrent use.
type deadlines struct {
	mu   sync.Mutex
	open map[*time.Duration]context.CancelCauseFunc
}

func newDeadlines() *deadlines { return &deadlines{open: map[*time.Duration]context.CancelCauseFunc{}} }

// withDeadline returns a context that is cancelled at a deadline, which is left from now. Its
// cause distinguishes the deadline from a disconnected client.
func (d *deadlines) withDeadline(parent context.Context, deadline, left time.Duration) (ctx context.Context, done func()) {
	ended, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithTimeout(ended, left)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[&deadline] = cancel
	return ctx, func() {
		stop()
		cancel(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, &deadline)
	}
}

// cancelExpired cancels the requests whose deadline has passed.
func (d *deadlines) cancelExpired(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for deadline, cancel := range d.open {
		if now >= *deadline {
			cancel(context.DeadlineExceeded)
		}
	}
}

// CancelOverdue cancels the requests whose deadline has passed. It is to be called a few times
// a second.
func (h *Handler) CancelOverdue(context.Context) { h.deadlines.cancelExpired(h.now()) }
