package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sending a request that may run only once over a connection that its back end is
// about to close. With the margin for the announced 2 s, a kept connection has half a second left.
func TestRequestThatMayRunOnceAvoidsExpiringConnection(t *testing.T) {
	serve := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=2")
		good(w, q)
	}
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=2")
		events(w, 1, 1)
	}
	for path, opened := range map[string]uint64{"/safe/1": 1, "/unsafe/1": 3, "/chat/1": 3, "/resumable/1": 1} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			r.add("app", "x", serve)
			r.add("llm", "e", stream)
			for range 3 {
				got := r.ask("POST", path, nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, r.handler.config.Upstream.Opened.Load(), opened)
		})
	}
}
