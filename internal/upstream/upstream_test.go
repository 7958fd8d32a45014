package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const idHeader = "X-Request-Id"

func newPushbacks() *pushback.Registry {
	return pushback.New(vocabulary.Default(), slog.New(slog.DiscardHandler))
}

func newLimits() *ratelimit.Registry {
	return ratelimit.New(vocabulary.Default(), slog.New(slog.DiscardHandler))
}

// backend is a scripted back end; serve handles each accepted connection.
type backend struct {
	address  string
	accepted atomic.Int32
}

func startBackend(t testing.TB, serve func(number int, conn net.Conn, requests *bufio.Reader)) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	b := &backend{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(b.accepted.Add(1))
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return b
}

// readRequest reads one request and returns its ID.
func readRequest(requests *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader), err
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	header := http.Header{}
	header.Set(idHeader, id)
	return &Request{Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "h", Header: header, Body: []byte("body"), ID: id}
}

// fetch sends a request and reads the whole response.
func fetch(p *Pool, b *backend, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := p.Do(ctx, b.address, request(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			_, _ = io.WriteString(conn, responseTo(id, "for "+id))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(p, b, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "for "+id)
	}
	assert.Equal(t, b.accepted.Load(), int32(1))
}

func TestSurplusResponseIsSkipped(t *testing.T) {
	surplus := make(chan struct{})
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		first, _ := readRequest(requests)
		_, _ = io.WriteString(conn, responseTo(first, "first"))
		second, err := readRequest(requests)
		if err != nil {
			return
		}
		// A second response to the first request arrives before the response to the second.
		_, _ = io.WriteString(conn, responseTo(first, "again"))
		close(surplus)
		_, _ = io.WriteString(conn, responseTo(second, "second"))
		_, _ = readRequest(requests)
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	body, err := fetch(p, b, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	body, err = fetch(p, b, "2")
	assert.NilError(t, err)
	<-surplus
	assert.Equal(t, body, "second")
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	b := startBackend(t, func(number int, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		tail := ""
		if number == 1 {
			tail = "garbage that belongs to nobody"
		}
		_, _ = io.WriteString(conn, responseTo(id, "whole")+tail)
		_, _ = readRequest(requests)
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for _, id := range []string{"1", "2"} {
		body, err := fetch(p, b, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, b.accepted.Load(), int32(2))
}

func TestErrorsStateWhetherRequestMayHaveRun(t *testing.T) {
	cases := map[string]struct {
		response string
		reset    bool
		mark     error
	}{
		"closed without a response": {"", false, ErrOutcomeUnknown},
		"reset without a response":  {"", true, ErrOutcomeUnknown},
		"not HTTP":                  {"hello\r\n\r\n", false, ErrOutcomeUnknown},
		"truncated body":            {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nhalf", false, ErrOutcomeUnknown},
		"reset without a length":    {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nhalf", true, ErrOutcomeUnknown},
		"truncated chunk":           {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, ErrOutcomeUnknown},
		"only foreign responses":    {responseTo("other", "x") + responseTo("another", "y"), false, ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				_, _ = readRequest(requests)
				_, _ = io.WriteString(conn, c.response)
				time.Sleep(20 * time.Millisecond)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := fetch(NewPool(idHeader, newPushbacks(), newLimits()), b, "1")
			assert.Assert(t, errors.Is(err, c.mark), "%v", err)
		})
	}
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n\r\nall of it")
	})
	body, err := fetch(NewPool(idHeader, newPushbacks(), newLimits()), b, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = fetch(NewPool(idHeader, newPushbacks(), newLimits()), &backend{address: address}, "1")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	b := startBackend(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		_, _ = readRequest(requests)
		_, _ = requests.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool(idHeader, newPushbacks(), newLimits()).Do(ctx, b.address, request("1"))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the back end still holds the connection")
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests) // the body stays unread
		_, _ = io.WriteString(conn, responseTo("long", "early"))
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	long := request("long")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := p.Do(ctx, b.address, long)
	assert.NilError(t, err)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	response.Close()
	assert.Equal(t, len(p.idle[b.address]), 0)
}

func TestRequestIsSentUnaltered(t *testing.T) {
	seen := make(chan string, 1)
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		seen <- r.Method + " " + r.RequestURI + " " + r.Host + " " + string(body)
		_, _ = io.WriteString(conn, responseTo("1", ""))
	})
	_, err := fetch(NewPool(idHeader, newPushbacks(), newLimits()), b, "1")
	assert.NilError(t, err)
	assert.Equal(t, <-seen, "POST /a/b?c=%2F h body")
}

func TestIdleTimeoutFromHeader(t *testing.T) {
	header := http.Header{}
	header.Set("Keep-Alive", "timeout=10, max=4")
	assert.Equal(t, idleTimeout(header), 10*time.Second-idleMargin)
	assert.Equal(t, idleTimeout(http.Header{}), defaultIdleTimeout)
}

func TestCloseIdleForcesNewConnection(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseTo(id, "x"))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	_, err := fetch(p, b, "1")
	assert.NilError(t, err)
	assert.Equal(t, len(p.idle), 1)
	for address := range p.idle {
		p.closeIdle(address)
	}
	_, err = fetch(p, b, "2")
	assert.NilError(t, err)
	assert.Equal(t, p.Opened.Load(), uint64(2))
}

// A pushback that arrives while requests wait for a connection must withhold them.
func TestPushbackIsCheckedBeforeWrite(t *testing.T) {
	held, answered := make(chan struct{}), make(chan struct{})
	var arrived atomic.Int32
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			arrived.Add(1)
			if id == "first" {
				_, _ = io.WriteString(conn, responseTo(id, "ok"))
				continue
			}
			<-held
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: %s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", idHeader, id)
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	to := func(id string) *Request {
		r := request(id)
		r.Backend = pushback.Backend{ID: "start", Pool: "p"}
		return r
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ask := func(id string) error {
		response, err := p.Do(ctx, b.address, to(id))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response)
		response.Close()
		return err
	}
	assert.NilError(t, ask("first"))
	dialling := make(chan struct{}, 10)
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		dialling <- struct{}{}
		<-answered
		return nil
	}
	turned := make(chan error)
	go func() { turned <- ask("turned away") }()
	for arrived.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan error, 10)
	for i := range 10 {
		go func() { waiting <- ask(fmt.Sprint("waits ", i)) }()
	}
	for range 10 {
		<-dialling
	}
	close(held)
	assert.NilError(t, <-turned)
	close(answered)
	for range 10 {
		err := <-waiting
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, pushback.ErrUnavailable)
	}
	assert.Equal(t, arrived.Load(), int32(2))
	assert.ErrorIs(t, ask("later"), pushback.ErrUnavailable)
}

