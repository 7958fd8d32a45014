package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

// bankClaimer grants rights of a bank as the leader does.
type bankClaimer struct {
	bank   *ratelimit.Limiter
	limits *ratelimit.Registry
	number atomic.Uint64
	asked  atomic.Int64
	// term is for how long a right lasts.
	term time.Duration
}

// limitedRig is a rig whose rights come from a bank.
func limitedRig(t *testing.T) (*rig, *bankClaimer) {
	r := newRig(t)
	c := &bankClaimer{bank: ratelimit.NewLimiter(slog.New(slog.DiscardHandler)), limits: r.handler.config.Limits, term: ratelimit.PermitTTL}
	c.bank.SetLeading(true)
	c.bank.SetLease(1 << 62)
	r.handler.config.Claimer = c
	return r, c
}

func (c *bankClaimer) Claim(_ context.Context, q *backends.Query, id coordapi.BackendID) (*ratelimit.Permit, time.Duration, time.Duration) {
	c.asked.Add(1)
	now := clock.Now()
	c.bank.Observe(now, c.limits.TakeUnreported())
	c.bank.Unused(now, "r", c.limits.Unused())
	number := c.number.Add(1)
	verdict := c.bank.Take(now, ratelimit.Request{Router: "r", Number: number, Backend: id, Claimant: q.Claimant})
	switch {
	case verdict.Unlimited:
		return ratelimit.Unlimited(id), 0, 0
	case verdict.Granted:
		return ratelimit.Granted(id, number, now, c.term), 0, 0
	}
	return nil, verdict.Wait, c.bank.RetryAfter(now, q.Pool)
}

// limit names a rate in each answer, while there is one.
func limit(rate *atomic.Pointer[string], serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if text := rate.Load(); text != nil {
			w.Header().Set(names.Limit, *text)
		}
		serve(w, q)
	}
}

func named(rate string) *atomic.Pointer[string] {
	p := &atomic.Pointer[string]{}
	p.Store(&rate)
	return p
}

func retryAfter(t *testing.T, answer result) time.Duration {
	t.Helper()
	after, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	return time.Duration(after * float64(time.Second))
}

// A plain back end that takes two a second gets those, the others what it leaves, and no
// caller waits or is refused for it.
func TestABackEndThatTakesOnlySoManyGetsThose(t *testing.T) {
	r, _ := limitedRig(t)
	r.add("app", "some", limit(named("2"), good))
	r.add("app", "all", good)
	const length = 2 * time.Second
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(5 * time.Millisecond) {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Assert(t, r.ran("some") >= 4 && r.ran("some") <= 7, "%d in %v", r.ran("some"), length)
}

// All of a pool take one a second. Who can't be served is told at once, and each another
// moment.
func TestWhenAllTakeOnlySoManyCallersAreToldAtOnceEachAnotherMoment(t *testing.T) {
	r, _ := limitedRig(t)
	for _, id := range []string{"x", "y"} {
		r.add("app", id, limit(named("1"), good))
	}
	for r.ran("x", "y") < 4 {
		r.ask("POST", "/unsafe/x", nil)
		time.Sleep(20 * time.Millisecond)
	}
	moments := map[time.Duration]int{}
	refused := 0
	for range 8 {
		begun := time.Now()
		answer := r.ask("POST", "/unsafe/x", nil)
		if answer.status == http.StatusOK {
			continue
		}
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		assert.Equal(t, answer.header.Get(names.Signature), "")
		assert.Assert(t, time.Since(begun) < 200*time.Millisecond, "it was held for %v", time.Since(begun))
		refused++
		after := retryAfter(t, answer)
		assert.Assert(t, after > 0 && after <= 6*time.Second, "%v", after)
		moments[after.Round(250*time.Millisecond)]++
	}
	assert.Assert(t, refused >= 4, "%d", refused)
	assert.Assert(t, len(moments) >= refused-1, "%v", moments)
}

// One that has room before a request would be given up is waited for.
func TestARequestWaitsForRoomThatComesInTime(t *testing.T) {
	r, _ := limitedRig(t)
	r.source.table.Route("h", "/unsafe/x").Target = 2 * time.Second
	r.add("app", "x", limit(named("5"), good))
	r.ask("POST", "/unsafe/x", nil)
	for range 4 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
}

// When a limit ends, all that is sent knows it from the first answer on.
func TestWhenALimitEndsNoRightIsNeeded(t *testing.T) {
	r, claimer := limitedRig(t)
	rate := named("1")
	r.add("app", "x", limit(rate, good))
	r.ask("POST", "/unsafe/x", nil)
	rate.Store(nil)
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		r.ask("POST", "/unsafe/x", nil)
	}
	before := claimer.asked.Load()
	for range 5 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, claimer.asked.Load(), before)
}

// A right that ends before the send keeps the request back. That costs neither one of its
// attempts nor the budget for repeats, and the back end's next place is there for another.
func TestARightThatEndsTooEarlyCostsNothing(t *testing.T) {
	r, claimer := limitedRig(t)
	claimer.term = 0
	r.add("app", "z", good)
	for i := range maxSends + 1 {
		r.add("app", "limited-"+strconv.Itoa(i), limit(named("0.5"), good))
	}
	r.handler.budget = newBudget(BudgetConfig{Window: time.Second}, nil)
	for range 40 {
		assert.Equal(t, r.ask("GET", "/safe/x", nil).status, http.StatusOK)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { assert.Check(t, r.ask("GET", "/safe/x", nil).status == http.StatusOK) })
	}
	group.Wait()
	granted, _, back := claimer.bank.Counts()
	assert.Assert(t, granted > 0 && back > 0, "%d rights, %d back", granted, back)
}

// While no leader grants anything, others are sent to; where there are none, callers are
// told at once.
func TestWithoutALeaderNothingIsSentToOneThatTakesOnlySoMany(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", limit(named("100"), good))
	r.ask("POST", "/unsafe/x", nil)
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusServiceUnavailable)
	r.add("app", "y", good)
	for range 5 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("x"), 1)
}

// The leader places at an engine of which it does not know that it takes only so many: the
// router asks for the right before it sends.
func TestAPlacementWithoutARightIsAskedFor(t *testing.T) {
	r, claimer := limitedRig(t)
	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	r.add("llm", "open", stream)
	r.add("llm", "some", limit(named("1"), stream))
	some, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"open"}})
	assert.Assert(t, found)
	some.Placement = 1
	placer := &placerOf{choice: some, answered: true}
	r.handler.config.Placer = placer
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	for range 10 {
		assert.Equal(t, r.ask("POST", "/chat/x", asModel).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("some"), 2, "the first, which found out, and one by right")
	assert.Assert(t, claimer.asked.Load() >= 1)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	assert.Equal(t, placer.ended, 10, "all placements are over")
}
