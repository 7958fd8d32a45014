package listener

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/memory"
)

// closingHandler answers with a body of 256 KiB and closes the connection, as a stopping router does.
func closingHandler(began chan<- struct{}, release <-chan struct{}) func(*service) http.HandlerFunc {
	return func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			began <- struct{}{}
			<-release
			_, _ = w.Write(make([]byte, 256<<10))
		}
	}
}

// Guards against the last answer of a connection that is cut since bytes of a further request wait in the socket.
func TestLastAnswerIsWholeThoughFurtherRequestWaits(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	s := serveWith(t, 8<<20, Config{}, closingHandler(began, release))
	c := s.dial()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := io.WriteString(c, getRequest)
	assert.NilError(t, err)
	<-began
	_, err = io.WriteString(c, getRequest)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	time.Sleep(100 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "%d bytes", n)
	assert.Equal(t, n, int64(256<<10))
}

// Guards against a reset right behind a refusal whose body is unread, which may overtake it.
func TestRefusalBesideLongBodyIsNotResetAtOnce(t *testing.T) {
	for _, length := range []int{100 << 10, 512 << 10} {
		s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusServiceUnavailable) }
		})
		c := s.dial()
		go func() {
			_, _ = io.WriteString(c, strings.Replace(postRequest, "Content-Length: 4\r\n\r\nbody", "Content-Length: 524288\r\n\r\n", 1)+strings.Repeat("b", length))
		}()
		read := bufio.NewReader(c)
		response, err := http.ReadResponse(read, nil)
		assert.NilError(t, err)
		_ = response.Body.Close()
		_, err = read.ReadByte()
		assert.Check(t, errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET), "%d bytes sent: %v", length, err)
	}
}

// Guards against a refusal that is held back until the body has arrived, for which its client waits for a go-ahead.
func TestRefusalDoesNotWaitForBodyThatIsNotAsked(t *testing.T) {
	s := serve(t, 8<<20, Config{})
	begun := time.Now()
	status, _ := s.exchange(s.dial(), "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	assert.Equal(t, status, http.StatusNotFound)
	assert.Assert(t, time.Since(begun) < unreadTimeout/2, "%v", time.Since(begun))
}

// Guards against a client that reads nothing and holds a stop up beyond the limit on writes.
func TestWriteLimitHoldsWhileServerStops(t *testing.T) {
	began := make(chan struct{}, 1)
	s := serveWith(t, 8<<20, Config{WriteTimeout: 200 * time.Millisecond}, func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			began <- struct{}{}
			_, _ = w.Write(make([]byte, 64<<20))
		}
	})
	c := s.dial()
	_, err := io.WriteString(c, getRequest)
	assert.NilError(t, err)
	<-began
	stopped := s.stop(4 * time.Second)
	for {
		select {
		case err := <-stopped:
			assert.NilError(t, err)
			return
		case <-time.After(50 * time.Millisecond):
			s.guard.sweep()
		}
	}
}

// Guards against a request that has been read and is reset unanswered for a new connection after a short pause.
func TestRequestReadOnIdleConnectionIsRefusedBeforeItIsReplaced(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{Connections: 1}, (*service).readBody)
	c := s.pauseIdleRequest(l, getRequest)
	time.AfterFunc(150*time.Millisecond, func() { close(l.release) })
	_ = s.dial()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// slowWriteListener returns connections whose writes take a while, as in a process that waits for its processor.
type slowWriteListener struct {
	net.Listener
	pause time.Duration
}

type slowWriteConn struct {
	net.Conn
	pause time.Duration
}

func (l slowWriteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowWriteConn{c, l.pause}, nil
}

func (c slowWriteConn) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Write(p)
}

// Guards against an answer of a request that has run and is reset for a new connection before it is written.
func TestAnswerIsWrittenBeforeItsConnectionIsReplaced(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ran := make(chan struct{}, 1)
	s := serveOn(t, slowWriteListener{inner, 200 * time.Millisecond}, 8<<20, Config{Connections: 1}, func(*service) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) { ran <- struct{}{} }
	})
	c := s.dial()
	_, err = io.WriteString(c, getRequest)
	assert.NilError(t, err)
	<-ran
	time.Sleep(2 * flushTime)
	_ = s.dial()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a panic of a handler that leaves no line and holds a stop up.
