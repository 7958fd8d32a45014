package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
)

const (
	// silenceFactor is the timeout for the first byte of a retryable attempt, in latency
	// targets of its route.
	silenceFactor = 2
	// stallFactor is the timeout between two events of a retryable stream, in gap targets of
	// its route, and minStall its lower bound.
	stallFactor = 4
	minStall    = 2 * time.Second
	// recheckDelay is the delay after which a timed-out attempt asks the retry budget again.
	recheckDelay = 100 * time.Millisecond
	// maxTimerDelay is the delay of a watchdog's timer from which the process may have been suspended,
	// with events of the back end unread.
	maxTimerDelay = 50 * time.Millisecond
)

// watchSilence returns a watchdog that cancels a retryable attempt if its back end sends no
// response in time. It returns nil if no further attempt is allowed.
func (h *Handler) watchSilence(ctx context.Context, j *job, cancel context.CancelCauseFunc) *watchdog {
	if !j.route.Retryable() || j.ran+1 >= max(j.route.MaxAttempts, 1) || j.route.Target <= 0 {
		return nil
	}
	return newWatchdog(silenceFactor*j.route.Target, h.cancelForRetry(ctx, j, cancel))
}

// cancelForRetry returns a watchdog callback that cancels an attempt if the budget allows a
// retry, which it spends at once. Without a retry the attempt goes on.
func (h *Handler) cancelForRetry(ctx context.Context, j *job, cancel context.CancelCauseFunc) func() bool {
	return func() bool {
		if !h.grantRetry(ctx, j) {
			return false
		}
		cancel(errSilent)
		return true
	}
}

// grantRetry reports whether the budget allows a retry. It spends one unless one has been granted
// and not used.
func (h *Handler) grantRetry(ctx context.Context, j *job) bool {
	j.retryMu.Lock()
	defer j.retryMu.Unlock()
	if !j.retryGranted.Load() && h.budget.AllowRetry(ctx, h.now(), j.pool.Name, h.config.Source.Routers()) {
		j.retryGranted.Store(true)
	}
	return j.retryGranted.Load()
}

// watchdog calls onTimeout unless it is stopped or extended in time. A nil watchdog does
// nothing.
type watchdog struct {
	timeout time.Duration
	// onTimeout returns false if it is to be called again after recheckDelay.
	onTimeout func() bool
	// mu guards timer and stopped; timer's own callback resets timer.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	paused  bool
	// due is when the timer is to fire, by package clock.
	due time.Duration
}

func newWatchdog(timeout time.Duration, onTimeout func() bool) *watchdog {
	w := &watchdog{timeout: timeout, onTimeout: onTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = clock.Now() + timeout
	w.timer = time.AfterFunc(timeout, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.paused {
		return
	}
	if clock.Now()-w.due > maxTimerDelay || !w.onTimeout() {
		w.schedule(recheckDelay)
	}
}

// schedule sets the timer. The lock is held.
func (w *watchdog) schedule(delay time.Duration) {
	w.due = clock.Now() + delay
	w.timer.Reset(delay)
}

func (w *watchdog) stop() { w.reset(true, false) }

// pause stops the watchdog until it is extended.
func (w *watchdog) pause() { w.reset(false, true) }

func (w *watchdog) extend() { w.reset(false, false) }

func (w *watchdog) reset(stopped, paused bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.paused = w.stopped || stopped, paused
	if w.stopped || w.paused {
		w.timer.Stop()
		return
	}
	w.schedule(w.timeout)
}

var errSilent = errors.New("the back end sent nothing in time")
