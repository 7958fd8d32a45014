// Package dispatch runs a generation request on engines until its caller has
// the whole answer, in order, or an explicit end.
//
// An attempt goes through typed stages. Up to Accepted the engine has not begun
// and the request is placed again; from then on the answer has begun, and a
// lost engine or connection is met by resuming at the index that is wanted
// next. Nothing that an earlier attempt still sends can reach the caller: each
// attempt has its own connection, its events carry the request's name and
// their index, and anything else ends the attempt.
package dispatch

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/flowcontrol"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/trace"
)

// Limits of an attempt.
const (
	dialTimeout = 500 * time.Millisecond
	// headerTimeout bounds the time from sending to the engine's acceptance.
	// Engines accept before they queue.
	headerTimeout = 2 * time.Second
	// idleTimeout bounds the silence within a stream. Engines send a comment
	// at least every second while a request waits.
	idleTimeout = 4 * time.Second
	// maxAttempts bounds the engines that one request is sent to.
	maxAttempts = 5
	// maxResumes bounds how often one attempt is resumed on its engine.
	maxResumes = 2
	// defaultBackoff is the mean pause before a first retry.
	defaultBackoff = 20 * time.Millisecond
)

// ErrNotRun is the mark of errors that say that no part of the answer was
// given and none will be.
var ErrNotRun = errors.New("the request was not run")

// ErrInterrupted is returned when an answer was begun and cannot be completed.
var ErrInterrupted = errors.New("the answer cannot be completed")

// ErrNotHeld is returned when a resumed request is not held any more.
var ErrNotHeld = errors.New("the request is not held any more; ask again from the start")

// Job is one generation request.
type Job struct {
	// ID names the request at the engines and in logs. It is unique.
	ID string
	// Path is the engine's path, such as engineapi.PathCompletions.
	Path string
	// Body is the caller's body by its top-level fields.
	Body map[string]json.RawMessage
	// Place describes the request to placement.
	Place scheduling.Request
	Scope prefix.Scope
	// Priority orders waiting work at the engine.
	Priority int
	// Continuation allows another engine to go on with a begun answer.
	Continuation bool
	// Resume is set when the caller comes back with a token.
	Resume *Token
	// Span records what happens. It may be nil.
	Span *trace.Span
}

// Sink takes the answer. Its methods are called in order, from one goroutine.
type Sink interface {
	// Chunk takes one event of the answer. Index counts tokens from 0; the
	// final event, which has no token, carries the number of tokens.
	Chunk(token Token, data string, chunk *engineapi.Chunk) error
}

// Config is what a Dispatcher works with.
type Config struct {
	Pool   *membership.Pool
	Policy func(model string) scheduling.Policy
	Now    func() time.Duration
	Logger *slog.Logger
	// Backoff is the mean pause before a first retry. Default 20ms.
	Backoff time.Duration
}

// Dispatcher runs jobs. It is safe for concurrent use. Lock order: policies
// (its own lock), then the pool's.
type Dispatcher struct {
	config Config
	client *http.Client
	budget *flowcontrol.RetryBudget

	policies sync.Mutex
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	if config.Backoff == 0 {
		config.Backoff = defaultBackoff
	}
	return &Dispatcher{config: config, client: newHTTPClient(), budget: flowcontrol.NewRetryBudget()}
}

// Place chooses an endpoint for a request.
func (d *Dispatcher) Place(request *scheduling.Request) (scheduling.Decision, error) {
	snapshot := d.config.Pool.Snapshot(d.config.Now())
	d.policies.Lock()
	defer d.policies.Unlock()
	return d.config.Policy(request.Model).Pick(d.config.Now(), request, snapshot)
}

// answered tells placement what an engine's answer showed.
func (d *Dispatcher) answered(job *Job, endpoint string, cached int) {
	d.policies.Lock()
	defer d.policies.Unlock()
	d.config.Policy(job.Place.Model).ObserveResponse(d.config.Now(), &job.Place, endpoint, cached)
}

// progress is how far the caller's answer has come.
type progress struct {
	// next is the index of the token that the caller needs next.
	next int
	// text is the generated text that the caller has.
	text strings.Builder
	// known says that text holds all tokens before next.
	known bool
	done  bool
	// begun says that some engine may have worked on the request.
	begun bool
}

