package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/traffic"
)

// firstAndOthers adds engines. The first one that is used serves the request with first, and all later
// attempts are served by others. The function returned waits for the first one and returns its ID.
func (r *rig) firstAndOthers(first, others http.HandlerFunc, ids ...string) (used func() string) {
	var once sync.Once
	names := make(chan string, 1)
	for _, id := range ids {
		r.add("llm", id, func(w http.ResponseWriter, q *http.Request) {
			isFirst := false
			once.Do(func() { isFirst = true })
			if !isFirst {
				others(w, q)
				return
			}
			names <- id
			first(w, q)
		})
	}
	return func() string { return <-names }
}

// resumed sends the rest of a stream, up to event last.
func resumed(w http.ResponseWriter, q *http.Request, last int) {
	from := 0
	_, _ = fmt.Sscan(q.Header.Get(names.LastEvent), &from)
	events(w, from+1, last)
}

// goesOnAfter sends events 1 to 3, then 4 to 6 after a silence.
func goesOnAfter(silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 3)
		select {
		case <-q.Context().Done():
		case <-time.After(silence):
			events(w, 4, 6)
		}
	}
}

// Guards against ending an answer before another attempt has one: the budget, the pool, the back end of
// the further attempt or the attempts of the route may not allow any.
func TestAnswerIsWholeWithoutFurtherAttempt(t *testing.T) {
	cases := map[string]struct {
		ids    []string
		others http.HandlerFunc
		// listed are the engines that do not respond, the first one by default.
		listed  []string
		prepare func(r *rig)
	}{
		"no other engine":           {ids: []string{"x"}},
		"others do not respond":     {ids: []string{"x", "y"}, listed: []string{"x", "y"}},
		"others reject":             {ids: []string{"x", "y"}, others: reject},
		"others break off":          {ids: []string{"x", "y", "z"}, others: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		"others fail":               {ids: []string{"x", "y"}, others: failing},
		"others are silent as well": {ids: []string{"x", "y"}, others: hang},
		"the budget is used up":     {ids: []string{"x", "y"}, prepare: func(r *rig) { r.handler.budget = newBudget(BudgetConfig{Window: time.Minute}, nil) }},
		"one attempt":               {ids: []string{"x", "y"}, prepare: func(r *rig) { r.source.table.Route("h", "/resumable/1").MaxAttempts = 1 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newStreamRig(t)
			if c.prepare != nil {
				c.prepare(r)
			}
			used := r.firstAndOthers(goesOnAfter(1200*time.Millisecond), c.others, c.ids...)
			answered := r.askInBackground("/resumable/1")
			listed := c.listed
			if id := used(); listed == nil {
				listed = []string{id}
			}
			r.list(listed, listed)
			got := <-answered
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(6))
			assert.Assert(t, r.ran(c.ids...) <= 2)
			assert.Equal(t, r.handler.metrics.earlyEnds.by[endedByRouter].Load(), uint64(0))
		})
	}
}

// Guards against a stream that waits at its engine although another one has room.
func TestFurtherAttemptTakesOverWhileFirstIsSilent(t *testing.T) {
	r := newStreamRig(t)
	var left atomic.Int64
	first := func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 3)
		<-q.Context().Done()
		left.Store(time.Now().UnixNano())
	}
	used := r.firstAndOthers(first, func(w http.ResponseWriter, q *http.Request) { resumed(w, q, 6) }, "x", "y")
	answered := r.askInBackground("/resumable/1")
	r.list([]string{used()}, nil)
	got := <-answered
	ended := time.Now()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, r.handler.metrics.hedges.tookOver.Load(), uint64(1))
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, left.Load() > 0 && time.Unix(0, left.Load()).Sub(ended) < 400*time.Millisecond, "the first attempt still runs")
}

