package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

var names = vocabulary.Default()

// source is a Source with a fixed table.
type source struct {
	table *traffic.Table
	fresh atomic.Bool
	// preparation is the result of StartupDelay.
	preparation time.Duration
}

func (s *source) Table() *traffic.Table         { return s.table }
func (s *source) Fresh() bool                   { return s.fresh.Load() }
func (s *source) Routers() int                  { return 1 }
func (s *source) View() (uint64, time.Duration) { return 0, 0 }
func (s *source) StartupDelay() time.Duration   { return s.preparation }

// rig is a router with scripted back ends.
type rig struct {
	t       testing.TB
	source  *source
	pool    *backends.Pool
	handler *Handler
	router  *httptest.Server
	// runs counts the requests that each back end received.
	mu      sync.Mutex
	runs    map[string]int
	servers []*httptest.Server
}

// closeBackends closes all back ends and their connections.
func (r *rig) closeBackends() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		_ = s.Listener.Close()
		s.CloseClientConnections()
	}
}

func table(t testing.TB) *traffic.Table {
	t.Helper()
	built, err := traffic.Build(&traffic.Table{
		Version: 3,
		Pools:   []traffic.Pool{{Name: "app"}, {Name: "llm", Engine: &traffic.Engine{Slots: 4, CapacityTokens: 10000}}},
		Routes: []traffic.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: traffic.KindSafe, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2, Split: []traffic.Share{{Pool: "app", Weight: 1}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: traffic.KindUnsafe, Timeout: 500 * time.Millisecond, Target: 100 * time.Millisecond, MaxAttempts: 1, Split: []traffic.Share{{Pool: "app", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: traffic.KindStream, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 1, Split: []traffic.Share{{Pool: "llm", Weight: 1}}},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: traffic.KindStream, Resumable: true, Timeout: 2 * time.Second, Target: 200 * time.Millisecond, MaxAttempts: 2, Split: []traffic.Share{{Pool: "llm", Weight: 1}}},
			{Name: "public", Host: "h", Prefix: "/safe/public/", Kind: traffic.KindSafe, Timeout: time.Second, Public: true, Split: []traffic.Share{{Pool: "app", Weight: 1}}},
		},
		Tenants: []traffic.Tenant{{Name: "alice", Keys: []string{"ka"}}},
		Limits:  traffic.Limits{MaxBodyBytes: 1000},
	})
	assert.NilError(t, err)
	return built
}

func newRig(t testing.TB) *rig {
	r := &rig{t: t, source: &source{table: table(t)}, pool: backends.NewPool("a"), runs: map[string]int{}}
	r.source.fresh.Store(true)
	pushbacks := pushback.New(names, slog.New(slog.DiscardHandler))
	limits := ratelimit.New(names, slog.New(slog.DiscardHandler))
	r.pool.SetPushbacks(pushbacks)
	r.handler = New(Config{Headers: names, Source: r.source, Pool: r.pool, Upstream: upstream.NewPool(names.RequestID, pushbacks, limits), Pushbacks: pushbacks, Limits: limits, Saved: NewSaved(),
		Budget: BudgetConfig{Ratio: 0.2, Burst: 100, Window: time.Second}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	r.router = httptest.NewServer(r.handler)
	t.Cleanup(r.router.Close)
	return r
}

// Requests that arrive shortly before the first view after a restart must not be refused.
func TestRequestWaitsUntilRouterMayServe(t *testing.T) {
	r := newRig(t)
	r.add("app", "a", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names.Signature, "s") })
	r.source.fresh.Store(false)
	time.AfterFunc(50*time.Millisecond, func() { r.source.fresh.Store(true) })
	assert.Equal(t, r.ask("GET", "/safe/x", nil).status, http.StatusOK)
}

// Requests are refused with a Retry-After while engines are behind.
func TestRequestIsRefusedWhileEnginesAreBehind(t *testing.T) {
	r := newRig(t)
	r.add("llm", "e", func(w http.ResponseWriter, _ *http.Request) { t.Error("the request was sent") })
	r.pool.Begin(0, &backends.Choice{ID: "e", Work: backends.Work{Prompt: 20000}}, &backends.Query{Pool: "llm"}, func(error) {})
	response := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	// 20,000 tokens at 40 a millisecond, less half of the patience, plus up to half as much
	// jitter.
	assert.Assert(t, after >= 0.48 && after <= 0.73, "%v", after)
}

// The Retry-After of refused requests is spread over half of the engines' backlog, and has a
// lower bound.
func TestRetryAfterHasJitter(t *testing.T) {
	q := &backends.Query{Patience: 200 * time.Millisecond}
	for wait, wanted := range map[time.Duration][2]time.Duration{
		900 * time.Millisecond: {800 * time.Millisecond, 1200 * time.Millisecond},
		210 * time.Millisecond: {busyRetryAfter, busyRetryAfter * 3 / 2},
	} {
		least, most := time.Hour, time.Duration(0)
		for range 2000 {
			after := behindRetryAfter(&backends.Choice{Wait: wait}, q)
			least, most = min(least, after), max(most, after)
		}
		assert.Assert(t, least >= wanted[0] && most <= wanted[1], "%v: %v to %v", wait, least, most)
		assert.Assert(t, most-least > (wanted[1]-wanted[0])*9/10, "%v: %v to %v", wait, least, most)
	}
}

