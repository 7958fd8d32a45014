package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/relay"
)

// Guards against a refusal that says that a request has not run while a further attempt runs it: the other router beside
// which that attempt began declines.
func TestFurtherAttemptIsAwaitedWhenRelayDeclines(t *testing.T) {
	begun := make(chan struct{})
	r, choice := newQueueRig(t, func(w http.ResponseWriter, q *http.Request) {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		oneEvent(w, q)
	})
	var answers atomic.Bool
	rooms := standaloneRig(t, oneEvent).handler.config.Queue
	r.handler.config.Queue = rooms
	r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) { return choice, answers.Load(), answers.Load() }}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		answers.Store(true)
		<-begun
		answers.Store(false)
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		w.Header().Set(relay.HeaderDeclined, relay.DeclinedShare)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(other.CloseClientConnections)
	r.setRelays(strings.TrimPrefix(other.URL, "http://"))
	got := r.ask("POST", "/resumable/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, r.ran("e"), 1)
}
