package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// namedHosts adds hosts whose back ends keep their names and report when they have started.
func (d *deployment) namedHosts(pool string, count int) []*host {
	d.t.Helper()
	var out []*host
	for i := range count {
		h := &host{deployment: d, pool: pool, address: freeAddress(d.t), name: pool + string(rune('a'+i)), datesStarts: true, restartDelay: 50 * time.Millisecond}
		d.mu.Lock()
		d.hosts = append(d.hosts, h)
		d.mu.Unlock()
		h.start()
		out = append(out, h)
	}
	return out
}

// withdrawUnnamed ends the back ends of a pool that have no name of their own.
func (d *deployment) withdrawUnnamed(pool string) {
	for _, h := range d.poolHosts(pool) {
		if h.name == "" {
			d.mu.Lock()
			h.current.end()
			_ = h.server.Close()
			d.mu.Unlock()
		}
	}
}

// setMuted keeps the back ends of a host from sending heartbeats.
func (h *host) setMuted(muted bool) {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	h.muted = muted
}

// A Retry-After must hold that a start sent before its first heartbeat, while routers still took it for the
// start before.
func TestRetryAfterBeforeFirstHeartbeatHolds(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 1)
			hosts := d.namedHosts(pool, 4)
			d.configure()
			d.awaitReady()
			d.withdrawUnnamed(pool)
			h := hosts[0]
			h.setMuted(true)
			d.mu.Lock()
			h.retryAfter, h.rejectUntil = 5*time.Second, time.Now().Add(time.Second)
			d.mu.Unlock()
			h.restart()
			time.AfterFunc(2*time.Second, func() { h.setMuted(false) })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Assert(t, len(h.current.rejected) > 0, "it got no request")
			for router, count := range h.current.tooEarly {
				assert.Assert(t, count <= maxTooEarly, "got %d from router %s too early", count, router)
			}
			assert.Assert(t, statuses[http.StatusOK] > 0)
		})
	}
}

// The Retry-After of a start that has ended must not keep requests from the one that has taken its name.
func TestRetryAfterOfEndedStartIsDropped(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 1)
			h := d.namedHosts(pool, 4)[0]
			d.configure()
			d.awaitReady()
			d.withdrawUnnamed(pool)
			d.setRetryAfter([]*host{h}, 30*time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			d.load(ctx, path)
			d.mu.Lock()
			assert.Assert(t, len(h.current.rejected) > 0, "it got no request")
			h.retryAfter = 0
			d.mu.Unlock()
			h.restart()
			ctx, cancel = context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Assert(t, len(h.current.arrivals) > 0)
		})
	}
}
