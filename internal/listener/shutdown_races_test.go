package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitingHandler answers requests to /wait once released, and reports whether their context ended before.
func waitingHandler(begun chan<- struct{}, release <-chan struct{}) func(*service) http.HandlerFunc {
	return func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/wait" {
				return
			}
			begun <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// Guards against a stop that cancels a request which was read together with the one before it.
func TestStopKeepsRequestReadWithTheOneBefore(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	s := serveWith(t, 8<<20, Config{}, waitingHandler(begun, release))
	c := s.dial()
	_, err := io.WriteString(c, getRequest+strings.Replace(getRequest, "GET /", "GET /wait", 1))
	assert.NilError(t, err)
	responses := bufio.NewReader(c)
	first, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)
	_ = first.Body.Close()
	<-begun
	stopped := s.stop(5 * time.Second)
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	second, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusOK)
	_ = second.Body.Close()
	assert.NilError(t, <-stopped)
}

// evictWithPartOfHead returns a connection whose memory is taken back while a part of its second request waits to be
// read.
func (s *service) evictWithPartOfHead(l *pausedListener) net.Conn {
	s.t.Helper()
	c := s.dialUsed()
	l.at.Store(int32(beforeRead))
	_, err := io.WriteString(c, "GET /")
	assert.NilError(s.t, err)
	<-l.paused
	s.evictAll()
	close(l.release)
	return c
}

// Guards against an evicted connection that no limit ends once a byte of its next request has waited.
func TestHeadLimitHoldsForEvictedConnection(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{Limits: func() Limits { return Limits{HeadTimeout: 100 * time.Millisecond} }}, (*service).readBody)
	c := s.evictWithPartOfHead(l)
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		s.guard.sweep()
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadAll(c)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against an evicted connection with a part of a request that holds a stop up.
func TestStopEndsEvictedConnectionWithPartOfHead(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	s.evictWithPartOfHead(l)
	ctx, cancel := context.WithTimeout(t.Context(), 3*shutdownHeadTimeout)
	defer cancel()
	assert.NilError(t, s.bound.Shutdown(ctx))
}

// Guards against a whole request that is read on an evicted connection and dropped since its head takes memory.
func TestEvictionAnswersRequestWithManyFields(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	request := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\n\r\n"
	c := s.pauseRequest(l, beforeRead, request)
	s.evictAll()
	close(l.release)
	status := readStatus(t, c)
	assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
}

// acceptPausedListener stops once after it has accepted a connection, as a process does that has used up its part of
// the processor.
type acceptPausedListener struct {
	net.Listener
	pauses            chan struct{}
	accepted, release chan struct{}
}

func (l *acceptPausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.pauses:
		close(l.accepted)
		<-l.release
	default:
	}
	return c, nil
}

func newAcceptPausedListener(t *testing.T) *acceptPausedListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return &acceptPausedListener{Listener: inner, pauses: make(chan struct{}, 1), accepted: make(chan struct{}), release: make(chan struct{})}
}

// dialPaused returns a connection with a request, while whose Accept the listener pauses.
func (s *service) dialPaused(l *acceptPausedListener) net.Conn {
	s.t.Helper()
	l.pauses <- struct{}{}
	c := s.dial()
	_, err := io.WriteString(c, getRequest)
	assert.NilError(s.t, err)
	<-l.accepted
	return c
}

// Guards against a stop that reads the request of a connection which is accepted as it begins, and drops it.
func TestStopAnswersRequestOfConnectionThatIsBeingAccepted(t *testing.T) {
	l := newAcceptPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.dialPaused(l)
	stopped := s.stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	close(l.release)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
	assert.NilError(t, <-stopped)
	s.awaitOutcomes(map[outcome]int{answered: 1})
}

// Guards against a server that is closed and then reads the request of a connection which was being accepted, and drops
// it.
func TestConnectionAcceptedAfterCloseIsNotRead(t *testing.T) {
	l := newAcceptPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.dialPaused(l)
	stopError := <-s.stop(50 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- s.bound.Close() }()
	time.Sleep(50 * time.Millisecond)
	close(l.release)
	<-closed
	assert.ErrorIs(t, stopError, context.DeadlineExceeded)
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	s.awaitOutcomes(map[outcome]int{})
}

// Guards against a connection that is accepted as a stop begins and holds it up.
func TestConnectionThatIsBeingAcceptedDoesNotHoldStopUp(t *testing.T) {
	l := newAcceptPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	l.pauses <- struct{}{}
	s.dial()
	<-l.accepted
	stopped := s.stop(3 * time.Second)
	time.Sleep(2 * time.Millisecond)
	close(l.release)
	assert.NilError(t, <-stopped)
}

// Guards against requests that are read and not answered by a server that stops while its clients go on.
func TestStopBesideBusyClientsLosesNothing(t *testing.T) {
	for round := range 40 {
		s := serveWith(t, 64<<20, Config{}, (*service).readBody)
		var answeredByClients, lostByClients atomic.Int64
		var clients sync.WaitGroup
		for range 60 {
			clients.Go(func() {
				for {
					c, err := net.Dial("tcp", s.addr)
					if err != nil {
						return
					}
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					responses := bufio.NewReader(c)
					for {
						if _, err := io.WriteString(c, postRequest); err != nil {
							break
						}
						response, err := http.ReadResponse(responses, nil)
						if err != nil {
							lostByClients.Add(1)
							break
						}
						_, _ = io.Copy(io.Discard, response.Body)
						answeredByClients.Add(1)
						if response.Close {
							break
						}
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(time.Duration(10+round) * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		assert.NilError(t, s.bound.Shutdown(ctx))
		cancel()
		clients.Wait()
		for _, o := range []outcome{aborted, unsent, unhandled} {
			assert.Check(t, s.guard.outcomes.counts[o].Load() == 0, "round %d: %s %d", round, o, s.guard.outcomes.counts[o].Load())
		}
		assert.Check(t, s.guard.outcomes.counts[answered].Load() == uint64(answeredByClients.Load()), "round %d: answered %d, by clients %d; left %d, incomplete %d, clients without %d", round,
			s.guard.outcomes.counts[answered].Load(), answeredByClients.Load(), s.guard.outcomes.counts[left].Load(), s.guard.outcomes.counts[incomplete].Load(), lostByClients.Load())
	}
}

// Guards against requests without an outcome: those that were read together with the one before.
func TestRequestReadWithTheOneBeforeHasAnOutcome(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	c := s.dial()
	_, err := io.WriteString(c, getRequest+getRequest)
	assert.NilError(t, err)
	responses := bufio.NewReader(c)
	for range 2 {
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.guard.outcomes.counts[answered].Load(), uint64(2))
}

// Guards against the limit on idle connections that ends a request whose first bytes have just been read: the sweep
// comes between Conn.endIdle and Conn.countRead.
func TestIdleLimitKeepsRequestThatIsBeingRead(t *testing.T) {
	s := serve(t, 8<<20, Config{Limits: func() Limits { return Limits{IdleTimeout: 50 * time.Millisecond} }})
	client := s.dialUsed()
	time.Sleep(100 * time.Millisecond)
	for c := range s.guard.openConnections() {
		c.endIdle()
		s.guard.sweep()
	}
	status, _ := s.exchange(client, getRequest)
	assert.Equal(t, status, http.StatusOK)
}
