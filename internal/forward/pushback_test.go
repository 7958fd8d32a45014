package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// pushBack rejects a request with a Retry-After.
func pushBack(wait string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Retry-After", wait)
		reject(w, q)
	}
}

// Guards against sending to a back end during its pushback, also on a placement: a back end
// that rejects everything has the least work, so the leader would choose it.
func TestNothingIsSentDuringPushback(t *testing.T) {
	r := newRig(t)
	r.add("app", "open", good)
	r.add("app", "full", pushBack("30"))
	for range 20 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, r.ran("full") <= 1, "requests received: %d", r.ran("full"))

	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	r.add("llm", "reads", stream)
	r.add("llm", "rests", pushBack("30"))
	rests, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"reads"}})
	assert.Assert(t, found)
	rests.Placement = 1
	r.handler.config.Placer = &fixedPlacer{choice: rests, answered: true}
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	r.ask("POST", "/chat/x", asModel)
	for range 10 {
		assert.Equal(t, r.ask("POST", "/chat/x", asModel).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("rests"), 1)
}

// openRow applies a back end's row as ready.
func (r *rig) openRow(id, pool, address string) {
	r.pool.Apply([]state.Backend{{ID: id, Pool: pool, Address: address, Zone: "a"}}, nil, false)
}

// address returns the address of a back end in a pool.
func (r *rig) address(pool string, others ...string) string {
	choice, found := r.pool.Choose(0, &backends.Query{Pool: pool, Tried: others})
	assert.Assert(r.t, found)
	return choice.Address
}

// No request is sent even if all back ends of a pool pushed back; Retry-After is the shortest
// wait.
func TestRetryAfterIsShortestPushbackOfPool(t *testing.T) {
	r := newRig(t)
	r.add("app", "long", pushBack("40"))
	r.add("app", "short", pushBack("8"))
	r.ask("POST", "/unsafe/x", nil)
	for range 5 {
		response := r.ask("POST", "/unsafe/x", nil)
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 7 && after <= 12, "%v", after)
	}
	assert.Equal(t, r.ran("long"), 1)
	assert.Equal(t, r.ran("short"), 1)
}

// A request waits for a pushback that ends before the request would be refused.
func TestRequestWaitsForShortPushback(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/unsafe/x").Target = 2 * time.Second
	var once sync.Once
	r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
		away := false
		once.Do(func() { away = true })
		if away {
			pushBack("0.15")(w, q)
			return
		}
		good(w, q)
	})
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	assert.Equal(t, r.ran("x"), 2)
}

// A pushback holds while rows are dropped and received anew, and only for the instance that
// sent it.
func TestPushbackHoldsPerInstanceWithoutRow(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", pushBack("30"))
	address := r.address("app")
	r.ask("POST", "/unsafe/x", nil)
	r.pool.Apply(nil, nil, true)
	r.openRow("x", "app", address)
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, r.ran("x"), 1)
	r.pool.Apply(nil, []string{"x"}, false)
	r.openRow("x2", "app", address)
	r.ask("POST", "/unsafe/x", nil)
	assert.Equal(t, r.ran("x"), 2)
}

// A 503 of a request that may have run is forwarded without a retry. Its pushback holds, and it
// is not counted as a failure.
func TestPushbackOfUnsafeRequestIsNotRetried(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "30")
		w.Header().Set(names.Signature, "seal")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.add("app", "y", good)
	for r.ran("x") == 0 {
		r.ask("POST", "/unsafe/x", nil)
	}
	before := r.ran("y")
	for range 5 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("x"), 1)
	assert.Equal(t, r.ran("y"), before+5)
}

// An attempt that is withheld by the last check spends no retry and counts as no failure.
func TestWithheldAttemptSpendsNoRetry(t *testing.T) {
	r := newRig(t)
	r.handler.budget = newBudget(BudgetConfig{Window: time.Second}, nil)
	r.add("llm", "rests", pushBack("30"))
	rests, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	r.add("llm", "reads", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	j := &job{pool: &r.source.table.Pools[1], route: r.source.table.Route("h", "/chat/x"), request: &upstream.Request{}, retry: &retryGrant{}}
	s := r.handler.newSession(t.Context(), nil, j)
	barred := pushback.Backend{ID: "rests", Pool: "llm"}
	r.handler.config.Pushbacks.ObserveResponse(barred, "rests", &http.Response{StatusCode: 503, Header: http.Header{"Retry-After": {"30"}}})
	j.deadline = r.handler.now() + time.Second
	j.request.Header = http.Header{}
	result := r.handler.attempt(t.Context(), s, rests)
	assert.Equal(t, result.verdict, notRun)
	assert.Assert(t, !result.delivered)
	assert.Assert(t, r.handler.shouldRetry(t.Context(), j, s, result))
	assert.Equal(t, r.ran("rests"), 0)
	j.deliveries = 1
	assert.Assert(t, r.handler.shouldRetry(t.Context(), j, s, result), "the granted retry is still available")
}

// announceDraining adds the draining header to responses.
func announceDraining(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.Draining, "1")
		serve(w, q)
	}
}

