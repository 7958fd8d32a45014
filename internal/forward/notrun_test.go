package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// executions counts the requests that back ends run.
type executions struct{ count atomic.Int32 }

// runs returns a handler that counts the request as run.
func (e *executions) runs(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		e.count.Add(1)
		serve(w, q)
	}
}

// assertNotRun fails if the status says that the request has not run although it did, or if a back
// end starts it later.
func (e *executions) assertNotRun(t *testing.T, status int, wait time.Duration, trace string) {
	t.Helper()
	if !notRunStatuses[status] {
		return
	}
	assert.Equal(t, e.count.Load(), int32(0), "status %d after %s", status, trace)
	time.Sleep(wait)
	assert.Equal(t, e.count.Load(), int32(0), "run after status %d after %s", status, trace)
}

// ownStatus is a response of a back end that does not say whether the request ran.
func ownStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "seal")
		w.WriteHeader(status)
	}
}

func misdirect(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func hang(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }

// misdirectedTo names another instance, as a back end at a reused address does.
func misdirectedTo(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(names.ResponseInstance, "other")
	misdirect(w, q)
}

// scriptedPlacer gives one choice for each attempt, and none after the last.
type scriptedPlacer struct {
	choices []backends.Choice
	placed  int
}

func (p *scriptedPlacer) Place(context.Context, *backends.Query) (backends.Choice, bool, bool) {
	if p.placed >= len(p.choices) {
		return backends.Choice{}, false, true
	}
	p.placed++
	return p.choices[p.placed-1], true, true
}

func (*scriptedPlacer) Begun(uint64, time.Duration) {}
func (*scriptedPlacer) Ended(uint64)                {}

func asModel(q *http.Request) { q.Header.Set(names.Model, "m") }

// Guards against telling a client that its request has not run when it may have. Each case is one
// path that ends in such a status, or that did so before.
func TestStatusesThatExcludeExecution(t *testing.T) {
	// breaks ends a stream after its first event.
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		breakOff(w, 2)
	}
	cases := map[string]struct {
		path    string
		prepare func(r *rig, e *executions)
		change  func(*http.Request)
		// wanted is the status; 0 for an aborted response.
		wanted int
		runs   int32
	}{
		"the router may not serve": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, e *executions) {
			r.add("app", "x", e.runs(good))
			r.source.fresh.Store(false)
		}},
		"the router has no configuration": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, e *executions) {
			r.add("app", "x", e.runs(good))
			r.source.table = nil
		}},
		"no back end": {path: "/unsafe/1", wanted: 503, prepare: func(*rig, *executions) {}},
		"nobody listens": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, e *executions) {
			r.add("app", "x", e.runs(good))
			r.closeBackends()
		}},
		"all draining": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, e *executions) {
			r.add("app", "x", e.runs(good))
			r.pool.Apply([]state.Backend{{ID: "x", Pool: "app", Address: r.address("app"), Zone: "a", Draining: true}}, nil, false)
		}},
		"rejected": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, _ *executions) { r.add("app", "x", reject) }},
		"pushed back": {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, _ *executions) {
			r.add("app", "x", pushBack("30"))
			r.ask("POST", "/unsafe/1", nil)
		}},
		"misdirected":               {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, _ *executions) { r.add("app", "x", misdirect) }},
		"misdirected to another":    {path: "/unsafe/1", wanted: 503, prepare: func(r *rig, _ *executions) { r.add("app", "x", misdirectedTo) }},
		"no permit":                 {path: "/unsafe/1", wanted: 503, prepare: limitWithoutClaimer},
		"engines are behind":        {path: "/chat/1", change: asModel, wanted: 503, prepare: placeOnly(backends.Choice{Late: true, Wait: time.Second})},
		"over limit, leader":        {path: "/chat/1", change: asModel, wanted: 429, prepare: placeOnly(backends.Choice{OverLimit: true, Wait: time.Second})},
		"over limit, router":        {path: "/unsafe/1", wanted: 429, prepare: overLimitLocally},
		"deadline before an answer": {path: "/unsafe/1", wanted: 504, runs: 1, prepare: func(r *rig, e *executions) { r.add("app", "x", e.runs(hang)) }},
		"own 503":                   {path: "/unsafe/1", wanted: 502, runs: 1, prepare: respondWith(http.StatusServiceUnavailable)},
		"own 503, retried":          {path: "/safe/1", wanted: 502, runs: 2, prepare: respondWith(http.StatusServiceUnavailable)},
		"own 429":                   {path: "/unsafe/1", wanted: 502, runs: 1, prepare: respondWith(http.StatusTooManyRequests)},
		"own 429 to a stream":       {path: "/chat/1", wanted: 502, runs: 1, prepare: respondWith(http.StatusTooManyRequests)},
		"own 408":                   {path: "/unsafe/1", wanted: 502, runs: 1, prepare: respondWith(http.StatusRequestTimeout)},
		"large own 429": {path: "/unsafe/1", wanted: 502, runs: 1, prepare: func(r *rig, e *executions) {
			r.unhurried("/unsafe/1")
			r.add("app", "x", e.runs(writeLarge(http.StatusTooManyRequests, true, len(largeBody))))
		}},
		"large own 503": {path: "/unsafe/1", wanted: 502, runs: 1, prepare: func(r *rig, e *executions) {
			r.unhurried("/unsafe/1")
			r.add("app", "x", e.runs(writeLarge(http.StatusServiceUnavailable, true, len(largeBody))))
		}},
		"no connection after a failure": {path: "/safe/1", wanted: 502, runs: 1, prepare: func(r *rig, e *executions) {
			r.add("app", "x", e.runs(dropConnection))
		}},
		"rejected after a failure": {path: "/safe/1", wanted: 502, runs: 1, prepare: func(r *rig, e *executions) {
			// The second attempt meets a back end that rejects whichever is asked first.
			var first atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if first.CompareAndSwap(false, true) {
					e.runs(dropConnection)(w, q)
					return
				}
				reject(w, q)
			}
			r.add("app", "x", serve)
			r.add("app", "y", serve)
		}},
		"silent attempt beside which another is rejected": {path: "/safe/1", wanted: 504, runs: 1, prepare: func(r *rig, e *executions) {
			var first atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if first.CompareAndSwap(false, true) {
					e.runs(hang)(w, q)
					return
				}
				reject(w, q)
			}
			r.add("app", "x", serve)
			r.add("app", "y", serve)
		}},
		"behind after an attempt":     {path: "/resumable/1", change: asModel, wanted: 502, runs: 1, prepare: placeAfterAttempt(dropConnection, backends.Choice{Late: true, Wait: time.Second})},
		"over limit after an attempt": {path: "/resumable/1", change: asModel, wanted: 502, runs: 1, prepare: placeAfterAttempt(dropConnection, backends.Choice{OverLimit: true, Wait: time.Second})},
		"behind within a stream":      {path: "/resumable/1", change: asModel, runs: 1, prepare: placeAfterAttempt(breaks, backends.Choice{Late: true, Wait: time.Second})},
		"over limit within a stream":  {path: "/resumable/1", change: asModel, runs: 1, prepare: placeAfterAttempt(breaks, backends.Choice{OverLimit: true, Wait: time.Second})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, e := newRig(t), &executions{}
			if c.wanted != http.StatusGatewayTimeout {
				// On a busy machine 17 MiB take longer than the routes of the rig allow.
				r.source.table.Route("h", c.path).Timeout = 10 * time.Second
			}
			c.prepare(r, e)
			got := r.ask("POST", c.path, c.change)
			if c.wanted == 0 {
				assert.Assert(t, got.err != nil, "%d %q", got.status, got.body)
			} else {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.wanted)
			}
			e.assertNotRun(t, got.status, 30*time.Millisecond, name)
			assert.Equal(t, e.count.Load(), c.runs)
		})
	}
}