// Guards against events that are lost, repeated or reordered, and against runs that go on, when the
// first engine goes on at the moment at which the further attempt is answered.
func TestEventsAreWholeWhenBothAttemptsAreAnswered(t *testing.T) {
	for delay := time.Duration(0); delay <= 100*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			r := newStreamRig(t)
			var running atomic.Int32
			count := func(serve http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, q *http.Request) {
					running.Add(1)
					defer running.Add(-1)
					serve(w, q)
				}
			}
			others := func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(50 * time.Millisecond)
				resumed(w, q, 6)
			}
			used := r.firstAndOthers(count(goesOnAfter(testPause+delay)), count(others), "x", "y")
			answered := r.askInBackground("/resumable/1")
			r.list([]string{used()}, nil)
			got := <-answered
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(6))
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, running.Load(), int32(0))
		})
	}
}

// Guards against a request that is sent to more engines than its route allows because each silence
// begins a further attempt.
func TestSilencesKeepToAttemptsOfRoute(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	cases := map[string]http.HandlerFunc{
		"others are outrun": hang,
		"others break off":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, others := range cases {
		t.Run(name, func(t *testing.T) {
			r := newStreamRig(t)
			first := func(w http.ResponseWriter, _ *http.Request) {
				for i := 1; i <= 6; i++ {
					events(w, i, i)
					time.Sleep(3 * testPause)
				}
			}
			used := r.firstAndOthers(first, others, ids...)
			answered := r.askInBackground("/resumable/1")
			r.list([]string{used()}, nil)
			got := <-answered
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(6))
			engines := 0
			for _, id := range ids {
				engines += min(r.ran(id), 1)
			}
			assert.Equal(t, engines, 2)
			assert.Assert(t, r.ran(ids...) <= 1+maxHedges, "%d", r.ran(ids...))
		})
	}
}

// Guards against a stream that is cut when its engine ends because an earlier silence has used its
// further attempt up.
func TestStreamGoesOnWhenItsEngineEndsAfterSilence(t *testing.T) {
	r := newStreamRig(t)
	first := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		time.Sleep(500 * time.Millisecond)
		for i := 2; i <= 20; i++ {
			events(w, i, i)
			time.Sleep(20 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}
	others := func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-q.Context().Done():
		case <-time.After(time.Second):
			resumed(w, q, 30)
		}
	}
	used := r.firstAndOthers(first, others, "a", "b", "c")
	answered := r.askInBackground("/resumable/1")
	r.list([]string{used()}, nil)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(30))
}

// Guards against a request of three attempts that waits at two silent engines.
func TestFurtherAttemptAtSilentEngineIsFollowedByAnother(t *testing.T) {
	r := newStreamRig(t)
	r.source.table.Route("h", "/resumable/1").MaxAttempts = 3
	used := make(chan string, 3)
	var sent atomic.Int32
	for _, id := range []string{"a", "b", "c"} {
		r.add("llm", id, func(w http.ResponseWriter, q *http.Request) {
			n := sent.Add(1)
			used <- id
			switch n {
			case 1:
				events(w, 1, 2)
			case 2:
				w.Header().Set(names.Signature, "s")
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
			default:
				resumed(w, q, 6)
				return
			}
			<-q.Context().Done()
		})
	}
	answered := r.askInBackground("/resumable/1")
	first := <-used
	r.list([]string{first}, nil)
	r.list([]string{first, <-used}, nil)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, r.ran("a", "b", "c"), 3)
}

// Guards against ending a call whose engine is silent: its caller waits until the deadline.
func TestCallAtSilentEngineIsAnswered(t *testing.T) {
	r := newStreamRig(t)
	route := r.source.table.Route("h", "/chat/1")
	route.Kind, route.Timeout = traffic.KindUnsafe, 8*time.Second
	used := r.firstAndOthers(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(2600 * time.Millisecond)
		good(w, q)
	}, nil, "x")
	answered := r.askInBackground("/chat/1")
	r.list([]string{used()}, []string{"x"})
	assert.Equal(t, (<-answered).status, http.StatusOK)
}

