package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// pause is the point at which pausedConn.Read stops once.
type pause int32

const (
	never pause = iota
	beforeRead
	afterRead
	afterTimeout
)

// pausedConn stops in a read, as a process that has used up its part of the processor does.
type pausedConn struct {
	net.Conn
	at      *atomic.Int32
	paused  chan struct{}
	release chan struct{}
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if err := c.awaitBytes(); err != nil {
		c.pauseAt(afterTimeout)
		return 0, err
	}
	c.pauseAt(beforeRead)
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pauseAt(afterRead)
	}
	return n, err
}

// awaitBytes waits until bytes can be read, without reading them.
func (c *pausedConn) awaitBytes() error {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// SyscallConn implements syscall.Conn.
func (c *pausedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *pausedConn) pauseAt(point pause) {
	if c.at.CompareAndSwap(int32(point), int32(never)) {
		close(c.paused)
		<-c.release
	}
}

// pausedListener returns connections that share one pause.
type pausedListener struct {
	net.Listener
	pausedConn
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	paused := l.pausedConn
	paused.Conn = c
	return &paused, nil
}

// SyscallConn implements syscall.Conn for the listener, whose embedded connection has none.
func (l *pausedListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(*net.TCPListener).SyscallConn()
}

// newPausedListener returns a listener that pauses the reads of its connections.
func newPausedListener(t *testing.T) *pausedListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return &pausedListener{Listener: inner, pausedConn: pausedConn{at: &atomic.Int32{}, paused: make(chan struct{}), release: make(chan struct{})}}
}

// pauseRequest sends two requests over one connection. The server pauses while it reads the second one.
func (s *service) pauseRequest(l *pausedListener, point pause, request string) net.Conn {
	s.t.Helper()
	c := s.dial()
	status, _ := s.exchange(c, request)
	assert.Equal(s.t, status, http.StatusOK)
	l.at.Store(int32(point))
	_, err := io.WriteString(c, request)
	assert.NilError(s.t, err)
	<-l.paused
	return c
}

// dialUsed returns a connection over which a request has been answered.
func (s *service) dialUsed() net.Conn {
	s.t.Helper()
	c := s.dial()
	status, _ := s.exchange(c, getRequest)
	assert.Equal(s.t, status, http.StatusOK)
	return c
}

// stop shuts the server down within a time limit.
func (s *service) stop(limit time.Duration) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		stopped <- s.bound.Shutdown(ctx)
	}()
	return stopped
}

// evictAll takes the memory of all connections back.
func (s *service) evictAll() {
	for evicted := range s.guard.openConnections() {
		evicted.close(CauseMemory)
	}
}

// getRequest and postRequest are whole requests.
const (
	getRequest  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	postRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
)

// readStatus returns the status of the next response.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a stop that closes a connection as idle whose next request has been read.
func TestStopAnswersRequestThatHasBeenRead(t *testing.T) {
	for name, request := range map[string]string{"without a body": getRequest, "with a body": postRequest} {
		t.Run(name, func(t *testing.T) {
			l := newPausedListener(t)
			s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
			c := s.pauseRequest(l, afterRead, request)
			stopped := s.stop(5 * time.Second)
			time.Sleep(100 * time.Millisecond)
			close(l.release)
			assert.Equal(t, readStatus(t, c), http.StatusOK)
			assert.NilError(t, <-stopped)
			s.awaitOutcomes(map[outcome]int{answered: 2})
		})
	}
}

// Guards against the limit on idle connections that ends a request which has been read.
func TestIdleLimitKeepsRequestThatHasBeenRead(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{Limits: func() Limits { return Limits{IdleTimeout: 50 * time.Millisecond} }}, (*service).readBody)
	c := s.pauseRequest(l, afterRead, getRequest)
	time.Sleep(100 * time.Millisecond)
	s.guard.sweep()
	close(l.release)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
	s.awaitOutcomes(map[outcome]int{answered: 2})
}