// Run runs a job. The first decision has been made by the caller, which needed
// it for admission. A nil error means that the sink has the whole answer.
func (d *Dispatcher) Run(ctx context.Context, job *Job, first scheduling.Decision, sink Sink) error {
	p := &progress{known: true}
	decision := first
	for attempt := 1; ; attempt++ {
		err := d.attempt(ctx, job, decision, p, sink)
		if p.done && err == nil {
			d.budget.Earn()
			return nil
		}
		if final := d.final(ctx, job, p, err, attempt); final != nil {
			return final
		}
		job.Place.Excluded = append(job.Place.Excluded, decision.Endpoint.ID)
		job.Span.Step("retry", err.Error())
		d.pause(ctx, attempt)
		if decision, err = d.Place(&job.Place); err != nil {
			return d.unplaced(p, err)
		}
	}
}

// final returns the error to end with, or nil when another attempt is due.
func (d *Dispatcher) final(ctx context.Context, job *Job, p *progress, err error, attempt int) error {
	switch {
	case isCallerError(err):
		return err
	case ctx.Err() != nil:
		return errors.Wrap(ctx.Err(), "caller gone")
	case p.next > 0 && (!job.Continuation || !p.known):
		return errors.Mark(err, ErrInterrupted)
	case attempt >= maxAttempts:
		return d.unplaced(p, err)
	case !notRun(err) && !d.budget.Spend():
		// The engine may be working on it. Generation is repeatable, but
		// repeats must stay a share of the traffic.
		return d.unplaced(p, errors.Wrap(err, "retry budget is spent"))
	}
	return nil
}

// unplaced ends a job that no engine takes. It is "not run" only when no
// engine can have begun.
func (d *Dispatcher) unplaced(p *progress, err error) error {
	if p.begun {
		return errors.Mark(err, ErrInterrupted)
	}
	return errors.Mark(err, ErrNotRun)
}

// Resume goes on with an answer that another router began, on the engine that
// holds it and nowhere else.
func (d *Dispatcher) Resume(ctx context.Context, job *Job, sink Sink) error {
	p := &progress{next: job.Resume.Next}
	endpoint := scheduling.Endpoint{ID: job.Resume.Engine, Incarnation: job.Resume.Incarnation}
	job.ID = job.Resume.Request
	err := d.attempt(ctx, job, scheduling.Decision{Endpoint: endpoint}, p, sink)
	var refusal *RefusalError
	switch {
	case p.done && err == nil:
		return nil
	case errors.As(err, &refusal), d.config.Pool.Address(endpoint.ID) == "":
		return ErrNotHeld
	}
	return errors.Mark(err, ErrInterrupted)
}

// attempt runs a job on one engine, resuming there when only the connection was
// lost.
func (d *Dispatcher) attempt(ctx context.Context, job *Job, decision scheduling.Decision, p *progress, sink Sink) error {
	endpoint := decision.Endpoint
	missing := job.Place.PromptTokens - decision.ExpectedCachedTokens
	d.config.Pool.RecordDispatch(d.config.Now(), endpoint.ID, missing)
	job.Span.Step("placed", endpoint.ID)
	var err error
	resumable := job.Resume != nil
	for try := 0; try <= maxResumes; try++ {
		var stage Stage
		stage, err = d.stream(ctx, job, &endpoint, p, sink, resumable)
		p.begun = p.begun || began(stage, err)
		d.note(&endpoint, stage, err)
		if err == nil || ctx.Err() != nil || stage < StageAccepted || isCallerError(err) {
			break
		}
		resumable = true
		job.Span.Step("resume", err.Error())
		d.pause(ctx, try+1)
	}
	if err != nil && ctx.Err() == nil && !isCallerError(err) {
		// A caller that is gone may come back with its last event id. The
		// engine keeps the request for its grace time and then drops it.
		d.cancel(job, &endpoint)
	}
	return err
}

// note tells membership what an attempt showed.
func (d *Dispatcher) note(endpoint *scheduling.Endpoint, stage Stage, err error) {
	var refusal *RefusalError
	switch {
	case err == nil:
		d.config.Pool.RecordSuccess(endpoint.ID)
	case isCallerError(err) || errors.Is(err, context.Canceled):
	case errors.As(err, &refusal):
		d.noteRefusal(endpoint, refusal)
	default:
		d.config.Pool.RecordFailure(d.config.Now(), endpoint.ID)
		d.config.Logger.Debug("attempt failed", "engine", endpoint.ID, "stage", stage.String(), "error", err)
	}
}

func (d *Dispatcher) noteRefusal(endpoint *scheduling.Endpoint, refusal *RefusalError) {
	switch refusal.Kind {
	case engineapi.KindDraining:
		d.config.Pool.MarkDraining(endpoint.ID)
	case engineapi.KindIncarnation:
		d.config.Pool.MarkReplaced(endpoint.ID, endpoint.Incarnation)
	}
}
