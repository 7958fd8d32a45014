package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/relay"
)

// relayedRequest returns a request as another router passes it on.
func relayedRequest(ctx context.Context, path string, body io.Reader) *http.Request {
	q := httptest.NewRequestWithContext(ctx, "POST", path, body)
	q.Host = "h"
	q.Header.Set(names.RequestID, "id-1")
	q.Header.Set(names.Model, "m")
	q.Header.Set("Authorization", "Bearer ka")
	q.Header.Set(relay.HeaderOrigin, (&relay.Origin{Router: "front"}).Encode())
	return q
}

// Guards against a refusal by a stopping router that is final although another router could serve the request.
func TestRelayedRequestThatWaitsForMemoryAtEndOfStopIsDeclined(t *testing.T) {
	r := newRig(t)
	budget := memory.NewBudget(1 << 20)
	r.handler.config.Memory = budget
	budget.OpenAccount(1<<20, func() {}).SetRunning()
	account := budget.OpenAccount(0, func() {})
	response, answered := httptest.NewRecorder(), make(chan struct{})
	go func() {
		r.handler.ServeRelayed(response, relayedRequest(memory.WithAccount(t.Context(), account), "/unsafe/x", nil))
		close(answered)
	}()
	time.Sleep(50 * time.Millisecond)
	r.handler.Stop(time.Minute)
	r.handler.EndRequests()
	<-answered
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header().Get(relay.HeaderDeclined) != "")
}

// Guards against a refusal by a stopping router that is final although another router could serve the request.
func TestRelayedRequestWhoseBodyEndsLateInStopIsDeclined(t *testing.T) {
	r := newRig(t)
	r.add("llm", "e", oneEvent)
	var passed atomic.Int64
	clock := r.handler.clock
	r.handler.clock = func() time.Duration { return clock() + time.Duration(passed.Load()) }
	body, rest := io.Pipe()
	response, answered := httptest.NewRecorder(), make(chan struct{})
	go func() {
		r.handler.ServeRelayed(response, relayedRequest(t.Context(), "/resumable/x", body))
		close(answered)
	}()
	_, _ = rest.Write([]byte("first"))
	r.handler.Stop(acceptTime + 1200*time.Millisecond)
	passed.Store(int64(acceptTime + 100*time.Millisecond))
	_ = rest.Close()
	<-answered
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header().Get(relay.HeaderDeclined) != "")
}
