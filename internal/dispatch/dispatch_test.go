package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/scheduling"
)

const answerLength = 6

// fakeEngine is an HTTP server whose handler for completions is set by each test.
type fakeEngine struct {
	server   *httptest.Server
	requests atomic.Int64
	cancels  atomic.Int64
	// handle serves a completion. Requests are numbered from 1.
	handle func(w http.ResponseWriter, r *http.Request, number int64)
	mu     sync.Mutex
	bodies []string
}

func newFakeEngine(t *testing.T, handle func(w http.ResponseWriter, r *http.Request, number int64)) *fakeEngine {
	e := &fakeEngine{handle: handle}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathCancel {
			e.cancels.Add(1)
			return
		}
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		e.handle(w, r, e.requests.Add(1))
	}))
	t.Cleanup(e.server.Close)
	return e
}

func eventText(id string, index int) string {
	chunk := engineapi.Chunk{ID: id, Choices: []engineapi.Choice{{Text: fmt.Sprintf("w%d ", index)}}}
	if index == answerLength {
		reason := "length"
		chunk.Choices[0] = engineapi.Choice{FinishReason: &reason}
	}
	data, _ := json.Marshal(chunk)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", index, data)
}

// responseStream returns the complete stream for a request, from its resume index.
func responseStream(r *http.Request) string {
	from, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeIndex))
	var out strings.Builder
	for i := from; i <= answerLength; i++ {
		out.WriteString(eventText(r.Header.Get(engineapi.HeaderRequestID), i))
	}
	return out.String() + "data: " + engineapi.Done + "\n\n"
}

func serveAnswer(w http.ResponseWriter, r *http.Request, _ int64) {
	_, _ = io.WriteString(w, responseStream(r))
}

// resetAfter sends the first n bytes of the stream and resets the connection.
func resetAfter(w http.ResponseWriter, r *http.Request, n int) {
	text := responseStream(r)
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, text[:min(n, len(text))])
	_ = http.NewResponseController(w).Flush()
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

type recordingSink struct {
	words  []string
	tokens []Token
	ended  bool
	fail   error
}

func (c *recordingSink) Chunk(token Token, _ string, chunk *engineapi.Chunk) error {
	if c.fail != nil {
		return c.fail
	}
	c.tokens = append(c.tokens, token)
	if chunk.Choices[0].FinishReason != nil {
		c.ended = true
		return nil
	}
	c.words = append(c.words, strings.TrimSpace(chunk.Choices[0].Text))
	return nil
}

func (c *recordingSink) assertComplete(t *testing.T) {
	t.Helper()
	assert.DeepEqual(t, c.words, []string{"w0", "w1", "w2", "w3", "w4", "w5"})
	assert.Assert(t, c.ended)
}

// newDispatcher returns a dispatcher for the engines and a decision for the first of them.
func newDispatcher(engines ...*fakeEngine) (*Dispatcher, scheduling.Decision) {
	started := time.Now()
	pool := membership.NewPool(func(string) float64 { return 1000 })
	var machines []controlapi.Machine
	for i, e := range engines {
		machines = append(machines, controlapi.Machine{ID: fmt.Sprintf("engine-%d", i), Role: controlapi.RoleEngine,
			Address: strings.TrimPrefix(e.server.URL, "http://"), Incarnation: "one", Model: "m", WeightsVersion: 1, DecodeSlots: 8})
	}
	pool.SetMachines(machines)
	policy := scheduling.NewLeastLoad(0)
	d := New(Config{Pool: pool, Policy: func(string) scheduling.Policy { return policy },
		Now: func() time.Duration { return time.Since(started) }, Logger: slog.New(slog.DiscardHandler), Backoff: 100 * time.Microsecond})
	return d, scheduling.Decision{Endpoint: scheduling.Endpoint{ID: "engine-0", Incarnation: "one"}}
}

func newJob() *Job {
	return &Job{ID: "request", Path: engineapi.PathCompletions, Body: map[string]json.RawMessage{"prompt": json.RawMessage(`"p"`)},
		Place: scheduling.Request{Model: "m", Tenant: "t"}, Continuation: true}
}

func TestRunCompletesAnswerAfterResetAtAnyByte(t *testing.T) {
	sample := httptest.NewRequest(http.MethodPost, "/", nil)
	sample.Header.Set(engineapi.HeaderRequestID, "request")
	// The reset may arrive before the headers; then the request runs on the other engine.
	other := newFakeEngine(t, serveAnswer)
	for n := range len(responseStream(sample)) {
		engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
			if number == 1 {
				resetAfter(w, r, n)
				return
			}
			serveAnswer(w, r, number)
		})
		d, first := newDispatcher(engine, other)
		sink := &recordingSink{}
		assert.NilError(t, d.Run(context.Background(), newJob(), first, sink), "cut after byte %d", n)
		sink.assertComplete(t)
		engine.server.Close()
	}
}

func TestRunContinuesOnAnotherEngineWhenRequestIsLost(t *testing.T) {
	lost := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			resetAfter(w, r, len(eventText("request", 0))*2)
			return
		}
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	})
	other := newFakeEngine(t, serveAnswer)
	d, first := newDispatcher(lost, other)
	sink := &recordingSink{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertComplete(t)
	assert.Assert(t, strings.Contains(other.bodies[0], `"continuation":"w0 w1 "`), other.bodies[0])
}

