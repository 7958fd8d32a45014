package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

// bound gives the rig's router a memory budget and the listener that a process uses.
func (r *rig) bound(limit int64) *memory.Budget {
	budget := memory.NewBudget(limit)
	r.handler.config.Memory = budget
	r.handler.config.Upstream.SetMemory(budget)
	r.router.Close()
	r.router = httptest.NewUnstartedServer(r.handler)
	guard := listener.NewGuard(budget, slog.New(slog.DiscardHandler))
	guard.Bind(r.router.Config, listener.HandlerCountsBodies)
	r.router.Listener = r.handler.Listener(guard.Listen(r.router.Listener, listener.Config{Name: "test"}))
	r.router.Start()
	r.t.Cleanup(func() {
		r.router.CloseClientConnections()
		r.router.Close()
	})
	return budget
}

// send opens a connection to the router and writes a request whose response is not read.
func (r *rig) send(method, path, headers, body string) net.Conn {
	conn, err := net.Dial("tcp", r.router.Listener.Addr().String())
	assert.NilError(r.t, err)
	// Less of what the router sends is kept here.
	assert.NilError(r.t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\n%s: id\r\nAuthorization: Bearer ka\r\n%s\r\n%s", method, path, names.RequestID, headers, body)
	assert.NilError(r.t, err)
	return conn
}

// addSmall adds a back end whose system keeps little of what the router does not read.
func (r *rig) addSmall(pool, id string, serve http.HandlerFunc) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		serve(w, q)
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
		return ctx
	}
	server.Start()
	r.t.Cleanup(server.CloseClientConnections)
	r.openRow(id, pool, server.Listener.Addr().String())
}

// allow sets the time limit of the route of a path, and the size of bodies.
func (r *rig) allow(path string, timeout time.Duration) {
	r.source.table.Route("h", path).Timeout = timeout
	r.source.table.Limits.MaxBodyBytes = 64 << 20
}

func await(t *testing.T, limit time.Duration, what string, is func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if is() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(5*time.Millisecond))
}

// endless returns a handler that writes events of 1 KB until the router closes the connection, and
// counts their bytes.
func endless(written *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) { writeEndless(w, q, written) }
}

func writeEndless(w http.ResponseWriter, q *http.Request, written *atomic.Int64) {
	w.Header().Set(names.Signature, "seal")
	data := strings.Repeat("x", 1000)
	for i := 1; q.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			return
		}
		written.Add(int64(len(data)))
	}
}

// trickle writes few bytes until a channel is closed, so that the stream neither stalls nor ends.
func trickle(w http.ResponseWriter, q *http.Request, until <-chan struct{}) {
	w.Header().Set(names.Signature, "seal")
	for {
		_, _ = io.WriteString(w, "data: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-until:
			return
		case <-q.Context().Done():
			return
		case <-time.After(trickleInterval):
		}
	}
}

const (
	// trickleInterval keeps the bytes of a stream within the buffers on its way while others are opened.
	trickleInterval = 200 * time.Millisecond
	stalledReaders  = 1000
	pauseStreams    = 20
	eventInterval   = 20 * time.Millisecond
	// maxAddedPause is by how much stalled readers may lengthen the p99 pause of other streams.
	maxAddedPause = 20 * time.Millisecond
	// routerMemory is a usual memory limit of a router.
	routerMemory = 112 << 20
	// maxWaiting bounds what back ends can write for a client that reads nothing: buffers of the
	// router, of its sockets, and of the sockets of this test.
	maxWaiting = 384 << 10
)

