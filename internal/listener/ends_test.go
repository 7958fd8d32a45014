package listener

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/memory"
)

// pauseIdleRequest is pauseRequest that sends the second request once its connection is idle.
func (s *service) pauseIdleRequest(l *pausedListener, request string) net.Conn {
	s.t.Helper()
	c := s.dial()
	status, _ := s.exchange(c, request)
	assert.Equal(s.t, status, http.StatusOK)
	s.awaitIdle()
	l.at.Store(int32(afterRead))
	_, err := io.WriteString(c, request)
	assert.NilError(s.t, err)
	<-l.paused
	return c
}

// awaitIdle waits until all connections are idle.
func (s *service) awaitIdle() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for c := range s.guard.openConnections() {
			if c.account.State() != memory.Quiet {
				return poll.Continue("a connection is not idle")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// outcomes returns the outcomes that have been counted.
func (s *service) outcomes() string {
	var out strings.Builder
	for o := range outcomes {
		if n := s.guard.outcomes.counts[o].Load(); n > 0 {
			_, _ = fmt.Fprintf(&out, "%s %d ", o, n)
		}
	}
	return out.String()
}

// mustReadStatus is readStatus that gives the outcomes if there is no response.
func (s *service) mustReadStatus(c net.Conn) int {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(s.t, err, "outcomes: %s", s.outcomes())
	assert.NilError(s.t, response.Body.Close())
	return response.StatusCode
}

// Guards against a request that has been read on an idle connection and is dropped once its connection ends for a new one.
func TestRequestReadOnConnectionClosedForNewOneIsRefused(t *testing.T) {
	for name, request := range map[string]string{"without a body": getRequest, "with a body": postRequest} {
		t.Run(name, func(t *testing.T) {
			l := newPausedListener(t)
			s := serveOn(t, l, 8<<20, Config{Connections: 1}, (*service).readBody)
			c := s.pauseIdleRequest(l, request)
			for victim := range s.guard.openConnections() {
				assert.Assert(t, victim.mayAbort())
				victim.account.MarkEvicted()
				victim.stopReading()
			}
			close(l.release)
			assert.Equal(t, s.mustReadStatus(c), http.StatusServiceUnavailable)
			s.awaitOutcomes(map[outcome]int{answered: 2})
		})
	}
}

// Guards against a request that never arrives in whole and keeps a new connection out.
func TestRequestThatArrivesIsClosedForNewConnection(t *testing.T) {
	for name, part := range map[string]string{"head": getRequest[:20], "body": postRequest[:len(postRequest)-1]} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, 8<<20, Config{Connections: 1})
			c := s.dialUsed()
			s.awaitIdle()
			_, err := io.WriteString(c, part)
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for conn := range s.guard.openConnections() {
					if conn.headAt.Load() > 0 && conn.outOfHead.Load() == (name == "body") {
						return poll.Success()
					}
				}
				return poll.Continue("not read")
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
			status, _ := s.exchange(s.dial(), getRequest)
			assert.Equal(t, status, http.StatusOK)
			text, err := io.ReadAll(c)
			assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
			assert.Assert(t, len(text) == 0 || (name == "body" && strings.HasPrefix(string(text), "HTTP/1.1 503 ")), "%s", text)
			if name == "head" {
				s.awaitOutcomes(map[outcome]int{answered: 2, incomplete: 1})
			}
			assert.Equal(t, s.guard.closed[CauseConnections].Load(), uint64(1))
		})
	}
}

// refusedBody is the size of a body that is still being sent when its request is refused.
const refusedBody = 20_000

