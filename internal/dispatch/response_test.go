package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against responses that are no HTTP: their engine may have begun to run the request, and nothing of them reaches the
// caller.
func TestMalformedResponseIsNoRefusalAndNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 None\r\n",
		"status 050":          "HTTP/1.1 050 None\r\n",
		"switched protocol":   "HTTP/1.1 101 Switching Protocols\r\n",
		"status 600":          "HTTP/1.1 600 None\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Foo: 1\r\n",
		"blank behind a name": "HTTP/1.1 200 OK\r\nX-Foo : 1\r\n",
		"refusal with both":   "HTTP/1.1 503 Busy\r\nX Foo : 1\r\n",
		"HTTP/2.0":            "HTTP/2.0 200 OK\r\n",
		"coding in HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, _ int64) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, head+"\r\n"+responseStream(r))
				_ = c.Close()
			})
			d, first := newDispatcher(engine)
			sink := &recordingSink{}
			err := d.Run(context.Background(), newJob(), first, sink)
			assert.Assert(t, errors.Is(err, ErrInterrupted), "%v", err)
			assert.Equal(t, len(sink.words), 0)
		})
	}
}
