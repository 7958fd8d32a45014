// Package engine is the stand-in for an inference engine. It serves the engine protocol with the
// service times of package enginemodel, so that time to first token depends on batching and caching.
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

// JournalName is the file name of the journal of admissions and cache events.
const JournalName = "engine.jsonl"

// Timeouts and intervals of the stand-in.
const (
	// detachGrace is the time after which a request without a connection is canceled.
	detachGrace = 3 * time.Second
	// resumeWindow is the time for which a finished answer can be resumed.
	resumeWindow = 10 * time.Second
	// keepaliveInterval is the interval of SSE comments while a stream has no tokens to send.
	keepaliveInterval = time.Second
	// reapInterval is the interval of checks for expired requests.
	reapInterval = 500 * time.Millisecond
)

// Config configures the stand-in.
type Config struct {
	ID             string
	Listen         string
	Folder         string
	Model          string
	WeightsVersion int
	Service        enginemodel.Config
	// ReportLag is the minimum age of a reported status, once one is that old.
	ReportLag time.Duration
	// EventLag is the delay of cache events; EventLoss is the fraction of them that is dropped.
	EventLag  time.Duration
	EventLoss float64
	// WeightStore and KVStore are the addresses of the stores; empty means none.
	WeightStore string
	KVStore     string
}

// Engine is the stand-in's server.
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
	statuses []statusSample
	events   eventLog
}

// statusSample is a status and the time at which it was taken.
type statusSample struct {
	at     time.Time
	status engineapi.Status
}

// held is a request that the engine holds: it is in progress, or finished and can be resumed.
type held struct {
	id       string
	tenant   string
	prompt   uint64 // standin.PromptDigest of the prompt
	tokens   int    // length of the prompt
	first    int    // index of the first token generated here
	total    int    // tokens of the whole answer
	ready    int    // tokens before this index are ready
	cached   int
	done     bool
	canceled bool
	attached int
	since    time.Time     // when the last connection ended or the request finished
	changed  chan struct{} // closed and replaced at each change
}

// New opens the journal and returns an engine with a new random incarnation.
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

// Run serves until ctx is canceled.
func (e *Engine) Run(ctx context.Context) error {
	go e.runSteps(ctx)
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

// runSteps runs the model's steps in real time.
func (e *Engine) runSteps(ctx context.Context) {
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

// step steps the model, applies its output, and returns the end of the running step.
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
	h.notify()
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

// notify wakes all handlers that wait for the request. The caller holds e.mu.
func (h *held) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// reap cancels abandoned requests and removes expired answers.
func (e *Engine) reap(ctx context.Context) {
	periodic.Run(ctx, reapInterval, func(context.Context) { e.reapOnce(time.Now()) })
}

func (e *Engine) reapOnce(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, h := range e.held {
		switch {
		case h.attached > 0:
		case h.done && now.Sub(h.since) > resumeWindow:
			delete(e.held, id)
		case !h.done && now.Sub(h.since) > detachGrace:
			e.drop(h)
		}
	}
}

// drop cancels a request. The caller holds e.mu.
func (e *Engine) drop(h *held) {
	e.model.Cancel(h.id)
	delete(e.held, h.id)
	h.canceled = true
	h.notify()
	e.journal.Write(Record{At: time.Now().UnixMicro(), Kind: RecordCancel, Engine: e.config.ID, Incarnation: e.incarnation, Request: h.id})
}

// laggedStatus records the current status and returns the newest one that is at least ReportLag old,
// or else the oldest one. The caller holds e.mu.
func (e *Engine) laggedStatus(now time.Time) engineapi.Status {
	load := e.model.Load()
	e.statuses = append(e.statuses, statusSample{at: now, status: engineapi.Status{
		ID: e.config.ID, Incarnation: e.incarnation, Model: e.name, WeightsVersion: e.weights, Draining: e.draining,
		Running: load.Running, Waiting: load.Waiting, PrefillTokens: load.PrefillTokens, DecodeSlots: e.config.Service.DecodeSlots,
	}})
	for len(e.statuses) > 1 && now.Sub(e.statuses[1].at) >= e.config.ReportLag {
		e.statuses = e.statuses[1:]
	}
	return e.statuses[0].status
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := e.laggedStatus(time.Now())
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, status)
}

// loseEvent randomly reports whether to drop a cache event.
func (e *Engine) loseEvent() bool { return mathrand.Float64() < e.config.EventLoss }
