package listener

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/memory"
)

// awaitClosedForNew waits until a connection is being closed for a new one.
func (s *service) awaitClosedForNew() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.guard.closed[CauseConnections].Load() == 0 {
			return poll.Continue("no connection is closed")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a request that has been read on an idle connection and is dropped for a new one as the process goes on late.
func TestRequestReadLateOnConnectionClosedForNewOneIsRefused(t *testing.T) {
	for name, request := range map[string]string{"without a body": getRequest, "with a body": postRequest} {
		t.Run(name, func(t *testing.T) {
			l := newPausedListener(t)
			s := serveOn(t, l, 8<<20, Config{Connections: 1}, (*service).readBody)
			c := s.pauseIdleRequest(l, request)
			s.dial()
			s.awaitClosedForNew()
			time.Sleep(200 * time.Millisecond)
			close(l.release)
			assert.Equal(t, s.mustReadStatus(c), http.StatusServiceUnavailable)
			s.awaitOutcomes(map[outcome]int{answered: 2})
		})
	}
}

// lateListener returns connections whose reads pause once after the guard has counted what they have read.
type lateListener struct {
	net.Listener
	pauses          atomic.Bool
	paused, release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, listener: l}, nil
}

type lateConn struct {
	net.Conn
	listener *lateListener
}

// NetConn returns the connection of the guard.
func (c *lateConn) NetConn() net.Conn { return c.Conn }

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.pauses.CompareAndSwap(true, false) {
		close(c.listener.paused)
		<-c.listener.release
	}
	return n, err
}

// Guards against a whole request that is dropped for a new connection since its handler starts late.
func TestWholeRequestBeforeItsHandlerIsRefusedForNewConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &service{t: t, budget: memory.NewBudget(8 << 20), addr: inner.Addr().String()}
	s.guard = NewGuard(s.budget, slog.New(slog.DiscardHandler))
	s.server = &http.Server{Handler: s.readBody()}
	s.bound = s.guard.Bind(s.server, CountBodies)
	late := &lateListener{Listener: s.bound.Listen(inner, Config{Name: "test", Connections: 1}), paused: make(chan struct{}), release: make(chan struct{})}
	go func() { _ = s.server.Serve(late) }()
	t.Cleanup(func() { _ = s.server.Close() })
	c := s.dialUsed()
	s.awaitIdle()
	late.pauses.Store(true)
	_, err = io.WriteString(c, getRequest)
	assert.NilError(t, err)
	<-late.paused
	s.dial()
	s.awaitClosedForNew()
	close(late.release)
	assert.Equal(t, s.mustReadStatus(c), http.StatusServiceUnavailable)
	s.awaitOutcomes(map[outcome]int{answered: 2})
}

// Guards against a refusal that waits for the rest of its request's body until the stop has ended.
func TestRefusalOnKeptConnectionReachesClientAtEndOfStop(t *testing.T) {
	refusedAtEndOfStop(t, false)
}
