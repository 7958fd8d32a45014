package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/relay"
)

// Guards against requests that wait for the first view beyond the end of a stop, which closes their connections.
func TestRequestThatWaitsForViewAtEndOfStopIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.add("app", "a", good)
	r.source.fresh.Store(false)
	answered := make(chan result)
	go func() { answered <- r.ask("POST", "/unsafe/x", nil) }()
	time.Sleep(50 * time.Millisecond)
	r.handler.Stop(time.Minute)
	ended := time.Now()
	r.handler.EndRequests()
	response := <-answered
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(ended) < 75*time.Millisecond, "%v", time.Since(ended))
}

// Guards against a refusal by a stopping router that is final although another router could serve the request.
func TestRequestThatWaitsAtStoppingRelayIsPassedOnAgain(t *testing.T) {
	cut, stopping, other := newRig(t), newRelayRig(t), newRelayRig(t)
	waits := make(chan struct{})
	stopping.handler.config.Placer = &queueingPlacer{place: func(ctx context.Context) (backends.Choice, bool, bool) {
		close(waits)
		<-ctx.Done()
		return backends.Choice{}, false, true
	}}
	other.add("llm", "e", oneEvent)
	cut.losePath("llm")
	cut.setRelays(stopping.address(), other.address())
	answered := make(chan result)
	go func() { answered <- cut.askChat() }()
	<-waits
	stopping.handler.Stop(time.Minute)
	stopping.handler.EndRequests()
	assert.Equal(t, (<-answered).status, http.StatusOK)
}

// Guards against the error of a stopping router that is final although the route allows another attempt.
func TestSafeCallAtStoppingRelayIsTriedAgain(t *testing.T) {
	cut, stopping, other := newRig(t), newRelayRig(t), newRelayRig(t)
	runs, release := make(chan struct{}), make(chan struct{})
	stopping.add("app", "slow", func(http.ResponseWriter, *http.Request) {
		close(runs)
		<-release
	})
	t.Cleanup(func() { close(release) })
	other.add("app", "a", good)
	cut.losePath("app")
	cut.setRelays(stopping.address(), other.address())
	answered := make(chan result)
	go func() { answered <- cut.ask("POST", "/safe/x", nil) }()
	<-runs
	stopping.handler.Stop(time.Minute)
	stopping.handler.EndRequests()
	stopping.listener.Config.SetKeepAlivesEnabled(false)
	time.AfterFunc(200*time.Millisecond, stopping.listener.CloseClientConnections)
	response := <-answered
	assert.Equal(t, response.status, http.StatusOK, "%s", response.header.Get(relay.HeaderDeclined))
	assert.Equal(t, other.ran("a"), 1)
}

// Guards against connections of other routers that a stop closes as idle while a request is on its way: a router that
// stops ends them with its answers before.
func TestStoppingRelayEndsConnectionsWithItsAnswers(t *testing.T) {
	r := newRelayRig(t)
	r.handler.Stop(time.Minute)
	q, err := http.NewRequest("POST", "http://"+r.address()+"/unsafe/x", nil)
	assert.NilError(t, err)
	q.Header.Set(relay.HeaderOrigin, (&relay.Origin{Router: "front"}).Encode())
	response, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Header.Get(relay.HeaderDeclined), "1")
	assert.Assert(t, response.Close)
}
