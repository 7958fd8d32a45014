package forward

import (
	"bufio"
	"bytes"
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
	r.allow("/resumable/x", time.Minute)
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

// partialRequest sends a request to the router whose body does not end.
func (r *rig) partialRequest() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.router.Listener.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /resumable/x HTTP/1.1\r\nHost: h\r\n%s: id\r\n%s: m\r\nAuthorization: Bearer ka\r\nContent-Length: 100\r\n\r\npart", names.RequestID, names.Model)
	assert.NilError(r.t, err)
	time.Sleep(100 * time.Millisecond)
	return c
}

// Guards against a client that stops in a body and holds a stop up, although its request will be refused in any case.
func TestBodyThatIsTooLateForStopDoesNotHoldItUp(t *testing.T) {
	r := newRig(t)
	r.bound(64 << 20)
	r.add("llm", "e", oneEvent)
	r.allow("/resumable/x", time.Minute)
	c := r.partialRequest()
	r.handler.Stop(30 * time.Second)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(acceptTime+2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
}

// Guards against a request whose body has not ended at the end of a stop and that gets no refusal.
func TestRequestWhoseBodyHasNotEndedAtEndOfStopIsRefused(t *testing.T) {
	r := newRig(t)
	r.bound(64 << 20)
	r.add("llm", "e", oneEvent)
	r.allow("/resumable/x", time.Minute)
	c := r.partialRequest()
	r.handler.Stop(time.Minute)
	r.handler.EndRequests()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
}

// Guards against refusals of long requests late in a stop that a reset overtakes.
func TestLateRefusalOfLongRequestReachesItsClient(t *testing.T) {
	const requests = 40
	r := newRig(t)
	r.bound(256 << 20)
	r.add("llm", "e", oneEvent)
	r.allow("/resumable/x", time.Minute)
	now := r.handler.clock
	r.handler.Stop(acceptTime + time.Second)
	r.handler.clock = func() time.Duration { return now() + acceptTime + 100*time.Millisecond }
	refused := 0
	var last error
	for range requests {
		q, err := http.NewRequestWithContext(t.Context(), "POST", r.router.URL+"/resumable/x", bytes.NewReader(make([]byte, 1<<20)))
		assert.NilError(t, err)
		q.Host = "h"
		q.Header.Set(names.RequestID, "id")
		q.Header.Set(names.Model, "m")
		q.Header.Set("Authorization", "Bearer ka")
		response, err := http.DefaultClient.Do(q)
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	assert.Equal(t, refused, requests, "%v", last)
}

// Guards against a request with a further attempt under way that gets no answer, or a false one, at the end of a stop.
func TestRequestWithFurtherAttemptAtEndOfStopGetsAnswer(t *testing.T) {
	r := newStreamRig(t)
	used := r.firstAndOthers(hang, hang, "x", "y")
	answered := r.askInBackground("/resumable/1")
	r.list([]string{used()}, nil)
	for r.ran("x", "y") < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	r.handler.Stop(time.Minute)
	r.handler.EndRequests()
	assert.Equal(t, (<-answered).status, http.StatusBadGateway)
	r.handler.AwaitRequests()
	r.handler.Wait()
}
