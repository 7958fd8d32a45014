package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/traffic"
)

const testPause = 200 * time.Millisecond

// newStreamRig returns a rig that tracks its streams, with a pause of testPause on all routes of
// streams.
func newStreamRig(t *testing.T) *rig {
	r := newRig(t)
	for _, path := range []string{"/chat/1", "/resumable/1"} {
		route := r.source.table.Route("h", path)
		route.GapTarget, route.Timeout = testPause, 10*time.Second
	}
	r.handler.config.Streams = liveness.NewStreams()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		periodic.Run(ctx, StreamCheckInterval, r.handler.CheckStreams)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// hangingEngines adds engines of which the first that is used sends events and hangs. The function
// returned waits for that one and returns its ID.
func (r *rig) hangingEngines(sent int, ids ...string) (hung func() string) {
	var first sync.Once
	used := make(chan string, 1)
	release := make(chan struct{})
	r.t.Cleanup(func() { close(release) })
	for _, id := range ids {
		r.add("llm", id, func(w http.ResponseWriter, q *http.Request) {
			from, hangs := 0, false
			_, _ = fmt.Sscan(q.Header.Get(names.LastEvent), &from)
			first.Do(func() { hangs = true })
			if !hangs {
				events(w, from+1, 6)
				return
			}
			if sent > 0 {
				events(w, 1, sent)
			}
			used <- id
			select {
			case <-q.Context().Done():
			case <-release:
			}
		})
	}
	return func() string { return <-used }
}

// askInBackground sends a request and returns its result later.
func (r *rig) askInBackground(path string) <-chan result {
	answered := make(chan result, 1)
	go func() { answered <- r.ask("POST", path, nil) }()
	return answered
}

// list applies the leader's lists.
func (r *rig) list(unresponsive, silent []string) {
	r.pool.ApplyNotes(coordapi.Notes{Unresponsive: unresponsive, Silent: silent})
}

// Guards against a stream that is held at a listed engine for longer than its pause.
func TestResumableStreamLeavesListedEngine(t *testing.T) {
	r := newStreamRig(t)
	hung := r.hangingEngines(3, "x", "y")
	answered := r.askInBackground("/resumable/1")
	began := time.Now()
	r.list([]string{hung()}, nil)
	got := <-answered
	took := time.Since(began)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Assert(t, took >= testPause-50*time.Millisecond && took < minStall/2, "%v", took)
	assert.Equal(t, r.handler.metrics.resumedUnresponsive.Load(), uint64(1))
	assert.Equal(t, r.handler.metrics.endedUnresponsive.Load(), uint64(0))
}

// Guards against a request that waits for its first byte at a listed engine for much longer than its
// target. Without the list, its own watchdog gives it up after two targets.
func TestWaitingRequestLeavesListedEngine(t *testing.T) {
	r := newStreamRig(t)
	r.source.table.Route("h", "/resumable/1").Target = time.Second
	hung := r.hangingEngines(0, "x", "y")
	answered := r.askInBackground("/resumable/1")
	began := time.Now()
	r.list([]string{hung()}, nil)
	got := <-answered
	took := time.Since(began)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Assert(t, took >= 900*time.Millisecond && took < 1700*time.Millisecond, "%v", took)
	assert.Equal(t, r.handler.metrics.resumedUnresponsive.Load(), uint64(1))
}

// Guards against streams that are given up although nothing shows that their engine has stopped: it
// is not listed, or was listed by a leader whose lease has ended, or the routers or leader are of a
// build without lists.
func TestOverdueStreamStaysAtEngineThatIsNotListed(t *testing.T) {
	cases := map[string]func(r *rig, engine string){
		"not listed":      func(r *rig, _ string) { r.list([]string{"other"}, nil) },
		"only silent":     func(r *rig, engine string) { r.list(nil, []string{engine}) },
		"old leader":      func(*rig, string) {},
		"lease has ended": func(r *rig, engine string) { r.list([]string{engine}, []string{engine}); r.source.fresh.Store(false) },
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			r := newStreamRig(t)
			hung := r.hangingEngines(3, "x", "y")
			answered := r.askInBackground("/resumable/1")
			list(r, hung())
			select {
			case <-answered:
				t.Fatal("given up")
			case <-time.After(3 * testPause):
			}
			assert.Equal(t, r.ran("x", "y"), 1)
			assert.Equal(t, r.handler.metrics.resumedUnresponsive.Load(), uint64(0))
		})
	}
}

// Guards against retries beyond the budget when an engine is listed.
func TestRetryBudgetHoldsAtListedEngine(t *testing.T) {
	r := newStreamRig(t)
	const streams = 12
	r.handler.budget = newBudget(BudgetConfig{Ratio: 0.2, Window: time.Minute}, nil)
	r.handler.budget.draw = func() float64 { return 0 }
	var running atomic.Int32
	release := make(chan struct{})
	for _, id := range []string{"x", "y"} {
		r.add("llm", id, func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get(names.LastEvent) != "" {
				events(w, 4, 6)
				return
			}
			events(w, 1, 3)
			running.Add(1)
			<-release
			events(w, 4, 6)
		})
	}
	var answers []<-chan result
	for range streams {
		answers = append(answers, r.askInBackground("/resumable/1"))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running.Load() < streams {
			return poll.Continue("%d streams", running.Load())
		}
		return poll.Success()
	})
	// The others go on at an engine that responds.
	assert.Assert(t, r.ran("x") > 1)
	r.list([]string{"x"}, nil)
	time.Sleep(testPause + 500*time.Millisecond)
	// The router's part of the budget: 0.7 of 0.2 of its requests.
	const allowed = 1
	assert.Equal(t, r.handler.metrics.resumedUnresponsive.Load(), uint64(allowed))
	close(release)
	for _, answer := range answers {
		got := <-answer
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(6))
	}
	assert.Equal(t, r.ran("x", "y"), streams+allowed)
}

