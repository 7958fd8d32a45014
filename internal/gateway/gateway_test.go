package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/claims"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/telemetry"
	"quinceridge.example/quinceridge/internal/trace"
)

// fakeLog runs commands on a local state machine. Submit fails while unreachable is set.
type fakeLog struct {
	mu          sync.Mutex
	machine     *state.Machine
	index       uint64
	unreachable atomic.Bool
}

func (l *fakeLog) Submit(_ context.Context, c state.Command) (state.Result, error) {
	if l.unreachable.Load() {
		return state.Result{}, errors.New("no leader")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	text, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	l.index++
	return l.machine.Apply(l.index, 1, text)
}

// fixture is a gateway with one engine and one worker.
type fixture struct {
	gateway *Gateway
	board   *board.Board
	lease   *board.Writer[board.LeaseState]
	log     *fakeLog
	runs    atomic.Int64
	// handle serves the worker's calls.
	handle func(w http.ResponseWriter, r *http.Request)
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{board: &board.Board{}, log: &fakeLog{machine: state.New()}}
	f.handle = func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	engine := httptest.NewServer(http.HandlerFunc(serveEngine))
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		f.handle(w, r)
	}))
	t.Cleanup(engine.Close)
	t.Cleanup(worker.Close)
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	pool := membership.NewPool(func(string) float64 { return 1000 })
	pool.SetMachines([]controlapi.Machine{
		{ID: "engine", Role: controlapi.RoleEngine, Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "one", Model: "m", WeightsVersion: 1, DecodeSlots: 4},
		{ID: "worker", Role: controlapi.RoleApplication, Address: strings.TrimPrefix(worker.URL, "http://")},
	})
	b := &bundle.Bundle{Version: 1,
		Models:  map[string]bundle.Model{"m": {WeightsVersion: 1, PrefillTokensPerSecond: 1000, MaxOutputTokens: 100}},
		Classes: map[string]bundle.Class{"normal": {Priority: 50, FirstToken: 2 * time.Second}},
		Tenants: map[string]bundle.Tenant{"a": {KeySHA256: digest("key-a"), Weight: 1, Class: "normal"}},
		Routes: map[string]bundle.Route{"charge": {Path: "/charges", Deadline: time.Second},
			"slots": {Path: "/slots", Retryable: true, Deadline: time.Second}}}
	config, err := f.board.Config.Claim("test")
	assert.NilError(t, err)
	config.Store(board.NewConfig(controlapi.BundleID{Version: 1}, b))
	f.lease, err = f.board.LeaseState.Claim("test")
	assert.NilError(t, err)
	f.lease.Store(&board.LeaseState{Mode: agent.ModeLeased})
	logger := slog.New(slog.DiscardHandler)
	policy := scheduling.NewLeastLoad(0)
	dispatcher := dispatch.New(dispatch.Config{Pool: pool, Policy: func(string) scheduling.Policy { return policy }, Now: now, Logger: logger})
	keys := claims.New(f.log)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go keys.Run(ctx)
	f.gateway = New(Config{MaxBody: 4096, Board: f.board, Pool: pool, Dispatcher: dispatcher, Claims: keys,
		Traces: trace.NewRecorder(), Logger: logger, Registry: telemetry.NewRegistry(), Now: now})
	return f
}

