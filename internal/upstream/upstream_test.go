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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const idHeader = "X-Request-Id"

func quiet() *pushback.Registry {
	return pushback.New(vocabulary.Default(), slog.New(slog.DiscardHandler))
}

func unlimited() *ratelimit.Register {
	return ratelimit.New(vocabulary.Default(), slog.New(slog.DiscardHandler))
}

// backend is a scripted back end: each accepted connection is handed to serve.
type backend struct {
	address  string
	accepted atomic.Int32
}

func startBackend(t *testing.T, serve func(number int, conn net.Conn, requests *bufio.Reader)) *backend {
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

// next reads one request and returns its ID.
func next(requests *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader), err
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) *Request {
	header := http.Header{}
	header.Set(idHeader, id)
	return &Request{Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "h", Header: header, Body: []byte("body"), ID: id}
}

// fetch makes a call and reads its whole answer.
func fetch(p *Pool, b *backend, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, b.address, request(id))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestAConnectionIsKeptForTheNextRequest(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := next(requests); err == nil; id, err = next(requests) {
			_, _ = io.WriteString(conn, answerTo(id, "for "+id))
		}
	})
	p := NewPool(idHeader, quiet(), unlimited())
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(p, b, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "for "+id)
	}
	assert.Equal(t, b.accepted.Load(), int32(1))
}

func TestALateSurplusAnswerIsNeverTakenForTheNext(t *testing.T) {
	surplus := make(chan struct{})
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		first, _ := next(requests)
		_, _ = io.WriteString(conn, answerTo(first, "first"))
		second, err := next(requests)
		if err != nil {
			return
		}
		// The second answer to the first request comes where the answer to the
		// second is due.
		_, _ = io.WriteString(conn, answerTo(first, "again"))
		close(surplus)
		_, _ = io.WriteString(conn, answerTo(second, "second"))
		_, _ = next(requests)
	})
	p := NewPool(idHeader, quiet(), unlimited())
	body, err := fetch(p, b, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	body, err = fetch(p, b, "2")
	assert.NilError(t, err)
	<-surplus
	assert.Equal(t, body, "second")
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	b := startBackend(t, func(number int, conn net.Conn, requests *bufio.Reader) {
		id, _ := next(requests)
		tail := ""
		if number == 1 {
			tail = "garbage that belongs to nobody"
		}
		_, _ = io.WriteString(conn, answerTo(id, "whole")+tail)
		_, _ = next(requests)
	})
	p := NewPool(idHeader, quiet(), unlimited())
	for _, id := range []string{"1", "2"} {
		body, err := fetch(p, b, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, b.accepted.Load(), int32(2))
}

func TestFailuresSayWhetherTheRequestCanHaveRun(t *testing.T) {
	cases := map[string]struct {
		answer string
		reset  bool
		mark   error
	}{
		"closed without an answer": {"", false, ErrOutcomeUnknown},
		"reset without an answer":  {"", true, ErrOutcomeUnknown},
		"no answer at all":         {"hello\r\n\r\n", false, ErrOutcomeUnknown},
		"cut in the body":          {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nhalf", false, ErrOutcomeUnknown},
		"reset without a length":   {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nhalf", true, ErrOutcomeUnknown},
		"cut in a chunk":           {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, ErrOutcomeUnknown},
		"only foreign answers":     {answerTo("other", "x") + answerTo("another", "y"), false, ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				_, _ = next(requests)
				_, _ = io.WriteString(conn, c.answer)
				time.Sleep(20 * time.Millisecond)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := fetch(NewPool(idHeader, quiet(), unlimited()), b, "1")
			assert.Assert(t, errors.Is(err, c.mark), "%v", err)
		})
	}
}

func TestAnAnswerWithoutALengthIsWholeAtACleanClose(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		id, _ := next(requests)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n\r\nall of it")
	})
	body, err := fetch(NewPool(idHeader, quiet(), unlimited()), b, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

func TestADeadPortWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = fetch(NewPool(idHeader, quiet(), unlimited()), &backend{address: address}, "1")
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestACancelledCallClosesTheConnectionAtOnce(t *testing.T) {
	closed := make(chan struct{})
	b := startBackend(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		_, _ = next(requests)
		_, _ = requests.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool(idHeader, quiet(), unlimited()).Do(ctx, b.address, request("1"))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the back end still holds the connection")
	}
}

func TestAnEarlyAnswerToALongRequestIsTakenAndTheConnectionIsNot(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests) // the body stays unread
		_, _ = io.WriteString(conn, answerTo("long", "early"))
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool(idHeader, quiet(), unlimited())
	long := request("long")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, b.address, long)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	answer.Close()
	assert.Equal(t, len(p.idle[b.address]), 0)
}

func TestMethodPathAndBodyPassUnaltered(t *testing.T) {
	seen := make(chan string, 1)
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		seen <- r.Method + " " + r.RequestURI + " " + r.Host + " " + string(body)
		_, _ = io.WriteString(conn, answerTo("1", ""))
	})
	_, err := fetch(NewPool(idHeader, quiet(), unlimited()), b, "1")
	assert.NilError(t, err)
	assert.Equal(t, <-seen, "POST /a/b?c=%2F h body")
}

func TestTheBackEndsKeepTimeIsHeeded(t *testing.T) {
	header := http.Header{}
	header.Set("Keep-Alive", "timeout=10, max=4")
	assert.Equal(t, keepTime(header), 10*time.Second-keepMargin)
	assert.Equal(t, keepTime(http.Header{}), defaultKeep)
}

func TestKeptConnectionsOfASilentBackEndAreForgotten(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := next(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerTo(id, "x"))
		}
	})
	p := NewPool(idHeader, quiet(), unlimited())
	_, err := fetch(p, b, "1")
	assert.NilError(t, err)
	assert.Equal(t, len(p.idle), 1)
	for address := range p.idle {
		p.forget(address)
	}
	_, err = fetch(p, b, "2")
	assert.NilError(t, err)
	assert.Equal(t, p.Opened.Load(), uint64(2))
}

// A request that has passed every look before waits for a connection, and meanwhile the
// back end answers another that it wants nothing for half a minute. Ten of them at one
// moment are no better.
func TestTheLastLookIsJustBeforeTheSend(t *testing.T) {
	held, answered := make(chan struct{}), make(chan struct{})
	var arrived atomic.Int32
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := next(requests)
			if err != nil {
				return
			}
			arrived.Add(1)
			if id == "first" {
				_, _ = io.WriteString(conn, answerTo(id, "ok"))
				continue
			}
			<-held
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: %s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", idHeader, id)
		}
	})
	p := NewPool(idHeader, quiet(), unlimited())
	to := func(id string) *Request {
		r := request(id)
		r.Backend = pushback.Backend{ID: "start", Pool: "p"}
		return r
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ask := func(id string) error {
		answer, err := p.Do(ctx, b.address, to(id))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer)
		answer.Close()
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

// An answer to another request, which a proxy or a late surplus brings, says nothing of the
// back end.
func TestAnAnswerToAnotherRequestAsksForNothing(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			id, err := next(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+vocabulary.Default().Draining+": 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"+answerTo(id, "ok"))
		}
	})
	p := NewPool(idHeader, quiet(), unlimited())
	for range 3 {
		r := request("1")
		r.Backend = pushback.Backend{ID: "start", Pool: "p"}
		status, body, err := p.Call(t.Context(), b.address, r, 100)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(body), "ok")
	}
}
