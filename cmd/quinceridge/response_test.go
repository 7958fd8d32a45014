package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against printing a coordinator's response that is no HTTP.
func TestMalformedResponseOfCoordinatorIsAnError(t *testing.T) {
	for head, failed := range map[string]bool{"HTTP/1.1 200 OK\r\n": false, "HTTP/1.1 200 OK\r\nX Foo: 1\r\n": true, "HTTP/2.0 200 OK\r\n": true} {
		const body = `{"a":1}`
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, len(body))
				_, _ = io.WriteString(conn, body)
				_ = conn.Close()
			}
		}))
		into := map[string]int{}
		err := fetch(strings.TrimPrefix(server.URL, "http://"), "/", 5*time.Second, &into)
		assert.Equal(t, err != nil, failed, "%q: %v", head, err)
		server.Close()
	}
}
