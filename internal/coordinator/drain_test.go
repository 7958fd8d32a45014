package coordinator

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// awaitDraining waits until all replicas have a back end as draining.
func (g *group) awaitDraining(id string) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		for i := range g.servers {
			if !g.row(i, id).Draining {
				return poll.Continue("not draining on node %d", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// A drain that a router reports with a placement or a report is replicated, and a later heartbeat
// without it does not clear it.
func TestDrainReportedByRouterIsReplicated(t *testing.T) {
	g := newGroup(t, 3)
	drains := coordapi.Reports{Troubles: []coordapi.Trouble{{ID: "x", Kind: coordapi.Draining}, {ID: "unknown", Kind: coordapi.Draining}}}
	for name, request := range map[string]coordapi.Request{
		"a question": {Place: &coordapi.Place{Router: "r", Number: 1, Pool: "llm", Model: "m", Reports: drains}},
		"a word":     {Update: &coordapi.Update{Router: "r", Reports: drains}},
	} {
		id := map[string]string{"a question": "x", "a word": "y"}[name]
		drains.Troubles[0].ID = id
		if request.Update != nil {
			request.Update.Reports = drains
		}
		g.call(0, beat(id, 1, false))
		// Routers send to the leader.
		_, err := g.servers[g.leader()].serve(context.Background(), request)
		assert.NilError(t, err)
		g.awaitDraining(id)
		g.call(1, beat(id, 2, false))
		assert.Assert(t, g.row(g.leader(), id).Draining)
	}
	assert.Equal(t, g.row(g.leader(), "unknown").ID, "")
}

// Drains that engines report in answers to the leader's own calls are replicated, too.
func TestDrainReportedInOrderAnswerIsReplicated(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.engines.mu.Lock()
	g.engines.draining = []coordapi.BackendID{"x"}
	g.engines.mu.Unlock()
	// Only the leader acts on the report, but any node may take it from the shared fake, so it is
	// set repeatedly.
	waitOn(t, func(poll.LogT) poll.Result {
		if g.row(g.leader(), "x").Draining {
			return poll.Success()
		}
		g.engines.mu.Lock()
		g.engines.draining = []coordapi.BackendID{"x"}
		g.engines.mu.Unlock()
		return poll.Continue("not marked")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against repeating calls to an engine that answered with Retry-After.
func TestOrdersAndReportsObeyPushback(t *testing.T) {
	var requests atomic.Int32
	names := vocabulary.Default()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Retry-After", "30")
		w.Header().Set(names.Draining, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(engine.Close)
	engines := NewHTTPEngines(slog.New(slog.NewTextHandler(io.Discard, nil)))
	to := Target{Backend: "x", Address: engine.Listener.Addr().String(), Instance: "x"}
	order := LoadOrder{Target: to, Model: "m", Version: 2, Fence: 1}
	assert.Assert(t, engines.Load(t.Context(), order) != nil)
	assert.DeepEqual(t, engines.Draining(), []coordapi.BackendID{"x"})
	for range 10 {
		assert.ErrorIs(t, engines.Load(t.Context(), order), ErrUnreachable)
		_, err := engines.Report(t.Context(), to)
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, requests.Load(), int32(1))
	// Another start at the same address has no pushback.
	order.Backend = "y"
	assert.Assert(t, engines.Load(t.Context(), order) != nil)
	assert.Equal(t, requests.Load(), int32(2))
}
