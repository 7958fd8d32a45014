package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/socket"
)

// heldListener does not accept until released or closed, as a process does that has used up its part of the processor.
type heldListener struct {
	*net.TCPListener
	release, closed chan struct{}
	// pace is the time that accepting a connection takes.
	pace time.Duration
}

func newHeldListener(t *testing.T) *heldListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return &heldListener{TCPListener: inner.(*net.TCPListener), release: make(chan struct{}), closed: make(chan struct{})}
}

func (l *heldListener) Accept() (net.Conn, error) {
	select {
	case <-l.release:
	case <-l.closed:
	}
	time.Sleep(l.pace)
	return l.TCPListener.Accept()
}

func (l *heldListener) Close() error {
	// A call of Accept that goes on must find it closed.
	defer close(l.closed)
	return l.TCPListener.Close()
}

// fillBacklog opens connections, sends a request over each, and waits until all wait to be accepted.
func (s *service) fillBacklog(l *heldListener, count int, request string) []net.Conn {
	s.t.Helper()
	clients := make([]net.Conn, count)
	for i := range clients {
		clients[i] = s.dial()
		_, err := io.WriteString(clients[i], request)
		assert.NilError(s.t, err)
	}
	for socket.Backlog(l) < count {
		time.Sleep(time.Millisecond)
	}
	return clients
}

// countAnswers reads a response of each connection, and returns the number of those that were served, refused, and
// closed without one.
func countAnswers(clients []net.Conn) (served, refused, lost int) {
	for _, c := range clients {
		switch response, err := http.ReadResponse(bufio.NewReader(c), nil); {
		case err != nil:
			lost++
		case response.StatusCode == http.StatusOK:
			served++
		default:
			refused++
		}
	}
	return served, refused, lost
}

// Guards against a stop that resets the connections which wait to be accepted, whole requests included.
func TestStopAnswersRequestsInBacklog(t *testing.T) {
	const count = 50
	l := newHeldListener(t)
	s := serveOn(t, l, 64<<20, Config{}, (*service).readBody)
	clients := s.fillBacklog(l, count, postRequest)
	stopped := s.stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	close(l.release)
	served, refused, lost := countAnswers(clients)
	assert.Equal(t, served, count, "refused %d, lost %d", refused, lost)
	assert.NilError(t, <-stopped)
	s.awaitOutcomes(map[outcome]int{answered: count})
}

// Guards against a stop that accepts more connections than the listener may have.
func TestLimitOnConnectionsHoldsForBacklogOfStop(t *testing.T) {
	const count, limit = 8, 3
	l := newHeldListener(t)
	begun, release := make(chan struct{}, count), make(chan struct{})
	s := serveOn(t, l, 64<<20, Config{Connections: limit}, waitingHandler(begun, release))
	l.pace = 20 * time.Millisecond
	clients := s.fillBacklog(l, count, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	stopped := s.stop(5 * time.Second)
	close(l.release)
	time.AfterFunc(500*time.Millisecond, func() { close(release) })
	served, refused, lost := countAnswers(clients)
	assert.Equal(t, served, limit, "refused %d, lost %d", refused, lost)
	assert.NilError(t, <-stopped)
	s.awaitOutcomes(map[outcome]int{answered: limit})
	for _, bound := range s.bound.boundListeners() {
		_, reset := bound.count()
		assert.Equal(t, reset, uint64(count-limit))
	}
}

// Guards against clients that hold a stop up by connecting faster than the server accepts.
func TestCrowdDoesNotHoldStopUp(t *testing.T) {
	l := newHeldListener(t)
	l.pace = 2 * time.Millisecond
	s := serveOn(t, l, 64<<20, Config{}, (*service).readBody)
	clients := s.fillBacklog(l, 50, getRequest)
	close(l.release)
	end := make(chan struct{})
	var crowd sync.WaitGroup
	for range 4 {
		crowd.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Millisecond):
				}
				if c, err := net.Dial("tcp", s.addr); err == nil {
					defer c.Close()
				}
			}
		})
	}
	err := <-s.stop(5 * time.Second)
	close(end)
	served, refused, lost := countAnswers(clients)
	crowd.Wait()
	assert.NilError(t, err)
	assert.Equal(t, served, len(clients), "refused %d, lost %d", refused, lost)
}

// Guards against a listener whose connections nobody accepts that holds a stop up.
func TestBacklogThatNobodyAcceptsDoesNotHoldStopUp(t *testing.T) {
	l := newHeldListener(t)
	s := serveOn(t, l, 64<<20, Config{}, (*service).readBody)
	clients := s.fillBacklog(l, 5, getRequest)
	assert.NilError(t, <-s.stop(5*time.Second))
	_, _, lost := countAnswers(clients)
	assert.Equal(t, lost, len(clients))
	_, err := net.Dial("tcp", s.addr)
	assert.Assert(t, err != nil && !errors.Is(err, net.ErrClosed))
}
