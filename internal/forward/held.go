package forward

import (
	"errors"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/upstream"
)

// holdTimeout bounds the wait until the writer of a request that is unread has stopped.
const holdTimeout = time.Second

var (
	errUnread         = fmt.Errorf("the back end reads nothing of the request: %w", errSilent)
	errUnidentified   = fmt.Errorf("the back end does not respond to the status request: %w", errSilent)
	errUnacknowledged = fmt.Errorf("nobody acknowledges the request: %w", errSilent)
	errReadsOn        = errors.New("the back end reads on")
)

// isHeld reports whether an attempt is silent because its request does not arrive.
func isHeld(cause error) bool {
	return errors.Is(cause, errUnread) || errors.Is(cause, errUnidentified) || errors.Is(cause, errUnacknowledged)
}

// hold keeps a request that its back end has not read from being written on, so that it is not run whole. The
// fields are closed once its writer has stopped, and when it may go on.
type hold struct{ stopped, resumed chan struct{} }

// isStopped reports whether the back end of an attempt cannot run it.
func (o *hold) isStopped() bool {
	if o == nil {
		return false
	}
	select {
	case <-o.stopped:
		return true
	default:
		return false
	}
}

// onHeld looks for a further attempt beside one whose request does not arrive. It returns false if the
// request is to be given up.
func (a *attempt) onHeld(why upstream.Held) (goOn bool) {
	r := a.session.race
	switch why {
	case upstream.Unidentified:
		r.holdBack(a)
		a.session.hedge.giveBack()
		r.hedge(a, errUnidentified)
		return true
	case upstream.Unacknowledged:
		if a.relay != "" {
			a.handler.config.Relays.Unreachable(a.handler.clock(), a.relay)
		}
		r.hedge(a, errUnacknowledged)
		return true
	}
	r.mu.Lock()
	o, g := a.hold, a.session.hedge
	holds := g != nil && g.hold != nil
	if o != nil && !o.isStopped() {
		close(o.stopped)
	}
	r.mu.Unlock()
	if holds {
		// The attempt that waits for this one may be as good.
		return false
	}
	r.hedge(a, errUnread)
	if o != nil {
		select {
		case <-o.resumed:
		case <-a.ctx.Done():
		}
	}
	return true
}

// makeWay stops the silent attempt if its request is unread and the route allows no further attempt beside
// it. It returns false if the further attempt may not be sent.
func (g *hedge) makeWay() bool {
	if !errors.Is(g.cause, errUnread) {
		return true
	}
	r, from := g.race, g.from
	r.mu.Lock()
	if g.hold != nil || r.mayOpen(r.running()+g.ran) {
		r.mu.Unlock()
		return true
	}
	if !r.open(from) || from.hold != nil {
		r.mu.Unlock()
		return false
	}
	o := &hold{stopped: make(chan struct{}), resumed: make(chan struct{})}
	g.hold, from.hold = o, o
	r.mu.Unlock()
	timer := time.NewTimer(holdTimeout)
	defer timer.Stop()
	select {
	case <-o.stopped:
		return true
	case <-from.ctx.Done():
	case <-g.ctx.Done():
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g.release(false)
	return false
}

// release lets the silent attempt go on, or ends it if the hedge has failed and the request may have run as
// often as its route allows. The lock of the race is held.
func (g *hedge) release(failed bool) {
	if g.hold == nil {
		return
	}
	if failed && !g.race.mayRun(g.from, 0) {
		g.from.cancel(errAttemptsSpent)
	}
	close(g.hold.resumed)
	g.hold, g.from.hold = nil, nil
}