// steady writes an event at each interval.
func steady(count int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		ticker := time.NewTicker(eventInterval)
		defer ticker.Stop()
		w.Header().Set(names.Signature, "seal")
		for i := range count {
			<-ticker.C
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// pauses reads streams and returns the 99th percentile of the time between their events. Once all have
// begun it calls begun, if that is not nil, and ignores the events that arrive before it returns.
func (r *rig) pauses(events int, begun func()) time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var group, beginning sync.WaitGroup
	beginning.Add(pauseStreams)
	var measures atomic.Bool
	go func() {
		if beginning.Wait(); begun != nil {
			begun()
		}
		measures.Store(true)
	}()
	for range pauseStreams {
		group.Go(func() {
			conn := r.send("POST", "/chat/steady", fmt.Sprintf("X-Events: %d\r\nContent-Length: 4\r\n", events), "body")
			defer conn.Close()
			var mine []time.Duration
			var last time.Time
			count := 0
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			beginning.Done()
			if !assert.Check(r.t, err) || !assert.Check(r.t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode) {
				return
			}
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if !strings.HasPrefix(lines.Text(), "id:") {
					continue
				}
				count++
				now := time.Now()
				if !last.IsZero() && measures.Load() {
					mine = append(mine, now.Sub(last))
				}
				last = now
			}
			assert.Check(r.t, count == events, "%d events", count)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	group.Wait()
	slices.Sort(all)
	assert.Assert(r.t, len(all) > 0)
	return all[len(all)*99/100]
}

// streamBegins reports whether a new stream is served.
func (r *rig) streamBegins() bool {
	conn := r.send("POST", "/chat/steady", "X-Events: 1\r\nContent-Length: 4\r\n", "body")
	defer conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// Guards against slow readers that delay others' streams or take the router's memory. The measurement
// goes on while they are disconnected; the others, before and after it, are the reference. Other work
// on the machine lengthens pauses too, so that it is repeated up to twice.
func TestStalledReadersDoNotDelayOthers(t *testing.T) {
	for round := 1; ; round++ {
		without, with := stalledReaderPauses(t)
		t.Logf("p99 pause %v without and %v with %d stalled readers", without, with, stalledReaders)
		if with <= without+maxAddedPause {
			return
		}
		assert.Assert(t, round < 3, "p99 pause %v without and %v with stalled readers", without, with)
	}
}

// stalledReaderPauses returns the p99 pause of streams without and with stalled readers.
func stalledReaderPauses(t *testing.T) (without, with time.Duration) {
	r := newRig(t)
	budget := r.bound(routerMemory / 2)
	r.allow("/chat/x", time.Minute)
	var written atomic.Int64
	opened := make(chan struct{})
	r.addSmall("llm", "e", func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/chat/stalled" {
			trickle(w, q, opened)
			writeEndless(w, q, &written)
			return
		}
		count := 0
		_, _ = fmt.Sscan(q.Header.Get("X-Events"), &count)
		steady(count)(w, q)
	})
	without = r.pauses(150, nil)
	// They are opened in steps: many at once exceed the timeout of connections on a busy machine. None
	// stalls before, since the first ones would be disconnected while the last ones are opened.
	await(t, 20*time.Second, "some readers have no stream", func() bool {
		missing := stalledReaders - r.handler.metrics.inFlight.Load()
		for range min(missing, 50) {
			r.send("POST", "/chat/stalled", "Content-Length: 4\r\n", "body")
		}
		time.Sleep(20 * time.Millisecond)
		return missing <= 0
	})
	var further sync.WaitGroup
	with = r.pauses(450, func() {
		close(opened)
		assert.Check(t, budget.Used() < budget.Limit(), "%d of %d", budget.Used(), budget.Limit())
		time.Sleep(time.Second)
		perReader := written.Load() / stalledReaders
		t.Logf("back ends wrote %d bytes for each", perReader)
		assert.Check(t, perReader <= maxWaiting)
		further.Go(func() {
			begun := time.Now()
			await(t, 20*time.Second, "no further stream begins", r.streamBegins)
			t.Logf("a further stream began after %v", time.Since(begun))
		})
	})
	further.Wait()
	await(t, 20*time.Second, "readers are connected", func() bool { return r.handler.metrics.inFlight.Load() == 0 })
	without = max(without, r.pauses(100, nil))
	assert.Assert(t, r.handler.metrics.stalledClients.Load() >= stalledReaders)
	var text bytes.Buffer
	_, _ = r.handler.WriteTo(&text)
	assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("quinceridge_stalled_clients_total %d\n", r.handler.metrics.stalledClients.Load())))
	await(t, 10*time.Second, "memory is in use", func() bool { return budget.Used() < 1<<20 })
	return without, with
}

