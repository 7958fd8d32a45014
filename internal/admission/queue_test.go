package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// half draws the middle of the jitter.
func half() float64 { return 0.5 }

// request returns a request with 100 ms of service and 10 ms of work that has arrived at 0.
func request(number uint64, tenant string, change func(r *Request)) Request {
	r := Request{
		Key: Key{"r", number}, Tenant: tenant, Target: time.Second, Abandon: 4 * time.Second,
		Service: 100 * ms, Work: 10,
	}
	if change != nil {
		change(&r)
	}
	return r
}

// drain grants everything at the time now and returns the numbers in order.
func drain(q *Queue, now time.Duration) (order []uint64) {
	for {
		r, ok := q.Next(now)
		if !ok {
			return order
		}
		order = append(order, r.Key.Number)
		q.Granted(now, r.Key)
	}
}

func push(t *testing.T, q *Queue, now time.Duration, requests ...Request) {
	t.Helper()
	for _, r := range requests {
		assert.Assert(t, q.Push(now, r, 0.5) == nil, "%d refused", r.Key.Number)
	}
}

// Guards against an order that differs from the documented one.
func TestOrder(t *testing.T) {
	urgent := func(r *Request) { r.Urgency = Urgency{0, 0} }
	lessUrgent := func(r *Request) { r.Urgency = Urgency{0, 1} }
	lowTenant := func(r *Request) { r.Urgency = Urgency{1, 0} }
	lateBig := func(r *Request) { r.Target, r.Work = 50*ms, 20 }
	lateSmall := func(r *Request) { r.Target, r.Work, r.Arrived = 50*ms, 5, 2 }
	lateSmallOld := func(r *Request) { r.Target, r.Work, r.Arrived = 50*ms, 5, 1 }
	tight := func(r *Request) { r.Target = 500 * ms }
	cases := map[string]struct {
		requests []Request
		want     []uint64
	}{
		"urgency, the tenant's first": {[]Request{request(1, "", lowTenant), request(2, "", lessUrgent), request(3, "", urgent)}, []uint64{3, 2, 1}},
		"in time before late":         {[]Request{request(1, "", lateBig), request(2, "", lowTenant)}, []uint64{2, 1}},
		"least slack of a tenant":     {[]Request{request(1, "a", nil), request(2, "a", tight)}, []uint64{2, 1}},
		"late: least work, oldest":    {[]Request{request(1, "", lateBig), request(2, "", lateSmall), request(3, "", lateSmallOld)}, []uint64{3, 2, 1}},
		"fair among tenants":          {[]Request{request(1, "a", nil), request(2, "a", nil), request(3, "a", nil), request(4, "b", nil)}, []uint64{1, 4, 2, 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New(Config{})
			push(t, q, 10, c.requests...)
			assert.DeepEqual(t, drain(q, 10), c.want)
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// Guards against a request that keeps its place although its target has passed, and one that is
// returned after it was of use.
func TestRequestsBecomeLateAndExpire(t *testing.T) {
	q := New(Config{})
	push(t, q, 0, request(1, "", nil), request(2, "", func(r *Request) { r.Urgency.Route, r.Target = 1, 2*time.Second }))
	r, _ := q.Next(900 * ms)
	assert.Equal(t, r.Key.Number, uint64(1))
	r, _ = q.Next(901 * ms)
	assert.Equal(t, r.Key.Number, uint64(2))
	assert.Equal(t, len(q.Expire(3900*ms, half)), 0)
	_, ok := q.Next(3901 * ms)
	assert.Assert(t, !ok)
	refusals := q.Expire(3901*ms, half)
	assert.Equal(t, len(refusals), 2)
	assert.Equal(t, refusals[0].Reason, NoRoom)
	assert.Equal(t, q.Len(), 0)
}

// Guards against a request that blocks those behind it, and one that stays hidden.
func TestSkip(t *testing.T) {
	q := New(Config{})
	push(t, q, 0, request(1, "a", nil), request(2, "a", nil), request(3, "b", nil))
	q.Skip(Key{"r", 1})
	q.Skip(Key{"r", 1})
	q.Skip(Key{"r", 9})
	assert.DeepEqual(t, drain(q, 0), []uint64{2, 3})
	q.Restart()
	assert.DeepEqual(t, drain(q, 0), []uint64{1})

	push(t, q, 0, request(4, "a", nil), request(5, "b", nil))
	q.Skip(Key{"r", 4})
	_, _ = q.Next(950 * ms)
	assert.Assert(t, q.Remove(Key{"r", 5}))
	assert.Assert(t, !q.Remove(Key{"r", 5}))
	_, ok := q.Next(950 * ms)
	assert.Assert(t, !ok, "a skipped request returned when it became late")
	q.Restart()
	assert.DeepEqual(t, drain(q, 950*ms), []uint64{4})
}

// Guards against duplicates that take a second place in the queue, and against a retry that is
// ranked as late although the first request has gone.
func TestDuplicateContent(t *testing.T) {
	same := func(r *Request) { r.Digest = 7 }
	q := New(Config{})
	push(t, q, 0, request(1, "a", same), request(2, "a", same), request(3, "a", nil), request(4, "b", same), request(5, "a", same))
	assert.DeepEqual(t, drain(q, 0), []uint64{1, 4, 3, 2, 5})

	// The retry that takes the place is ranked by its own slack.
	retry := func(r *Request) { r.Digest, r.Arrived = 7, 1 }
	push(t, q, 0, request(1, "a", same), request(2, "a", retry), request(3, "a", nil))
	q.Remove(Key{"r", 1})
	assert.DeepEqual(t, drain(q, 0), []uint64{3, 2})

	push(t, q, 0, request(1, "a", same), request(2, "a", same), request(3, "b", func(r *Request) { r.Urgency.Route = 1 }))
	q.Remove(Key{"r", 1})
	assert.DeepEqual(t, drain(q, 0), []uint64{2, 3})

	push(t, q, 0, request(1, "a", same), request(2, "a", same), request(3, "a", same), request(4, "b", func(r *Request) { r.Urgency.Route = 1 }))
	q.Granted(0, Key{"r", 1})
	q.Remove(Key{"r", 2})
	assert.DeepEqual(t, drain(q, 0), []uint64{4, 3})
	assert.Equal(t, len(q.duplicates), 0)
}

// Guards against a lost reply that costs a request its position.
func TestDuplicateKeyKeepsPosition(t *testing.T) {
	q := New(Config{})
	again := func(r *Request) { r.Arrived, r.Digest = 500*ms, 5 }
	first := func(r *Request) { r.Digest = 5 }
	push(t, q, 0, request(1, "a", first), request(2, "a", nil), request(3, "b", nil))
	push(t, q, 500*ms, request(1, "a", again))
	assert.Equal(t, q.Len(), 3)
	assert.DeepEqual(t, drain(q, 500*ms), []uint64{1, 3, 2})

	push(t, q, 500*ms, request(1, "a", nil))
	push(t, q, 500*ms, request(1, "b", func(r *Request) { r.Urgency.Route, r.Work = 1, 3 }))
	assert.Equal(t, q.Len(), 1)
	assert.DeepEqual(t, q.Waiting(500*ms), []Level{{Urgency: Urgency{0, 1}, Tenant: "b", Requests: 1, Work: 3}})
	assert.DeepEqual(t, drain(q, 500*ms), []uint64{1})
}

// Guards against decisions that change when the clock stands still or goes back.
func TestTimeGoesBack(t *testing.T) {
	q := New(Config{})
	push(t, q, time.Second, request(1, "a", func(r *Request) { r.Target = 1200 * ms }), request(2, "b", nil))
	for _, now := range []time.Duration{1001 * ms, 1001 * ms, 990 * ms, 0, -time.Hour} {
		r, ok := q.Next(now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Key.Number, uint64(1))
		assert.Equal(t, len(q.Expire(now, half)), 0)
	}
	q.Granted(0, Key{"r", 1})
	push(t, q, 0, request(3, "a", func(r *Request) { r.Target = 1200 * ms }))
	assert.DeepEqual(t, drain(q, 0), []uint64{3, 2})
	assert.Equal(t, q.now, 1001*ms)
}

// Guards against refusals from an estimate that is not known yet, and requests that wait although
// they are over.
func TestRefusedOnlyByHardLimitWhileRateUnknown(t *testing.T) {
	q := New(Config{})
	for i := range uint64(5000) {
		push(t, q, time.Duration(i)*ms/10, request(i, "a", func(r *Request) { r.Work = 1e6 }))
	}
	refused := q.Push(500*ms, request(9999, "a", func(r *Request) { r.Arrived = -3401 * ms }), 1)
	assert.DeepEqual(t, refused, &Refusal{Key{"r", 9999}, NoRoom, 750 * ms})
	push(t, q, 3*time.Second, request(10000, "b", nil))
	assert.Equal(t, len(q.Expire(3*time.Second, half)), 0, "nothing was granted, so no rate is known")
}

// Guards against a wait for what is known not to be served, and against a refusal that blames the
// wrong tenant.
func TestRefusedEarlyOnceRateKnown(t *testing.T) {
	q := New(Config{})
	// The pool does 1,000 ms of work a second; 100 requests of 10 ms. Tenant a asks for twice that.
	number, refusals := uint64(0), 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		for range 2 {
			number++
			if refused := q.Push(now, request(number, "a", func(r *Request) { r.Arrived = now }), 0); refused != nil {
				refusals++
				assert.Assert(t, refused.RetryAfter >= 250*ms && refused.RetryAfter <= 5*time.Second)
			}
		}
		if r, ok := q.Next(now); ok {
			q.Granted(now, r.Key)
		}
	}
	assert.Assert(t, refusals > 300, "%d", refusals)
	now := 5 * time.Second
	arrived := func(r *Request) { r.Arrived = now }
	push(t, q, now, request(1_000_000, "b", arrived))
	refused := q.Push(now, request(1_000_001, "a", arrived), 1)
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, TenantOverShare)
}

// Guards against requests that stay behind when their pool has gone.
func TestRefuseAll(t *testing.T) {
	q := New(Config{})
	push(t, q, 0, request(1, "a", nil), request(2, "b", func(r *Request) { r.Abandon = time.Second }))
	refusals := q.RefuseAll(2*time.Second, half)
	assert.Equal(t, len(refusals), 2)
	for _, r := range refusals {
		assert.Equal(t, r.Reason, PoolGone)
	}
	assert.Equal(t, len(q.Expire(2*time.Second, half)), 0)
	assert.Equal(t, q.Len(), 0)
}

// Guards against metrics that grow with the number of tenants.
func TestWaitingIsBounded(t *testing.T) {
	q := New(Config{MaxLevels: 3})
	for i := range uint64(10) {
		push(t, q, 0, request(i, fmt.Sprint("t", i), func(r *Request) { r.Urgency.Route = int(i % 2) }))
	}
	push(t, q, 0, request(10, "t4", func(r *Request) { r.Target = 1 }))
	assert.DeepEqual(t, q.Waiting(0), []Level{
		{Urgency: Urgency{0, 0}, Tenant: "t4", Requests: 2, Late: 1, Work: 20},
		{Urgency: Urgency{0, 0}, Tenant: "t0", Requests: 1, Work: 10},
		{Urgency: Urgency{0, 0}, Others: true, Requests: 8, Work: 80},
	})
}

// Guards against work that is not a number or 0, which would break the order of tags.
func TestInvalidWork(t *testing.T) {
	q := New(Config{})
	for i, work := range []float64{math.NaN(), 0, -1} {
		push(t, q, 0, request(uint64(i), fmt.Sprint(i), func(r *Request) { r.Work = work }))
	}
	assert.Equal(t, len(drain(q, 0)), 3)
}

// Guards against sums, trees and heaps that disagree after any sequence of calls.
func TestInvariants(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := New(Config{})
		now, number := time.Duration(0), uint64(0)
		for step := range 3000 {
			now += time.Duration(random.IntN(20)-2) * ms
			key := Key{"r", number - min(number, random.Uint64N(50))}
			switch random.IntN(8) {
			case 0, 1, 2:
				number++
				key.Number = number
				fallthrough
			case 3:
				q.Push(now, Request{
					Key: key, Tenant: fmt.Sprint(random.IntN(4)), Urgency: Urgency{random.IntN(2), random.IntN(2)},
					Digest: random.Uint64N(6), Arrived: now - time.Duration(random.IntN(100))*ms,
					Target: time.Duration(random.IntN(300)) * ms, Abandon: time.Duration(random.IntN(800)) * ms,
					Service: time.Duration(random.IntN(80)) * ms, Work: 100 * random.Float64(),
				}, random.Float64())
			case 4:
				if r, ok := q.Next(now); ok {
					q.Granted(now, r.Key)
				}
			case 5:
				if random.IntN(2) == 0 {
					q.Skip(key)
				} else {
					q.Restart()
				}
			case 6:
				q.Remove(key)
				q.Expire(now, random.Float64)
			case 7:
				q.Admitted(now, Request{Tenant: fmt.Sprint(random.IntN(4)), Work: 5, Arrived: now, Target: time.Second})
			}
			if step%8 == 0 {
				check(t, q)
			}
		}
	}
}

func check(t *testing.T, q *Queue) {
	t.Helper()
	assert.Equal(t, len(q.items), len(q.waiting))
	queued, work, listed := 0, 0.0, 0
	for _, group := range q.duplicates {
		assert.Assert(t, group.Len() > 0)
		listed += group.Len()
	}
	for _, l := range q.levels {
		for c := range l.queues {
			queue := &l.queues[c]
			count := 0
			assert.Equal(t, len(queue.flows), len(queue.byTenant))
			for _, f := range queue.flows {
				count += f.count
				work += f.work()
				assert.Equal(t, f.ready >= 0, f.root != nil && f.root.visible > 0)
				assert.Equal(t, queue.byTenant[f.tenant], f)
			}
			assert.Equal(t, count, queue.count)
			queued += count
		}
	}
	grouped, expired := 0, 0
	for i, n := range q.items {
		assert.Equal(t, n.index, i)
		assert.Equal(t, q.waiting[n.Key], n)
		if n.Digest != 0 {
			grouped++
		}
		if n.expired {
			expired++
		}
	}
	assert.Equal(t, grouped, listed)
	assert.Equal(t, queued+expired, len(q.items))
	assert.Assert(t, math.Abs(work-q.work) < 1e-6, "%v %v", work, q.work)
}

// A few grants show no rate: the first slot that becomes free in a pool of a few slots must not make
// the requests that wait be refused.
func TestFewGrantsRefuseNobody(t *testing.T) {
	q := New(Config{})
	for number := range uint64(24) {
		refused := q.Push(0, Request{Key: Key{"r", number}, Target: time.Second, Abandon: 9 * time.Second, Work: 5}, 0)
		assert.Assert(t, refused == nil)
	}
	now := 1500 * time.Millisecond
	for number := range uint64(8) {
		q.Granted(now, Key{"r", number})
		assert.Equal(t, len(q.Expire(now, func() float64 { return 0 })), 0)
	}
	assert.Equal(t, q.Len(), 16)
}

// Guards against retries that come long before the work ahead of them is done, or all at once.
func TestRetryAfter(t *testing.T) {
	q := New(Config{})
	patient := func(r *Request) { r.Target, r.Abandon = time.Hour, 0 }
	for number := range uint64(600) {
		push(t, q, 0, request(number, "a", patient))
	}
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 10 * ms {
		r, ok := q.Next(now)
		assert.Assert(t, ok)
		q.Granted(now, r.Key)
	}
	// Now 300 requests wait, and 100 are granted a second.
	over := func(r *Request) { r.Arrived = -time.Hour }
	first := q.Push(now, request(1000, "a", over), 0)
	assert.Assert(t, first != nil)
	assert.Assert(t, first.RetryAfter > 2700*ms && first.RetryAfter < 3300*ms, "%v", first.RetryAfter)
	last := q.Push(now, request(1000, "a", over), 1)
	assert.Equal(t, last.RetryAfter, first.RetryAfter*3/2)
	other := q.Push(now, request(1000, "b", over), 0)
	assert.Equal(t, other.RetryAfter, 250*ms, "the other tenant does not wait for the backlog of the first")
}

// Guards against memory for tenants and urgencies that are no longer used.
func TestForgetsIdleTenantsAndLevels(t *testing.T) {
	q := New(Config{})
	// One request always waits, so that no busy period ends by itself.
	push(t, q, 0, request(0, "stays", func(r *Request) { r.Target, r.Abandon = time.Hour, 0 }))
	for number := uint64(1); number <= 1000; number++ {
		push(t, q, 0, request(number, fmt.Sprint(number), func(r *Request) { r.Urgency.Route, r.Digest = int(number%50), number }))
	}
	for number := uint64(1); number <= 1000; number++ {
		q.Granted(0, Key{"r", number})
	}
	for now := time.Duration(0); now < 20*time.Second; now += time.Second {
		q.Next(now)
	}
	assert.Equal(t, len(q.levels), 1)
	assert.Equal(t, len(q.levels[0].queues[timely].flows), 1)
	assert.Equal(t, len(q.accounts), 1)
	assert.Equal(t, len(q.duplicates), 0)
	assert.Equal(t, len(q.timers), 1)
}
