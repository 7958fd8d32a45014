package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// inFlightTime is how long after a rejection requests that were under way may still arrive.
// maxTooEarly is how many requests of a router may arrive between that and the end of
// Retry-After.
const (
	inFlightTime = 500 * time.Millisecond
	maxTooEarly  = 2
)

// reject answers with status 503 and Retry-After while the host is set so, and counts requests
// that arrive too early.
func (e *engine) reject(w http.ResponseWriter, r *http.Request) bool {
	router, _, _ := strings.Cut(r.Header.Get(names.RequestID), " ")
	d := e.host.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, at := range e.rejected[router] {
		if now.After(at.Add(inFlightTime)) && now.Before(at.Add(e.host.retryAfter)) {
			e.tooEarly[router]++
			break
		}
	}
	if e.host.retryAfter == 0 || (!e.host.rejectUntil.IsZero() && now.After(e.host.rejectUntil)) {
		return false
	}
	e.rejected[router] = append(e.rejected[router], now)
	w.Header().Set(names.NotRun, "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(e.host.retryAfter.Seconds(), 'f', 2, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// setRetryAfter makes the engines of some hosts reject requests with Retry-After; 0 ends it.
func (d *deployment) setRetryAfter(hosts []*host, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		h.retryAfter = retryAfter
	}
}

// poolHosts returns the hosts of a pool.
func (d *deployment) poolHosts(pool string) []*host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*host
	for _, h := range d.hosts {
		if h.pool == pool {
			out = append(out, h)
		}
	}
	return out
}

// load sends requests to all routers until the context ends, and counts the statuses.
func (d *deployment) load(ctx context.Context, path string) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	for worker := range 3 * len(d.frontend) {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				got := d.send(worker%len(d.frontend), "ka", path, fmt.Sprintf("load %d of %d", n, worker))
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return statuses
}

// Back ends that reject with Retry-After must get no requests for that time, whether the router
// or the leader places them.
func TestRejectingBackendsGetNoRequests(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			rejecting := d.poolHosts(pool)[:2]
			d.setRetryAfter(rejecting, 1500*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, h := range rejecting {
				assert.Assert(t, len(h.current.rejected) > 0, "%s got no request", h.current.id)
				for router, count := range h.current.tooEarly {
					assert.Assert(t, count <= maxTooEarly, "%s got %d from router %s too early", h.current.id, count, router)
				}
			}
			assert.Assert(t, statuses[http.StatusOK] > 0)
		})
	}
}

// Draining that a back end announces in its responses only must reach all routers, and its
// running streams go on.
func TestDrainingBackendsGetNoNewRequests(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			leaving := d.poolHosts(pool)[:2]
			long := make(chan result, 1)
			go func() { long <- d.send(0, "ka", "/chat/", "long") }()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			d.mu.Lock()
			for _, h := range leaving {
				h.draining = true
			}
			d.mu.Unlock()
			statuses := d.load(ctx, path)
			last := time.Now().Add(-time.Second)
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			assert.Assert(t, statuses[http.StatusOK] > 0)
			for _, h := range leaving {
				arrivals := h.current.arrivals
				assert.Assert(t, len(arrivals) == 0 || arrivals[len(arrivals)-1].Before(last), "%s got a request two seconds after it began to drain", h.current.id)
			}
			assert.Assert(t, (<-long).complete)
		})
	}
}