// Guards against retries that are spent although no engine is found for them.
func TestSearchWithoutPlaceSpendsNoRetry(t *testing.T) {
	r := newStreamRig(t)
	r.handler.budget = newBudget(BudgetConfig{Burst: 100, Window: time.Minute}, nil)
	const streams = 6
	used := make(chan string, streams)
	for _, id := range []string{"x", "y"} {
		r.add("llm", id, func(w http.ResponseWriter, q *http.Request) {
			used <- id
			goesOnAfter(1200*time.Millisecond)(w, q)
		})
	}
	var answers []<-chan result
	for range streams {
		answers = append(answers, r.askInBackground("/resumable/1"))
	}
	for range streams {
		<-used
	}
	r.list([]string{"x", "y"}, nil)
	for _, answer := range answers {
		got := <-answer
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(6))
	}
	spent := 0
	for _, w := range r.handler.budget.windows {
		for _, n := range w.retries {
			spent += n
		}
	}
	assert.Equal(t, spent, 0)
}

// Guards against a failure of the first attempt that is forwarded although a further one is under way.
func TestFurtherAttemptIsAwaitedWhenFirstFails(t *testing.T) {
	r := newRig(t)
	route := r.source.table.Route("h", "/safe/1")
	route.Timeout = 10 * time.Second
	late := 2*silenceFactor*route.Target + 200*time.Millisecond
	var once sync.Once
	begun := make(chan struct{})
	for _, id := range []string{"x", "y"} {
		r.add("app", id, func(w http.ResponseWriter, q *http.Request) {
			first := false
			once.Do(func() { first = true })
			if first {
				<-begun
				failing(w, q)
				return
			}
			close(begun)
			time.Sleep(late)
			good(w, q)
		})
	}
	got := r.ask("GET", "/safe/1", nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, r.ran("x", "y"), 2)
}

// Guards against the end of an attempt that was outrun being taken for a failure of its back end.
func TestOutrunAttemptIsNoFailureOfItsBackend(t *testing.T) {
	r := newStreamRig(t)
	var reported failures
	r.handler.config.Observer = &reported
	used := r.firstAndOthers(goesOnAfter(1500*time.Millisecond), hang, "x", "y")
	answered := r.askInBackground("/resumable/1")
	r.list([]string{used()}, nil)
	got := <-answered
	assert.NilError(t, got.err)
	r.handler.Wait()
	assert.Equal(t, r.handler.metrics.hedges.inVain.Load(), uint64(1))
	assert.Equal(t, reported.count.Load(), int32(0))
	assert.Equal(t, r.handler.metrics.failedAttempts.Load(), uint64(0))
	for _, trouble := range r.pool.Troubles() {
		assert.Assert(t, !slices.Contains([]string{"x", "y"}, trouble.ID), "%+v", trouble)
	}
}

// olderLeader is a Placer that places the first attempt at one engine and all others at another one,
// whatever their conditions.
type olderLeader struct {
	mu            sync.Mutex
	first, others backends.Choice
	placed, ended int
}

func (p *olderLeader) Place(context.Context, *backends.Query) (choice backends.Choice, found, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed++
	choice = p.others
	if p.placed == 1 {
		choice = p.first
	}
	choice.Placement = uint64(p.placed)
	return choice, true, true
}

func (*olderLeader) Begun(uint64, time.Duration) {}

func (p *olderLeader) Ended(uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
}

// Guards against a further attempt at an engine that does not respond, at which a leader of an older build
// places it, and against placements there that are not given back.
func TestFurtherAttemptPlacedAtSilentEngineIsNotSent(t *testing.T) {
	r := newStreamRig(t)
	r.add("llm", "x", goesOnAfter(1200*time.Millisecond))
	r.add("llm", "y", hang)
	leader := &olderLeader{}
	for id, choice := range map[string]*backends.Choice{"x": &leader.first, "y": &leader.others} {
		found := false
		*choice, found = r.pool.Choose(0, &backends.Query{Pool: "llm", Among: []string{id}})
		assert.Assert(t, found)
	}
	r.handler.config.Placer = leader
	answered := r.askInBackground("/resumable/1")
	await(t, time.Second, "the first attempt has not begun", func() bool { return r.ran("x") == 1 })
	r.list([]string{"x", "y"}, []string{"y"})
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, r.ran("y"), 0)
	r.finish()
	assert.Assert(t, leader.placed > 1, "no further attempt was looked for")
	assert.Equal(t, leader.ended, leader.placed)
}
