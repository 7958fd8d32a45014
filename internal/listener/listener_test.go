package listener

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/memory"
)

// service is an HTTP server behind a guard that answers with the size of the body.
type service struct {
	t      *testing.T
	budget *memory.Budget
	guard  *Guard
	server *http.Server
	bound  *Server
	addr   string
}

func serve(t *testing.T, budgetBytes int64, config Config) *service {
	t.Helper()
	return serveWith(t, budgetBytes, config, (*service).readBody)
}

// readBody returns a handler that reads the body, except at the path /unread.
func (s *service) readBody() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "%d held %d", n, s.budget.Used())
	}
}

func serveWith(t *testing.T, budgetBytes int64, config Config, handler func(*service) http.HandlerFunc) *service {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return serveOn(t, inner, budgetBytes, config, handler)
}

func serveOn(t *testing.T, inner net.Listener, budgetBytes int64, config Config, handler func(*service) http.HandlerFunc) *service {
	t.Helper()
	s := &service{t: t, budget: memory.NewBudget(budgetBytes)}
	s.guard = NewGuard(s.budget, slog.New(slog.DiscardHandler))
	s.server = &http.Server{Handler: handler(s)}
	s.bound = s.guard.Bind(s.server, CountBodies)
	s.addr = inner.Addr().String()
	config.Name = "test"
	l := s.bound.Listen(inner, config)
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *service) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// exchange writes a request and returns the status and body of its response.
func (s *service) exchange(c net.Conn, request string) (int, string) {
	s.t.Helper()
	_, err := io.WriteString(c, request)
	assert.NilError(s.t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, string(body)
}

func TestHeadCounterEndsWithHead(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nA: b\r\n\r\n"
	for size := 1; size <= len(head); size++ {
		var h headCounter
		for text := head + "\n\n\nbody\n"; text != ""; text = text[min(size, len(text)):] {
			h.count([]byte(text[:min(size, len(text))]))
		}
		assert.Equal(t, h.bytes, int64(len(head)))
		assert.Equal(t, h.lines, int64(2))
	}
}

// Guards against a limit of the configuration that nothing applies.
func TestHeadBeyondConfiguredLimitIsRefused(t *testing.T) {
	s := serve(t, 8<<20, Config{Limits: func() Limits { return Limits{HeadBytes: 1000} }})
	long := "X-Long: " + strings.Repeat("x", 1000) + "\r\n"
	status, _ := s.exchange(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n"+long+"\r\n")
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	c := s.dial()
	for range 3 {
		status, _ = s.exchange(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Equal(t, status, http.StatusOK)
	}
}

// Guards against heads of many fields, whose memory is many times their size.
func TestHeadWithoutMemoryIsClosed(t *testing.T) {
	s := serve(t, 1<<20, Config{})
	c := s.dial()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 10000))
	n, err := c.Read(make([]byte, 100))
	assert.Equal(t, n, 0)
	assert.Assert(t, err != nil)
	status, _ := s.exchange(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
	var metrics strings.Builder
	_, _ = s.guard.WriteTo(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `quinceridge_clients_closed_total{reason="memory"} 1`), metrics.String())
}

func TestTimeLimitsCloseConnections(t *testing.T) {
	s := serve(t, 8<<20, Config{Limits: func() Limits {
		return Limits{HeadTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	}})
	unused, used, slow := s.dial(), s.dial(), s.dial()
	status, _ := s.exchange(used, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
	_, err := io.WriteString(slow, "GET /")
	assert.NilError(t, err)
	time.Sleep(400 * time.Millisecond)
	s.guard.sweep()
	for _, c := range []net.Conn{unused, used, slow} {
		_, err := io.Copy(io.Discard, c)
		assert.NilError(t, err)
	}
}

// Guards against bodies that are counted while they are read and never returned.
func TestBodyIsCountedWhileHandled(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	c := s.dial()
	const size = 1 << 20
	for range 3 {
		status, body := s.exchange(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, fmt.Sprintf("%d held %d", size, bodyFactor*size-freeBody+connectionBytes))
	}
}

// Guards against a connection that is kept for the rest of a body that has been refused.
func TestRestOfRefusedBodyIsNotAwaited(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	c := s.dial()
	_, err := io.WriteString(c, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	assert.NilError(t, err)
	text, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 404 "), "%s", text)
}

// Guards against a crowd of silent connections that keeps others out.
func TestQuietestConnectionMakesRoomForNewOne(t *testing.T) {
	s := serve(t, 8<<20, Config{Connections: 2})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	used := s.dial()
	status, _ := s.exchange(used, request)
	assert.Equal(t, status, http.StatusOK)
	silent := s.dial()
	status, _ = s.exchange(s.dial(), request)
	assert.Equal(t, status, http.StatusOK)
	_, err := silent.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	status, _ = s.exchange(used, request)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against requests that are cut for new connections.
func TestRunningRequestsAreNotClosedForNewConnections(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	s := serveWith(t, 8<<20, Config{Connections: 1}, func(*service) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			close(begun)
			<-end
		}
	})
	c := s.dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	refused, err := net.Dial("tcp", s.addr)
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	assert.Assert(t, err != nil)
	close(end)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}

func TestCapacityLeavesDescriptorsForOwnConnections(t *testing.T) {
	for _, descriptors := range []int{800, 4100, 1 << 20} {
		c := CapacityOf(descriptors, memory.NewBudget(44<<20))
		assert.Assert(t, c.Clients+c.Internal+2*c.Status <= descriptors*4/5, "%+v", c)
		assert.Assert(t, int64(c.Clients*connectionBytes) <= 22<<20, "%+v", c)
	}
}

// Guards against a connection that is evicted while its request runs and then refuses all others.
func TestConnectionEvictedDuringRequestIsClosedAfterIt(t *testing.T) {
	var account *memory.Account
	s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			account = memory.AccountOf(r.Context())
			account.MarkEvicted()
		}
	})
	c := s.dial()
	status, _ := s.exchange(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
	_, err := c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// Guards against clients that read nothing and keep a listener's connections for good.
func TestResponseThatIsNotReadIsCut(t *testing.T) {
	s := serveWith(t, 8<<20, Config{Connections: 1, WriteTimeout: 200 * time.Millisecond}, func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 64<<20)) }
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	unread := s.dial()
	_, err := io.WriteString(unread, request)
	assert.NilError(t, err)
	_, err = unread.Read(make([]byte, 1))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.guard.sweep()
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(c, request); err != nil {
			return poll.Continue("%v", err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
}

// openConnections returns the open connections of all listeners.
func (g *Guard) openConnections() map[*Conn]struct{} {
	out := map[*Conn]struct{}{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		l.mu.Lock()
		maps.Copy(out, l.connections)
		l.mu.Unlock()
	}
	return out
}
