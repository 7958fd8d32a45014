package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// serve starts a server and returns its address.
func serve(t *testing.T, handler Handler) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(listener, &Counters{}, handler)
	t.Cleanup(s.Close)
	return s, listener.Addr().String()
}

func echo(_ context.Context, kind string, body json.RawMessage) (any, error) {
	switch kind {
	case "echo":
		return body, nil
	case "fail":
		return nil, errors.New("broken on purpose")
	}
	return nil, errors.Wrap(ErrUnknownKind, kind)
}

func TestClientMatchesRepliesToCalls(t *testing.T) {
	_, address := serve(t, echo)
	client := NewClient(&Counters{})
	defer client.Close()
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			var reply int
			assert.Check(t, client.Call(context.Background(), address, "echo", i, &reply) == nil)
			assert.Check(t, reply == i)
		})
	}
	group.Wait()
}

func TestClientDistinguishesRemoteAndConnectionErrors(t *testing.T) {
	server, address := serve(t, echo)
	client := NewClient(&Counters{})
	defer client.Close()
	err := client.Call(context.Background(), address, "fail", 1, nil)
	assert.Assert(t, errors.Is(err, ErrRemote), "%v", err)
	assert.ErrorContains(t, err, "broken on purpose")
	assert.ErrorContains(t, client.Call(context.Background(), address, "other", 1, nil), "unknown kind")
	server.Close()
	for {
		// The first calls may still use the old connection.
		err = client.Call(context.Background(), address, "echo", 1, nil)
		if errors.Is(err, ErrUnreachable) {
			break
		}
		assert.Assert(t, errors.Is(err, ErrConnectionLost), "%v", err)
	}
}

func TestCallFailsWhenServerClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, _ = connection.Read(make([]byte, 1))
			_ = connection.Close()
		}
	}()
	client := NewClient(&Counters{})
	defer client.Close()
	err = client.Call(context.Background(), listener.Addr().String(), "echo", 1, nil)
	assert.Assert(t, errors.Is(err, ErrConnectionLost), "%v", err)
}

func TestSendDeliversMessage(t *testing.T) {
	got := make(chan string, 10)
	_, address := serve(t, func(_ context.Context, kind string, body json.RawMessage) (any, error) {
		got <- fmt.Sprint(kind, string(body))
		return nil, nil
	})
	client := NewClient(&Counters{})
	defer client.Close()
	client.Send(address, "note", 7)
	assert.Equal(t, <-got, "note7")
}

func TestCallEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	_, address := serve(t, func(context.Context, string, json.RawMessage) (any, error) {
		<-release
		return 1, nil
	})
	defer close(release)
	client := NewClient(&Counters{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, client.Call(ctx, address, "echo", 1, nil), context.DeadlineExceeded)
}

// Checks that a call succeeds soon after an unreachable machine recovers, and not only after the
// first dial attempt ends.
func TestCallSucceedsSoonAfterAddressRecovers(t *testing.T) {
	_, address := serve(t, echo)
	client := NewClient(&Counters{})
	defer client.Close()
	dial := client.dial
	var mu sync.Mutex
	attempts := 0
	client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		mu.Lock()
		attempts++
		unreachable := attempts < 3
		mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout-dialInterval)
	defer cancel()
	var reply int
	assert.NilError(t, client.Call(ctx, address, "echo", 7, &reply))
	assert.Equal(t, reply, 7)
}

func TestCallEndsWithContextDuringDial(t *testing.T) {
	client := NewClient(&Counters{})
	defer client.Close()
	client.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	started := time.Now()
	err := client.Call(ctx, "127.0.0.1:1", "echo", 7, nil)
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
	assert.Assert(t, time.Since(started) < dialTimeout/2)
}

// A connection may stop delivering data without a reset, while new ones work. Checks that a call
// that times out over such a connection closes it.
func TestCallTimeoutDropsStalledConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stalled := make(chan struct{})
	var first sync.Once
	s := Serve(listener, &Counters{}, func(ctx context.Context, kind string, body json.RawMessage) (any, error) {
		hold := string(body) == "3"
		first.Do(func() {
			hold = true
			close(stalled)
		})
		if hold {
			<-ctx.Done()
		}
		return body, nil
	})
	t.Cleanup(s.Close)
	client := NewClient(&Counters{})
	defer client.Close()
	address := listener.Addr().String()
	current := func() net.Conn {
		l := client.link(address)
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.connection
	}
	var reply int
	ctx, cancel := context.WithTimeout(t.Context(), stalledCallAge+50*time.Millisecond)
	defer cancel()
	assert.Assert(t, client.Call(ctx, address, "echo", 1, &reply) != nil)
	<-stalled
	assert.Assert(t, current() == nil, "the stalled connection is still in use")
	assert.NilError(t, client.Call(t.Context(), address, "echo", 2, &reply))
	// A call that is canceled early, or during which other replies arrive, does not count as
	// stalled.
	want := current()
	ctx, cancel = context.WithTimeout(t.Context(), time.Microsecond)
	defer cancel()
	assert.Assert(t, client.Call(ctx, address, "echo", 3, &reply) != nil)
	assert.Assert(t, current() == want)
}

func TestEncodeLineIsJSON(t *testing.T) {
	for _, e := range []envelope{
		{},
		{Number: 7},
		{Kind: "note", Body: json.RawMessage(`{"a":[1,2]}`)},
		{Number: 7, Kind: "call \"x\"", Body: json.RawMessage(`"text"`)},
		{Body: json.RawMessage(`3`)},
		{Number: 8, Error: "broken\n"},
	} {
		line, err := encodeLine(e, &Counters{})
		assert.NilError(t, err)
		assert.Equal(t, line[len(line)-1], byte('\n'))
		var got envelope
		assert.NilError(t, json.Unmarshal(line, &got))
		assert.DeepEqual(t, got, e)
	}
}

// lateListener returns a connection from Accept shortly after Close.
type lateListener struct {
	net.Listener
	closed chan struct{}
	late   chan net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	select {
	case connection := <-l.late:
		time.Sleep(50 * time.Millisecond)
		return connection, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// Checks that Close closes a connection that was accepted while it ran, instead of serving it
// and waiting for it.
func TestCloseClosesConnectionAcceptedLate(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	l := &lateListener{closed: make(chan struct{}), late: make(chan net.Conn, 1)}
	l.late <- server
	s := Serve(l, &Counters{}, func(context.Context, string, json.RawMessage) (any, error) { return nil, nil })
	done := make(chan struct{})
	go func() {
		s.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Close waits for the connection")
	}
	_, err := client.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// An open connection between processes is noticed as silent once a message is unacknowledged for
// ackTimeout. If it is idle, the second keep-alive probe ends it whatever the count of probes, since
// ackTimeout has passed then.
func TestSilentConnectionIsNoticed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	c := NewClient(&Counters{})
	connection, err := c.dial(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	raw, err := connection.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	options := map[string]int{}
	assert.NilError(t, raw.Control(func(fd uintptr) {
		options["timeout"], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		options["alive"], _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		options["idle"], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		options["interval"], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	}))
	assert.DeepEqual(t, options, map[string]int{"timeout": int(ackTimeout.Milliseconds()), "alive": 1, "idle": 15, "interval": 15})
}
