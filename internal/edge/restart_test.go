package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// again ends a seat's engine without a word and starts another there at once, under the
// same name if the seat has one.
func (s *seat) again() {
	s.deployment.mu.Lock()
	end, server := s.current.end, s.server
	s.deployment.mu.Unlock()
	end()
	_ = server.Close()
	s.start()
}

// Engines crash and start again under their names within milliseconds, before anyone saw
// silence, and again, and all of them at once: each start gets requests as soon as it is
// known, and none is answered 421 for long. Before, a start under a name that was known
// stayed out: its heartbeats counted as late ones.
func TestBackEndsThatStartAgainUnderTheirNamesServe(t *testing.T) {
	d := newDeployment(t, 3, 2, 1)
	nameless := d.ofPool("llm")[0]
	for _, name := range []string{"e1", "e2", "e3"} {
		s := &seat{deployment: d, pool: "llm", address: freeAddress(t), name: name, back: 50 * time.Millisecond}
		d.mu.Lock()
		d.seats = append(d.seats, s)
		d.mu.Unlock()
		s.start()
	}
	engines := d.ofPool("llm")[1:]
	d.mu.Lock()
	nameless.current.end()
	_ = nameless.server.Close()
	d.mu.Unlock()
	d.awaitServed("first")
	engines[0].again()
	d.awaitServed("one again")
	for range 2 {
		for _, s := range engines {
			s.again()
		}
	}
	d.awaitServed("all again")
	d.restartNodes()
	engines[1].again()
	d.awaitServed("beside a change of leaders")
	// A drain of the start before does not bind this one.
	d.mu.Lock()
	engines[0].drains = true
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d.load(ctx, "/chat/")
	d.mu.Lock()
	engines[0].drains = false
	d.mu.Unlock()
	engines[0].again()
	d.awaitArrival(engines[0])
}

// awaitServed waits until each router is served a number of times in a row.
func (d *deployment) awaitServed(what string) {
	d.t.Helper()
	for front := range d.front {
		row := 0
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			got := d.ask(front, "ka", "/chat/", what)
			if row++; got.status != http.StatusOK || !got.whole {
				row = 0
			}
			if row < 5 {
				return poll.Continue("%s: %+v", what, got)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// awaitArrival waits until a seat's present engine has run something.
func (d *deployment) awaitArrival(s *seat) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		d.ask(0, "ka", "/chat/", "to all")
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(s.current.arrived) == 0 {
			return poll.Continue("nothing")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(d.t, s.starts > 1)
}
