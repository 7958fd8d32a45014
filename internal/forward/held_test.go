package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/reachability"
)

// heldSilence is a silence that a client survives. It exceeds the time after which another back end is
// looked for.
const heldSilence = 2600 * time.Millisecond

// addSilent adds a back end that reads nothing of its first request for a while, and then serves it. Its
// system takes little and acknowledges no more meanwhile.
func (r *rig) addSilent(pool, id string, silence time.Duration, serve http.HandlerFunc) (arrived, ran *atomic.Int32) {
	address, arrived, ran := r.startSilent(silence, serve)
	r.openRow(id, pool, address)
	return arrived, ran
}

// startSilent starts a server as addSilent does.
func (r *rig) startSilent(silence time.Duration, serve http.HandlerFunc) (address string, arrived, ran *atomic.Int32) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
	}}
	listener, err := small.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	arrived, ran = new(atomic.Int32), new(atomic.Int32)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		ran.Add(1)
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		serve(w, q)
	})}
	r.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(&silentListener{Listener: listener, silence: silence, arrived: arrived}) }()
	return listener.Addr().String(), arrived, ran
}

// silentListener accepts connections whose first read takes a while.
type silentListener struct {
	net.Listener
	silence time.Duration
	arrived *atomic.Int32
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.arrived.Add(1)
	return &silentConn{Conn: conn, until: time.Now().Add(l.silence)}, nil
}

type silentConn struct {
	net.Conn
	until time.Time
}

func (c *silentConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Read(p)
}

// Sizes of bodies: one that is awaited while the response is, and one that is written at once.
const (
	largeSize = 1 << 20
	smallSize = 4000
)

// post sends a request with a body of a size.
func (r *rig) post(path string, size int) result {
	return r.ask("POST", path, func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
	})
}

// Guards against giving up a request that may run more than once while its back end reads or
// acknowledges nothing and nobody else has room.
func TestRepeatableRequestOutlastsSilenceWithoutRoomElsewhere(t *testing.T) {
	t.Parallel()
	paths := map[string]struct {
		path, pool string
		serve      http.HandlerFunc
	}{
		"call":   {"/safe/1", "app", good},
		"stream": {"/resumable/1", "llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 6) }},
	}
	// The functions return the number of runs at the other back end.
	none := func() int { return 0 }
	elsewhere := map[string]func(r *rig, pool string, serve http.HandlerFunc) (runs func() int){
		"no other back end": func(*rig, string, http.HandlerFunc) func() int { return none },
		"others reject": func(r *rig, pool string, _ http.HandlerFunc) func() int {
			r.add(pool, "other", reject)
			return none
		},
		"others are silent": func(r *rig, pool string, serve http.HandlerFunc) func() int {
			_, ran := r.addSilent(pool, "other", heldSilence+time.Second, serve)
			return func() int { return int(ran.Load()) }
		},
		"no retry is left": func(r *rig, _ string, _ http.HandlerFunc) func() int {
			r.handler.budget = newBudget(BudgetConfig{Window: time.Minute}, nil)
			return none
		},
	}
	for kind, p := range paths {
		for what, size := range map[string]int{"unread": largeSize, "unacknowledged": smallSize} {
			for place, prepare := range elsewhere {
				for attempts := 1; attempts <= 2; attempts++ {
					t.Run(kind+"/"+what+"/"+place+"/"+string(rune('0'+attempts)), func(t *testing.T) {
						t.Parallel()
						r := newStreamRig(t)
						r.allow(p.path, 10*time.Second)
						r.source.table.Route("h", p.path).MaxAttempts = attempts
						arrived, ran := r.addSilent(p.pool, "silent", heldSilence, p.serve)
						otherRuns := prepare(r, p.pool, p.serve)
						got := r.post(p.path, size)
						assert.NilError(t, got.err)
						assert.Equal(t, got.status, http.StatusOK)
						assert.Assert(t, ran.Load() <= arrived.Load())
						assert.Assert(t, int(ran.Load())+otherRuns() <= attempts)
					})
				}
			}
		}
	}
}

// Guards against a request that stays at a back end which reads nothing although another one has room,
// and against a second run of one whose route allows one attempt.
func TestUnreadRequestMovesOnceAnotherBackendHasRoom(t *testing.T) {
	t.Parallel()
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(string(rune('0'+attempts)), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.allow("/safe/1", 10*time.Second)
			route := r.source.table.Route("h", "/safe/1")
			route.MaxAttempts, route.Target = attempts, 0
			arrived, ran := r.addSilent("app", "silent", time.Minute, good)
			r.add("app", "other", good)
			for i := 0; arrived.Load() == 0 && i < 30; i++ {
				got := r.post("/safe/1", largeSize)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, arrived.Load(), int32(1))
			assert.Equal(t, ran.Load(), int32(0))
		})
	}
}