// Guards against memory that is taken back from an idle connection whose next request has been read, which then has no
// answer.
func TestEvictionAnswersRequestThatHasBeenRead(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.pauseRequest(l, afterRead, getRequest)
	s.evictAll()
	close(l.release)
	status := readStatus(t, c)
	assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
}

// Guards against a stop that closes a connection with a request that waits to be read.
func TestStopAnswersRequestThatWaitsToBeRead(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.pauseRequest(l, beforeRead, getRequest)
	stopped := s.stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	close(l.release)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
	assert.NilError(t, <-stopped)
}

// Guards against a stop that drops a request which arrives after the last look at an idle connection and before its
// close.
func TestStopAnswersRequestThatArrivesAsIdleConnectionIsClosed(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.dialUsed()
	l.at.Store(int32(afterTimeout))
	stopped := s.stop(5 * time.Second)
	<-l.paused
	_, err := io.WriteString(c, postRequest)
	assert.NilError(t, err)
	close(l.release)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
	assert.NilError(t, <-stopped)
	s.awaitOutcomes(map[outcome]int{answered: 2})
}

// Guards against a stop that closes a connection between two requests of which the next one has begun to arrive.
func TestStopAnswersRequestThatArrivesInParts(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.dialUsed()
	_, err := io.WriteString(c, getRequest[:10])
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(c, getRequest[10:])
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
	assert.NilError(t, <-stopped)
}

// Guards against idle connections that hold a stop up.
func TestStopClosesIdleConnectionsAtOnce(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	c := s.dialUsed()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, s.bound.Shutdown(ctx))
	_, err := c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	_, err = net.Dial("tcp", s.addr)
	assert.Assert(t, err != nil)
}

// Guards against a stop that reads the first request of a connection and drops it.
func TestStopAnswersFirstRequestOfOpenConnection(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	s.dialUsed()
	c := s.dial()
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	status, _ := s.exchange(c, getRequest)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, <-stopped)
	s.awaitOutcomes(map[outcome]int{answered: 2})
}

// Guards against a stop that goes on after its last connection has ended.
func TestStopEndsWithItsLastConnection(t *testing.T) {
	least := time.Hour
	for range 10 {
		begun, release := make(chan struct{}, 1), make(chan struct{})
		s := serveWith(t, 8<<20, Config{}, waitingHandler(begun, release))
		c := s.dial()
		_, err := io.WriteString(c, strings.Replace(getRequest, "GET /", "GET /wait", 1))
		assert.NilError(t, err)
		<-begun
		stopped := s.stop(5 * time.Second)
		// The connection ends right after a search for idle ones.
		time.Sleep(3*shutdownInterval + shutdownInterval/10)
		close(release)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
		answered := time.Now()
		assert.NilError(t, <-stopped)
		least = min(least, time.Since(answered))
	}
	assert.Assert(t, least < shutdownInterval/2, "%v", least)
}

// slowLines is an output of log lines that take some time.
type slowLines struct{ written atomic.Int32 }

func (l *slowLines) Write(p []byte) (int, error) {
	time.Sleep(200 * time.Millisecond)
	l.written.Add(1)
	return len(p), nil
}

// Guards against lines on requests that a stop ends and that are written after it, or lost with the process.
func TestStopEndsAfterLinesOnItsRequests(t *testing.T) {
	begun := make(chan struct{}, 1)
	s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			begun <- struct{}{}
			time.Sleep(3 * shutdownInterval)
			panic(http.ErrAbortHandler)
		}
	})
	lines := &slowLines{}
	s.guard.logger = slog.New(slog.NewTextHandler(lines, nil))
	_, err := io.WriteString(s.dial(), getRequest)
	assert.NilError(t, err)
	<-begun
	assert.NilError(t, <-s.stop(5*time.Second))
	assert.Equal(t, lines.written.Load(), int32(1))
}
