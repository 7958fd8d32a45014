package coordinator

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

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
	assert.ErrorIs(t, calls.Load(context.Background(), LoadOrder{Target: to}), ratelimit.ErrNoRight)
	to.Right = ratelimit.Free("x")
	assert.NilError(t, calls.Load(context.Background(), LoadOrder{Target: to}))
}
