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
	open map[*openRequest]struct{}
	// ended is the cause with which all requests are cancelled, also later ones; nil if they are not.
	ended error
	// running is the number of requests that are being handled, also those without a deadline yet.
	running int
	// arriving are the requests whose bodies are being read. Each is called, with the lock held, to end that if the
	// request will be refused; ended is set once all requests have been cancelled.
	arriving map[*func(ended bool)]struct{}
	// none is closed once no request is being handled; nil while nobody waits for that.
	none chan struct{}
}

// openRequest is a request with a deadline. The lock of its deadlines guards it.
type openRequest struct {
	// deadline is when the request is cancelled.
	deadline time.Duration
	cancel   context.CancelCauseFunc
}

func newDeadlines() *deadlines {
	return &deadlines{open: map[*openRequest]struct{}{}, arriving: map[*func(bool)]struct{}{}}
}

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

// withDeadline returns a context that is cancelled at a deadline, and once extend has been called at a later one, the
// cutoff. Its cause distinguishes both from a disconnected client. Done must be called once the request has ended.
func (d *deadlines) withDeadline(parent context.Context, now, deadline, cutoff time.Duration) (ctx context.Context, extend, done func()) {
	ended, cancel := context.WithCancelCause(parent)
	ctx, stop := context.WithTimeout(ended, cutoff-now)
	timer := time.AfterFunc(deadline-now, func() { cancel(context.DeadlineExceeded) })
	r := &openRequest{deadline: deadline, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[r] = struct{}{}
	if d.ended != nil {
		cancel(d.ended)
	}
	extend = func() {
		timer.Stop()
		d.mu.Lock()
		defer d.mu.Unlock()
		r.deadline = cutoff
	}
	return ctx, extend, func() {
		timer.Stop()
		stop()
		cancel(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, r)
	}
}

// awaitBody has check called when the bodies that have not ended are looked at, until done has returned.
func (d *deadlines) awaitBody(check func(ended bool)) (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arriving[&check] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.arriving, &check)
	}
}

// checkBodies looks at the bodies that have not ended.
func (d *deadlines) checkBodies() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for check := range d.arriving {
		(*check)(d.ended != nil)
	}
}

// cancelAll cancels all requests with a cause, also those that begin later.
func (d *deadlines) cancelAll(cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = cause
	for r := range d.open {
		r.cancel(cause)
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
	for r := range d.open {
		if now >= r.deadline {
			r.cancel(context.DeadlineExceeded)
		}
	}
}

// CancelOverdue cancels the requests whose deadline has passed. It is to be called a few times
// a second.
func (h *Handler) CancelOverdue(context.Context) { h.deadlines.cancelExpired(h.now()) }
