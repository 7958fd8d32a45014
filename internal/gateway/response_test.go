package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeRaw responds with a text as it is, and ends the connection with it or resets it.
func writeRaw(text string, reset bool) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		if reset {
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// Guards against passing on what is no response of a worker, or a part of one: the call's outcome is unknown, and it is not
// run again under its key.
func TestBrokenResponseOfWorkerIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"status 000":              {"HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbad!", false},
		"status 050":              {"HTTP/1.1 050 None\r\nContent-Length: 4\r\n\r\nbad!", false},
		"switched protocol":       {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		"status 600":              {"HTTP/1.1 600 None\r\nContent-Length: 4\r\n\r\nbad!", false},
		"blank in a name":         {"HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 4\r\n\r\nbad!", false},
		"blank behind a name":     {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbad!", false},
		"blank behind the coding": {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbad!\r\n0\r\n\r\n", false},
		"control byte in a name":  {"HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\nContent-Length: 4\r\n\r\nbad!", false},
		"coding in HTTP/1.0":      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad!\r\n0\r\n\r\n", false},
		"HTTP/2.0":                {"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbad!", false},
		"blank in a trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad!\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"short":                   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbad!", false},
		"reset":                   {"HTTP/1.1 200 OK\r\n\r\nbad!", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.handle = writeRaw(c.text, c.reset)
			w := f.call("/app/slots", `{}`)
			assert.Equal(t, w.Code, http.StatusBadGateway)
			for range 2 {
				w := f.callUntilFinished("/app/charges", `{}`)
				assert.Equal(t, w.Code, http.StatusBadGateway, w.Body.String())
				assert.Equal(t, w.Header().Get(headerOutcome), string(OutcomeUnknown))
			}
			assert.Equal(t, f.runs.Load(), int64(2))
		})
	}
}

// A worker that answers a call before it has read it may reset the connection while the rest is being written.
func TestResetDuringCallIsNoEndOfResponse(t *testing.T) {
	f := newFixture(t)
	f.gateway.config.MaxBody = 8 << 20
	f.handle = writeRaw("HTTP/1.1 200 OK\r\n\r\nfi", true)
	for range 10 {
		w := f.call("/app/slots", strings.Repeat("x", 4<<20))
		assert.Equal(t, w.Code, http.StatusBadGateway, w.Body.String())
	}
}

// Guards against refusing sound responses of workers.
func TestUnusualResponseOfWorkerIsPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
		"no length":         "HTTP/1.1 200 OK\r\n\r\nfine",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\nfine",
		"bytes over 0x7f":   "HTTP/1.1 200 OK\r\nX-Foo: \xe4\r\nContent-Length: 4\r\n\r\nfine",
		"trailers":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Sum: 1\r\n\r\n",
		"unnamed status":    "HTTP/1.1 299 Odd\r\nContent-Length: 4\r\n\r\nfine",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.handle = writeRaw(text, false)
			w := f.call("/app/slots", `{}`)
			assert.Equal(t, w.Code/100, 2)
			assert.Equal(t, w.Body.String(), "fine")
		})
	}
}

// Guards against passing on the first part of a long response as the whole.
func TestTooLongResponseOfWorkerIsNotPassedOn(t *testing.T) {
	for size, wanted := range map[int]int{maxResponse: http.StatusOK, maxResponse + 1: http.StatusBadGateway} {
		f := newFixture(t)
		f.handle = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}
		w := f.call("/app/slots", `{}`)
		assert.Equal(t, w.Code, wanted)
		if wanted == http.StatusOK {
			assert.Equal(t, w.Body.Len(), size)
		}
	}
}
