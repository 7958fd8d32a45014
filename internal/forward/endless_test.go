package forward

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/racedetector"
)

// endlessTimeout is well below the timeout of the routes, at which a response without an end was given up.
const endlessTimeout = 3500 * time.Millisecond

// respondEndlessly responds with a beginning and then without an end, until the router closes the connection.
// Pause is the time between single bytes; 0 for as fast as possible. Ended receives when it has.
func respondEndlessly(beginning, part string, pause time.Duration, ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close(); ended <- struct{}{} }()
		_, _ = fmt.Fprintf(conn, beginning, q.Header.Get(names.RequestID))
		writeEndlessly(conn, part, pause)
	}
}

func writeEndlessly(conn net.Conn, part string, pause time.Duration) {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(pause) {
		text := part
		if pause == 0 {
			text = string(bytes.Repeat([]byte(part), 1+(4<<10)/len(part)))
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

var endlessResponses = map[string]struct{ beginning, part string }{
	"no head":                {"", "x"},
	"lines":                  {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "A: b\r\n"},
	"a line":                 {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nLong: ", "x"},
	"informational":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"answers to others":      {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	"unsigned":               {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x"},
	"unsigned with a length": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	"unsigned in chunks":     {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"failure":                {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\n\r\n", "x"},
	"failure in chunks":      {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"endless extension":      {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
}

// A response without an end must not hold its request until the deadline: one that may run once fails at
// once, and others go to the next back end.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for name, c := range endlessResponses {
		for _, pause := range []time.Duration{0, 200 * time.Millisecond} {
			for path, wanted := range map[string]int{"/unsafe/x": http.StatusBadGateway, "/safe/x": http.StatusOK, "/resumable/x": http.StatusOK} {
				t.Run(fmt.Sprintf("%s, %v, %s", name, pause, path), func(t *testing.T) {
					t.Parallel()
					r := newRig(t)
					for i := range r.source.table.Routes {
						r.source.table.Routes[i].Timeout = 20 * time.Second
					}
					ended, pool := make(chan struct{}, 4), "app"
					var first sync.Once
					serve := func(w http.ResponseWriter, q *http.Request) {
						isFirst := false
						first.Do(func() { isFirst = true })
						switch {
						case isFirst:
							respondEndlessly(replaceIDs(c.beginning), c.part, pause, ended)(w, q)
						case path == "/resumable/x":
							events(w, 1, 3)
						default:
							good(w, q)
						}
					}
					if path == "/resumable/x" {
						pool = "llm"
					}
					r.add(pool, "a", serve)
					r.add(pool, "b", serve)
					started := time.Now()
					got := r.ask("POST", path, nil)
					assert.Equal(t, got.status, wanted)
					assert.Assert(t, time.Since(started) < endlessTimeout, "%v", time.Since(started))
					select {
					case <-ended:
					case <-time.After(5 * time.Second):
						t.Error("the connection is still open")
					}
				})
			}
		}
	}
}

// replaceIDs names the header of the tests' request IDs.
func replaceIDs(beginning string) string {
	return string(bytes.ReplaceAll([]byte(beginning), []byte("Request-Id"), []byte(names.RequestID)))
}

// Many responses without an end at once must take little memory and delay no other request.
func TestManyEndlessResponsesTakeLittleMemory(t *testing.T) {
	const requests = 200
	for _, name := range []string{"a line", "unsigned", "failure"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for i := range r.source.table.Routes {
				r.source.table.Routes[i].Timeout = 20 * time.Second
			}
			ended := make(chan struct{}, requests)
			c := endlessResponses[name]
			r.add("app", "a", respondEndlessly(replaceIDs(c.beginning), c.part, 0, ended))
			r.add("llm", "e", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) })
			runtime.GC()
			var before, most runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range requests {
				group.Go(func() { r.ask("POST", "/unsafe/x", nil) })
			}
			for range 10 {
				started := time.Now()
				assert.Equal(t, r.ask("POST", "/resumable/x", nil).status, http.StatusOK)
				assert.Assert(t, time.Since(started) < endlessTimeout || racedetector.Enabled)
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				most.HeapAlloc = max(most.HeapAlloc, now.HeapAlloc)
			}
			group.Wait()
			grown := int64(most.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, grown < requests<<20, "%d MiB for %d requests", grown>>20, requests)
		})
	}
}