func TestRequestWhoseHandlerPanicsHasAnOutcomeAndDoesNotHoldStopUp(t *testing.T) {
	began, release := make(chan struct{}, 1), make(chan struct{})
	s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			began <- struct{}{}
			<-release
			panic("unexpected")
		}
	})
	s.server.ErrorLog = nil
	c := s.dial()
	_, err := io.WriteString(c, getRequest)
	assert.NilError(t, err)
	<-began
	stopped := s.stop(5 * time.Second)
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	assert.NilError(t, <-stopped)
	assert.Equal(t, s.guard.outcomes.counts[aborted].Load(), uint64(1))
}

// waitBeforeBody returns a service with a connection on which a whole request has been sent. Its handler reads the
// body once release is closed.
func waitBeforeBody(t *testing.T, config Config) (s *service, c net.Conn, release chan struct{}) {
	t.Helper()
	began, release := make(chan struct{}, 1), make(chan struct{})
	s = serveWith(t, 8<<20, config, func(s *service) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-release
			s.readBody()(w, r)
		}
	})
	c = s.dial()
	_, err := io.WriteString(c, postRequest)
	assert.NilError(t, err)
	<-began
	return s, c, release
}

// Guards against a whole request that waits before its body is taken and is reset unanswered for a new connection.
func TestWholeRequestWhoseBodyIsNotTakenYetIsNotReplaced(t *testing.T) {
	s, c, release := waitBeforeBody(t, Config{Connections: 1})
	_ = s.dial()
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
}

// Guards against a whole request that waits before its body is taken and that the limit on heads or memory drops.
func TestWholeRequestWhoseBodyIsNotTakenYetIsAnsweredAfterEviction(t *testing.T) {
	s, c, release := waitBeforeBody(t, Config{})
	s.evictAll()
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a reset right behind a refusal if the client has asked for the connection to be closed.
func TestRefusalOfWholeRequestThatClosesIsNotResetAtOnce(t *testing.T) {
	s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusServiceUnavailable) }
	})
	c := s.dial()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("b", 20000))
	assert.NilError(t, err)
	read := bufio.NewReader(c)
	response, err := http.ReadResponse(read, nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	_, err = read.ReadByte()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// Guards against a further request that runs behind a response after which the connection closes.
func TestRequestBehindClosingResponseDoesNotRun(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	close(release)
	s := serveWith(t, 8<<20, Config{}, closingHandler(began, release))
	c := s.dial()
	_, err := io.WriteString(c, getRequest+getRequest)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err)
	assert.Equal(t, len(began), 1)
}

// Guards against a body that is refused at once since its connection was opened long before the request was sent.
func TestReadTimeoutBeginsWithRequestOfUnusedConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &service{t: t, budget: memory.NewBudget(8 << 20)}
	s.guard = NewGuard(s.budget, slog.New(slog.DiscardHandler))
	s.server = &http.Server{Handler: s.readBody(), ReadTimeout: 400 * time.Millisecond}
	s.bound = s.guard.Bind(s.server, CountBodies)
	s.addr = inner.Addr().String()
	l := s.bound.Listen(inner, Config{Name: "test"})
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(func() { _ = s.server.Close() })
	c := s.dial()
	time.Sleep(500 * time.Millisecond)
	head, body, _ := strings.Cut(postRequest, "body")
	_, err = io.WriteString(c, head)
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	status, _ := s.exchange(c, "body"+body)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a head that has arrived whole and is dropped by the limit on heads since the process stood still.
func TestStopReadsHeadThatHasArrivedBeforeItsLimit(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{}, (*service).readBody)
	c := s.dialUsed()
	_, err := io.WriteString(c, getRequest[:8])
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	l.at.Store(int32(beforeRead))
	_, err = io.WriteString(c, getRequest[8:])
	assert.NilError(t, err)
	<-l.paused
	stopped := s.stop(5 * time.Second)
	time.AfterFunc(shutdownHeadTimeout+300*time.Millisecond, func() { close(l.release) })
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// Guards against a whole head whose request the limit on heads drops since the process stood still after it was read.
func TestHeadLimitKeepsHeadThatHasBeenRead(t *testing.T) {
	l := newPausedListener(t)
	s := serveOn(t, l, 8<<20, Config{Limits: func() Limits { return Limits{HeadTimeout: 50 * time.Millisecond} }}, (*service).readBody)
	c := s.dialUsed()
	_, err := io.WriteString(c, postRequest[:8])
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	l.at.Store(int32(afterRead))
	_, err = io.WriteString(c, postRequest[8:])
	assert.NilError(t, err)
	<-l.paused
	time.Sleep(100 * time.Millisecond)
	s.guard.sweep()
	close(l.release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}
