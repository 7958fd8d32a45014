package placer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const routeTimeout = 12 * time.Second

// loadOf returns the announcement of requests at the only engine of a test.
func loadOf(running int) []coordapi.Load {
	if running == 0 {
		return nil
	}
	return []coordapi.Load{{ID: "e000", Running: running, Memory: 200 * running, Engine: true}}
}

// Guards against a new leader that grants the capacity of a request of before to another one while the
// former still runs, and against one that keeps the capacity after its end.
func TestNewLeaderCountsRequestsOfBeforeUntilTheyEnd(t *testing.T) {
	p := newTestPlacer(1)
	p.SetLongestTimeout(routeTimeout)
	now := time.Second
	p.ApplyLoads(now, "b", loadOf(1))
	assert.Equal(t, p.Place(now, patient("a", 1)).ID, "e000")
	ask := patient("a", 2)
	ask.Abandon, ask.Deadline = time.Minute, time.Minute
	assert.Assert(t, p.Place(now, ask).Queued)
	for now < 8*time.Second {
		now += 100 * time.Millisecond
		p.ApplyLoads(now, "a", loadOf(1))
		p.ApplyLoads(now, "b", loadOf(1))
		p.Step(now)
		assert.Equal(t, openCount(p), 1, "%v", now)
	}
	p.ApplyLoads(now, "b", nil)
	p.Step(now + passInterval)
	assert.Equal(t, openCount(p), 2)
	assert.Equal(t, p.pool.Room("llm").Requests, 2)
}

// Guards against inherited loads that outlast the requests: those of a router that reports nothing
// more, those of an engine that has departed, and any after the longest time-out.
func TestInheritedLoadsEnd(t *testing.T) {
	requests := func(p *Placer) int { return p.pool.Room("llm").Requests }
	begin := func() *Placer {
		p := newTestPlacer(2)
		p.SetLongestTimeout(routeTimeout)
		p.Place(time.Second, patient("a", 1))
		p.ApplyLoads(time.Second, "b", loadOf(1))
		assert.Equal(t, requests(p), 2)
		return p
	}
	report := func(p *Placer, until time.Duration, routers ...string) {
		for now := time.Second; now < until; now += 500 * time.Millisecond {
			for _, name := range routers {
				p.ApplyReports(now, name, &coordapi.Reports{})
			}
		}
	}
	t.Run("router is silent", func(t *testing.T) {
		p := begin()
		report(p, time.Second+routerTimeout, "a")
		assert.Equal(t, requests(p), 2)
		report(p, time.Second+2*routerTimeout, "a")
		assert.Equal(t, requests(p), 1)
	})
	t.Run("engine departed", func(t *testing.T) {
		p := begin()
		p.ApplyLoads(time.Second, "b", append(loadOf(1), coordapi.Load{ID: "e001", Running: 1, Engine: true}))
		p.Apply(nil, []string{"e001"}, false)
		p.ApplyLoads(time.Second, "b", append(loadOf(1), coordapi.Load{ID: "e001", Running: 1, Engine: true}))
		assert.Equal(t, requests(p), 2)
	})
	t.Run("longest time-out passed", func(t *testing.T) {
		p := begin()
		report(p, time.Second+routeTimeout, "a", "b")
		assert.Equal(t, requests(p), 2)
		p.ApplyReports(time.Second+routeTimeout, "a", &coordapi.Reports{})
		assert.Equal(t, requests(p), 1)
		p.ApplyLoads(time.Second+routeTimeout, "b", loadOf(1))
		assert.Equal(t, requests(p), 1)
	})
	t.Run("leadership lost", func(t *testing.T) {
		p := begin()
		p.Reset()
		p.Apply(engines(2), nil, true)
		p.Place(20*time.Second, patient("a", 9))
		assert.Equal(t, requests(p), 1)
	})
}

// Guards against engines that get more requests than they have room for after a router was silent for
// longer than its placements are kept, while its requests went on.
func TestRequestsOfReturningRouterCountAgain(t *testing.T) {
	p := newTestPlacer(1)
	p.SetLongestTimeout(routeTimeout)
	requests := func() int { return p.pool.Room("llm").Requests }
	now := time.Second
	report := func(until time.Duration) {
		for ; now < until; now += 500 * time.Millisecond {
			p.ApplyReports(now, "a", &coordapi.Reports{})
		}
	}
	report(routeTimeout + 2*time.Second)
	p.Place(now, patient("b", 1))
	p.Place(now, patient("b", 2))
	assert.Equal(t, requests(), 2)
	report(now + 2*routerTimeout)
	assert.Equal(t, requests(), 0)

	p.ApplyLoads(now, "b", loadOf(2))
	assert.Equal(t, requests(), 2)
	ask := patient("a", 3)
	ask.Abandon, ask.Deadline = time.Minute, time.Minute
	assert.Assert(t, p.Place(now, ask).Queued)
	// The end of one that the leader does not know any more shows in the loads.
	p.ApplyReports(now, "b", &coordapi.Reports{Ended: []uint64{1}})
	p.ApplyLoads(now, "b", loadOf(1))
	p.Step(now + passInterval)
	assert.Equal(t, openCount(p), 1)
	for returned := now; now < returned+routeTimeout; now += 500 * time.Millisecond {
		p.ApplyLoads(now, "b", loadOf(1))
		p.ApplyReports(now, "a", &coordapi.Reports{})
		collect(t, p, now, "a")
		assert.Equal(t, requests(), 2, "%v", now)
	}
	// No request runs for longer.
	p.ApplyReports(now, "a", &coordapi.Reports{})
	assert.Equal(t, requests(), 1)
}

