package forward

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// pushBack turns a request away and asks for a time without any.
func pushBack(wait string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Retry-After", wait)
		turnAway(w, q)
	}
}

// A back end that turned a request away and wants no other for half a minute gets none,
// whether the router chooses or the leader does: that one places at the engine with the
// least work, which is the one that takes nothing.
func TestABackEndThatPushedBackGetsNothing(t *testing.T) {
	r := newRig(t)
	r.add("app", "open", good)
	r.add("app", "full", pushBack("30"))
	for range 20 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, r.ran("full") <= 1, "it got %d", r.ran("full"))

	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	r.add("llm", "reads", stream)
	r.add("llm", "rests", pushBack("30"))
	rests, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"reads"}})
	assert.Assert(t, found)
	rests.Placement = 1
	r.handler.config.Placer = &placerOf{choice: rests, answered: true}
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	r.ask("POST", "/chat/x", asModel)
	for range 10 {
		assert.Equal(t, r.ask("POST", "/chat/x", asModel).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("rests"), 1)
}

// openRow applies a back end's row anew, as ready as it was.
func (r *rig) openRow(id, pool, address string) {
	r.pool.Apply([]state.Backend{{ID: id, Pool: pool, Address: address, Zone: "a"}}, nil, false)
}

// address is where a back end of the rig listens.
func (r *rig) address(pool string, others ...string) string {
	choice, found := r.pool.Choose(0, &backends.Query{Pool: pool, Tried: others})
	assert.Assert(r.t, found)
	return choice.Address
}

// With all of a pool asking for a wait nobody is sent there all the same: callers are told
// at once when the first is back.
func TestWhenAllOfAPoolPushBackCallersAreToldWhenTheFirstIsBack(t *testing.T) {
	r := newRig(t)
	r.add("app", "long", pushBack("40"))
	r.add("app", "short", pushBack("8"))
	r.ask("POST", "/unsafe/x", nil)
	for range 5 {
		answer := r.ask("POST", "/unsafe/x", nil)
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 7 && after <= 12, "%v", after)
	}
	assert.Equal(t, r.ran("long"), 1)
	assert.Equal(t, r.ran("short"), 1)
}

// One that is back before a request would be given up is waited for.
func TestAPushbackThatIsSoonOverIsWaitedFor(t *testing.T) {
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

// What a back end asked outlives its row, which a router is told again, drops with its shard
// and hears of anew from another leader; another start at the address has asked nothing.
func TestAPushbackIsOfOneStartAndOutlivesItsRow(t *testing.T) {
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

// A 503 that may have run is passed on where it may not be repeated, and what it asks for
// holds; the back end has not failed.
func TestAPushbackOfARequestThatRanIsNoLicenceToRepeatIt(t *testing.T) {
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

// An attempt that the last look keeps from a back end takes nothing of the budget for
// repeats and is no failure: with a budget of nothing the request is served elsewhere.
func TestWhatIsNotSentTakesNothingOfTheBudget(t *testing.T) {
	r := newRig(t)
	r.handler.budget = newBudget(BudgetConfig{Window: time.Second}, nil)
	r.add("llm", "rests", pushBack("30"))
	rests, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	r.add("llm", "reads", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	j := &job{pool: &r.source.table.Pools[1], route: r.source.table.Route("h", "/chat/x"), request: &upstream.Request{}}
	s := &session{handler: r.handler, job: j}
	barred := pushback.Backend{ID: "rests", Pool: "llm"}
	r.handler.config.Pushbacks.ObserveResponse(barred, "rests", &http.Response{StatusCode: 503, Header: http.Header{"Retry-After": {"30"}}})
	j.deadline = r.handler.now() + time.Second
	j.request.Header = http.Header{}
	result := r.handler.attempt(t.Context(), s, rests)
	assert.Equal(t, result.verdict, notRun)
	assert.Assert(t, !result.arrived)
	assert.Assert(t, r.handler.again(t.Context(), j, s, result))
	assert.Equal(t, r.ran("rests"), 0)
	j.sent = 1
	assert.Assert(t, r.handler.again(t.Context(), j, s, result), "the repeat that was granted is still there")
}

// leaving answers as another handler does and says that the back end drains.
func leaving(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.Draining, "1")
		serve(w, q)
	}
}

// A back end says in any answer that it drains, with its row still ready, and gets nothing
// new from then on.
func TestABackEndThatSaysThatItDrainsGetsNothingNew(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	for name, c := range map[string]struct {
		pool, path string
		serve      http.HandlerFunc
	}{
		"a whole answer":       {"app", "/unsafe/x", good},
		"a failure":            {"app", "/unsafe/x", failing},
		"turned away":          {"app", "/unsafe/x", turnAway},
		"pushed back":          {"app", "/unsafe/x", pushBack("0")},
		"another weights":      {"llm", "/chat/x", otherWeights},
		"a stream":             {"llm", "/chat/x", stream},
		"broken off":           {"llm", "/chat/x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1); breakOff(w, 2) }},
		"broken off, at once":  {"llm", "/chat/x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 0); breakOff(w, 1) }},
		"a success unsigned":   {"app", "/unsafe/x", func(http.ResponseWriter, *http.Request) {}},
		"an answer of its own": {"app", "/unsafe/x", http.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.add(c.pool, "leaves", leaving(c.serve))
			address := r.address(c.pool)
			asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
			r.ask("POST", c.path, asModel)
			assert.Equal(t, r.ran("leaves"), 1)
			// It is told of as ready again.
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

// A stream that runs at a back end which says that it drains goes on there, and a
// placement there that was on its way is not taken.
func TestAStreamAtABackEndThatDrainsGoesOn(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	r.add("llm", "leaves", leaving(func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		<-release
		events(w, 2, 3)
	}))
	onItsWay, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	onItsWay.Placement = 1
	r.add("llm", "stays", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	placer := &placerOf{choice: onItsWay, answered: true}
	r.handler.config.Placer = placer
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	running := make(chan result)
	go func() { running <- r.ask("POST", "/chat/x", asModel) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.handler.config.Pushbacks.Status("leaves").Draining {
			return poll.Continue("not heard")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, r.ask("POST", "/chat/x", asModel).body, wanted(2))
	assert.Equal(t, r.ran("stays"), 1)
	close(release)
	assert.Equal(t, (<-running).body, wanted(3))
	assert.Equal(t, r.ran("leaves"), 1)
}
