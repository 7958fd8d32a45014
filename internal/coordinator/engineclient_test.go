package coordinator

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// A limit in the answer to an order is reported with the pool of the engine, and applies to the
// next call.
func TestOrderAnswerReportsLimitWithPool(t *testing.T) {
	names := vocabulary.Default()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Limit, "2")
		w.WriteHeader(http.StatusAccepted)
	}))
	defer engine.Close()
	calls := NewHTTPEngines(slog.New(slog.DiscardHandler))
	to := targetOf(state.Backend{ID: "x", Pool: "llm", Address: engine.Listener.Addr().String()})
	assert.NilError(t, calls.Load(context.Background(), LoadOrder{Target: to}))
	words := calls.Limits(false)
	assert.Equal(t, len(words), 1)
	assert.Assert(t, words[0].ID == "x" && words[0].Pool == "llm" && words[0].Rate == 2, "%+v", words[0])
	assert.Equal(t, len(calls.Limits(false)), 0)
	assert.Equal(t, len(calls.Limits(true)), 1, "to a new leader")
	assert.ErrorIs(t, calls.Load(context.Background(), LoadOrder{Target: to}), ratelimit.ErrNoPermit)
	to.Permit = ratelimit.Unlimited("x")
	assert.NilError(t, calls.Load(context.Background(), LoadOrder{Target: to}))
}

// An order whose connection closes as it arrives may have been carried out. Reports may be
// repeated.
func TestOrderAvoidsExpiringConnection(t *testing.T) {
	var opened atomic.Int32
	engine := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=2")
		w.WriteHeader(http.StatusAccepted)
	}))
	engine.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	engine.Start()
	defer engine.Close()
	calls := NewHTTPEngines(slog.New(slog.DiscardHandler))
	to := targetOf(state.Backend{ID: "x", Pool: "llm", Address: engine.Listener.Addr().String()})
	for range 2 {
		assert.NilError(t, calls.Load(t.Context(), LoadOrder{Target: to}))
	}
	assert.Equal(t, opened.Load(), int32(2))
	for range 2 {
		_, _, err := calls.Call(t.Context(), to, http.MethodGet, "/v1/state", nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, opened.Load(), int32(2))
}

// Guards against taking a response that is no HTTP for an engine's reply, and against its limit.
func TestMalformedReplyOfEngineIsAnError(t *testing.T) {
	names := vocabulary.Default()
	for _, head := range []string{"HTTP/1.1 202 Accepted\r\nX Foo: 1\r\n", "HTTP/1.1 202 Accepted\r\nX-Foo : 1\r\n", "HTTP/2.0 202 Accepted\r\n", "HTTP/1.1 999 None\r\n"} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(conn, head+names.Limit+": 2\r\nContent-Length: 2\r\n\r\n{}")
				_ = conn.Close()
			}
		}))
		calls := NewHTTPEngines(slog.New(slog.DiscardHandler))
		to := targetOf(state.Backend{ID: "x", Pool: "llm", Address: engine.Listener.Addr().String()})
		err := calls.Load(t.Context(), LoadOrder{Target: to})
		assert.ErrorIs(t, err, httpwire.ErrMalformed)
		_, _, err = calls.Call(t.Context(), to, http.MethodGet, "/v1/state", nil)
		assert.ErrorIs(t, err, httpwire.ErrMalformed)
		assert.Equal(t, len(calls.Limits(true)), 0)
		engine.Close()
	}
}
