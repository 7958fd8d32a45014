package control

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Guards against taking a response that is no HTTP for an engine's reply to an order.
func TestMalformedReplyToOrderIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		failed bool
	}{
		"sound":               {"HTTP/1.1 200 OK\r\n", false},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX Foo: 1\r\n", true},
		"blank behind a name": {"HTTP/1.1 200 OK\r\nX-Foo : 1\r\n", true},
		"HTTP/2.0":            {"HTTP/2.0 200 OK\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			const reply = `{"accepted":true}`
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", c.head, len(reply))
					_, _ = io.WriteString(conn, reply)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			got, err := newOrderTracker().send(t.Context(), strings.TrimPrefix(server.URL, "http://"), engineapi.Order{})
			assert.Equal(t, err != nil, c.failed, "%v", err)
			assert.Equal(t, got.Accepted, !c.failed)
		})
	}
}
