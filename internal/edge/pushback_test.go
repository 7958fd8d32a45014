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

// underWay is how long after its answer a back end may still get what had been sent
// before, and spared how many requests of a router it bears from then to the end of the
// time that it asked for.
const (
	underWay = 500 * time.Millisecond
	spared   = 2
)

// turnAway answers 503 with Retry-After while the seat is set so, and counts what comes
// too early.
func (e *engine) turnAway(w http.ResponseWriter, r *http.Request) bool {
	router, _, _ := strings.Cut(r.Header.Get(names.RequestID), " ")
	d := e.seat.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, at := range e.turnedAway[router] {
		if now.After(at.Add(underWay)) && now.Before(at.Add(e.seat.wait)) {
			e.tooEarly[router]++
			break
		}
	}
	if e.seat.wait == 0 {
		return false
	}
	e.turnedAway[router] = append(e.turnedAway[router], now)
	w.Header().Set(names.NotRun, "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(e.seat.wait.Seconds(), 'f', 2, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// wants sets for how long the engines at some seats want nothing; 0 ends it.
func (d *deployment) wants(seats []*seat, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range seats {
		s.wait = wait
	}
}

// ofPool are the seats of a pool.
func (d *deployment) ofPool(pool string) []*seat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*seat
	for _, s := range d.seats {
		if s.pool == pool {
			out = append(out, s)
		}
	}
	return out
}

// load asks all routers without a pause until the context ends, and counts the statuses.
func (d *deployment) load(ctx context.Context, path string) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	for worker := range 3 * len(d.front) {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				got := d.ask(worker%len(d.front), "ka", path, fmt.Sprintf("load %d of %d", n, worker))
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

// What users saw: four of twelve engines turned all requests away for nine seconds and
// asked each router for three seconds without any, and got as many as before; a tenth of
// the requests were refused after several engines in turn had turned them away. A router
// read "503, not run" and avoided the engine for 150 ms; then the leader, which chooses for
// all, took it for the one with the least work. Shown by the figures of the engines, which
// turned away 2 to 5 requests in each of those seconds, and by the routers' logs: all
// attempts at them had been placed by the leader, the shortest pause between two of one
// router at one engine was 0.1 s.
func TestBackEndsThatPushBackAreLeftAlone(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			resting := d.ofPool(pool)[:2]
			d.wants(resting, 1500*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			statuses := d.load(ctx, path)
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, s := range resting {
				assert.Assert(t, len(s.current.turnedAway) > 0, "%s was never asked", s.current.id)
				for router, count := range s.current.tooEarly {
					assert.Assert(t, count <= spared, "%s got %d from router %s too early", s.current.id, count, router)
				}
			}
			assert.Assert(t, statuses[http.StatusOK] > 0)
		})
	}
}

// What back ends say of their end in answers only reaches all routers, the one that heard
// it and those that did not, and streams that run there go on.
func TestBackEndsThatDrainInTheirAnswersGetNothingNew(t *testing.T) {
	for path, pool := range map[string]string{"/chat/": "llm", "/pay/": "app"} {
		t.Run(pool, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			leaving := d.ofPool(pool)[:2]
			long := make(chan answer, 1)
			go func() { long <- d.ask(0, "ka", "/chat/", "long") }()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			d.mu.Lock()
			for _, s := range leaving {
				s.drains = true
			}
			d.mu.Unlock()
			statuses := d.load(ctx, path)
			last := time.Now().Add(-time.Second)
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			assert.Assert(t, statuses[http.StatusOK] > 0)
			for _, s := range leaving {
				arrived := s.current.arrived
				assert.Assert(t, len(arrived) == 0 || arrived[len(arrived)-1].Before(last), "%s got something two seconds after it said that it drains", s.current.id)
			}
			assert.Assert(t, (<-long).whole)
		})
	}
}
