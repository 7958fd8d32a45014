package inventory

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against machines from a list whose response is no HTTP.
func TestMalformedListIsNotUsed(t *testing.T) {
	for head, machines := range map[string]int{
		"HTTP/1.1 200 OK\r\n":                    1,
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n":        0,
		"HTTP/1.1 200 OK\r\nX-Foo : 1\r\n":       0,
		"HTTP/1.1 000 None\r\n":                  0,
		"HTTP/2.0 200 OK\r\n":                    0,
		"HTTP/1.1 200 OK\r\nContent-Type :a\r\n": 0,
	} {
		const list = `{"machines":[{"id":"a","role":"engine","address":"127.0.0.1:1"}]}`
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, len(list))
				_, _ = io.WriteString(conn, list)
				_ = conn.Close()
			}
		}))
		i := New(Config{Platform: strings.TrimPrefix(server.URL, "http://")})
		i.pollList(t.Context())
		assert.Equal(t, len(i.machines), machines, "%q", head)
		server.Close()
	}
}