// Any response may announce draining, before the row does. Nothing new is sent from then on.
func TestNothingNewIsSentAfterDrainingHeader(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	for name, c := range map[string]struct {
		pool, path string
		serve      http.HandlerFunc
	}{
		"complete response":                {"app", "/unsafe/x", good},
		"failure":                          {"app", "/unsafe/x", failing},
		"rejected":                         {"app", "/unsafe/x", reject},
		"pushback":                         {"app", "/unsafe/x", pushBack("0")},
		"other weights":                    {"llm", "/chat/x", otherWeights},
		"stream":                           {"llm", "/chat/x", stream},
		"broken stream":                    {"llm", "/chat/x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1); breakOff(w, 2) }},
		"stream broken in the first event": {"llm", "/chat/x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 0); breakOff(w, 1) }},
		"unsigned success":                 {"app", "/unsafe/x", func(http.ResponseWriter, *http.Request) {}},
		"not found":                        {"app", "/unsafe/x", http.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.add(c.pool, "leaves", announceDraining(c.serve))
			address := r.address(c.pool)
			asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
			r.ask("POST", c.path, asModel)
			assert.Equal(t, r.ran("leaves"), 1)
			// The row is received as ready once more.
			r.openRow("leaves", c.pool, address)
			for range 3 {
				assert.Equal(t, r.ask("POST", c.path, asModel).status, http.StatusServiceUnavailable)
			}
			assert.Equal(t, r.ran("leaves"), 1)
			r.add(c.pool, "stays", map[string]http.HandlerFunc{"app": good, "llm": stream}[c.pool])
			assert.Equal(t, r.ask("POST", c.path, asModel).status, http.StatusOK)
		})
	}
}

func otherWeights(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(names.ResponseInstance, q.Header.Get(names.Instance))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// A running stream goes on at a draining back end, and a late placement there is rejected.
func TestStreamContinuesAtDrainingBackend(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	r.add("llm", "leaves", announceDraining(func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		<-release
		events(w, 2, 3)
	}))
	onItsWay, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	onItsWay.Placement = 1
	r.add("llm", "stays", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	placer := &fixedPlacer{choice: onItsWay, answered: true}
	r.handler.config.Placer = placer
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	running := make(chan result)
	go func() { running <- r.ask("POST", "/chat/x", asModel) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.handler.config.Pushbacks.Status("leaves").Draining {
			return poll.Continue("drain not recorded")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, r.ask("POST", "/chat/x", asModel).body, eventText(2))
	assert.Equal(t, r.ran("stays"), 1)
	close(release)
	assert.Equal(t, (<-running).body, eventText(3))
	assert.Equal(t, r.ran("leaves"), 1)
}

// drainingClaimer grants each permit after the back end has been applied as draining.
type drainingClaimer struct{ pool *backends.Pool }

func (c drainingClaimer) Claim(_ context.Context, q *backends.Query, id coordapi.BackendID) (*ratelimit.Permit, time.Duration, time.Duration) {
	c.pool.Apply([]state.Backend{{ID: string(id), Pool: q.Pool, Address: "127.0.0.1:1", Zone: "a", Draining: true}}, nil, false)
	return ratelimit.Unlimited(id), 0, 0
}

// Guards against sending to a back end that a view has shown as draining while the request waited
// for a permit.
func TestDrainInViewHoldsForChosenRequest(t *testing.T) {
	r := newRig(t)
	r.add("app", "leaves", good)
	r.handler.config.Limits.Announced([]coordapi.BackendID{"leaves"})
	r.handler.config.Claimer = drainingClaimer{r.pool}
	response := r.ask("POST", "/unsafe/x", nil)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.ran("leaves"), 0)
}

// Guards against requests that wait although every back end of their pool drains.
func TestRequestIsRefusedAtOnceWhileAllBackendsDrain(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/unsafe/x").Target = 100 * time.Second
	r.source.table.Route("h", "/unsafe/x").Timeout = 100 * time.Second
	r.add("app", "a", good)
	r.add("app", "b", good)
	r.pool.Apply([]state.Backend{{ID: "a", Pool: "app", Draining: true}, {ID: "b", Pool: "app", Draining: true}}, nil, false)
	started := time.Now()
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusServiceUnavailable)
	// It would wait for 20 s.
	assert.Assert(t, time.Since(started) < 10*time.Second)
	assert.Equal(t, r.ran("a")+r.ran("b"), 0)
}
