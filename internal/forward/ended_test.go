package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

// earlyEndLines keeps the lines on answers that ended early. It is safe for concurrent use.
type earlyEndLines struct {
	mu    sync.Mutex
	lines []earlyEndLine
}

type earlyEndLine struct {
	Message string `json:"msg"`
	EndedBy string `json:"ended_by"`
	Cause   string `json:"cause"`
	Further string `json:"further_attempt"`
}

func (l *earlyEndLines) Write(p []byte) (int, error) {
	var line earlyEndLine
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.Message == "answer ended early" {
		l.lines = append(l.lines, line)
	}
	return len(p), nil
}

// await waits for the only line.
func (l *earlyEndLines) await(t *testing.T) earlyEndLine {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.lines) != 1 {
			return poll.Continue("%d lines", len(l.lines))
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
	return l.lines[0]
}

// blockingObserver blocks all requests once blocked is set.
type blockingObserver struct {
	noObserver
	blocked atomic.Bool
}

func (o *blockingObserver) Blocked(d poison.Digest, _ func() []poison.Digest) (state.BlockedRequest, bool) {
	return state.BlockedRequest{Request: d, Backends: []string{"a", "b", "c"}}, o.blocked.Load()
}

// largeEvent is a stream with an event that takes more memory than a stream has in any case.
func largeEvent(w http.ResponseWriter, _ *http.Request) {
	events(w, 1, 1)
	_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", strings.Repeat("x", 512<<10))
}

// Guards against early ends that the log and the counters give a wrong name.
func TestEarlyEndNamesWhatEndedTheAnswer(t *testing.T) {
	cases := map[string]struct {
		path  string
		serve http.HandlerFunc
		// prepare is called before the request, and during once it has an event; nil for nothing.
		prepare, during func(r *rig)
		change          func(q *http.Request)
		wanted          earlyEndLine
	}{
		"client closes": {path: "/chat/1", serve: hangAfterOne, change: func(q *http.Request) {
			ctx, cancel := context.WithCancel(q.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			*q = *q.WithContext(ctx)
		}, wanted: earlyEndLine{EndedBy: "client"}},
		"client's deadline":      {path: "/chat/1", serve: hangAfterOne, change: func(q *http.Request) { q.Header.Set(names.Deadline, "300") }, wanted: earlyEndLine{EndedBy: "deadline"}},
		"route's time-out":       {path: "/chat/1", serve: hangAfterOne, wanted: earlyEndLine{EndedBy: "deadline"}},
		"route's time-out, call": {path: "/unsafe/1", serve: func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }, wanted: earlyEndLine{EndedBy: "deadline"}},
		"back end closes within an event": {path: "/chat/1", serve: func(w http.ResponseWriter, _ *http.Request) {
			events(w, 1, 1)
			breakOff(w, 2)
		}, wanted: earlyEndLine{EndedBy: "back end", Further: notResumable}},
		"back end closes without a response": {path: "/unsafe/1", serve: dropConnection, wanted: earlyEndLine{EndedBy: "back end", Further: runsOnce}},
		"response without a seal":            {path: "/unsafe/1", serve: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, wanted: earlyEndLine{EndedBy: "back end", Further: runsOnce}},
		"stream without an event":            {path: "/chat/1", serve: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names.Signature, "s") }, wanted: earlyEndLine{EndedBy: "back end", Further: runsOnce}},
		"router stops":                       {path: "/chat/1", serve: hangAfterOne, during: func(r *rig) { r.handler.EndRequests() }, wanted: earlyEndLine{EndedBy: "router", Cause: "stopping"}},
		"no memory":                          {path: "/chat/1", serve: largeEvent, prepare: func(r *rig) { r.bound(128 << 10) }, wanted: earlyEndLine{EndedBy: "router", Cause: "memory", Further: notResumable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, lines := newRig(t), &earlyEndLines{}
			r.handler.config.Logger = slog.New(slog.NewJSONHandler(lines, nil))
			if c.prepare != nil {
				c.prepare(r)
			}
			serve := c.serve
			if c.during != nil {
				serve = func(w http.ResponseWriter, q *http.Request) {
					// The event has been forwarded by then.
					time.AfterFunc(200*time.Millisecond, func() { c.during(r) })
					c.serve(w, q)
				}
			}
			for _, pool := range []string{"app", "llm"} {
				r.add(pool, "at "+pool, serve)
			}
			r.ask("POST", c.path, c.change)
			got := lines.await(t)
			c.wanted.Message = got.Message
			assert.Equal(t, got, c.wanted)
		})
	}
}

// Guards against a stream that is blocked when it has to go on, and whose end is neither logged nor counted.
func TestEarlyEndOfBlockedStreamIsRecorded(t *testing.T) {
	r, lines, observer := newRig(t), &earlyEndLines{}, &blockingObserver{}
	r.handler.config.Logger = slog.New(slog.NewJSONHandler(lines, nil))
	r.handler.config.Observer = observer
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		observer.blocked.Store(true)
		breakOff(w, 3)
	})
	got := r.ask("POST", "/resumable/1", nil)
	assert.Assert(t, got.err != nil)
	line := lines.await(t)
	assert.Equal(t, line, earlyEndLine{Message: line.Message, EndedBy: "back end", Further: errBlocked.Error()})
}
