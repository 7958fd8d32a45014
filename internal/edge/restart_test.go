package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// restart crashes a host's engine and starts another there at once, under the same name if the
// host has one.
func (h *host) restart() {
	h.deployment.mu.Lock()
	end, server := h.current.end, h.server
	h.deployment.mu.Unlock()
	end()
	_ = server.Close()
	h.start()
}

// Engines that crash and start again under the same name within milliseconds, one or all of them
// at once and again, must get requests soon. Heartbeats of the new start must not count as late
// ones of the last.
func TestRestartedBackendsServeUnderSameName(t *testing.T) {
	d := newDeployment(t, 3, 2, 1)
	nameless := d.poolHosts("llm")[0]
	for _, name := range []string{"e1", "e2", "e3"} {
		h := &host{deployment: d, pool: "llm", address: freeAddress(t), name: name, restartDelay: 50 * time.Millisecond}
		d.mu.Lock()
		d.hosts = append(d.hosts, h)
		d.mu.Unlock()
		h.start()
	}
	engines := d.poolHosts("llm")[1:]
	d.mu.Lock()
	nameless.current.end()
	_ = nameless.server.Close()
	d.mu.Unlock()
	d.awaitServed("first")
	engines[0].restart()
	d.awaitServed("one again")
	for range 2 {
		for _, h := range engines {
			h.restart()
		}
	}
	d.awaitServed("all again")
	d.restartNodes()
	engines[1].restart()
	d.awaitServed("beside a change of leaders")
	// Draining of the last start does not bind the new one.
	d.mu.Lock()
	engines[0].draining = true
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d.load(ctx, "/chat/")
	d.mu.Lock()
	engines[0].draining = false
	d.mu.Unlock()
	engines[0].restart()
	d.awaitArrival(engines[0])
}

// awaitServed waits until each router has served five requests in a row.
func (d *deployment) awaitServed(body string) {
	d.t.Helper()
	for frontend := range d.frontend {
		row := 0
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			got := d.send(frontend, "ka", "/chat/", body)
			if row++; got.status != http.StatusOK || !got.complete {
				row = 0
			}
			if row < 5 {
				return poll.Continue("%s: %+v", body, got)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// awaitArrival waits until a host's current engine has run a request.
func (d *deployment) awaitArrival(h *host) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		d.send(0, "ka", "/chat/", "to all")
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(h.current.arrivals) == 0 {
			return poll.Continue("nothing")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(d.t, h.starts > 1)
}