// Guards against giving up a request that was passed on while the other router is silent.
func TestPassedOnRequestOutlastsSilenceOfRouter(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/1", "/unsafe/1"} {
		for what, size := range map[string]int{"unread": largeSize, "unacknowledged": smallSize} {
			t.Run(path+" "+what, func(t *testing.T) {
				t.Parallel()
				r := newRig(t)
				r.allow(path, 10*time.Second)
				address, _, ran := r.startSilent(heldSilence, good)
				r.add("app", "x", good)
				r.losePath("app")
				r.setRelays(address)
				got := r.post(path, size)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, ran.Load(), int32(1))
				assert.Equal(t, r.ran("x"), 0)
			})
		}
	}
}

// Guards against two runs of a request whose route allows one attempt, when its back end reads on as
// another one is sent it.
func TestBackendReadsOnAsUnreadRequestMoves(t *testing.T) {
	t.Parallel()
	for delay := time.Duration(0); delay < 800*time.Millisecond; delay += 40 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.allow("/safe/1", 10*time.Second)
			route := r.source.table.Route("h", "/safe/1")
			route.MaxAttempts, route.Target = 1, 0
			slow := func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(100 * time.Millisecond)
				good(w, q)
			}
			arrived, ran := r.addSilent("app", "silent", 1900*time.Millisecond+delay, slow)
			r.add("app", "other", slow)
			requests := 0
			for ; arrived.Load() == 0 && requests < 30; requests++ {
				got := r.post("/safe/1", largeSize)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, int(ran.Load())+r.ran("other"), requests)
		})
	}
}

// abortAfter reads the whole request and breaks the connection off after a time.
func abortAfter(wait time.Duration, runs *atomic.Int32) http.HandlerFunc {
	return func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		runs.Add(1)
		time.Sleep(wait)
		panic(http.ErrAbortHandler)
	}
}

// Guards against more runs of a request than its route allows, at the back end that has not read it, after
// others have broken it off.
func TestUnreadRequestDoesNotRunAfterItsAttemptsAreSpent(t *testing.T) {
	t.Parallel()
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(string(rune('0'+attempts)), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.allow("/safe/1", 10*time.Second)
			route := r.source.table.Route("h", "/safe/1")
			route.MaxAttempts, route.Target = attempts, 0
			_, ran := r.addSilent("app", "silent", 3400*time.Millisecond, good)
			var others atomic.Int32
			time.AfterFunc(time.Second, func() {
				for _, id := range []string{"x", "y", "z"} {
					r.add("app", id, abortAfter(300*time.Millisecond, &others))
				}
			})
			got := r.post("/safe/1", largeSize)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			time.Sleep(2 * time.Second)
			assert.Equal(t, int(ran.Load()+others.Load()), attempts)
		})
	}
}

