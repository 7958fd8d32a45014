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

// fakeEngine answers with the words w0 to w5, and breaks as its script says.
type fakeEngine struct {
	server   *httptest.Server
	requests atomic.Int64
	cancels  atomic.Int64
	// handle is called for each completion.
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

// wholeAnswer is the bytes of a stream from an index on.
func wholeAnswer(r *http.Request) string {
	from, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeIndex))
	var out strings.Builder
	for i := from; i <= answerLength; i++ {
		out.WriteString(eventText(r.Header.Get(engineapi.HeaderRequestID), i))
	}
	return out.String() + "data: " + engineapi.Done + "\n\n"
}

func answer(w http.ResponseWriter, r *http.Request, _ int64) {
	_, _ = io.WriteString(w, wholeAnswer(r))
}

// cutAfter sends the first n bytes of the answer and resets the connection.
func cutAfter(w http.ResponseWriter, r *http.Request, n int) {
	text := wholeAnswer(r)
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

type collected struct {
	words  []string
	tokens []Token
	ended  bool
	fail   error
}

func (c *collected) Chunk(token Token, _ string, chunk *engineapi.Chunk) error {
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

func (c *collected) assertWhole(t *testing.T) {
	t.Helper()
	assert.DeepEqual(t, c.words, []string{"w0", "w1", "w2", "w3", "w4", "w5"})
	assert.Assert(t, c.ended)
}

// newDispatcher returns a dispatcher over the engines, in the order of their
// list, and the decision for the first.
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

func TestAnswerSurvivesAResetAtEveryByte(t *testing.T) {
	sample := httptest.NewRequest(http.MethodPost, "/", nil)
	sample.Header.Set(engineapi.HeaderRequestID, "request")
	// The reset may overtake the headers; then the other engine answers.
	other := newFakeEngine(t, answer)
	for n := range len(wholeAnswer(sample)) {
		engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
			if number == 1 {
				cutAfter(w, r, n)
				return
			}
			answer(w, r, number)
		})
		d, first := newDispatcher(engine, other)
		sink := &collected{}
		assert.NilError(t, d.Run(context.Background(), newJob(), first, sink), "cut after byte %d", n)
		sink.assertWhole(t)
		engine.server.Close()
	}
}

func TestAnotherEngineContinuesAfterALoss(t *testing.T) {
	lost := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			cutAfter(w, r, len(eventText("request", 0))*2)
			return
		}
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	})
	other := newFakeEngine(t, answer)
	d, first := newDispatcher(lost, other)
	sink := &collected{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertWhole(t)
	assert.Assert(t, strings.Contains(other.bodies[0], `"continuation":"w0 w1 "`), other.bodies[0])
}

func TestCutIsExplicitWhenTheModelMayNotContinue(t *testing.T) {
	lost := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			cutAfter(w, r, len(eventText("request", 0))*2)
			return
		}
		w.WriteHeader(http.StatusGone)
	})
	other := newFakeEngine(t, answer)
	d, first := newDispatcher(lost, other)
	job := newJob()
	job.Continuation = false
	err := d.Run(context.Background(), job, first, &collected{})
	assert.Assert(t, errors.Is(err, ErrInterrupted), "%v", err)
	assert.Equal(t, other.requests.Load(), int64(0))
}

func TestRefusalIsPlacedAgain(t *testing.T) {
	refusing := newFakeEngine(t, func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"type":"incarnation_mismatch","message":"this is incarnation two"}}`)
	})
	other := newFakeEngine(t, answer)
	d, first := newDispatcher(refusing, other)
	sink := &collected{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertWhole(t)
	// The replaced incarnation is not used again until control tells the new one.
	assert.Equal(t, len(d.config.Pool.Snapshot(0).Endpoints), 1)
}

func TestNotRunIsSaidOnlyWhenNoEngineBegan(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"type":"queue_full"}}`)
	}
	d, first := newDispatcher(newFakeEngine(t, refuse))
	err := d.Run(context.Background(), newJob(), first, &collected{})
	assert.Assert(t, errors.Is(err, ErrNotRun), "%v", err)

	// An engine that accepts and then dies may have worked on the request.
	begin := func(w http.ResponseWriter, r *http.Request, number int64) {
		if number == 1 {
			cutAfter(w, r, 0)
			return
		}
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	}
	d, first = newDispatcher(newFakeEngine(t, begin))
	err = d.Run(context.Background(), newJob(), first, &collected{})
	assert.Assert(t, errors.Is(err, ErrInterrupted), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotRun))
}

func TestForeignAndLateEventsNeverReachTheCaller(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		switch number {
		case 1:
			_, _ = io.WriteString(w, eventText("request", 0)+eventText("another", 1))
		case 2: // doubled and out of order
			_, _ = io.WriteString(w, eventText("request", 0)+eventText("request", 1)+eventText("request", 1)+eventText("request", 3))
		default:
			answer(w, r, number)
		}
	})
	d, first := newDispatcher(engine)
	sink := &collected{}
	assert.NilError(t, d.Run(context.Background(), newJob(), first, sink))
	sink.assertWhole(t)
}

func TestCallerErrorEndsTheJob(t *testing.T) {
	engine := newFakeEngine(t, answer)
	d, first := newDispatcher(engine, newFakeEngine(t, answer))
	err := d.Run(context.Background(), newJob(), first, &collected{fail: errors.New("gone")})
	assert.ErrorContains(t, err, "gone")
	assert.Equal(t, engine.requests.Load(), int64(1))
}

func TestResumeGoesOnWhereTheTokenSays(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request, number int64) {
		assert.Check(t, r.Header.Get(engineapi.HeaderResumeOnly) == "true")
		answer(w, r, number)
	})
	d, _ := newDispatcher(engine)
	job := newJob()
	job.Resume = &Token{Engine: "engine-0", Incarnation: "one", Request: "request", Next: 4}
	sink := &collected{}
	assert.NilError(t, d.Resume(context.Background(), job, sink))
	assert.DeepEqual(t, sink.words, []string{"w4", "w5"})
}

func TestResumeOfALostAnswerIsExplicit(t *testing.T) {
	engine := newFakeEngine(t, func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"error":{"type":"request_not_held"}}`)
	})
	d, _ := newDispatcher(engine)
	job := newJob()
	job.Resume = &Token{Engine: "engine-0", Incarnation: "one", Request: "request", Next: 4}
	assert.ErrorIs(t, d.Resume(context.Background(), job, &collected{}), ErrNotHeld)
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
