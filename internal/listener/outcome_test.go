package listener

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// awaitOutcomes waits until requests have ended in the given ways, and in no other.
func (s *service) awaitOutcomes(want map[outcome]int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for o := range outcomes {
			if got := s.guard.outcomes.counts[o].Load(); got != uint64(want[o]) {
				return poll.Continue("%s: %d, want %d", o, got, want[o])
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against requests that end without a trace in metrics and logs.
func TestEachRequestHasOneOutcome(t *testing.T) {
	release := make(chan struct{})
	handler := func(*service) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/abort":
				panic(http.ErrAbortHandler)
			case "/wait":
				<-release
			}
			_, _ = io.WriteString(w, "done")
		}
	}
	s := serveWith(t, 8<<20, Config{}, handler)
	c := s.dial()
	for range 3 {
		status, _ := s.exchange(c, getRequest)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.NilError(t, c.Close())
	s.awaitOutcomes(map[outcome]int{answered: 3})

	status, _ := s.exchange(s.dial(), "no request\r\n\r\n")
	assert.Equal(t, status, http.StatusBadRequest)
	for _, text := range []string{"GET / HTTP/1.1\r\nHo", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c := s.dial()
		_, err := io.WriteString(c, text)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, c.Close())
	}
	aborting := s.dial()
	_, err := io.WriteString(aborting, "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	cut := s.dial()
	_, err = io.WriteString(cut, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.server.Close())
	close(release)
	s.awaitOutcomes(map[outcome]int{answered: 3, rejected: 1, left: 2, aborted: 1, unsent: 1})
	var metrics strings.Builder
	_, _ = s.guard.WriteTo(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), fmt.Sprintf("quinceridge_client_requests_total{outcome=%q} 1\n", unsent)), metrics.String())
}
