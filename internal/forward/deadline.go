package forward

import (
	"context"
	"sync"
	"time"
)

// deadlines cancels requests whose deadline passed while their timers did not fire: timers do
// not advance while the machine is suspended. It also cancels all of them when the router stops. It is safe
// for concurrent use.
type deadlines struct {
	mu   sync.Mutex
	open map[*time.Duration]context.CancelCauseFunc
	// ended is the cause with which all requests are cancelled, also later ones; nil if they are not.
	ended error
	// running is the number of requests that are being handled, also those without a deadline yet.
	running int
	// none is closed once no request is being handled; nil while nobody waits for that.
	none chan struct{}
}

func newDeadlines() *deadlines { return &deadlines{open: map[*time.Duration]context.CancelCauseFunc{}} }

// begin records that a request is being handled until end is called.
func (d *deadlines) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.running--; d.running == 0 && d.none != nil {
			close(d.none)
			d.none = nil
		}
	}
}

// await waits until no request is being handled. It is to be called once.
func (d *deadlines) await() {
	d.mu.Lock()
	if d.running == 0 {
		d.mu.Unlock()
		return
	}
	none := make(chan struct{})
	d.none = none
	d.mu.Unlock()
	<-none
}

// withDeadline returns a context that is cancelled at a deadline, which is left from now. Its
// cause distinguishes the deadline from a disconnected client.
func (d *deadlines) withDeadline(parent context.Context, deadline, left time.Duration) (ctx context.Context, done func()) {
	ended, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithTimeout(ended, left)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[&deadline] = cancel
	if d.ended != nil {
		cancel(d.ended)
	}
	return ctx, func() {
		stop()
		cancel(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, &deadline)
	}
}

// cancelAll cancels all requests with a cause, also those that begin later.
func (d *deadlines) cancelAll(cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = cause
	for _, cancel := range d.open {
		cancel(cause)
	}
}

// allEnded reports whether all requests have been cancelled.
func (d *deadlines) allEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended != nil
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
