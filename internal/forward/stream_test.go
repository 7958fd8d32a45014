package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against cancelling a silent attempt that has no retry.
func TestSilentAttemptContinuesWithoutRetry(t *testing.T) {
	r := newRig(t)
	r.handler.budget = newBudget(BudgetConfig{Window: time.Second}, nil)
	slow := func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(500 * time.Millisecond)
		good(w, q)
	}
	r.add("app", "a", slow)
	r.add("app", "b", slow)
	response := r.ask("GET", "/safe/x", nil)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, r.ran("a", "b"), 1)
}

func TestSilentAttemptIsRetried(t *testing.T) {
	r := newRig(t)
	hanging := make(chan struct{})
	t.Cleanup(func() { close(hanging) })
	var requests atomic.Int32
	firstHangs := func(w http.ResponseWriter, q *http.Request) {
		if requests.Add(1) == 1 {
			<-hanging
		}
		good(w, q)
	}
	r.add("app", "a", firstHangs)
	r.add("app", "b", firstHangs)
	assert.Equal(t, r.ask("GET", "/safe/x", nil).status, http.StatusOK)
	assert.Equal(t, requests.Load(), int32(2))
}

// events writes the events from first to last of a stream.
func events(w http.ResponseWriter, first, last int) {
	w.Header().Set(names.Signature, "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventText(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// breakOff ends a stream within an event.
func breakOff(w http.ResponseWriter, number int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", number)
	_ = http.NewResponseController(w).Flush()
	dropConnection(w, nil)
}

func TestResumedStreamHasEachEventOnce(t *testing.T) {
	r := newRig(t)
	var first sync.Once
	serve := func(w http.ResponseWriter, q *http.Request) {
		from := 0
		_, _ = fmt.Sscan(q.Header.Get(names.LastEvent), &from)
		broken := false
		first.Do(func() { broken = true })
		if broken {
			events(w, 1, 3)
			breakOff(w, 4)
			return
		}
		events(w, from+1, 6)
	}
	r.add("llm", "x", serve)
	r.add("llm", "y", serve)
	got := r.ask("POST", "/resumable/1", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, r.ran("x", "y"), 2)
}

func TestBrokenStreamIsNotEndedCleanly(t *testing.T) {
	r := newRig(t)
	serve := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		breakOff(w, 3)
	}
	r.add("llm", "x", serve)
	r.add("llm", "y", serve)
	got := r.ask("POST", "/chat/1", nil)
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventText(2))
	assert.Equal(t, r.ran("x", "y"), 1)
}

// record collects the messages of a log. It is safe for concurrent use.
type record struct {
	slog.Handler
	mu       sync.Mutex
	messages []string
}

func (r *record) Enabled(context.Context, slog.Level) bool { return true }

func (r *record) Handle(_ context.Context, line slog.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, line.Message)
	return nil
}

func (r *record) await(t *testing.T, message string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !slices.Contains(r.messages, message) {
			return poll.Continue("the log has %q", r.messages)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// An aborted stream must not be logged as the back end's failure if the client or the deadline
// ended it.
func TestAbortedStreamIsLoggedWithCause(t *testing.T) {
	cases := map[string]struct {
		patient time.Duration
		message string
	}{
		"client":   {50 * time.Millisecond, "client disconnected"},
		"deadline": {10 * time.Second, "aborted at the deadline"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			lines := &record{}
			r.handler.config.Logger = slog.New(lines)
			r.add("llm", "x", hangAfterOne)
			ctx, cancel := context.WithTimeout(context.Background(), c.patient)
			defer cancel()
			r.ask("POST", "/chat/1", func(q *http.Request) {
				q.Header.Set(names.Deadline, "300")
				*q = *q.WithContext(ctx)
			})
			lines.await(t, c.message)
		})
	}
}

func hangAfterOne(w http.ResponseWriter, q *http.Request) {
	events(w, 1, 1)
	<-q.Context().Done()
}
