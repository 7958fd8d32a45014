// Package engine is the stand-in for an inference engine. It serves the
// published protocol over the service-time model of package enginemodel, so
// that time to first token follows from batching and caching.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/standin"
)

// JournalName is the file of admissions and cache events in the data folder.
const JournalName = "engine.jsonl"

// Times of the stand-in.
const (
	// detachGrace is how long a request goes on after its connection is lost.
	detachGrace = 3 * time.Second
	// heldAfter is how long a finished answer can be resumed.
	heldAfter = 10 * time.Second
	// keepalive is the time between comments while a request waits.
	keepalive = time.Second
	// reapInterval is how often lost and old requests are looked for.
	reapInterval = 500 * time.Millisecond
)

// Config says how the stand-in behaves.
type Config struct {
	ID             string
	Listen         string
	Folder         string
	Model          string
	WeightsVersion int
	Service        enginemodel.Config
	// ReportLag is how old the status is that is given out.
	ReportLag time.Duration
	// EventLag and EventLoss say how late cache events come, and what share of
	// them never does.
	EventLag  time.Duration
	EventLoss float64
	// WeightStore and KVStore are addresses; empty means none.
	WeightStore string
	KVStore     string
}

// Engine is the running stand-in. Lock order: mu only.
type Engine struct {
	config      Config
	incarnation string
	journal     *standin.Journal
	started     time.Time
	wake        chan struct{}

	mu       sync.Mutex
	model    *enginemodel.Engine
	held     map[string]*held
	weights  int
	name     string // the loaded model
	draining bool
	fence    engineapi.Fence
	reports  []reported
	events   eventLog
}

// reported is a status and when it was true.
type reported struct {
	at     time.Time
	status engineapi.Status
}

// held is a request that the engine knows.
type held struct {
	id       string
	tenant   string
	prompt   uint64 // standin.PromptDigest of the prompt
	tokens   int    // length of the prompt
	first    int    // index of the first token generated here
	total    int    // tokens of the whole answer
	ready    int    // tokens up to this index are ready
	cached   int
	done     bool
	canceled bool
	attached int
	since    time.Time // when it was detached or finished
	changed  chan struct{}
}

// New opens the journal and draws a new incarnation.
func New(config Config) (*Engine, error) {
	journal, err := standin.OpenJournal(config.Folder, JournalName)
	if err != nil {
		return nil, err
	}
	var name [6]byte
	if _, err := rand.Read(name[:]); err != nil {
		return nil, err
	}
	e := &Engine{config: config, incarnation: hex.EncodeToString(name[:]), journal: journal, started: time.Now(),
		wake: make(chan struct{}, 1), model: enginemodel.New(config.Service), held: map[string]*held{},
		weights: config.WeightsVersion, name: config.Model}
	e.journal.Write(Record{At: time.Now().UnixMicro(), Kind: RecordStart, Engine: config.ID, Incarnation: e.incarnation})
	return e, nil
}

// Run serves until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	go e.work(ctx)
	go e.reap(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.complete)
	mux.HandleFunc("POST "+engineapi.PathChatCompletions, e.complete)
	mux.HandleFunc("GET "+engineapi.PathStatus, e.status)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc("POST "+engineapi.PathOrders, e.order)
	mux.HandleFunc("POST "+engineapi.PathCancel, e.cancel)
	return standin.Serve(ctx, e.config.Listen, mux)
}

func (e *Engine) now() time.Duration { return time.Since(e.started) }

// work runs the model's steps in real time.
func (e *Engine) work(ctx context.Context) {
	timer := time.NewTimer(math.MaxInt64)
	for {
		next := e.step()
		pause := time.Duration(math.MaxInt64)
		if next > 0 {
			pause = max(0, next-e.now())
		}
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step runs one step of the model and hands out what it brought.
func (e *Engine) step() (next time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.model.Step(e.now())
	for _, token := range out.Tokens {
		e.deliver(token)
	}
	for _, admitted := range out.Admitted {
		e.admitted(admitted)
	}
	e.publish(out.Events)
	return out.Next
}

func (e *Engine) deliver(token enginemodel.Token) {
	h := e.held[token.ID]
	if h == nil {
		return
	}
	h.ready = token.Index + 1
	if token.Last {
		h.done = true
		h.since = time.Now()
	}
	h.change()
}

func (e *Engine) admitted(a enginemodel.Admitted) {
	h := e.held[a.Request.ID]
	if h == nil {
		return
	}
	h.cached = a.CachedTokens
	e.journal.Write(Record{At: time.Now().UnixMicro(), Kind: RecordAdmit, Engine: e.config.ID, Incarnation: e.incarnation,
		Request: h.id, Tenant: h.tenant, Prompt: a.Request.PromptTokens, Cached: a.CachedTokens, Chain: a.Request.Chain})
}

// change wakes all who wait for the request. The caller holds the lock.
func (h *held) change() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// reap drops requests that nobody has come back for, and old answers.
func (e *Engine) reap(ctx context.Context) {
	periodic.Run(ctx, reapInterval, func(context.Context) { e.reapOnce(time.Now()) })
}

func (e *Engine) reapOnce(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, h := range e.held {
		switch {
		case h.attached > 0:
		case h.done && now.Sub(h.since) > heldAfter:
			delete(e.held, id)
		case !h.done && now.Sub(h.since) > detachGrace:
			e.drop(h)
		}
	}
}

// drop cancels a request. The caller holds the lock.
func (e *Engine) drop(h *held) {
	e.model.Cancel(h.id)
	delete(e.held, h.id)
	h.canceled = true
	h.change()
	e.journal.Write(Record{At: time.Now().UnixMicro(), Kind: RecordCancel, Engine: e.config.ID, Incarnation: e.incarnation, Request: h.id})
}

// report remembers the status of now, and returns the newest one that is as
// old as the report lag. The caller holds the lock.
func (e *Engine) report(now time.Time) engineapi.Status {
	load := e.model.Load()
	e.reports = append(e.reports, reported{at: now, status: engineapi.Status{
		ID: e.config.ID, Incarnation: e.incarnation, Model: e.name, WeightsVersion: e.weights, Draining: e.draining,
		Running: load.Running, Waiting: load.Waiting, PrefillTokens: load.PrefillTokens, DecodeSlots: e.config.Service.DecodeSlots,
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].status
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := e.report(time.Now())
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, status)
}

// lost tells whether a cache event is among those that never come.
func (e *Engine) lost() bool { return mathrand.Float64() < e.config.EventLoss }
