package listener

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a truncated response that looks complete to a client of HTTP/1.0, for which the end of the connection is
// that of the response.
func TestTruncatedResponseWithoutFramingEndsWithReset(t *testing.T) {
	for _, size := range []int{1, 100 << 10} {
		for _, truncated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, %t", size, truncated), func(t *testing.T) {
				s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
					return func(w http.ResponseWriter, _ *http.Request) {
						_, _ = io.WriteString(w, strings.Repeat("x", size))
						_ = http.NewResponseController(w).Flush()
						if truncated {
							panic(http.ErrAbortHandler)
						}
					}
				})
				for range 20 {
					c := s.dial()
					_, err := io.WriteString(c, strings.Replace(getRequest, "HTTP/1.1", "HTTP/1.0", 1))
					assert.NilError(t, err)
					text, err := io.ReadAll(c)
					assert.Equal(t, errors.Is(err, syscall.ECONNRESET), truncated, "%v", err)
					assert.Equal(t, err == nil, !truncated, "%v", err)
					_, body, _ := strings.Cut(string(text), "\r\n\r\n")
					assert.Equal(t, len(body), size)
				}
			})
		}
	}
}

// A truncated response in chunks ends without its last one, and is not reset.
func TestTruncatedResponseInChunksEndsWithoutReset(t *testing.T) {
	s := serveWith(t, 8<<20, Config{}, func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	c := s.dial()
	_, err := io.WriteString(c, getRequest)
	assert.NilError(t, err)
	text, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(text), "4\r\npart\r\n"), "%q", text)
}