// respondWith adds two back ends to each pool that run requests and respond with a status.
func respondWith(status int) func(r *rig, e *executions) {
	return func(r *rig, e *executions) {
		for _, id := range []string{"x", "y"} {
			r.add("app", id, e.runs(ownStatus(status)))
			r.add("llm", "e"+id, e.runs(ownStatus(status)))
		}
	}
}

// placeOnly adds an engine and a leader that always gives one answer.
func placeOnly(choice backends.Choice) func(r *rig, e *executions) {
	return func(r *rig, e *executions) {
		r.limited()
		r.add("llm", "e", e.runs(good))
		r.handler.config.Placer = &fixedPlacer{choice: choice, answered: true}
	}
}

// placeAfterAttempt adds an engine and a leader that answers the second question with a refusal.
func placeAfterAttempt(serve http.HandlerFunc, refusal backends.Choice) func(r *rig, e *executions) {
	return func(r *rig, e *executions) {
		r.add("llm", "e", e.runs(serve))
		choice, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
		assert.Assert(r.t, found)
		choice.Placement = 1
		r.handler.config.Placer = &scriptedPlacer{choices: []backends.Choice{choice, refusal}}
	}
}

// limitWithoutClaimer adds a back end with a limit, for which no permit can be claimed.
func limitWithoutClaimer(r *rig, e *executions) {
	limit := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.Limit, "1")
		good(w, q)
	}
	r.add("app", "x", limit)
	r.ask("POST", "/unsafe/1", nil)
	assert.Equal(r.t, e.count.Load(), int32(0))
}

