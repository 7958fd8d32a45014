package coordinator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an operator's call in progress that gets no answer as its node stops.
func TestOperatorCallInProgressAsNodeStopsGetsAnswer(t *testing.T) {
	g := newGroup(t, 3)
	g.leader()
	g.kill(1)
	g.kill(2)
	node := g.servers[0]
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := node.ServeOperators(inner, node.Handler())
	statuses := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+inner.Addr().String()+"/v1/weights", "application/json", strings.NewReader(`{"model":"m","version":2}`))
		if err != nil {
			t.Log(err)
			statuses <- 0
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	g.servers[0] = nil
	node.Stop(ctx)
	server.ShutdownWithin(t.Context(), 2*time.Second)
	assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
}
