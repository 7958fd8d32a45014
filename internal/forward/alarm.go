package forward

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// silenceFactor is how many latency targets a repeatable attempt may be
	// silent before another back end is asked.
	silenceFactor = 2
	// stallFactor is how many gap targets a stream that may go on elsewhere may
	// pause, and leastStall the least such time.
	stallFactor = 4
	leastStall  = 2 * time.Second
	// alarmStep is the pause after which a silent attempt is looked at again that
	// went on for want of a repeat.
	alarmStep = 100 * time.Millisecond
)

// watchSilence gives up a repeatable attempt whose back end is silent for too
// long while another one may be asked.
func (h *Handler) watchSilence(ctx context.Context, j *job, cancel context.CancelCauseFunc) *alarm {
	if !j.route.Retryable() || j.ran+1 >= max(j.route.MaxAttempts, 1) || j.route.Target <= 0 {
		return nil
	}
	return newAlarm(silenceFactor*j.route.Target, h.giveUp(ctx, j, cancel))
}

// giveUp returns what ends a silent attempt: only when the budget has a repeat,
// which is taken at once. Without one the attempt is the only hope that is left.
func (h *Handler) giveUp(ctx context.Context, j *job, cancel context.CancelCauseFunc) func() bool {
	return func() bool {
		if !h.budget.Repeat(ctx, h.now(), j.pool.Name, h.config.Source.Routers()) {
			return false
		}
		j.granted.Store(true)
		cancel(errSilent)
		return true
	}
}

// alarm gives an attempt up unless it is put off in time. A nil alarm does
// nothing.
type alarm struct {
	limit time.Duration
	// giveUp returns false when it is to be asked again after alarmStep.
	giveUp func() bool
	// mu guards timer, which its own function sets anew, and stopped.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newAlarm(limit time.Duration, giveUp func() bool) *alarm {
	a := &alarm{limit: limit, giveUp: giveUp}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(limit, a.ring)
	return a
}

func (a *alarm) ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped && !a.giveUp() {
		a.timer.Reset(alarmStep)
	}
}

func (a *alarm) stop() { a.reset(true) }

func (a *alarm) putOff() { a.reset(false) }

func (a *alarm) reset(stopped bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = a.stopped || stopped
	if a.stopped {
		a.timer.Stop()
		return
	}
	a.timer.Reset(a.limit)
}

var errSilent = errors.New("the back end was silent for too long")
