package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that get no answer when the time of their router's stop is over, and against answers which
// say that they have not run.
func TestRequestsAtEndOfStopGetAnswers(t *testing.T) {
	for _, path := range []string{"/app/slots", "/app/charges"} {
		f := newFixture(t)
		runs, release := make(chan struct{}), make(chan struct{})
		f.handle = func(http.ResponseWriter, *http.Request) {
			close(runs)
			<-release
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = f.gateway.Server().Serve(l) }()
		t.Cleanup(func() { _ = f.gateway.Server().Close() })
		t.Cleanup(func() { close(release) })
		request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+path, strings.NewReader("{}"))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer key-a")
		request.Header.Set(headerIdempotencyKey, "k")
		go func() {
			<-runs
			time.Sleep(50 * time.Millisecond)
			f.gateway.EndRequests()
		}()
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err, path)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, path)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, path)
		assert.Equal(t, response.Header.Get(headerOutcome), string(OutcomeUnknown), path)
	}
}