// Guards against disconnecting a client that reads, but slowly.
func TestSlowReaderIsNotDisconnected(t *testing.T) {
	r := newRig(t)
	r.bound(routerMemory)
	r.handler.clientStall = 500 * time.Millisecond
	r.allow("/chat/x", time.Minute)
	r.addSmall("llm", "e", endless(new(atomic.Int64)))
	conn := r.send("POST", "/chat/1", "Content-Length: 4\r\n", "body")
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(256<<10))
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		_, err := io.ReadFull(conn, make([]byte, 64<<10))
		assert.NilError(t, err)
	}
	assert.Equal(t, r.handler.metrics.stalledClients.Load(), uint64(0))
	assert.Equal(t, r.handler.metrics.inFlight.Load(), int64(1))
}

// failures is an Observer that records failed attempts.
type failures struct {
	noObserver
	count atomic.Int32
}

func (f *failures) RecordFailure(poison.FailedAttempt) { f.count.Add(1) }

// A client that reads nothing is no failure of the back end: the stream is not resumed elsewhere, and
// nothing is recorded against the back end or the request.
func TestStalledReaderIsNotFailureOfBackend(t *testing.T) {
	for _, path := range []string{"/chat/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			r, lines, observer := newRig(t), &record{}, &failures{}
			r.handler.config.Logger = slog.New(lines)
			r.handler.config.Observer = observer
			r.bound(routerMemory)
			// It exceeds the time without events after which a stream is resumed elsewhere.
			r.handler.clientStall = minStall + 500*time.Millisecond
			r.allow(path, time.Minute)
			var requests atomic.Int32
			serve := func(w http.ResponseWriter, q *http.Request) {
				requests.Add(1)
				writeEndless(w, q, new(atomic.Int64))
			}
			r.addSmall("llm", "x", serve)
			r.addSmall("llm", "y", serve)
			r.send("POST", path, "Content-Length: 4\r\n", "body")
			lines.await(t, "client disconnected: "+stalledReason(r.handler.clientStall))
			lines.await(t, "client disconnected")
			await(t, 5*time.Second, "the request is in progress", func() bool { return r.handler.metrics.inFlight.Load() == 0 })
			r.handler.Wait()
			assert.Equal(t, requests.Load(), int32(1))
			assert.Equal(t, r.handler.metrics.stalledClients.Load(), uint64(1))
			assert.Equal(t, r.handler.metrics.failedAttempts.Load(), uint64(0))
			assert.Equal(t, observer.count.Load(), int32(0))
		})
	}
}

// Guards against resuming a stream elsewhere because its client did not read for a while.
func TestStreamContinuesAfterClientPaused(t *testing.T) {
	r := newRig(t)
	r.bound(routerMemory)
	r.allow("/resumable/1", time.Minute)
	var requests atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		writeEndless(w, q, new(atomic.Int64))
	}
	r.addSmall("llm", "x", serve)
	r.addSmall("llm", "y", serve)
	conn := r.send("POST", "/resumable/1", "Content-Length: 4\r\n", "body")
	time.Sleep(minStall + 500*time.Millisecond)
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(256<<10))
	_, err := io.CopyN(io.Discard, conn, 4<<20)
	assert.NilError(t, err)
	assert.Equal(t, requests.Load(), int32(1))
}

// Guards against a response that was read whole and waits for its client without end.
func TestStalledReaderOfBufferedResponseIsDisconnected(t *testing.T) {
	r, lines := newRig(t), &record{}
	r.handler.config.Logger = slog.New(lines)
	budget := r.bound(routerMemory)
	r.handler.clientStall = 500 * time.Millisecond
	r.add("app", "x", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "seal")
		_, _ = w.Write(largeBody[:8<<20])
	})
	r.send("GET", "/safe/1", "", "")
	lines.await(t, "client disconnected: "+stalledReason(r.handler.clientStall))
	await(t, 5*time.Second, "memory is in use", func() bool { return budget.Used() < 1<<20 })
}