// Guards against two runs of a request whose route allows one attempt, when its back end reads on as it is
// passed on to another router.
func TestUnreadRequestIsNotPassedOnBesideItsBackend(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.allow("/safe/1", 10*time.Second)
	route := r.source.table.Route("h", "/safe/1")
	route.MaxAttempts, route.Target = 1, 0
	_, ran := r.addSilent("app", "silent", heldSilence, good)
	address, _, passedOn := r.startSilent(0, func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		good(w, q)
	})
	r.handler.config.Paths = reachability.NewDetector()
	r.setRelays(address)
	time.AfterFunc(time.Second, func() { r.losePath("app") })
	got := r.post("/safe/1", largeSize)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	time.Sleep(2 * time.Second)
	assert.Equal(t, ran.Load()+passedOn.Load(), int32(1))
}

// Guards against two runs beside each other where the route allows one, when the second back end reads
// nothing either.
func TestSecondUnreadAttemptHasOneSuccessor(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		t.Run(string(rune('0'+i)), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.allow("/safe/1", 10*time.Second)
			route := r.source.table.Route("h", "/safe/1")
			route.MaxAttempts, route.Target = 1, 0
			r.addSilent("app", "first", time.Minute, good)
			r.addSilent("app", "second", time.Minute, good)
			time.AfterFunc(3200*time.Millisecond, func() {
				for _, id := range []string{"x", "y", "z"} {
					r.add("app", id, func(w http.ResponseWriter, q *http.Request) {
						time.Sleep(500 * time.Millisecond)
						good(w, q)
					})
				}
			})
			got := r.post("/safe/1", largeSize)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			time.Sleep(time.Second)
			assert.Equal(t, r.ran("x", "y", "z"), 1)
		})
	}
}

// Guards against cutting a stream whose back end begins to respond before it has read the request, while a
// further attempt holds its writer back.
func TestEarlyResponseToUnreadRequestIsWhole(t *testing.T) {
	t.Parallel()
	r := newStreamRig(t)
	r.allow("/resumable/1", 10*time.Second)
	route := r.source.table.Route("h", "/resumable/1")
	route.MaxAttempts, route.Target = 1, 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(1)
		request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err != nil {
			return
		}
		time.Sleep(heldSilence)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, request.Header.Get(names.RequestID), names.Signature, len(eventText(6)), eventText(3))
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(conn, eventText(6)[len(eventText(3)):])
		time.Sleep(time.Second)
	}()
	r.openRow("early", "llm", listener.Addr().String())
	time.AfterFunc(time.Second, func() { r.add("llm", "other", hang) })
	got := r.post("/resumable/1", 12<<20)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, r.ran("other"), 1)
}

// Guards against a refusal that states that a request has not run, after a further attempt through another
// router that may have run it.
func TestRefusalOfOtherRouterIsNotForwardedAfterRunElsewhere(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.allow("/safe/1", 10*time.Second)
	refused, _, _ := r.startSilent(0, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	brokenOff, _, ran := r.startSilent(0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	r.losePath("app")
	r.setRelays(refused, brokenOff)
	got := r.post("/safe/1", smallSize)
	assert.NilError(t, got.err)
	assert.Equal(t, ran.Load(), int32(1))
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// Guards against a refusal that states that a request has not run, at a deadline at which a further attempt may
// be running it.
func TestRequestThatRunsElsewhereAtDeadlineIsNotRefused(t *testing.T) {
	t.Parallel()
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(string(rune('0'+attempts)), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.allow("/safe/1", 4*time.Second)
			route := r.source.table.Route("h", "/safe/1")
			route.MaxAttempts, route.Target = attempts, 0
			r.addSilent("app", "silent", time.Minute, good)
			time.AfterFunc(time.Second, func() { r.add("app", "other", hang) })
			got := r.post("/safe/1", largeSize)
			assert.NilError(t, got.err)
			assert.Equal(t, r.ran("other"), 1)
			assert.Equal(t, got.status, http.StatusGatewayTimeout)
		})
	}
}
