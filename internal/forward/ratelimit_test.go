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

// limiterClaimer grants permits as the leader does.
type limiterClaimer struct {
	limiter *ratelimit.Limiter
	limits  *ratelimit.Registry
	number  atomic.Uint64
	claims  atomic.Int64
	// term is the lifetime of a permit.
	term time.Duration
}

// limitedRig returns a rig with a limiterClaimer.
func limitedRig(t *testing.T) (*rig, *limiterClaimer) {
	r := newRig(t)
	c := &limiterClaimer{limiter: ratelimit.NewLimiter(slog.New(slog.DiscardHandler)), limits: r.handler.config.Limits, term: ratelimit.PermitTTL}
	c.limiter.SetLeading(-time.Hour, true)
	c.limiter.SetLease(1 << 62)
	r.handler.config.Claimer = c
	return r, c
}

func (c *limiterClaimer) Claim(_ context.Context, q *backends.Query, id coordapi.BackendID) (*ratelimit.Permit, time.Duration, time.Duration) {
	c.claims.Add(1)
	now := clock.Now()
	c.limiter.Observe(now, c.limits.TakeUnreported())
	c.limiter.Unused(now, "r", c.limits.Unused())
	number := c.number.Add(1)
	verdict := c.limiter.Take(now, ratelimit.Request{Router: "r", Number: number, Backend: id, Claimant: q.Claimant})
	switch {
	case verdict.Unlimited:
		return ratelimit.Unlimited(id), 0, 0
	case verdict.Granted:
		return ratelimit.Granted(id, number, now, c.term), 0, 0
	}
	return nil, verdict.Wait, c.limiter.RetryAfter(now, q.Pool)
}

// limit announces a rate in each response while one is set.
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

func retryAfter(t *testing.T, response result) time.Duration {
	t.Helper()
	after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	return time.Duration(after * float64(time.Second))
}

// A back end with a limit of two requests a second gets those, and the other one serves the
// rest.
func TestLimitedBackendGetsItsRate(t *testing.T) {
	r, _ := limitedRig(t)
	r.add("app", "some", limit(named("2"), good))
	r.add("app", "all", good)
	const length = 2 * time.Second
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(5 * time.Millisecond) {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Assert(t, r.ran("some") >= 4 && r.ran("some") <= 7, "%d in %v", r.ran("some"), length)
}

// If all back ends of a pool are at their limits, requests are refused at once, each with
// another Retry-After.
func TestRequestsOverAllLimitsGetDistinctRetryAfter(t *testing.T) {
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
		response := r.ask("POST", "/unsafe/x", nil)
		if response.status == http.StatusOK {
			continue
		}
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		assert.Equal(t, response.header.Get(names.Signature), "")
		assert.Assert(t, time.Since(begun) < 200*time.Millisecond, "refused after %v", time.Since(begun))
		refused++
		after := retryAfter(t, response)
		assert.Assert(t, after > 0 && after <= 6*time.Second, "%v", after)
		moments[after.Round(250*time.Millisecond)]++
	}
	assert.Assert(t, refused >= 4, "%d", refused)
	assert.Assert(t, len(moments) >= refused-1, "%v", moments)
}

// A request waits for a permit that is available before the request would be refused.
func TestRequestWaitsForPermit(t *testing.T) {
	r, _ := limitedRig(t)
	r.source.table.Route("h", "/unsafe/x").Target = 2 * time.Second
	r.add("app", "x", limit(named("5"), good))
	r.ask("POST", "/unsafe/x", nil)
	for range 4 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
}

// The first response without a limit ends the limit.
func TestNoPermitIsNeededAfterLimitEnds(t *testing.T) {
	r, claimer := limitedRig(t)
	rate := named("1")
	r.add("app", "x", limit(rate, good))
	r.ask("POST", "/unsafe/x", nil)
	rate.Store(nil)
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		r.ask("POST", "/unsafe/x", nil)
	}
	before := claimer.claims.Load()
	for range 5 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, claimer.claims.Load(), before)
}

// An expired permit withholds the request. That costs no attempt and no retry, and the permit
// goes back to the back end.
func TestExpiredPermitCostsNoAttempt(t *testing.T) {
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
	granted, _, released := claimer.limiter.Counts()
	assert.Assert(t, granted > 0 && released > 0, "%d permits granted, %d released", granted, released)
}

// deniedClaimer denies all permits, as for a request whose back ends all grant their next one to
// others.
type deniedClaimer struct{ wait time.Duration }

func (c deniedClaimer) Claim(context.Context, *backends.Query, coordapi.BackendID) (*ratelimit.Permit, time.Duration, time.Duration) {
	return nil, c.wait, 3 * time.Second
}

// Guards against refusals of requests that as many limited back ends as are asked deny, while a back
// end without a limit is free.
func TestDeniedRequestTakesBackendWithoutLimit(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond} {
		r := newRig(t)
		r.handler.config.Claimer = deniedClaimer{wait}
		r.add("app", "free", good)
		var limited []coordapi.BackendID
		for i := range 12 * maxClaims {
			id := "limited-" + strconv.Itoa(i)
			r.add("app", id, good)
			limited = append(limited, coordapi.BackendID(id))
		}
		r.handler.config.Limits.Announced(limited)
		for range 20 {
			assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
		}
		assert.Equal(t, r.ran("free"), 20)
	}
}

// Without a leader, nothing is sent to limited back ends: others serve, or the request is
// refused.
func TestLimitedBackendGetsNothingWithoutLeader(t *testing.T) {
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

// The router asks for a permit if the leader placed the request without one.
func TestPlacementWithoutPermitIsClaimed(t *testing.T) {
	r, claimer := limitedRig(t)
	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	r.add("llm", "open", stream)
	r.add("llm", "some", limit(named("1"), stream))
	some, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"open"}})
	assert.Assert(t, found)
	some.Placement = 1
	placer := &fixedPlacer{choice: some, answered: true}
	r.handler.config.Placer = placer
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	for range 10 {
		assert.Equal(t, r.ask("POST", "/chat/x", asModel).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("some"), 2, "the first, which announced the limit, and one with a permit")
	assert.Assert(t, claimer.claims.Load() >= 1)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	assert.Equal(t, placer.ended, 10, "all placements are over")
}
