package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// Guards against the last answer of a stopping router that is cut since its client has sent a further request behind.
func TestAnswerOfStoppingRouterIsWholeThoughFurtherRequestWaits(t *testing.T) {
	const size = 8 << 20
	for _, further := range []string{"", "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"} {
		r := newRig(t)
		r.bound(64 << 20)
		ran, release := make(chan struct{}, 2), make(chan struct{})
		r.add("app", "a", func(w http.ResponseWriter, q *http.Request) {
			ran <- struct{}{}
			<-release
			w.Header().Set(names.Signature, "s")
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
		})
		r.handler.Stop(time.Minute)
		c, err := net.Dial("tcp", r.router.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n%s: id\r\nAuthorization: Bearer ka\r\nContent-Length: 0\r\n\r\n", names.RequestID)
		assert.NilError(t, err)
		<-ran
		_, err = io.WriteString(c, further)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		close(release)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		defer response.Body.Close()
		n, part := 0, make([]byte, 64<<10)
		for err == nil {
			var read int
			read, err = response.Body.Read(part)
			n += read
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, errors.Is(err, io.EOF) && n == size, "further request %t: %d bytes: %v", further != "", n, err)
	}
}