// Guards against bodies that together exceed the memory of the process: a request that finds none is
// refused, and the refusal says that it has not run.
func TestBodiesBeyondMemoryAreRefused(t *testing.T) {
	r := newRig(t)
	budget := r.bound(2 << 20)
	r.allow("/unsafe/1", 5*time.Second)
	release := make(chan struct{})
	r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Wait") != "" {
			<-release
		}
		good(w, q)
	})
	body := strings.Repeat("x", 800<<10)
	results := make(chan result, 2)
	for range 2 {
		go func() {
			results <- r.ask("POST", "/unsafe/1", func(q *http.Request) {
				q.Header.Set("X-Wait", "1")
				q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			})
		}()
	}
	await(t, 5*time.Second, "requests have not arrived", func() bool { return r.ran("x") == 2 })
	for name, length := range map[string]int64{"with a length": int64(len(body)), "in chunks": -1} {
		got := r.ask("POST", "/unsafe/1", func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), length
		})
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, got.header.Get("Retry-After") != "", name)
	}
	assert.Equal(t, r.ran("x"), 2)
	assert.Equal(t, r.handler.metrics.refusedMemory.Load(), uint64(2))
	got := r.ask("GET", "/safe/1", func(q *http.Request) { q.Body, q.ContentLength = nil, 0 })
	assert.Equal(t, got.status, http.StatusOK)
	// A body that never fits is not to be sent again.
	got = r.ask("POST", "/unsafe/1", func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 3<<20))), 3<<20
	})
	assert.Assert(t, got.err != nil || got.status == http.StatusRequestEntityTooLarge, "%d", got.status)
	close(release)
	for range 2 {
		assert.Equal(t, (<-results).status, http.StatusOK)
	}
	await(t, 5*time.Second, "memory is in use", func() bool { return budget.Used() < 200<<10 })
	got = r.ask("POST", "/unsafe/1", func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), -1
	})
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against buffering responses beyond the memory of the process: they are forwarded while they
// arrive.
func TestResponsesBeyondMemoryAreStreamed(t *testing.T) {
	r := newRig(t)
	budget := r.bound(1 << 20)
	most := int64(0)
	body := largeBody[:4<<20]
	r.unhurried("/safe/1")
	for _, length := range []bool{true, false} {
		r.add("app", "x", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(names.Signature, "seal")
			if length {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			for part := range slices.Chunk(body, 64<<10) {
				_, _ = w.Write(part)
				most = max(most, budget.Used())
			}
		})
		got := r.ask("GET", "/safe/1", nil)
		assert.NilError(t, got.err)
		assert.Assert(t, got.status == http.StatusOK && got.body == string(body), "%d with %d bytes", got.status, len(got.body))
		r.closeBackends()
	}
	assert.Assert(t, most <= budget.Limit(), "%d bytes", most)
}

// Guards against a client that keeps memory and a connection by sending its body slowly or not at
// all.
func TestBodyThatDoesNotArriveIsRefused(t *testing.T) {
	r := newRig(t)
	budget := r.bound(1 << 20)
	r.source.table.Limits.MaxBodyBytes = 1 << 20
	r.add("app", "x", good)
	conn := r.send("POST", "/unsafe/1", "Content-Length: 300000\r\n", strings.Repeat("x", 2*trustedBuffer))
	await(t, time.Second, "no memory is in use", func() bool { return budget.Used() > 300000 })
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, r.ran("x"), 0)
	await(t, time.Second, "memory is in use", func() bool { return budget.Used() < 100<<10 })
}

// Guards against asking a client to repeat a body for which there is never room.
func TestBodyThatNeverFitsIsTooLarge(t *testing.T) {
	r := newRig(t)
	r.bound(2 << 20)
	r.allow("/unsafe/1", time.Second)
	r.add("app", "x", good)
	length := (2<<20)*7/8 - 1000
	got := r.ask("POST", "/unsafe/1", func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", length))), int64(length)
	})
	assert.Assert(t, got.err != nil || got.status == http.StatusRequestEntityTooLarge, "%d", got.status)
}