// A response to another request must not change the state of the back end.
func TestForeignResponseIsNotObserved(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+vocabulary.Default().Draining+": 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"+responseTo(id, "ok"))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for range 3 {
		r := request("1")
		r.Backend = pushback.Backend{ID: "start", Pool: "p"}
		status, body, err := p.Call(t.Context(), b.address, r, 100)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(body), "ok")
	}
}

// Guards against writing a request that stopped being allowed while its connection was opened.
func TestAllowedIsCheckedJustBeforeWrite(t *testing.T) {
	var arrived atomic.Int32
	b := startBackend(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		if _, err := readRequest(requests); err == nil {
			arrived.Add(1)
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	var connected atomic.Bool
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		connected.Store(true)
		return nil
	}
	r := request("withheld")
	r.Allowed = func() error {
		assert.Check(t, connected.Load())
		return pushback.ErrUnavailable
	}
	_, err := p.Do(t.Context(), b.address, r)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, pushback.ErrUnavailable)
	assert.Equal(t, arrived.Load(), int32(0))
}

// Guards against returning the first bytes of a longer body as the whole one.
func TestCallRejectsBodyBeyondLimit(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			_, _ = io.WriteString(conn, responseTo(id, "0123456789"))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	_, body, err := p.Call(t.Context(), b.address, request("1"), 10)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "0123456789")
	status, body, err := p.Call(t.Context(), b.address, request("2"), 9)
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(body), 0)
}

// A back end may close a kept connection at the end of its idle time just as a request arrives. It
// is then not known whether the request ran, which must not happen to one that may run only once.
func TestNonIdempotentRequestAvoidsExpiringConnection(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			_, _ = io.WriteString(conn, responseTo(id, "x"))
		}
	})
	cases := map[string]struct {
		left          time.Duration
		nonIdempotent bool
		reused        bool
	}{
		"well before the end":                {1300 * time.Millisecond, true, true},
		"within a second of the end":         {900 * time.Millisecond, true, false},
		"idempotent, within a second of it":  {900 * time.Millisecond, false, true},
		"idempotent, after the end":          {-time.Millisecond, false, false},
		"not idempotent and after the end":   {-time.Millisecond, true, false},
		"idempotent, long before the end":    {time.Hour, false, true},
		"not idempotent and long before end": {time.Hour, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool(idHeader, newPushbacks(), newLimits())
			_, err := fetch(p, b, "1")
			assert.NilError(t, err)
			kept := p.idle[b.address][0]
			kept.expiresAt = clock.Now() + c.left
			r := request("2")
			r.NonIdempotent = c.nonIdempotent
			_, _, err = p.Call(t.Context(), b.address, r, 100)
			assert.NilError(t, err)
			assert.Equal(t, p.Opened.Load() == 1, c.reused)
			// A connection that only this request may not use stays for others.
			assert.Equal(t, slices.Contains(p.idle[b.address], kept), c.left > 0)
		})
	}
}

