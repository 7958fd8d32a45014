package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// respondRaw writes the response to a request. It gets the connection, the unread body and the ID of the request.
type respondRaw func(c *net.TCPConn, unread io.Reader, request string)

// listenRaw starts a server that reads the head of a request only, and returns its address.
func listenRaw(t testing.TB, respond respondRaw) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				respond(c.(*net.TCPConn), q.Body, q.Header.Get(names.RequestID))
			}()
		}
	}()
	return l.Addr().String()
}

// addRaw starts a back end in a pool that reads the head of a request only.
func (r *rig) addRaw(pool, id string, respond respondRaw) {
	address := listenRaw(r.t, func(c *net.TCPConn, unread io.Reader, request string) {
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		respond(c, unread, request)
	})
	r.pool.Apply([]state.Backend{{ID: id, Pool: pool, Address: address, Zone: "a"}}, nil, false)
}

// uploads makes the router accept large bodies that take their time, and returns one.
func (r *rig) uploads(path string, size int) func(*http.Request) {
	r.unhurried(path)
	r.source.table.Limits.MaxBodyBytes = 8 << 20
	return func(q *http.Request) {
		q.ContentLength, q.Body = int64(size), io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
	}
}

// signedHead is the head of a signed success with further fields, up to its empty line.
func signedHead(version, request, fields string) string {
	return fmt.Sprintf("%s 200 OK\r\n%s: %s\r\n%s: seal\r\n%s\r\n", version, names.RequestID, request, names.Signature, fields)
}

// A back end that answers an upload before it has read it may reset the connection while the rest is being written. Guards
// against forwarding the part of a body without a length that has arrived as a complete response.
func TestResetDuringUploadIsNoEndOfBody(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
		for _, head := range []struct{ version, fields string }{{"HTTP/1.1", ""}, {"HTTP/1.1", "Connection: close\r\n"}, {"HTTP/1.0", ""}} {
			for _, size := range []int{1 << 20, 4 << 20} {
				for _, pause := range []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %s %s, %d, %v", path, head.version, head.fields, size, pause), func(t *testing.T) {
						t.Parallel()
						r := newRig(t)
						body, pool := "fi", "app"
						if isStream(path) {
							body, pool = eventText(2), "llm"
						}
						r.addRaw(pool, "x", func(c *net.TCPConn, _ io.Reader, request string) {
							_, _ = io.WriteString(c, signedHead(head.version, request, head.fields)+body)
							time.Sleep(pause)
							_ = c.SetLinger(0)
						})
						got := r.ask("POST", path, r.uploads(path, size))
						assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
						assert.Equal(t, r.ran("x"), 1)
					})
				}
			}
		}
	}
}

// The attempt that a reset has ended is a failure of its back end, and another one goes on where the route allows it.
func TestFurtherAttemptFollowsResetDuringUpload(t *testing.T) {
	for _, path := range []string{"/safe/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			r, w := newObserved(t)
			part, pool := "fi", "app"
			if isStream(path) {
				part, pool = eventText(2), "llm"
			}
			var first sync.Once
			respond := func(c *net.TCPConn, unread io.Reader, request string) {
				broken := false
				first.Do(func() { broken = true })
				switch {
				case broken:
					_, _ = io.WriteString(c, signedHead("HTTP/1.1", request, "")+part)
					time.Sleep(60 * time.Millisecond)
					_ = c.SetLinger(0)
				case isStream(path):
					_, _ = io.Copy(io.Discard, unread)
					_, _ = io.WriteString(c, signedHead("HTTP/1.1", request, "")+"id: 3\ndata: piece 3\n\n")
				default:
					_, _ = io.Copy(io.Discard, unread)
					_, _ = io.WriteString(c, signedHead("HTTP/1.1", request, "Content-Length: 4\r\n")+"fine")
				}
			}
			r.addRaw(pool, "x", respond)
			r.addRaw(pool, "y", respond)
			got := r.ask("POST", path, r.uploads(path, 1<<20))
			r.finish()
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			if isStream(path) {
				assert.Equal(t, got.body, eventText(3))
			} else {
				assert.Equal(t, got.body, "fine")
			}
			assert.Equal(t, r.ran("x", "y"), 2)
			failures, _ := w.counts()
			assert.Equal(t, failures, 1)
		})
	}
}

// Guards against taking sound responses to unread uploads for broken ones.
func TestResponseBesideUnreadUploadIsWhole(t *testing.T) {
	closeWrite := func(c *net.TCPConn, unread io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, unread)
	}
	closeWriteAndReset := func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	reset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for name, c := range map[string]struct {
		fields, before, after string
		end                   func(c *net.TCPConn, unread io.Reader)
	}{
		"no length, its side closed":             {"", "", "", closeWrite},
		"no length, its side closed, then reset": {"", "", "", closeWriteAndReset},
		"no length, HTTP/1.1, to be closed":      {"Connection: close\r\n", "", "", closeWrite},
		"a length, then reset":                   {"Content-Length: %d\r\n", "", "", reset},
		"chunks, then reset":                     {"Transfer-Encoding: chunked\r\n", "%x\r\n", "\r\n0\r\n\r\n", reset},
	} {
		for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				if version == "HTTP/1.0" && strings.HasPrefix(name, "chunks") {
					continue
				}
				t.Run(name+", "+path+", "+version, func(t *testing.T) {
					t.Parallel()
					r, w := newObserved(t)
					body, pool := "fine", "app"
					if isStream(path) {
						body, pool = streamBody, "llm"
					}
					r.addRaw(pool, "x", func(conn *net.TCPConn, unread io.Reader, request string) {
						_, _ = io.WriteString(conn, signedHead(version, request, withLength(c.fields, body))+withLength(c.before, body)+body+c.after)
						c.end(conn, unread)
					})
					got := r.ask("POST", path, r.uploads(path, 4<<20))
					r.finish()
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					assert.Equal(t, got.body, body)
					failures, _ := w.counts()
					assert.Equal(t, failures, 0)
				})
			}
		}
	}
}

// withLength fills the length of a body into a text that names one.
func withLength(text, body string) string {
	if strings.Contains(text, "%") {
		return fmt.Sprintf(text, len(body))
	}
	return text
}