// modelRequest is a request of the model in TestInheritedLoadsMatchRunningRequests.
type modelRequest struct {
	number uint64
	placed time.Duration
	// begins and ends are when the router sends it and when it ends there.
	begins time.Duration
	ends   time.Duration
}

// modelRouter is a router that announces its loads at intervals.
type modelRouter struct {
	name     string
	requests []modelRequest
	// ended are the ends to report, and next is the time of the next report.
	ended []uint64
	next  time.Duration
}

// Guards against a new leader that counts a request twice, as one of before and as its own, for longer
// than a report interval, and against one that misses running requests for longer than that. In virtual
// time, 8 routers with 200 requests of before report every 100 ms, while the leader places 200 requests a second.
func TestInheritedLoadsMatchRunningRequests(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		transit  = 5 * time.Millisecond
		elected  = time.Second
		finish   = elected + routeTimeout + time.Second
		tick     = time.Millisecond
	)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		duration := func() time.Duration {
			if random.IntN(4) == 0 {
				return time.Duration(random.Int64N(int64(routeTimeout)))
			}
			return time.Duration(random.Int64N(int64(500 * time.Millisecond)))
		}
		p := newTestPlacer(1)
		p.SetLongestTimeout(routeTimeout)
		var routers []*modelRouter
		number := uint64(0)
		for i := range 8 {
			r := &modelRouter{name: string(rune('a' + i)), next: elected + time.Duration(random.Int64N(int64(interval)))}
			for range 25 {
				number++
				r.requests = append(r.requests, modelRequest{number: number, ends: elected + duration()})
			}
			routers = append(routers, r)
		}
		// inTransit is the number of reported ends that have not arrived.
		inTransit := 0
		deliver := map[time.Duration][]func(now time.Duration){}
		reported := elected + interval + transit
		for now := elected; now < finish; now += tick {
			for _, r := range routers {
				r.requests = slices.DeleteFunc(r.requests, func(q modelRequest) bool {
					if now >= q.ends {
						r.ended = append(r.ended, q.number)
					}
					return now >= q.ends
				})
				if now < r.next {
					continue
				}
				r.next += interval
				running := 0
				for _, q := range r.requests {
					if now >= q.begins {
						running++
					}
				}
				loads, ended := loadOf(running), r.ended
				r.ended = nil
				inTransit += len(ended)
				deliver[now+transit] = append(deliver[now+transit], func(now time.Duration) {
					p.ApplyReports(now, r.name, &coordapi.Reports{Ended: ended})
					p.ApplyLoads(now, r.name, loads)
					inTransit -= len(ended)
				})
			}
			for _, apply := range deliver[now] {
				apply(now)
			}
			delete(deliver, now)
			if now < finish-time.Second && random.IntN(5) == 0 {
				r := routers[random.IntN(len(routers))]
				number++
				ask := patient(r.name, number)
				ask.Wait, ask.Slots, ask.Patience, ask.Capacity = false, 100_000, 0, 100_000_000
				assert.Equal(t, p.Place(now, ask).ID, "e000")
				r.requests = append(r.requests, modelRequest{number: number, placed: now, begins: now + transit, ends: now + transit + duration()})
			}
			if now < reported {
				continue
			}
			running, recent, unreported := 0, 0, inTransit
			for _, r := range routers {
				running += len(r.requests)
				unreported += len(r.ended)
				for _, q := range r.requests {
					// Placed while a report was on its way that does not include it.
					if q.placed > 0 && now-q.placed < interval+2*transit {
						recent++
					}
				}
			}
			counted := p.pool.Room("llm").Requests
			assert.Assert(t, counted <= running+unreported, "seed %d at %v: %d counted, %d running, %d ends not known", seed, now, counted, running, unreported)
			assert.Assert(t, counted >= running-recent, "seed %d at %v: %d counted, %d running, %d placed recently", seed, now, counted, running, recent)
		}
		assert.Equal(t, len(p.start.inherited), 0)
	}
}