// Guards against overlooking a connection that lasts longer behind one that is about to expire.
func TestNonIdempotentRequestUsesEarlierConnection(t *testing.T) {
	p := NewPool(idHeader, newPushbacks(), newLimits())
	lasting, expiring := &connection{expiresAt: 10 * time.Second}, &connection{expiresAt: 1500 * time.Millisecond}
	p.idle["a"] = []*connection{lasting, expiring}
	assert.Equal(t, p.removeIdle("a", time.Second, nonIdempotentMargin), lasting)
	assert.Assert(t, p.removeIdle("a", time.Second, nonIdempotentMargin) == nil)
	assert.Equal(t, p.removeIdle("a", time.Second, 0), expiring)
}

// Guards against taking a request for not run that the back end may have run: only a request of which
// a part was never read, without a byte in return, has not.
func TestUnreadRequestIsIncomplete(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	cases := map[string]struct {
		serve func(conn net.Conn, requests *bufio.Reader)
		size  int
		mark  error
	}{
		"body unread": {func(_ net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			<-done
		}, 16 << 20, ErrIncomplete},
		"body read": {func(_ net.Conn, requests *bufio.Reader) {
			_, _ = readRequest(requests)
			<-done
		}, 16 << 20, ErrOutcomeUnknown},
		"small body unread": {func(_ net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			<-done
		}, 8 << 10, ErrOutcomeUnknown},
		"body unread, response begun": {func(conn net.Conn, requests *bufio.Reader) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 2")
			<-done
		}, 16 << 20, ErrOutcomeUnknown},
		"body unread, connection closed": {func(_ net.Conn, requests *bufio.Reader) { _, _ = http.ReadRequest(requests) }, 16 << 20, ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) { c.serve(conn, requests) })
			p := NewPool(idHeader, newPushbacks(), newLimits())
			p.bodyStall = 200 * time.Millisecond
			r := request("1")
			r.Body = []byte(strings.Repeat("x", c.size))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := p.Do(ctx, b.address, r)
			assert.ErrorIs(t, err, c.mark)
			for _, other := range []error{ErrNotSent, ErrIncomplete, ErrOutcomeUnknown} {
				assert.Equal(t, errors.Is(err, other), other == c.mark, "%v", err)
			}
		})
	}
}

// A back end that reads slowly, or that responds without reading, is not given up.
func TestSlowBodyIsNotGivenUp(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if r.Header.Get(idHeader) == "slow" {
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.CopyN(io.Discard, r.Body, 512<<10)
			}
			_, _ = io.WriteString(conn, responseTo("slow", "read"))
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": early\r\nContent-Length: 4\r\n\r\nea")
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, "rl")
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	p.bodyStall = 200 * time.Millisecond
	for id, wanted := range map[string]string{"slow": "read", "early": "earl"} {
		r := request(id)
		r.Body = []byte(strings.Repeat("x", 16<<20))
		_, body, err := p.Call(t.Context(), b.address, r, 100)
		assert.NilError(t, err, id)
		assert.Equal(t, string(body), wanted)
	}
}

// A connect that is pending must be reported before it fails, so that a lost path is found early.
func TestPendingConnectIsReported(t *testing.T) {
	p := NewPool(idHeader, newPushbacks(), newLimits())
	reported := make(chan error, 4)
	p.OnConnect(func(pool string, _ time.Duration, err error) {
		assert.Check(t, pool == "llm")
		reported <- err
	})
	p.SetDial(func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(2 * connectAlarm)
		return nil, syscall.ETIMEDOUT
	})
	r := request("pending")
	r.Backend.Pool = "llm"
	_, err := p.Do(context.Background(), "unused", r)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, <-reported, errPending)
	assert.ErrorIs(t, <-reported, syscall.ETIMEDOUT)
}

// The alarms of an attempt must not read the request once the attempt has ended.
func TestRequestMayBeChangedAfterSlowAttempt(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			time.Sleep(ackAlarm + 20*time.Millisecond)
			_, _ = io.WriteString(conn, responseTo(id, "body"))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	p.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(connectAlarm + 20*time.Millisecond)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	p.OnConnect(func(string, time.Duration, error) {})
	r := request("1")
	_, _, err := p.Call(t.Context(), b.address, r, 100)
	assert.NilError(t, err)
	r.Backend.Pool, r.Body = "other", nil
}

// A back end may be silent for a second and go on: its connections must outlast that. An open connection
// to a back end that is gone is noticed once a request is unacknowledged for the user timeout;
// keep-alive probes, which the user timeout would cut short as well, are off.
func TestConnectionsOutlastASecondOfSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	p := NewPool(idHeader, newPushbacks(), newLimits())
	assert.NilError(t, p.Connect(context.Background(), address))
	c := p.takeIdle(address, false)
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var timeout, keepAlive int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		keepAlive, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}))
	assert.Assert(t, timeout >= 1300 && timeout <= 2000, "%d ms", timeout)
	assert.Equal(t, keepAlive, 0)
	assert.Assert(t, bodyStallTimeout > userTimeout)
}
