package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A back end that names a rate may get half as much again plus limitSlack in any limitWindow,
// counting routers that have had its limit for inFlightTime. This holds from limitGrace after
// the limit was set.
const (
	limitWindow = 4 * time.Second
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

// arrival is a request from a router.
type arrival struct {
	at     time.Time
	router string
}

// sendLimit records requests while the host has a limit, and names the limit in the response.
func (e *engine) sendLimit(w http.ResponseWriter, r *http.Request) {
	router, _, _ := strings.Cut(r.Header.Get(names.RequestID), " ")
	d := e.host.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.host.limit == "" {
		return
	}
	now := time.Now()
	e.limitedArrivals = append(e.limitedArrivals, arrival{now, router})
	if _, limitSent := e.limitSent[router]; !limitSent {
		e.limitSent[router] = now
	}
	w.Header().Set(names.Limit, e.host.limit)
}

// setLimit sets the limit of the engines of some hosts; empty ends it.
func (d *deployment) setLimit(hosts []*host, limit string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		h.limit = limit
	}
}

// maxInWindow returns the most requests that an engine got in any window from routers that had
// its limit, which it set at limitedAt.
func (e *engine) maxInWindow(limitedAt time.Time) int {
	maxInWindow := 0
	for i, last := range e.limitedArrivals {
		if last.at.Before(limitedAt.Add(limitGrace)) {
			continue
		}
		count := 0
		for _, a := range e.limitedArrivals[:i+1] {
			if a.at.After(last.at.Add(-limitWindow)) && a.at.After(e.limitSent[a.router].Add(inFlightTime)) {
				count++
			}
		}
		maxInWindow = max(maxInWindow, count)
	}
	return maxInWindow
}

// Back ends that name a limit must get no more than that from all routers together.
func TestLimitedBackendsGetNoMoreThanLimit(t *testing.T) {
	for path, c := range map[string]struct {
		pool  string
		limit string
	}{"/chat/": {"llm", "1"}, "/pay/": {"app", "1.3"}} {
		t.Run(c.pool, func(t *testing.T) {
			t.Parallel()
			rate, err := strconv.ParseFloat(c.limit, 64)
			assert.NilError(t, err)
			d := newDeployment(t, 3, 7, 6)
			limited := d.poolHosts(c.pool)[:2]
			begun := time.Now()
			d.setLimit(limited, c.limit)
			ctx, cancel := context.WithTimeout(t.Context(), limitGrace+2*limitWindow)
			defer cancel()
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, h := range limited {
				e := h.current
				assert.Assert(t, len(e.limitSent) > 0, "%s got no request", e.id)
				allowed := int(1.5*rate*limitWindow.Seconds()) + limitSlack
				assert.Assert(t, e.maxInWindow(begun) <= allowed, "%s got %d in %v, allowed %d", e.id, e.maxInWindow(begun), limitWindow, allowed)
				// A limited back end must still get most of its rate.
				least := int(0.8 * rate * 2 * limitWindow.Seconds())
				assert.Assert(t, e.arrivalsAfter(begun.Add(limitGrace)) >= least, "%s got %d, below its limit", e.id, e.arrivalsAfter(begun.Add(limitGrace)))
			}
			// The other back ends serve the rest.
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			assert.Assert(t, statuses[http.StatusOK] > 0)
		})
	}
}

// All back ends of a pool are limited, the demand is far higher, and all coordinators restart in
// the middle and lose their state. The back ends get most of their rate and no more, and other
// callers are refused with Retry-After.
func TestLimitedPoolSurvivesCoordinatorRestart(t *testing.T) {
	t.Parallel()
	const rate = 5
	d := newDeployment(t, 3, 7, 2)
	limited := d.poolHosts("app")
	begun := time.Now()
	d.setLimit(limited, strconv.Itoa(rate))
	ctx, cancel := context.WithTimeout(t.Context(), limitGrace+2*limitWindow)
	defer cancel()
	time.AfterFunc(limitGrace+limitWindow/2, d.restartNodes)
	statuses := d.load(ctx, "/pay/")
	length := time.Since(begun) - limitGrace
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range limited {
		e := h.current
		allowed := int(1.5*rate*limitWindow.Seconds()) + limitSlack
		assert.Assert(t, e.maxInWindow(begun) <= allowed, "%s got %d in %v, allowed %d", e.id, e.maxInWindow(begun), limitWindow, allowed)
		// Two seconds are for an election, with no lease to serve in the meantime.
		least := int(0.8 * rate * (length - 2*time.Second).Seconds())
		assert.Assert(t, e.arrivalsAfter(begun.Add(limitGrace)) >= least, "%s got %d in %v, below its limit", e.id, e.arrivalsAfter(begun.Add(limitGrace)), length)
	}
	for status := range statuses {
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%v", statuses)
	}
}

// A back end whose limit ends gets its share of requests again, after a few of its responses.
func TestBackendGetsFullShareAfterLimitEnds(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3, 2, 4)
			limited := d.poolHosts(pool)[:1]
			d.setLimit(limited, "2")
			ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
			defer cancel()
			time.AfterFunc(3*time.Second, func() { d.setLimit(limited, "") })
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			last := time.Now().Add(-2 * time.Second)
			count := 0
			for _, at := range limited[0].current.arrivals {
				if at.After(last) {
					count++
				}
			}
			assert.Assert(t, count > 20, "it got %d in two seconds", count)
		})
	}
}

// arrivalsAfter returns how many requests an engine got under its limit after a time.
func (e *engine) arrivalsAfter(from time.Time) int {
	count := 0
	for _, a := range e.limitedArrivals {
		if a.at.After(from) {
			count++
		}
	}
	return count
}