// Guards against memory that a client takes by announcing a body.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	r := newRig(t)
	budget := r.bound(1 << 20)
	r.source.table.Limits.MaxBodyBytes = 1 << 20
	var conns []net.Conn
	for range 5 {
		conns = append(conns, r.send("POST", "/unsafe/1", "Content-Length: 700000\r\n", "the beginning"))
	}
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	}
	assert.Equal(t, r.handler.metrics.refusedMemory.Load(), uint64(0))
	assert.Assert(t, budget.Used() < 500<<10)
}

// unreadBody accepts connections and reads nothing of the bodies.
func (r *rig) unreadBody(pool, id string, arrived *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.t.Cleanup(func() { _ = conn.Close() })
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			arrived.Add(1)
		}
	}()
	r.pool.Apply([]state.Backend{{ID: id, Pool: pool, Address: listener.Addr().String(), Zone: "a"}}, nil, false)
}

// A request that a back end stops reading goes to another one, but not if it may run only once: a
// back end may start to run it before it has read the whole body.
func TestUnreadRequestGoesToAnotherBackend(t *testing.T) {
	body := strings.Repeat("x", 12<<20)
	send := func(r *rig, path string) result {
		return r.ask("POST", path, func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		})
	}
	t.Run("another one", func(t *testing.T) {
		r := newRig(t)
		r.allow("/safe/1", 10*time.Second)
		var arrived atomic.Int32
		r.unreadBody("app", "stopped", &arrived)
		var length atomic.Int64
		r.add("app", "x", func(w http.ResponseWriter, q *http.Request) {
			length.Store(q.ContentLength)
			good(w, q)
		})
		for i := int32(1); arrived.Load() == 0 && i <= 30; i++ {
			got := send(r, "/safe/1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, r.ran("x"), int(i))
		}
		assert.Equal(t, arrived.Load(), int32(1))
		assert.Equal(t, length.Load(), int64(len(body)))
		assert.Equal(t, r.handler.metrics.unreadBodies.Load(), uint64(1))
	})
	t.Run("no other one", func(t *testing.T) {
		r := newRig(t)
		r.allow("/safe/1", 10*time.Second)
		r.unreadBody("app", "stopped", new(atomic.Int32))
		got := send(r, "/safe/1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	})
	t.Run("may run only once", func(t *testing.T) {
		r := newRig(t)
		r.allow("/unsafe/1", 3*time.Second)
		var arrived atomic.Int32
		for _, id := range []string{"x", "y"} {
			r.unreadBody("app", id, &arrived)
		}
		got := send(r, "/unsafe/1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Equal(t, arrived.Load(), int32(1))
	})
	t.Run("may run only once, silent for a while", func(t *testing.T) {
		r := newRig(t)
		r.allow("/unsafe/1", 10*time.Second)
		var ran atomic.Int32
		r.addSmall("app", "x", func(w http.ResponseWriter, q *http.Request) {
			time.Sleep(2600 * time.Millisecond)
			length, err := io.Copy(io.Discard, q.Body)
			assert.Check(t, err)
			assert.Check(t, length == int64(len(body)), "%d bytes", length)
			ran.Add(1)
			good(w, q)
		})
		got := send(r, "/unsafe/1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, ran.Load(), int32(1))
	})
	t.Run("connection closed", func(t *testing.T) {
		// Its response may have been lost with the connection.
		r := newRig(t)
		r.allow("/unsafe/1", 10*time.Second)
		var arrived atomic.Int32
		for _, id := range []string{"x", "y"} {
			r.addSmall("app", id, func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				dropConnection(w, nil)
			})
		}
		assert.Equal(t, send(r, "/unsafe/1").status, http.StatusBadGateway)
		assert.Equal(t, arrived.Load(), int32(1))
	})
}
