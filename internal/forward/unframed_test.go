package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/reachability"
)

// connectionEnd is how a back end ends the connection of a response that has neither a length nor chunks.
type connectionEnd int

const (
	endClosed connectionEnd = iota
	endReset
)

// endWithConnection responds with a body that has neither a length nor chunks.
func endWithConnection(body string, end connectionEnd) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n%s", names.RequestID, q.Header.Get(names.RequestID), names.Signature, body)
		if end == endReset {
			// The data must arrive before the reset.
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

var streamBody = eventText(3)

func isStream(path string) bool {
	return strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/resumable")
}

// finish waits until all requests have ended and all probes of their back ends are done.
func (r *rig) finish() {
	r.router.Close()
	r.handler.Wait()
}

// counts returns how many failures and successes were reported.
func (w *observer) counts() (failures, successes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen), len(w.answered)
}

// A response that ends with its connection is complete if that is closed. It must count as one.
func TestResponseThatEndsWithItsConnectionIsComplete(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(path+" "+version, func(t *testing.T) {
				r, w := newObserved(t)
				body, pool := "fine", "app"
				if isStream(path) {
					body, pool = streamBody, "llm"
				}
				r.add(pool, "x", endWithConnection(body, endClosed))
				for range 3 {
					conn, err := net.Dial("tcp", r.router.Listener.Addr().String())
					assert.NilError(t, err)
					_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nConnection: close\r\n%s: 1\r\nAuthorization: Bearer ka\r\n%s: system:10,own:3\r\nContent-Length: 4\r\n\r\nbody",
						path, version, names.RequestID, names.Prefix)
					assert.NilError(t, err)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					assert.NilError(t, err)
					got, err := io.ReadAll(response.Body)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, string(got), body)
					_ = conn.Close()
				}
				assert.Equal(t, r.ran("x"), 3)
				r.finish()
				failures, successes := w.counts()
				assert.Equal(t, failures, 0)
				assert.Equal(t, successes, 3)
				if isStream(path) {
					assert.DeepEqual(t, w.parts, []poison.Digest{poison.PartDigest("", "system")})
				}
			})
		}
	}
}

// A connection that is reset, or a stream that ends within an event, is a failure, which is sent to
// another back end where that is allowed.
func TestResponseThatBreaksOffWithItsConnectionIsAFailure(t *testing.T) {
	for _, c := range []struct {
		path, body string
		end        connectionEnd
		retried    bool
	}{
		{"/safe/1", "fi", endReset, true},
		{"/unsafe/1", "fi", endReset, false},
		{"/chat/1", eventText(2), endReset, false},
		{"/chat/1", eventText(2) + "id: 3\nda", endClosed, false},
		{"/resumable/1", eventText(2), endReset, true},
		{"/resumable/1", eventText(2) + "id: 3\ndata: piece 3\n", endClosed, true},
	} {
		t.Run(fmt.Sprintf("%s %d %q", c.path, c.end, c.body), func(t *testing.T) {
			r, w := newObserved(t)
			pool, rest := "app", good
			if isStream(c.path) {
				pool, rest = "llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 3, 3) }
			}
			var begun atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if begun.Swap(true) {
					rest(w, q)
					return
				}
				endWithConnection(c.body, c.end)(w, q)
			}
			r.unhurried(c.path)
			r.add(pool, "x", serve)
			r.add(pool, "y", serve)
			got := r.ask("POST", c.path, nil)
			r.finish()
			if c.retried {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, r.ran("x", "y"), 2)
			} else {
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%+v", got)
				assert.Equal(t, r.ran("x", "y"), 1)
			}
			failures, _ := w.counts()
			assert.Equal(t, failures, 1)
		})
	}
}

// A back end that crashes closes its connections as well, so that a stream may look complete. Such an
// answer must not show that the request or its parts are harmless.
func TestResponseOfBackendThatEndedIsAFailure(t *testing.T) {
	r, w := newObserved(t)
	r.add("llm", "x", func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		for _, s := range r.servers {
			_ = s.Listener.Close()
		}
		r.mu.Unlock()
		endWithConnection(eventText(2), endClosed)(w, q)
	})
	r.ask("POST", "/chat/1", setPrompt("bad:10,own:3"))
	seen := w.await(t, 1)
	assert.Assert(t, seen[0].Down)
	assert.DeepEqual(t, seen[0].Parts, []poison.Digest{poison.PartDigest("", "bad")})
	_, successes := w.counts()
	assert.Equal(t, successes, 0)
}

// While the path to the pool is lost, whether the back end has ended is not known.
func TestResponseThatEndsWithItsConnectionIsNoFailureOverLostPath(t *testing.T) {
	r, w := newObserved(t)
	r.handler.config.Paths = reachability.NewDetector()
	r.add("app", "x", func(response http.ResponseWriter, q *http.Request) {
		r.losePath("app")
		endWithConnection("fine", endClosed)(response, q)
	})
	assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, http.StatusOK)
	r.finish()
	failures, _ := w.counts()
	assert.Equal(t, failures, 0)
}

func TestResponseThatEndsWithItsConnectionIsPassedOnWhole(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			cut, other := newRig(t), newRelayRig(t)
			cut.losePath("app", "llm")
			cut.setRelays(other.address())
			body := "fine"
			if isStream(path) {
				body = streamBody
			}
			other.add("app", "a", endWithConnection(body, endClosed))
			other.add("llm", "e", endWithConnection(body, endClosed))
			got := cut.ask("POST", path, nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, body)
		})
	}
}

// On a kept connection the response after one with a length may end with the connection.
func TestResponseMayEndWithKeptConnection(t *testing.T) {
	r := newRig(t)
	calls := 0
	r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
		if calls++; calls%2 == 1 {
			good(w, q)
			return
		}
		endWithConnection("fine", endClosed)(w, q)
	})
	for range 6 {
		got := r.ask("POST", "/unsafe/1", nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "fine")
	}
	assert.Equal(t, r.ran("x"), 6)
}

// Responses that end with their connections must not make a back end look worse than others.
func TestBackendWhoseResponsesEndWithTheirConnectionsIsUsed(t *testing.T) {
	r := newRig(t)
	r.add("app", "x", endWithConnection("fine", endClosed))
	r.add("app", "y", good)
	for range 40 {
		assert.Equal(t, r.ask("POST", "/unsafe/1", nil).status, http.StatusOK)
	}
	assert.Assert(t, r.ran("x") >= 8 && r.ran("y") >= 8, "%d and %d of 40 requests", r.ran("x"), r.ran("y"))
}

// Guards against ending a response that has neither a length nor chunks while its back end is silent, and
// against forwarding a part of it as complete.
func TestUnframedResponseSurvivesSilence(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newStreamRig(t)
			r.unhurried(path)
			body, pool := "fine", "app"
			if isStream(path) {
				body, pool = streamBody, "llm"
			}
			begun := make(chan struct{}, 1)
			r.add(pool, "x", func(w http.ResponseWriter, q *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				half := len(body) / 2
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n%s", names.RequestID, q.Header.Get(names.RequestID), names.Signature, body[:half])
				begun <- struct{}{}
				time.Sleep(silence)
				_, _ = io.WriteString(conn, body[half:])
			})
			answered := r.askInBackground(path)
			<-begun
			r.list([]string{"x"}, []string{"x"})
			got := <-answered
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, body)
			assert.Equal(t, r.ran("x"), 1)
		})
	}
}
