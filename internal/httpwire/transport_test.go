package httpwire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer starts a server that reads the head of each request, and returns its URL. Respond returns whether the
// connection goes on.
func startServer(t testing.TB, respond func(c *net.TCPConn, q *http.Request) (again bool)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for again := true; again; {
					q, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					again = respond(c.(*net.TCPConn), q)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/"
}

// respondOnce responds to each request with a text and ends its side.
func respondOnce(text string) func(c *net.TCPConn, q *http.Request) bool {
	return func(c *net.TCPConn, q *http.Request) bool {
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, text)
		return false
	}
}

// fetch posts a body and reads the whole response.
func fetch(client *http.Client, url, body string) (status int, text string, err error) {
	response, err := client.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

func newClient(t testing.TB) *http.Client {
	c := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func TestTransportRefusesMalformedHead(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			const interim, sound = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
			for _, text := range []string{head + "\r\nfine", interim + head + "\r\nfine", head + "\r\n" + sound} {
				status, body, err := fetch(newClient(t), startServer(t, respondOnce(text)), "body")
				assert.Assert(t, err != nil, "%d %q", status, body)
			}
		})
	}
}

func TestTransportReturnsSoundResponse(t *testing.T) {
	for name, c := range soundResponses {
		if c.status < http.StatusOK || name == "long trailers" {
			// http.Transport bounds trailers by its buffer.
			continue
		}
		t.Run(name, func(t *testing.T) {
			status, body, err := fetch(newClient(t), startServer(t, respondOnce(c.text)), "body")
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			assert.Equal(t, body, c.body)
			_, body, err = fetch(newClient(t), startServer(t, respondOnce("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nA: b\r\n\r\n"+c.text)), "body")
			assert.NilError(t, err)
			assert.Equal(t, body, c.body)
		})
	}
}

func TestTransportReturnsNoBrokenBody(t *testing.T) {
	for name, text := range brokenBodies {
		t.Run(name, func(t *testing.T) {
			_, body, err := fetch(newClient(t), startServer(t, respondOnce(text)), "body")
			assert.Assert(t, err != nil, "%q", body)
		})
	}
}

// A back end that answers an upload before it has read it may reset the connection while the rest is being written.
func TestTransportTakesResetDuringUploadForNoEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
		for range 10 {
			t.Run(fmt.Sprint(pause), func(t *testing.T) {
				t.Parallel()
				url := startServer(t, func(c *net.TCPConn, _ *http.Request) bool {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfi")
					time.Sleep(pause)
					_ = c.SetLinger(0)
					return false
				})
				_, body, err := fetch(newClient(t), url, strings.Repeat("x", 4<<20))
				assert.Assert(t, err != nil, "%q", body)
			})
		}
	}
}

// Guards against taking an orderly end beside an unread upload for a reset.
func TestTransportReturnsWholeResponseBesideUnreadUpload(t *testing.T) {
	url := startServer(t, func(c *net.TCPConn, q *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, q.Body)
		return false
	})
	_, body, err := fetch(newClient(t), url, strings.Repeat("x", 4<<20))
	assert.NilError(t, err)
	assert.Equal(t, body, "fine")
}

// Each response on a kept connection is checked, and connections are kept.
func TestTransportChecksEachResponse(t *testing.T) {
	var calls atomic.Int32
	url := startServer(t, func(c *net.TCPConn, q *http.Request) bool {
		_, _ = io.Copy(io.Discard, q.Body)
		head := ""
		if calls.Add(1) == 4 {
			head = "X Foo: 1\r\n"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n")
		return true
	})
	dials := 0
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for i := range 6 {
		_, body, err := fetch(client, url, "body")
		if i == 3 {
			assert.ErrorIs(t, err, ErrMalformed)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, body, "fine")
	}
	assert.Equal(t, calls.Load(), int32(6), "nothing is sent twice")
	assert.Equal(t, dials, 2)
}

func TestTransportReturnsErrorsOfConnections(t *testing.T) {
	failure := errors.New("no route")
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, failure }})}
	_, _, err := fetch(client, "http://127.0.0.1:1/", "")
	assert.ErrorIs(t, err, failure)
	url := startServer(t, func(c *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		_ = c.SetLinger(0)
		return false
	})
	_, _, err = fetch(newClient(t), url, "body")
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}
