package forward

import (
	"errors"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
)

const (
	// silenceFactor is the time without a first byte after which a retryable attempt is hedged, in
	// latency targets of its route.
	silenceFactor = 2
	// stallFactor is the time between two events after which a retryable stream is hedged, in gap targets
	// of its route, and minStall its lower bound.
	stallFactor = 4
	minStall    = 2 * time.Second
	// recheckDelay is the delay after which a timed-out attempt looks for a place for another one again.
	recheckDelay = 100 * time.Millisecond
	// maxTimerDelay is the delay of a watchdog's timer from which the process may have been suspended,
	// with events of the back end unread.
	maxTimerDelay = 50 * time.Millisecond
)

// watchSilence returns a watchdog that begins a further attempt beside one that has no response after
// some targets of its route. It returns nil if no further attempt is allowed.
func (h *Handler) watchSilence(a *attempt, targets int) *watchdog {
	target := a.session.job.route.Target
	if target <= 0 || !a.mayHedge() {
		return nil
	}
	return newWatchdog(time.Duration(targets)*target, a.onSilent)
}

// watchStall returns a watchdog that begins a further attempt beside one whose stream has stalled. It
// returns nil if no further attempt is allowed.
func (h *Handler) watchStall(a *attempt) *watchdog {
	route := a.session.job.route
	if !a.isStream() || route.Target <= 0 || !a.mayHedge() {
		return nil
	}
	return newWatchdog(max(stallFactor*route.GapTarget, minStall), a.onSilent)
}

// onSilent begins a further attempt. It is called again while the attempt is silent: there may be no
// place for another one yet.
func (a *attempt) onSilent() bool {
	a.session.race.hedge(a, errSilent)
	return false
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