// overLimitLocally leaves the tenant no part of its limit at this router.
func overLimitLocally(r *rig, e *executions) {
	gate := r.limited()
	r.add("app", "x", e.runs(good))
	gate.SetShares(r.handler.now(), []quota.Share{{Tenant: "alice", Part: 0}})
}

// Guards against a path that the list above lacks: back ends, placements and deadlines are drawn.
func TestDrawnFailuresNeverReportRunRequestAsNotRun(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 0))
	paths := []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"}
	for range 120 {
		r, e := newRig(t), &executions{}
		serves := map[string]http.HandlerFunc{"rejects": reject, "misdirects": misdirect, "pushes back": pushBack("0.1"),
			"runs": e.runs(good), "streams": e.runs(func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }),
			"breaks": e.runs(func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 1)
				breakOff(w, 2)
			}),
			"drops": e.runs(dropConnection), "hangs": e.runs(hang), "fails": e.runs(failing), "503": e.runs(ownStatus(503)),
			"429": e.runs(ownStatus(429)), "408": e.runs(ownStatus(408)), "404": e.runs(ownStatus(404))}
		kinds := []string{"rejects", "misdirects", "pushes back", "runs", "streams", "breaks", "drops", "hangs", "fails", "503", "429", "408", "404"}
		path := paths[draw.IntN(len(paths))]
		trace := path
		for i := range draw.IntN(4) {
			kind := kinds[draw.IntN(len(kinds))]
			pool := "app"
			if path == "/chat/1" || path == "/resumable/1" {
				pool = "llm"
			}
			trace += " " + kind
			r.add(pool, fmt.Sprint("b", i), serves[kind])
		}
		ms := []int{20, 100, 400}[draw.IntN(3)]
		trace += fmt.Sprintf(", deadline %d ms", ms)
		got := r.ask("POST", path, func(q *http.Request) { q.Header.Set(names.Deadline, fmt.Sprint(ms)) })
		e.assertNotRun(t, got.status, 0, trace)
		r.router.CloseClientConnections()
		r.closeBackends()
	}
}

// Guards against refusing a request that runs when its router stops.
func TestStoppedRouterDoesNotReportRunRequestAsNotRun(t *testing.T) {
	r, e := newRig(t), &executions{}
	started := make(chan struct{})
	r.add("app", "x", e.runs(func(_ http.ResponseWriter, q *http.Request) {
		close(started)
		hang(nil, q)
	}))
	results := make(chan result, 1)
	go func() { results <- r.ask("POST", "/safe/1", nil) }()
	<-started
	r.handler.Stop(time.Minute)
	r.source.fresh.Store(false)
	// A request that arrives meanwhile is refused and does not run.
	later := r.ask("POST", "/unsafe/1", nil)
	assert.Equal(t, later.status, http.StatusServiceUnavailable)
	assert.Equal(t, e.count.Load(), int32(1))
	// The end of the drain limit closes the connections.
	r.router.CloseClientConnections()
	got := <-results
	assert.Assert(t, got.err != nil || !notRunStatuses[got.status], "%d", got.status)
}

// A request whose connection to the back end cannot be opened in time has not run, and the back end
// must not receive it when it accepts at last.
func TestRequestThatTimesOutBeforeItIsSentNeverRuns(t *testing.T) {
	r := newRig(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	r.openRow("x", "app", listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = r.handler.config.Upstream.Do(ctx, listener.Addr().String(), &upstream.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
	assert.Assert(t, err != nil)
	_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
	if conn, err := listener.Accept(); err == nil {
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, _ := conn.Read(make([]byte, 1))
		assert.Equal(t, n, 0, "the request arrived")
	}
}

// Guards against a signature next to a status that its back end did not send.
func TestChangedStatusDropsSignature(t *testing.T) {
	r, e := newRig(t), &executions{}
	r.add("app", "x", e.runs(ownStatus(http.StatusServiceUnavailable)))
	got := r.ask("POST", "/unsafe/1", nil)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get(names.Signature), "")

	r, e = newRig(t), &executions{}
	r.add("app", "x", e.runs(ownStatus(http.StatusInternalServerError)))
	got = r.ask("POST", "/unsafe/1", nil)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get(names.Signature), "seal")
}
