package edge

import (
	"fmt"
	"math/rand/v2"
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

// outcome is a request that may run only once, by its body, and its status.
type outcome struct {
	body   string
	status int
}

// Whatever paths are cut and healed, and although a router that relays ends, a request that may run once
// must not run twice, and must not have run if it was refused.
func TestRequestsRunAtMostOnceInRandomHistories(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const routers = 4
			r := rand.New(rand.NewPCG(seed, 63))
			d := newLinkedDeployment(t, 3, routers, 3)
			all := d.addresses("llm", "app")
			var mu sync.Mutex
			var outcomes []outcome
			var group sync.WaitGroup
			for begun, n := time.Now(), 0; time.Since(begun) < 5*time.Second; n++ {
				if n%8 == 0 {
					d.changeLinks(r, all)
				}
				if n == 120 {
					_ = d.routers[r.IntN(routers)].relayed.Close()
				}
				for router := range routers {
					path, body := []string{"/pay/", "/once/"}[n%2], fmt.Sprintf("history %d %d", n, router)
					group.Go(func() {
						got := d.sendWithin(3*time.Second, router, "ka", path, body)
						mu.Lock()
						defer mu.Unlock()
						outcomes = append(outcomes, outcome{body, got.status})
					})
				}
				time.Sleep(20 * time.Millisecond)
			}
			group.Wait()
			served := 0
			for _, o := range outcomes {
				runs := d.runCount(o.body)
				assert.Assert(t, runs <= 1, "%+v ran %d times", o, runs)
				switch o.status {
				case http.StatusOK:
					served++
					assert.Equal(t, runs, 1, "%+v", o)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					assert.Equal(t, runs, 0, "%+v", o)
				}
			}
			for router := range routers {
				d.links.set(linkUp, router, all...)
			}
			d.mixedLoad(time.Second, time.Second)
			for router, s := range d.mixedLoad(time.Second, time.Second) {
				assert.Assert(t, s.share() >= 0.95, "router %d after the cuts: %+v", router, s)
			}
			t.Logf("%d of %d served", served, len(outcomes))
		})
	}
}

// changeLinks cuts or heals the paths from a router to all back ends, to all but one, or to one.
func (d *deployment) changeLinks(r *rand.Rand, all []string) {
	router, one := r.IntN(len(d.routers)), r.IntN(len(all))
	state := linkState(r.IntN(int(linkRefuses) + 1))
	switch r.IntN(4) {
	case 0:
		d.links.set(linkUp, router, all...)
	case 1:
		d.links.set(state, router, all[one])
	case 2:
		d.links.set(state, router, slices.Concat(all[:one], all[one+1:])...)
	default:
		d.links.set(state, router, all...)
	}
}

// Which pools are lost must be told apart: a router may lose the engines or the application servers
// alone, or all back ends of a pool but one.
func TestRoutersServeWithoutPathToPartOfTheBackends(t *testing.T) {
	for name, cut := range map[string]func(d *deployment) []string{
		"engines only":             func(d *deployment) []string { return d.addresses("llm") },
		"application servers only": func(d *deployment) []string { return d.addresses("app") },
		"all engines but one":      func(d *deployment) []string { return d.addresses("llm")[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			d := newLinkedDeployment(t, 3, 3, 4)
			d.mixedLoad(500*time.Millisecond, time.Second)
			d.links.set(linkSilent, 0, cut(d)...)
			d.mixedLoad(time.Second, 2*time.Second)
			for router, s := range d.mixedLoad(2*time.Second, time.Second) {
				assert.Assert(t, s.share() >= 0.95, "router %d: %+v", router, s)
			}
		})
	}
}

// Back ends that are silent for a second for everybody must get their requests again at once, and those
// that run there must end well.
func TestSecondOfSilenceEndsNoRequest(t *testing.T) {
	const routers = 2
	d := newLinkedDeployment(t, 3, routers, 2)
	all := d.addresses("llm", "app")
	var group sync.WaitGroup
	for router := range routers {
		for i := range 3 {
			group.Go(func() {
				got := d.sendWithin(5*time.Second, router, "ka", "/once/", fmt.Sprintf("long %d %d", router, i))
				assert.Check(t, got.status == http.StatusOK && got.complete, "%+v", got)
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	for router := range routers {
		d.links.set(linkSilent, router, all...)
	}
	d.mixedLoad(time.Second, 2*time.Second)
	for router := range routers {
		d.links.set(linkUp, router, all...)
	}
	group.Wait()
	d.mixedLoad(time.Second, time.Second)
	for router, s := range d.mixedLoad(time.Second, time.Second) {
		assert.Assert(t, s.share() >= 0.95, "router %d after the silence: %+v", router, s)
	}
}

// Cut routers must know other routers before they need them: the leader may be lost at the same time.
func TestCutRoutersServeWhileLeaderIsLost(t *testing.T) {
	d := newLinkedDeployment(t, 3, 4, 4)
	d.mixedLoad(time.Second, time.Second)
	for router := range 2 {
		d.links.set(linkSilent, router, d.addresses("llm", "app")...)
	}
	d.restartLeader()
	d.mixedLoad(time.Second, 2*time.Second)
	got := d.mixedLoad(2*time.Second, time.Second)
	others := float64(got[2].served+got[3].served) / float64(got[2].sent+got[3].sent)
	for router := range 2 {
		assert.Assert(t, got[router].share() >= 0.95*others, "router %d: %+v", router, got)
	}
}

// A router that stops as planned must finish the requests of others and decline new ones, so that
// their callers lose none.
func TestPlannedStopOfRelayLosesNoRequest(t *testing.T) {
	d := newLinkedDeployment(t, 3, 4, 4)
	d.mixedLoad(time.Second, time.Second)
	for router := range 2 {
		d.links.set(linkResets, router, d.addresses("llm", "app")...)
	}
	d.mixedLoad(time.Second, 2*time.Second)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.routers[3].Stop()
	}()
	got := d.mixedLoad(3*time.Second, time.Second)
	<-stopped
	for router := range 3 {
		assert.Assert(t, got[router].share() >= 0.95, "router %d: %+v", router, got)
	}
}