// fixedPlacer places all requests at one engine, and records the reports.
type fixedPlacer struct {
	mu       sync.Mutex
	choice   backends.Choice
	answered bool
	begun    []time.Duration
	ended    int
}

func (p *fixedPlacer) Place(context.Context, *backends.Query) (backends.Choice, bool, bool) {
	return p.choice, true, p.answered
}

func (p *fixedPlacer) Begun(_ uint64, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = append(p.begun, first)
}

func (p *fixedPlacer) Ended(uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
}

func TestPlacerChoosesEngineWhileItReplies(t *testing.T) {
	r := newRig(t)
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
	r.add("llm", "mine", stream)
	r.add("llm", "theirs", stream)
	theirs, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"mine"}})
	assert.Assert(t, found)
	theirs.Placement = 5
	placer := &fixedPlacer{choice: theirs, answered: true}
	r.handler.config.Placer = placer
	ask := func() result {
		return r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	}
	assert.Equal(t, ask().status, http.StatusOK)
	assert.Equal(t, r.ran("theirs"), 1)
	placer.mu.Lock()
	assert.Equal(t, len(placer.begun), 1)
	assert.Assert(t, placer.begun[0] > 0)
	assert.Equal(t, placer.ended, 1)
	placer.mu.Unlock()
	placer.answered = false
	assert.Equal(t, ask().status, http.StatusOK)
	assert.Equal(t, r.ran("mine", "theirs"), 2)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	assert.Equal(t, placer.ended, 1, "a local choice is not reported")
}

// A replaced leader may place requests at an engine that is draining or has outdated weights.
func TestPlacementAtUnavailableEngineIsRejected(t *testing.T) {
	r := newRig(t)
	r.add("app", "other", good)
	r.add("llm", "open", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	r.add("llm", "leaving", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	leaving, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"open"}})
	assert.Assert(t, found)
	leaving.Placement = 1
	r.pool.Apply([]state.Backend{{ID: "leaving", Pool: "llm", Address: leaving.Address, Draining: true}}, nil, false)
	placer := &fixedPlacer{choice: leaving, answered: true}
	r.handler.config.Placer = placer
	response := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, r.ran("open"), 1)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	assert.Equal(t, placer.ended, 1, "the placement is cancelled")
}

// add starts a back end in a pool.
func (r *rig) add(pool, id string, serve http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		serve(w, q)
	}))
	r.t.Cleanup(server.CloseClientConnections)
	r.mu.Lock()
	r.servers = append(r.servers, server)
	r.mu.Unlock()
	row := state.Backend{ID: id, Pool: pool, Address: server.Listener.Addr().String(), Zone: "a"}
	r.pool.Apply([]state.Backend{row}, nil, false)
}

func (r *rig) ran(ids ...string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, id := range ids {
		total += r.runs[id]
	}
	return total
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request with a valid key.
func (r *rig) ask(method, path string, change func(*http.Request)) result {
	request, err := http.NewRequestWithContext(context.Background(), method, r.router.URL+path, strings.NewReader("body"))
	assert.NilError(r.t, err)
	request.Host = "h"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set("Authorization", "Bearer ka")
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, string(body), err}
}

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.Signature, "seal")
	_, _ = io.WriteString(w, "fine")
}

func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// An engine that receives urgencies may evict less urgent prompts that it has processed already.
func TestUrgencyIsNotForwarded(t *testing.T) {
	r := newRig(t)
	r.source.table.TenantByKey("ka").Priority = 1
	r.add("llm", "e", func(w http.ResponseWriter, q *http.Request) {
		assert.Equal(t, q.Header.Get(names.Priority), "")
		events(w, 1, 1)
	})
	response := r.ask("POST", "/chat/x", func(q *http.Request) {
		q.Header.Set(names.Model, "m")
		q.Header.Set(names.Priority, "0")
	})
	assert.Equal(t, response.status, http.StatusOK)
}

func TestResponseIsForwardedWithSeal(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", good)
	got := r.ask("GET", "/safe/1", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "fine")
	assert.Equal(t, got.header.Get(names.Signature), "seal")
}

