package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a flood that delays a tenant within its share by more than the documented bound:
// between the arrival and the start of its request, each other tenant of its urgency is granted at
// most the work that its own tenant is granted or has waiting before it, and one more request.
func TestFloodDelaysByOneRequestOfEachTenant(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		q := New(Config{})
		long := func(r *Request) { r.Target, r.Abandon = time.Hour, 2*time.Hour }
		const others = 5
		for i := range uint64(2000) {
			push(t, q, 0, request(i, fmt.Sprint(random.IntN(others)), func(r *Request) {
				long(r)
				r.Work = 1 + 50*random.Float64()
			}))
		}
		now, number := time.Duration(0), uint64(1_000_000)
		const largest = 51.0
		for range 20 {
			// The pause lets each other tenant run more than the victim did last, so that the victim is
			// within its share again.
			for range 20 + random.IntN(20) {
				r, ok := q.Next(now)
				assert.Assert(t, ok)
				q.Granted(now, r.Key)
			}
			// The victim asks for up to three requests at once.
			own, count := 0.0, uint64(1+random.IntN(3))
			granted := map[string]float64{}
			for range count {
				number++
				push(t, q, now, request(number, "victim", func(r *Request) {
					long(r)
					r.Work = 20
				}))
			}
			for done := uint64(0); done < count; {
				r, ok := q.Next(now)
				assert.Assert(t, ok)
				if r.Tenant == "victim" {
					for tenant, work := range granted {
						assert.Assert(t, work <= own+largest, "tenant %s ran %.1f, the victim %.1f", tenant, work, own)
					}
					own += r.Work
					done++
				} else {
					granted[r.Tenant] += r.Work
				}
				q.Granted(now, r.Key)
				now += ms
			}
		}
	}
}

// Guards against tenants that get different shares although all wait, and against a share that an
// idle tenant accumulates.
func TestEqualSharesByWork(t *testing.T) {
	q := New(Config{})
	long := func(work float64) func(r *Request) {
		return func(r *Request) { r.Target, r.Abandon, r.Work = time.Hour, 2*time.Hour, work }
	}
	number := uint64(0)
	add := func(tenant string, work float64, count int) {
		for range count {
			number++
			push(t, q, 0, request(number, tenant, long(work)))
		}
	}
	add("small", 5, 2000)
	add("large", 50, 200)
	grant := func(work float64) map[string]float64 {
		granted := map[string]float64{}
		for sum := 0.0; sum < work; {
			r, ok := q.Next(0)
			assert.Assert(t, ok)
			sum += r.Work
			granted[r.Tenant] += r.Work
			q.Granted(0, r.Key)
		}
		return granted
	}
	granted := grant(4000)
	assert.Assert(t, granted["small"] > 1940 && granted["small"] < 2060, "%v", granted)
	add("idle before", 5, 1000)
	granted = grant(3000)
	assert.Assert(t, granted["idle before"] > 940 && granted["idle before"] < 1060, "%v", granted)
}

// Guards against less urgent levels that starve, or that get more than the floor.
func TestFloorOfLessUrgentLevels(t *testing.T) {
	for _, work := range []float64{1, 10, 200} {
		t.Run(fmt.Sprint(work), func(t *testing.T) {
			q := New(Config{})
			number := uint64(0)
			var granted [3]float64
			for range 20_000 {
				for route := range 3 {
					l := q.level(Urgency{0, route})
					for l.queues[timely].count < 3 {
						number++
						push(t, q, 0, request(number, "", func(r *Request) {
							r.Urgency.Route, r.Target, r.Abandon = route, time.Hour, 2*time.Hour
							if route > 0 {
								r.Work = work
							}
						}))
					}
				}
				r, ok := q.Next(0)
				assert.Assert(t, ok)
				granted[r.Urgency.Route] += r.Work
				q.Granted(0, r.Key)
			}
			all := granted[0] + granted[1] + granted[2]
			less := (granted[1] + granted[2]) / all
			assert.Assert(t, less > 0.095 && less < 0.105, "%.4f", less)
			assert.Assert(t, granted[2] > 0.08*(granted[1]+granted[2]), "%v", granted)
		})
	}
}

