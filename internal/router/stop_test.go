package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/settings"
)

const testKey = "key-a"

// serveBackend serves all calls at one engine, which is also the worker, without the controllers of a router.
func serveBackend(t *testing.T, drain time.Duration, backend *httptest.Server) (r *Router, url string) {
	t.Helper()
	control, err := loopback.FreeAddress()
	assert.NilError(t, err)
	s := settings.Router{Name: "r", Region: "g", Zone: "z", DataDirectory: t.TempDir(), Control: []string{control}, DrainLimit: drain}
	s.SetDefaults()
	r, err = New(s, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	address := strings.TrimPrefix(backend.URL, "http://")
	r.membership.setMachines(board.Machines{Machines: []controlapi.Machine{
		{ID: "engine", Role: controlapi.RoleEngine, Address: address, Incarnation: "one", Model: "m", WeightsVersion: 1, DecodeSlots: 4},
		{ID: "worker", Role: controlapi.RoleApplication, Address: address}}})
	key := sha256.Sum256([]byte(testKey))
	r.rollout.config.Store(board.NewConfig(controlapi.BundleID{Version: 1}, &bundle.Bundle{Version: 1,
		Models:  map[string]bundle.Model{"m": {WeightsVersion: 1, PrefillTokensPerSecond: 1000, MaxOutputTokens: 100}},
		Classes: map[string]bundle.Class{"normal": {Priority: 50, FirstToken: 2 * time.Second}},
		Tenants: map[string]bundle.Tenant{"a": {KeySHA256: hex.EncodeToString(key[:]), Weight: 1, Class: "normal"}},
		Routes:  map[string]bundle.Route{"slots": {Path: "/slots", Retryable: true, Deadline: time.Minute}}}))
	r.rollout.leaseState.Store(&board.LeaseState{Mode: agent.ModeLeased, Routers: 1})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	r.cancel = cancel
	r.group.Go(func() { r.claims.Run(ctx) })
	r.listener = peer.Serve(listen(t), r.counters, r.handle)
	callers := listen(t)
	r.callers = r.guard.Bind(r.gateway.Server(), listener.CountBodies)
	go r.serve(r.callers.Listen(callers, listener.Config{Name: "callers"}))
	return r, "http://" + callers.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// Guards against requests that get no answer when the drain limit of their router is over.
func TestRequestsAtDrainLimitGetAnswers(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		begin            func(http.ResponseWriter, *http.Request)
		status           int
		text             string
	}{
		{"stream, no response", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, func(http.ResponseWriter, *http.Request) {}, http.StatusBadGateway, "outcome_unknown"},
		{"stream, head of a response", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
		}, http.StatusBadGateway, "outcome_unknown"},
		{"stream, an event", "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, "id: 0\ndata: {\"id\":%q,\"choices\":[{\"text\":\"hello \"}]}\n\n", r.Header.Get(engineapi.HeaderRequestID))
			_ = http.NewResponseController(w).Flush()
		}, http.StatusOK, "event: error"},
		{"whole", "/v1/completions", `{"model":"m","prompt":"p"}`, func(http.ResponseWriter, *http.Request) {}, http.StatusBadGateway, "outcome_unknown"},
		{"call of a worker", "/app/slots", `{}`, func(http.ResponseWriter, *http.Request) {}, http.StatusBadGateway, "outcome_unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs, release := make(chan struct{}), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.begin(w, r)
				close(runs)
				<-release
			}))
			t.Cleanup(backend.Close)
			t.Cleanup(func() { close(release) })
			r, url := serveBackend(t, 300*time.Millisecond, backend)
			stopped := make(chan error, 1)
			go func() {
				<-runs
				stopped <- r.Stop(context.Background())
			}()
			request, err := http.NewRequest(http.MethodPost, url+c.path, strings.NewReader(c.body))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, response.Body.Close())
			assert.Check(t, response.StatusCode == c.status && strings.Contains(string(text), c.text), "%d %s", response.StatusCode, text)
			assert.Check(t, err == nil || c.status == http.StatusOK, "%v", err)
			assert.ErrorIs(t, <-stopped, context.DeadlineExceeded)
		})
	}
}