// sendBody sends a body in parts, until the connection ends, and counts its bytes.
func sendBody(c net.Conn, sent *atomic.Int64) {
	for sent.Load() < refusedBody {
		n, err := c.Write(make([]byte, 100))
		sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// refusing is a server that refuses a request once released, without reading its body, and the request's connection.
func refusing(t *testing.T, closes bool) (s *service, c net.Conn, release chan struct{}) {
	t.Helper()
	begun, release := make(chan struct{}), make(chan struct{})
	s = serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-release
			if closes {
				w.Header().Set("Connection", "close")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	c = s.dial()
	_, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", refusedBody))
	assert.NilError(t, err)
	<-begun
	return s, c, release
}

// Guards against a refusal that its client does not get since it still sends the body as the process stops.
func TestRefusalBeforeEndOfBodyReachesClientDuringStop(t *testing.T) {
	for name, closes := range map[string]bool{"connection is kept": false, "connection is closed": true} {
		t.Run(name, func(t *testing.T) {
			s, c, release := refusing(t, closes)
			stopped := s.stop(5 * time.Second)
			var sent atomic.Int64
			var group sync.WaitGroup
			group.Go(func() { sendBody(c, &sent) })
			time.AfterFunc(100*time.Millisecond, func() { close(release) })
			assert.Equal(t, readStatus(t, c), http.StatusServiceUnavailable)
			assert.NilError(t, <-stopped)
			group.Wait()
			s.awaitOutcomes(map[outcome]int{answered: 1})
		})
	}
}

// refusedAtEndOfStop refuses a request whose body is still being sent, right before its stop ends.
func refusedAtEndOfStop(t *testing.T, closes bool) {
	t.Helper()
	s, c, release := refusing(t, closes)
	var sent atomic.Int64
	var group sync.WaitGroup
	group.Go(func() { sendBody(c, &sent) })
	time.Sleep(100 * time.Millisecond)
	close(release)
	s.bound.ShutdownWithin(t.Context(), 300*time.Millisecond)
	group.Wait()
	assert.Equal(t, s.mustReadStatus(c), http.StatusServiceUnavailable)
	assert.Assert(t, sent.Load() < refusedBody)
	s.awaitOutcomes(map[outcome]int{answered: 1})
}

// Guards against a refusal that its client does not get since it still sends the body as the stop ends.
func TestRefusalBeforeEndOfBodyReachesClientAtEndOfStop(t *testing.T) {
	refusedAtEndOfStop(t, true)
}

// closingRequest is a request whose response ends its connection.
const closingRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// Guards against a request behind the last response of a connection that is answered, or has an outcome of its own.
func TestRequestBehindLastResponseGetsNothing(t *testing.T) {
	for name, texts := range map[string][]string{"in one write": {closingRequest + getRequest}, "during the handler": {closingRequest, getRequest},
		"in parts": {closingRequest + getRequest[:10], getRequest[10:]}} {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}, 2), make(chan struct{})
			var runs atomic.Int32
			s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					begun <- struct{}{}
					<-release
					_, _ = io.WriteString(w, "done")
				}
			})
			lines := &linesBuffer{}
			s.guard.logger = slog.New(slog.NewTextHandler(lines, nil))
			c := s.dial()
			for i, text := range texts {
				_, err := io.WriteString(c, text)
				assert.NilError(t, err)
				if i == 0 {
					<-begun
				}
			}
			time.Sleep(50 * time.Millisecond)
			close(release)
			responses := bufio.NewReader(c)
			response, err := http.ReadResponse(responses, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, string(body), "done")
			assert.Assert(t, response.Close)
			rest, err := io.ReadAll(responses)
			assert.Assert(t, len(rest) == 0 && (err == nil || errors.Is(err, syscall.ECONNRESET)), "%q, %v", rest, err)
			s.awaitOutcomes(map[outcome]int{answered: 1})
			assert.Equal(t, runs.Load(), int32(1))
			assert.Equal(t, lines.String(), "")
		})
	}
}

// linesBuffer collects log lines.
type linesBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *linesBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *linesBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against a handler that panics and whose request leaves no trace, or keeps its connection.
func TestPanicOfHandlerIsCountedAndLoggedAsAborted(t *testing.T) {
	for name, value := range map[string]any{"fault": "a fault", "abort": http.ErrAbortHandler} {
		t.Run(name, func(t *testing.T) {
			s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
				return func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/panic" {
						panic(value)
					}
				}
			})
			lines := &linesBuffer{}
			s.guard.logger = slog.New(slog.NewTextHandler(lines, nil))
			c := s.dialUsed()
			_, err := io.WriteString(c, strings.Replace(getRequest, "GET /", "GET /panic", 1))
			assert.NilError(t, err)
			text, err := io.ReadAll(c)
			assert.NilError(t, err)
			assert.Equal(t, string(text), "")
			s.awaitOutcomes(map[outcome]int{answered: 1, aborted: 1})
			s.dialUsed()
			assert.NilError(t, <-s.stop(5*time.Second))
			assert.Equal(t, strings.Count(lines.String(), "outcome=aborted"), 1, lines.String())
			s.awaitOutcomes(map[outcome]int{answered: 2, aborted: 1})
		})
	}
}