// Guards against giving up streams at an engine that has left the list or sends events again.
func TestRecoveredEngineKeepsItsStreams(t *testing.T) {
	cases := map[string]bool{"left the list": true, "sends events": false}
	for name, leaves := range cases {
		t.Run(name, func(t *testing.T) {
			r := newStreamRig(t)
			listed, goOn := make(chan string, 1), make(chan struct{})
			serve := func(id string) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) {
					events(w, 1, 1)
					listed <- id
					for i := 2; i <= 6; i++ {
						if !leaves {
							time.Sleep(testPause / 2)
						}
						events(w, i, i)
					}
					<-goOn
				}
			}
			r.add("llm", "x", serve("x"))
			r.add("llm", "y", serve("y"))
			answered := r.askInBackground("/resumable/1")
			r.list([]string{<-listed}, nil)
			if leaves {
				time.Sleep(testPause / 2)
				r.list(nil, nil)
				time.Sleep(3 * testPause)
			} else {
				time.Sleep(2 * testPause)
			}
			close(goOn)
			got := <-answered
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(6))
			assert.Equal(t, r.ran("x", "y"), 1)
		})
	}
}

// Guards against ending a request that may run only once while its caller waits and its engine may go
// on, against holding it until its time-out, and against an answer that says that it has not run.
func TestRequestThatMayRunOnceEndsOnceItsCallerHasLeft(t *testing.T) {
	lists := map[string]func(r *rig, engine string){
		"listed and silent": func(r *rig, engine string) { r.list([]string{engine}, []string{engine}) },
		"departed":          func(r *rig, engine string) { r.pool.Apply(nil, []string{engine}, false) },
	}
	for name, list := range lists {
		for _, sent := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", name, sent), func(t *testing.T) {
				r := newStreamRig(t)
				patience := 1500 * time.Millisecond
				r.source.table.Route("h", "/chat/1").AbandonAfter = patience
				hung := r.hangingEngines(sent, "x", "y")
				answered := r.askInBackground("/chat/1")
				began := time.Now()
				list(r, hung())
				got := <-answered
				took := time.Since(began)
				assert.Assert(t, took >= patience && took < patience+minStall/2, "%v", took)
				assert.Equal(t, r.ran("x", "y"), 1)
				assert.Equal(t, r.handler.metrics.endedUnresponsive.Load(), uint64(1))
				if sent > 0 {
					assert.Equal(t, got.status, http.StatusOK)
					assert.Assert(t, got.err != nil, "the stream must not look complete")
					return
				}
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Assert(t, !notRunStatuses[got.status])
				assert.Equal(t, got.header.Get("Retry-After"), "")
			})
		}
	}
}

// Guards against ending a request that may run only once because its engine is listed, or because
// its heartbeats are overdue.
func TestRequestThatMayRunOnceSurvivesSilence(t *testing.T) {
	lists := map[string]func(engine string) (unresponsive, silent []string){
		"listed": func(engine string) ([]string, []string) { return []string{engine}, nil },
		"silent": func(engine string) ([]string, []string) { return nil, []string{engine} },
	}
	for name, list := range lists {
		t.Run(name, func(t *testing.T) {
			r := newStreamRig(t)
			hung := r.hangingEngines(2, "x", "y")
			answered := r.askInBackground("/chat/1")
			r.list(list(hung()))
			select {
			case <-answered:
				t.Fatal("ended")
			case <-time.After(3 * testPause):
			}
			assert.Equal(t, r.handler.metrics.endedUnresponsive.Load(), uint64(0))
		})
	}
}

// Guards against ending a stream whose events still arrive from an engine that has left.
func TestStreamOfDepartedEngineContinuesWhileEventsArrive(t *testing.T) {
	r := newStreamRig(t)
	started := make(chan struct{})
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		close(started)
		for i := 2; i <= 6; i++ {
			time.Sleep(testPause / 2)
			events(w, i, i)
		}
	})
	answered := r.askInBackground("/chat/1")
	<-started
	r.pool.Apply(nil, []string{"x"}, false)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
}

// Guards against treating back ends without engines or responses without events as streams.
func TestOtherRequestsAreNotTracked(t *testing.T) {
	r := newStreamRig(t)
	release := make(chan struct{})
	slow := func(w http.ResponseWriter, q *http.Request) {
		<-release
		good(w, q)
	}
	r.add("app", "a", slow)
	route := r.source.table.Route("h", "/unsafe/1")
	route.Timeout = 10 * time.Second
	assert.Equal(t, route.Kind, traffic.KindUnsafe)
	answered := r.askInBackground("/unsafe/1")
	r.list([]string{"a"}, []string{"a"})
	time.Sleep(3 * testPause)
	close(release)
	assert.Equal(t, (<-answered).status, http.StatusOK)
	assert.Equal(t, len(r.handler.config.Streams.Stalls(r.handler.clock())), 0)
}
