package edge

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addresses returns the addresses of the back ends of some pools.
func (d *deployment) addresses(pools ...string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, h := range d.hosts {
		for _, pool := range pools {
			if h.pool == pool {
				out = append(out, h.address)
			}
		}
	}
	return out
}

// service counts first tries and those that were served.
type service struct{ sent, served int }

func (s service) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// mixedLoad sends requests of all kinds, each once, through all routers for a time, and returns what each
// router served. A request that takes longer than limit is not served.
func (d *deployment) mixedLoad(duration, limit time.Duration) []service {
	const interval = 40 * time.Millisecond
	paths := []string{"/chat/", "/pay/", "/check/", "/look/"}
	out := make([]service, len(d.frontend))
	var mu sync.Mutex
	var group sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < duration; time.Sleep(interval) {
		for router := range d.frontend {
			path := paths[int(d.requests.Load())%len(paths)]
			group.Go(func() {
				got := d.sendWithin(limit, router, "ka", path, fmt.Sprintf("load %d", d.requests.Load()))
				mu.Lock()
				defer mu.Unlock()
				out[router].sent++
				if got.status == http.StatusOK && got.complete {
					out[router].served++
				}
			})
		}
	}
	group.Wait()
	return out
}

// cutTwoOfFour cuts two of four routers of a deployment from all back ends and returns what each
// router serves from a second after the cut.
func cutTwoOfFour(t *testing.T, d *deployment, state linkState) (cut, others []service) {
	for router, s := range d.mixedLoad(time.Second, time.Second) {
		assert.Assert(t, s.share() >= 0.95, "router %d before the cut: %+v", router, s)
	}
	for router := range 2 {
		d.links.set(state, router, d.addresses("llm", "app")...)
	}
	d.mixedLoad(time.Second, 2*time.Second)
	got := d.mixedLoad(3*time.Second, time.Second)
	return got[:2], got[2:]
}

var cuts = map[string]linkState{"silent": linkSilent, "resets": linkResets, "refuses": linkRefuses}

// Routers that have lost the path to all back ends must serve first tries as often as the others, and
// these as before.
func TestRoutersWithoutPathToBackendsServe(t *testing.T) {
	for name, state := range cuts {
		t.Run(name, func(t *testing.T) {
			cut, others := cutTwoOfFour(t, newLinkedDeployment(t, 3, 4, 4), state)
			for router, s := range slices.Concat(cut, others) {
				assert.Assert(t, s.share() >= 0.95, "router %d: cut %+v, others %+v", router, cut, others)
			}
		})
	}
}

// What cut routers observe must not keep others from engines that these reach, although no request of
// the cut routers is passed on.
func TestRoutersBesideCutOnesServeAsBefore(t *testing.T) {
	for name, state := range cuts {
		t.Run(name, func(t *testing.T) {
			cut, others := cutTwoOfFour(t, newUnrelayedDeployment(t, 3, 4, 4), state)
			for router, s := range others {
				assert.Assert(t, s.share() >= 0.95, "router %d: cut %+v, others %+v", router, cut, others)
			}
		})
	}
}