func TestInvalidRequestIsRefusedWithoutAttempt(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", good)
	cases := map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"unknown route": {"/nowhere/", nil, 404},
		"unknown host":  {"/safe/1", func(q *http.Request) { q.Host = "other" }, 404},
		"unknown key":   {"/safe/1", func(q *http.Request) { q.Header.Set("Authorization", "Bearer zz") }, 401},
		"no key":        {"/safe/1", func(q *http.Request) { q.Header.Del("Authorization") }, 401},
		"no ID":         {"/safe/1", func(q *http.Request) { q.Header.Del(names.RequestID) }, 400},
		"long body": {"/safe/1", func(q *http.Request) {
			q.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
			q.ContentLength = 2000
		}, 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, r.ask("POST", c.path, c.change).status, c.status) })
	}
	assert.Equal(t, r.ran("x"), 0)
	assert.Equal(t, r.ask("GET", "/safe/public/1", func(q *http.Request) { q.Header.Del("Authorization") }).status, 200)
}

func TestStaleRouterRefusesWithRetryAfter(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", good)
	r.source.fresh.Store(false)
	got := r.ask("GET", "/safe/1", nil)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, r.ran("x"), 0)
}

func TestTenantHeaderReplacesKey(t *testing.T) {
	r := newRig(t)
	seen := make(chan http.Header, 1)
	r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
		seen <- q.Header
		good(w, q)
	})
	r.ask("GET", "/safe/1", func(q *http.Request) { q.Header.Set(names.Tenant, "mallory") })
	header := <-seen
	assert.DeepEqual(t, header[names.Tenant], []string{"alice"})
	assert.Equal(t, header.Get("Authorization"), "")
	assert.Equal(t, header.Get(names.Instance), "x")
}

func TestRejectedRequestIsSentElsewhere(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1"} {
		r := newRig(t)
		r.add("app", "full", reject)
		r.add("app", "x", good)
		for range 5 {
			assert.Equal(t, r.ask("POST", path, nil).status, 200)
		}
	}
}

func TestRequestThatAllRejectHasRetryAfter(t *testing.T) {
	r := newRig(t)
	r.add("app", "full", reject)
	got := r.ask("POST", "/unsafe/1", nil)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestUnsafeRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{"dropped": dropConnection, "failed": failing} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.add("app", "x", serve)
			r.add("app", "y", serve)
			got := r.ask("POST", "/unsafe/1", nil)
			assert.Assert(t, got.status == 500 || got.status == 502, "%d", got.status)
			assert.Equal(t, r.ran("x", "y"), 1)
		})
	}
}

func TestSafeRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", failing)
	r.add("app", "y", dropConnection)
	r.add("app", "z", failing)
	got := r.ask("GET", "/safe/1", nil)
	assert.Assert(t, got.status >= 500)
	assert.Equal(t, r.ran("x", "y", "z"), 2)
}

func TestTimeoutEndsRequest(t *testing.T) {
	r := newRig(t)
	r.add("app", "slow", func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	started := time.Now()
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, 504)
	assert.Assert(t, time.Since(started) < time.Second)
}

func TestRemainingTimeIsForwardedAsDeadline(t *testing.T) {
	r := newRig(t)
	seen := make(chan string, 1)
	r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
		seen <- q.Header.Get(names.Deadline)
		good(w, q)
	})
	r.ask("GET", "/safe/1", func(q *http.Request) { q.Header.Set(names.Deadline, "300") })
	var left int
	_, err := fmt.Sscan(<-seen, &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left < 300, "%d", left)
}

func TestDisconnectedClientCancelsAttempt(t *testing.T) {
	r := newRig(t)
	disconnected := make(chan struct{})
	r.add("app", "x", func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		close(disconnected)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r.ask("GET", "/safe/1", func(q *http.Request) { *q = *q.WithContext(ctx) })
	select {
	case <-disconnected:
	case <-time.After(time.Second):
		t.Fatal("the back end goes on")
	}
}

func TestSuccessWithoutSealIsFailure(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "unsigned") })
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, 502)
}

func TestRetryBudgetIsBounded(t *testing.T) {
	b := newBudget(BudgetConfig{Ratio: 0.2, Burst: 10, Window: 10 * time.Second}, nil)
	spent := 0
	for range 100 {
		b.CountRequest(0, "p")
		if b.SpendLocal(0, "p", 2) {
			spent++
		}
	}
	// 0.7 of 0.2 per request, and 0.6 of half the burst.
	assert.Equal(t, spent, 17)
	assert.Assert(t, !b.SpendLocal(9*time.Second, "p", 2))
	assert.Assert(t, b.SpendLocal(11*time.Second, "p", 2))
}

func TestSplitFollowsWeights(t *testing.T) {
	s := newSplitter()
	route := &traffic.Route{Name: "r", Split: []traffic.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 1000 {
		counts[s.next(&traffic.Table{Version: 1}, route)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
}

// A client that retries before the router may serve wastes its attempt.
func TestRetryAfterCoversStartupDelay(t *testing.T) {
	r := newRig(t)
	r.source.preparation = 20 * time.Second
	r.source.fresh.Store(false)
	after, err := strconv.ParseFloat(r.ask("GET", "/safe/1", nil).header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 10 && after <= 20, "%f", after)
	r.source.preparation = 0
	after, err = strconv.ParseFloat(r.ask("GET", "/safe/1", nil).header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, minRetryAfter.Seconds())
}