// serveEngine generates "hello world " in two tokens.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engineapi.HeaderRequestID)
	reason := "stop"
	chunks := []engineapi.Chunk{
		{ID: id, Choices: []engineapi.Choice{{Text: "hello "}}},
		{ID: id, Choices: []engineapi.Choice{{Text: "world "}}},
		{ID: id, Choices: []engineapi.Choice{{FinishReason: &reason}}, Usage: &engineapi.Usage{PromptTokens: 3}},
	}
	for i, chunk := range chunks {
		data, _ := json.Marshal(chunk)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (f *fixture) call(path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key-a")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.gateway.Server().Handler.ServeHTTP(w, r)
	return w
}

func TestInvalidInputIsRejected(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
		message          string
	}{
		{"malformed", "/v1/completions", `{"model":`, nil, 400, "not a JSON object"},
		{"no object", "/v1/completions", `null`, nil, 400, "not a JSON object"},
		{"wrong type", "/v1/completions", `{"model":5}`, nil, 400, "does not fit"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "no such model"},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "prompt is required"},
		{"no messages", "/v1/chat/completions", `{"model":"m","prompt":"p"}`, nil, 400, "messages are required"},
		{"too many tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":101}`, nil, 400, "max_tokens"},
		{"continuation", "/v1/completions", `{"model":"m","prompt":"p","continuation":"x"}`, nil, 400, "routers only"},
		{"unknown key", "/v1/completions", `{}`, []string{"Authorization", "Bearer no"}, 401, "API key"},
		{"over the limit", "/v1/completions", strings.Repeat(" ", 5000), nil, 413, "larger than 4096"},
		{"unknown class", "/v1/completions", `{"model":"m","prompt":"p"}`, []string{"Priority-Class", "x"}, 400, "priority class"},
		{"bad weights", "/v1/completions", `{"model":"m","prompt":"p"}`, []string{"Weights-Version-Min", "x"}, 400, "whole number"},
		{"bad event id", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, []string{"Last-Event-ID", "x"}, 400, "Last-Event-ID"},
		{"unknown route", "/app/none", `{}`, nil, 404, "no such route"},
		{"no idempotency key", "/app/charges", `{}`, nil, 400, "Idempotency-Key"},
		{"unknown path", "/v2", `{}`, nil, 404, "Not Found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := f.call(c.path, c.body, c.headers...)
			assert.Equal(t, w.Code, c.status, w.Body.String())
			var body errorBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Assert(t, strings.Contains(body.Error.Message, c.message), body.Error.Message)
			assert.Equal(t, body.Error.Code, OutcomeNotRun)
			assert.Equal(t, w.Header().Get(headerOutcome), string(OutcomeNotRun))
		})
	}
	assert.Equal(t, f.runs.Load(), int64(0))
}

func TestResponsesAreStreamedOrWhole(t *testing.T) {
	f := newFixture(t)
	w := f.call("/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
	assert.Equal(t, strings.Count(w.Body.String(), "id: "), 3)
	w = f.call("/v1/completions", `{"model":"m","prompt":"p"}`)
	var whole engineapi.Chunk
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &whole))
	assert.Equal(t, whole.Choices[0].Text, "hello world ")
	assert.Equal(t, whole.Object, "text_completion")
}

func TestRouterWithoutLeaseRejectsRequests(t *testing.T) {
	f := newFixture(t)
	f.lease.Store(&board.LeaseState{Mode: agent.ModeNone})
	w := f.call("/v1/completions", `{"model":"m","prompt":"p"}`)
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	r := httptest.NewRequest(http.MethodGet, "/readyz", nil)
	ready := httptest.NewRecorder()
	f.gateway.Server().Handler.ServeHTTP(ready, r)
	assert.Equal(t, ready.Code, 503)
	r = httptest.NewRequest(http.MethodGet, "/healthz", nil)
	alive := httptest.NewRecorder()
	f.gateway.Server().Handler.ServeHTTP(alive, r)
	assert.Equal(t, alive.Code, 200)
}

func TestCallsWithSameKeyRunOnce(t *testing.T) {
	f := newFixture(t)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			w := f.call("/app/charges", `{"amount":5}`, "Idempotency-Key", "k")
			assert.Check(t, w.Code == 200 || w.Code == 409, w.Body.String())
		})
	}
	group.Wait()
	assert.Equal(t, f.runs.Load(), int64(1))
	w := f.callUntilFinished("/app/charges", `{"amount":5}`)
	assert.Equal(t, w.Body.String(), `{"amount":5}`)
	w = f.call("/app/charges", `{"amount":6}`, "Idempotency-Key", "k")
	assert.Equal(t, w.Code, 422)
	assert.Equal(t, f.runs.Load(), int64(1))
}

// callUntilFinished retries a call until its key is no longer running, since the outcome is
// stored in the background.
func (f *fixture) callUntilFinished(path, body string) *httptest.ResponseRecorder {
	for {
		w := f.call(path, body, "Idempotency-Key", "k")
		if w.Code != http.StatusConflict {
			return w
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCallWithLostResponseIsNotRetried(t *testing.T) {
	f := newFixture(t)
	f.handle = func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	for range 2 {
		w := f.callUntilFinished("/app/charges", `{}`)
		assert.Equal(t, w.Code, 502, w.Body.String())
		assert.Equal(t, w.Header().Get(headerOutcome), string(OutcomeUnknown))
	}
	assert.Equal(t, f.runs.Load(), int64(1))
}

func TestCallWithoutQuorumIsNotRun(t *testing.T) {
	f := newFixture(t)
	f.log.unreachable.Store(true)
	w := f.call("/app/charges", `{}`, "Idempotency-Key", "k")
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get(headerOutcome), string(OutcomeNotRun))
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Equal(t, f.runs.Load(), int64(0))
	w = f.call("/app/slots", `{}`)
	assert.Equal(t, w.Code, 200) // retryable calls need no claim
}

func TestRequestIDsAreUniqueAndKeepCallersOwn(t *testing.T) {
	f := newFixture(t)
	body := `{"model":"m","prompt":"p"}`
	first := f.call("/v1/completions", body, "X-Request-Id", "mine").Header().Get("X-Request-Id")
	second := f.call("/v1/completions", body, "X-Request-Id", "mine").Header().Get("X-Request-Id")
	assert.Assert(t, strings.HasPrefix(first, "mine-") && first != second)
	bad := f.call("/v1/completions", body, "X-Request-Id", strings.Repeat("x", 100)).Header().Get("X-Request-Id")
	assert.Equal(t, len(bad), 24)
}

func FuzzCompletions(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":["p"]}`))
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":-1}`))
	f.Add([]byte("\xff\xfe"))
	x := newFixture(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
			r.Header.Set("Authorization", "Bearer key-a")
			w := httptest.NewRecorder()
			x.gateway.Server().Handler.ServeHTTP(w, r)
			assert.Assert(t, w.Code < 500, "%d %s", w.Code, w.Body.String())
		}
	})
}