func TestRunReturnsErrInterruptedWhenContinuationIsNotAllowed(t *testing.T) {
	lost := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			resetAfter(w, r, len(eventText("request", 0))*2)
			return
		}
		w.WriteHeader(http.StatusGone)
	})
	other := newFakeEngine(t, serveAnswer)
	d, first := newDispatcher(lost, other)
	job := newJob()
	job.Continuation = false
	err := d.Run(context.Background(), job, first, &recordingSink{})
	assert.Assert(t, errors.Is(err, ErrInterrupted), "%v", err)
	assert.Equal(t, other.requests.Load(), int64(0))
}

func TestRunRetriesRefusedRequestOnAnotherEngine(t *testing.T) {
	refusing := newFakeEngine(t, func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"type":"incarnation_mismatch","message":"this is incarnation two"}}`)
	})
	other := newFakeEngine(t, serveAnswer)
	d, first := newDispatcher(refusing, other)
	sink := &recordingSink{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertComplete(t)
	// The replaced incarnation is not used until control reports the new one.
	assert.Equal(t, len(d.config.Pool.Snapshot(0).Endpoints), 1)
}

func TestRunReturnsErrNotRunOnlyWhenNoEngineBegan(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"type":"queue_full"}}`)
	}
	d, first := newDispatcher(newFakeEngine(t, refuse))
	err := d.Run(context.Background(), newJob(), first, &recordingSink{})
	assert.Assert(t, errors.Is(err, ErrNotRun), "%v", err)

	// An engine that accepts the request and then fails may have begun to run it.
	begin := func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			resetAfter(w, r, 0)
			return
		}
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	}
	d, first = newDispatcher(newFakeEngine(t, begin))
	err = d.Run(context.Background(), newJob(), first, &recordingSink{})
	assert.Assert(t, errors.Is(err, ErrInterrupted), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotRun))
}

func TestRunDropsForeignDuplicateAndOutOfOrderEvents(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		switch number {
		case 1:
			_, _ = io.WriteString(w, eventText("request", 0)+eventText("another", 1))
		case 2: // a duplicate and a skipped index
			_, _ = io.WriteString(w, eventText("request", 0)+eventText("request", 1)+eventText("request", 1)+eventText("request", 3))
		default:
			serveAnswer(w, r, number)
		}
	})
	d, first := newDispatcher(engine)
	sink := &recordingSink{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertComplete(t)
}

func TestRunDoesNotRetryWhenSinkFails(t *testing.T) {
	engine := newFakeEngine(t, serveAnswer)
	d, first := newDispatcher(engine, newFakeEngine(t, serveAnswer))
	err := d.Run(context.Background(), newJob(), first, &recordingSink{fail: errors.New("gone")})
	assert.ErrorContains(t, err, "gone")
	assert.Equal(t, engine.requests.Load(), int64(1))
}

func TestResumeContinuesAtTokenIndex(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		assert.Check(t, r.Header.Get(engineapi.HeaderResumeOnly) == "true")
		serveAnswer(w, r, number)
	})
	d, _ := newDispatcher(engine)
	job := newJob()
	job.Resume = &Token{Engine: "engine-0", Incarnation: "one", Request: "request", Next: 4}
	sink := &recordingSink{}
	assert.NilError(t, d.Resume(context.Background(), job, sink))
	assert.DeepEqual(t, sink.words, []string{"w4", "w5"})
}

func TestResumeReturnsErrNotHeldWhenRequestIsLost(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	})
	d, _ := newDispatcher(engine)
	job := newJob()
	job.Resume = &Token{Engine: "engine-0", Incarnation: "one", Request: "request", Next: 4}
	assert.ErrorIs(t, d.Resume(context.Background(), job, &recordingSink{}), ErrNotHeld)
}

// A resumed answer must go on at the start of an engine that began it, so that two builds of an engine
// never meet in it.
func TestResumeGoesToStartThatBeganStream(t *testing.T) {
	other := newFakeEngine(t, serveAnswer)
	restarted := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, _ int64) {
		assert.Check(t, r.Header.Get(engineapi.HeaderIncarnation) == "before")
		assert.Check(t, r.Header.Get(engineapi.HeaderResumeOnly) == "true")
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(w, `{"error":{"type":%q}}`, engineapi.KindIncarnation)
	})
	d, _ := newDispatcher(restarted, other)
	job := newJob()
	job.Resume = &Token{Engine: "engine-0", Incarnation: "before", Request: "request", Next: 4}
	assert.ErrorIs(t, d.Resume(context.Background(), job, &recordingSink{}), ErrNotHeld)
	assert.Equal(t, restarted.requests.Load(), int64(1))
	assert.Equal(t, other.requests.Load(), int64(0))
}

func FuzzParseToken(f *testing.F) {
	f.Add(Token{Engine: "e", Incarnation: "i", Request: "r", Next: 3}.String())
	f.Add("")
	f.Add("!!!")
	f.Add("eyJlIjoiZSJ9")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := ParseToken(text)
		if err != nil {
			return
		}
		again, err := ParseToken(token.String())
		assert.NilError(t, err)
		assert.Equal(t, again, token)
	})
}
