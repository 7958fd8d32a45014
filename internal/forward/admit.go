package forward

import (
	"context"
	"errors"
	"time"

	"quinceridge.example/quinceridge/internal/periodic"
)

// retryInterval is the interval at which a retry is asked for while an attempt waits for one.
const retryInterval = 200 * time.Millisecond

// errAttemptsSpent means that the request may have run as often as its route allows.
var errAttemptsSpent = errors.New(attemptsSpent)

// holdBack makes an attempt whose request is not written yet wait for the others.
func (r *race) holdBack(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.unsent = true
}

// heldBack reports whether the request of an attempt is not written.
func (r *race) heldBack(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.unsent
}

// admit waits until the request of an attempt that was held back may be written: while no other attempt runs,
// or beside silent ones as far as the route and the retry budget allow.
func (a *attempt) admit() error {
	r := a.session.race
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.unsent {
		a.admitted()
		return nil
	}
	r.waiting++
	defer func() { r.waiting-- }()
	var granted bool
	defer func() {
		if granted {
			a.session.job.retry.giveBack()
		}
	}()
	for asked := time.Duration(0); a.unsent; {
		running, now := r.running(), a.handler.now()
		switch {
		case a.ctx.Err() != nil:
			return context.Cause(a.ctx)
		case running == 0 && !r.mayRun(a, 0):
			return errAttemptsSpent
		case running == 0:
			a.unsent = false
		case granted && r.mayRun(a, running):
			a.unsent, granted = false, false
		case !granted && r.allSilent() && r.mayRun(a, running) && now >= asked+retryInterval:
			asked = now
			r.mu.Unlock()
			granted = a.handler.takeRetry(a.ctx, a.session.job)
			r.mu.Lock()
		default:
			r.mu.Unlock()
			periodic.Sleep(a.ctx, pollInterval)
			r.mu.Lock()
		}
	}
	a.admitted()
	return nil
}

// admitted records that the request is about to be written. The status request may have taken a while. The lock of
// the race is held.
func (a *attempt) admitted() {
	a.written = true
	if a.relay == "" {
		a.handler.setDeadline(a.session.job)
	}
}

// mayRun reports whether the route permits an attempt to run beside a number of others. The lock is held.
func (r *race) mayRun(a *attempt, running int) bool {
	j := r.session.job
	ran := j.ran + r.spent.ran + running + r.vainRelays
	for _, g := range r.pending {
		ran += g.ran
	}
	for _, id := range r.vain {
		if id != a.choice.ID {
			ran++
		}
	}
	return ran < max(j.route.MaxAttempts, 1)
}

// allSilent reports whether the attempts that may run the request are silent. The lock is held.
func (r *race) allSilent() bool {
	for _, a := range r.openAttempts() {
		if !a.unsent && !a.hold.isStopped() && !a.silent {
			return false
		}
	}
	return true
}
