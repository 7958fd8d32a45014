package forward

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/traffic"
)

// largeBody exceeds what is buffered of a response.
var largeBody = bytes.Repeat([]byte("0123456789abcdef"), (maxBufferedBody+1<<20)/16)

// writeLarge responds with size bytes of largeBody.
func writeLarge(status int, length bool, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "seal")
		if length {
			w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
		}
		w.WriteHeader(status)
		_, _ = w.Write(largeBody[:size])
		if size < len(largeBody) {
			panic(http.ErrAbortHandler)
		}
	}
}

// unhurried lets requests of a path take longer, as on a busy machine, without another attempt.
func (r *rig) unhurried(path string) {
	route := r.source.table.Route("h", path)
	route.Timeout, route.Target = 10*time.Second, 0
}

// Guards against forwarding the first 16 MiB of a longer response as a complete one.
func TestLargeResponseIsForwardedWholeOrNotAsComplete(t *testing.T) {
	cases := map[string]struct {
		serve    http.HandlerFunc
		complete bool
		runs     int
	}{
		"with a length":                {writeLarge(http.StatusOK, true, len(largeBody)), true, 1},
		"in chunks":                    {writeLarge(http.StatusOK, false, len(largeBody)), true, 1},
		"client error":                 {writeLarge(http.StatusNotFound, true, len(largeBody)), true, 1},
		"server error":                 {writeLarge(http.StatusInternalServerError, true, len(largeBody)), true, 2},
		"truncated":                    {writeLarge(http.StatusOK, true, maxBufferedBody+5), false, 1},
		"truncated in chunks":          {writeLarge(http.StatusOK, false, maxBufferedBody+1<<19), false, 1},
		"neither a length nor chunked": {endWithConnection(string(largeBody), endClosed), true, 1},
		"neither, reset":               {endWithConnection(string(largeBody), endReset), false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.unhurried("/safe/1")
			r.add("app", "x", c.serve)
			r.add("app", "y", c.serve)
			got := r.ask("GET", "/safe/1", nil)
			if c.complete {
				assert.NilError(t, got.err)
				assert.Equal(t, len(got.body), len(largeBody))
				assert.Equal(t, crc32.ChecksumIEEE([]byte(got.body)), crc32.ChecksumIEEE(largeBody))
			} else {
				assert.Assert(t, got.err != nil || (got.status == http.StatusBadGateway && got.body == ""), "%d with %d bytes", got.status, len(got.body))
			}
			assert.Equal(t, r.ran("x", "y"), c.runs)
		})
	}
}

// A client of HTTP/1.0 takes the end of its connection for the end of a body without a length.
func TestLargeChunkedResponseIsNotForwardedWithoutChunks(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"in chunks":                    writeLarge(http.StatusOK, false, len(largeBody)),
		"neither a length nor chunked": endWithConnection(string(largeBody), endClosed),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.unhurried("/safe/1")
			r.add("app", "x", serve)
			conn, err := net.Dial("tcp", r.router.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /safe/1 HTTP/1.0\r\nHost: h\r\n%s: 1\r\nAuthorization: Bearer ka\r\n\r\n", names.RequestID)
			assert.NilError(t, err)
			all, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(all), "HTTP/1.0 502"), "%.80q", all)
		})
	}
}

// A large failure on a resumable route must not be followed by the events of another attempt.
func TestTruncatedLargeFailureIsNotResumed(t *testing.T) {
	r := newRig(t)
	route := r.source.table.Route("h", "/resumable/1")
	assert.Equal(t, route.Kind, traffic.KindStream)
	r.unhurried("/resumable/1")
	serve := writeLarge(http.StatusNotFound, true, maxBufferedBody)
	r.add("llm", "x", serve)
	r.add("llm", "y", serve)
	got := r.ask("POST", "/resumable/1", nil)
	assert.Assert(t, got.err != nil, "%d with %d bytes", got.status, len(got.body))
	assert.Equal(t, r.ran("x", "y"), 1)
}