// Guards against less urgent requests that run first although nothing is owed to them, and against
// a burst of them after they fitted nowhere for a while.
func TestMoreUrgentFirstApartFromFloor(t *testing.T) {
	q := New(Config{})
	number := uint64(0)
	add := func(route, count int) {
		for range count {
			number++
			push(t, q, 0, request(number, "", func(r *Request) {
				r.Urgency.Route, r.Target, r.Abandon = route, time.Hour, 2*time.Hour
			}))
		}
	}
	add(0, 2000)
	add(1, 2000)
	run := func(count int, skipLess bool) (order []int) {
		for range count {
			r, ok := q.Next(0)
			assert.Assert(t, ok)
			if skipLess && r.Urgency.Route == 1 {
				for _, n := range q.items {
					if n.Urgency.Route == 1 {
						q.Skip(n.Key)
					}
				}
				r, ok = q.Next(0)
				assert.Assert(t, ok)
			}
			order = append(order, r.Urgency.Route)
			q.Granted(0, r.Key)
		}
		return order
	}
	sum := 0
	for _, route := range run(100, false) {
		sum += route
		assert.Assert(t, sum <= 11)
	}
	run(1000, true)
	q.Restart()
	// All is granted at one instant, so that the bound is a tenth of the 1,100 requests.
	less := 0
	for _, route := range run(300, false) {
		less += route
	}
	assert.Assert(t, less <= 110+30, "%d", less)
	for range 1000 {
		r, ok := q.Next(0)
		if !ok {
			break
		}
		q.Remove(r.Key)
	}
}

// Guards against a decision whose cost grows with the number of waiting requests.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q, add := filled(waiting)
			now := filledAt
			b.ResetTimer()
			for range b.N {
				now += 10 * time.Microsecond
				add(now)
				if r, ok := q.Next(now); ok {
					q.Granted(now, r.Key)
				}
			}
		})
	}
}

// Guards against a check for expiry that delays the placer: a call takes less than 2 ms.
func BenchmarkExpire(b *testing.B) {
	q, _ := filled(10_000)
	now := filledAt
	if _, known := q.rate(); !known {
		b.Fatal("the rate is not known")
	}
	b.ResetTimer()
	for range b.N {
		// The time stands still, so that all requests stay.
		if refused := q.Expire(now, func() float64 { return 0 }); len(refused) > 0 {
			b.Fatal("refused ", len(refused))
		}
	}
}

// Guards against a long pause when all requests expire at once: a call takes less than 2 ms.
func BenchmarkAllExpireAtOnce(b *testing.B) {
	now := 2 * time.Hour
	var q *Queue
	for range b.N {
		if q == nil || q.Len() == 0 {
			b.StopTimer()
			q, _ = filled(10_000)
			b.StartTimer()
		}
		now++
		if refused := q.Expire(now, func() float64 { return 0 }); len(refused) == 0 {
			b.Fatal("none refused")
		}
	}
}

// Guards against requests that are returned or never reported when more expire than one call
// handles.
func TestAllExpireAtOnce(t *testing.T) {
	q, _ := filled(5000)
	now, refused := 2*time.Hour, 0
	q.advance(now)
	_, ok := q.Next(now)
	assert.Assert(t, !ok)
	for calls := 0; q.Len() > 0; calls++ {
		assert.Assert(t, calls < 10)
		now += 20 * ms
		refused += len(q.Expire(now, half))
	}
	assert.Equal(t, refused, 5000)
	check(t, q)
}

// Guards against a restart after many skips that delays the placer.
func BenchmarkSkipAllAndRestart(b *testing.B) {
	q, _ := filled(10_000)
	now := filledAt
	b.ResetTimer()
	for range b.N {
		for {
			r, ok := q.Next(now)
			if !ok {
				break
			}
			q.Skip(r.Key)
		}
		q.Restart()
	}
}

// filledAt is the time of the queue that filled returns.
const filledAt = 7 * time.Second

// filled returns a queue in which requests of 77 tenants and 4 urgencies wait, some of them
// late, and a function that adds another one.
func filled(waiting int) (q *Queue, add func(now time.Duration)) {
	q = New(Config{})
	random := rand.New(rand.NewPCG(1, 5))
	number := uint64(0)
	add = func(now time.Duration) {
		number++
		q.Push(now, Request{
			Key: Key{"r", number}, Tenant: fmt.Sprint(random.IntN(77)), Urgency: Urgency{random.IntN(2), random.IntN(2)},
			Digest: number, Arrived: now, Target: time.Duration(random.IntN(100)) * time.Second, Abandon: time.Hour,
			Service: 100 * ms, Work: 1 + 10*random.Float64(),
		}, 0.5)
	}
	const grants = 350
	for range waiting + grants {
		add(0)
	}
	for at := time.Duration(0); q.Len() > waiting; at += filledAt / grants {
		r, _ := q.Next(at)
		q.Granted(at, r.Key)
	}
	return q, add
}
