// Package dispatch runs generation requests on engines. It retries and resumes a request until the
// caller has received the complete answer in order, or returns an error.
//
// An attempt passes through stages. Until the engine has accepted the request, a failed request is
// placed again on another engine. After that, a lost connection or engine is handled by resuming
// at the index of the next missing token. Events of earlier attempts cannot reach the caller: each
// attempt has its own connection, every event carries the request's ID and an index, and an
// event with another ID or a skipped index ends the attempt.
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
	// headerTimeout is the timeout for the engine's response headers. Engines send them before
	// the request enters their queue.
	headerTimeout = 2 * time.Second
	// idleTimeout is the timeout for the next data of a stream. Engines send a comment at least
	// every second while a request waits.
	idleTimeout = 4 * time.Second
	// maxAttempts bounds the number of engines that one request is sent to.
	maxAttempts = 5
	// maxResumes bounds the number of times that an attempt is resumed on its engine.
	maxResumes = 2
	// defaultBackoff is the default mean delay before the first retry.
	defaultBackoff = 20 * time.Millisecond
)

// ErrNotRun marks errors of requests that no engine has run or will run.
var ErrNotRun = errors.New("the request was not run")

// ErrInterrupted marks errors of requests that an engine may have begun to run and whose answer
// cannot be completed.
var ErrInterrupted = errors.New("the answer cannot be completed")

// ErrNotHeld is returned if the engine no longer holds the request to resume.
var ErrNotHeld = errors.New("the request is not held any more; ask again from the start")

// Job is one generation request.
type Job struct {
	// ID identifies the request to engines and in logs. It must be unique.
	ID string
	// Path is the HTTP path on the engine, such as engineapi.PathCompletions.
	Path string
	// Body holds the top-level fields of the request body. Run and Resume modify it.
	Body map[string]json.RawMessage
	// Place holds the properties of the request that placement depends on.
	Place scheduling.Request
	Scope prefix.Scope
	// Priority orders requests in the engine's queue.
	Priority int
	// Continuation allows another engine to continue a partial answer.
	Continuation bool
	// Resume is the token of a caller that reconnects, or nil.
	Resume *Token
	// Span records the steps of the job. It may be nil.
	Span *trace.Span
}

// Sink receives an answer. Its methods are called sequentially.
type Sink interface {
	// Chunk receives the next event of the answer. An error ends the job. The token's Next is the
	// index of the following event or, in the final event, of that event itself, which is also
	// the number of generated tokens.
	Chunk(token Token, data string, chunk *engineapi.Chunk) error
}

// Config holds the dependencies and parameters of a Dispatcher.
type Config struct {
	Pool *membership.Pool
	// Policy returns the placement policy of a model. Calls to it and to the policy are serialized.
	Policy func(model string) scheduling.Policy
	// Now returns the time on the clock that Pool and Policy use.
	Now    func() time.Duration
	Logger *slog.Logger
	// Backoff is the mean delay before the first retry. The default is 20ms.
	Backoff time.Duration
}

// Dispatcher runs jobs. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	client *http.Client
	budget *flowcontrol.RetryBudget

	// policiesMu guards config.Policy and the policies that it returns. It may be held while the
	// pool's lock is acquired, but not the reverse.
	policiesMu sync.Mutex
}

// New returns a dispatcher with the given configuration.
func New(config Config) *Dispatcher {
	if config.Backoff == 0 {
		config.Backoff = defaultBackoff
	}
	return &Dispatcher{config: config, client: newHTTPClient(), budget: flowcontrol.NewRetryBudget()}
}

// Place chooses an endpoint for a request. It returns scheduling.ErrNoEndpoint if there is none.
func (d *Dispatcher) Place(request *scheduling.Request) (scheduling.Decision, error) {
	snapshot := d.config.Pool.Snapshot(d.config.Now())
	d.policiesMu.Lock()
	defer d.policiesMu.Unlock()
	return d.config.Policy(request.Model).Pick(d.config.Now(), request, snapshot)
}

// observeResponse reports a complete answer and its cached prompt tokens to the placement policy.
func (d *Dispatcher) observeResponse(job *Job, endpoint string, cached int) {
	d.policiesMu.Lock()
	defer d.policiesMu.Unlock()
	d.config.Policy(job.Place.Model).ObserveResponse(d.config.Now(), &job.Place, endpoint, cached)
}

// progress is the part of an answer that the caller has received.
type progress struct {
	// next is the index of the next token to send to the caller.
	next int
	// text is the generated text that this job has sent to the caller.
	text strings.Builder
	// textComplete is set if text holds all tokens before next. It is not set for a resumed job,
	// whose first tokens were sent over another connection.
	textComplete bool
	// done is set once the caller has received the final event.
	done bool
	// mayHaveRun is set once any engine may have begun to run the request.
	mayHaveRun bool
}

// Run runs a job, starting at the endpoint of the given decision. A nil error means that the sink
// has received the complete answer.
func (d *Dispatcher) Run(ctx context.Context, job *Job, first scheduling.Decision, sink Sink) error {
	p := &progress{textComplete: true}
	decision := first
	for attempt := 1; ; attempt++ {
		err := d.attempt(ctx, job, decision, p, sink)
		if p.done && err == nil {
			d.budget.Earn()
			return nil
		}
		if terminalError := d.terminalError(ctx, job, p, err, attempt); terminalError != nil {
			return terminalError
		}
		job.Place.Excluded = append(job.Place.Excluded, decision.Endpoint.ID)
		job.Span.Step("retry", err.Error())
		d.waitBeforeRetry(ctx, attempt)
		if decision, err = d.Place(&job.Place); err != nil {
			return d.markFailed(p, err)
		}
	}
}

// terminalError returns the error of a job whose attempt failed with err, or nil if the job should
// be retried on another engine.
func (d *Dispatcher) terminalError(ctx context.Context, job *Job, p *progress, err error, attempt int) error {
	switch {
	case isCallerError(err):
		return err
	case errors.Is(context.Cause(ctx), ErrStopping):
		return d.markFailed(p, ErrStopping)
	case ctx.Err() != nil:
		return errors.Wrap(ctx.Err(), "caller gone")
	case p.next > 0 && (!job.Continuation || !p.textComplete):
		return errors.Mark(err, ErrInterrupted)
	case attempt >= maxAttempts:
		return d.markFailed(p, err)
	case !notRun(err) && !d.budget.Spend():
		// The engine may be running the request. Generation may be retried, but only within the
		// retry budget.
		return d.markFailed(p, errors.Wrap(err, "retry budget is spent"))
	}
	return nil
}

// markFailed marks the error of a job that is not retried as ErrInterrupted if an engine may have
// begun to run it, and as ErrNotRun otherwise.
func (d *Dispatcher) markFailed(p *progress, err error) error {
	if p.mayHaveRun {
		return errors.Mark(err, ErrInterrupted)
	}
	return errors.Mark(err, ErrNotRun)
}

// Resume continues an answer from the caller's token, only on the engine that runs the request. It
// returns ErrNotHeld if the engine no longer holds it.
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

// attempt runs a job on one engine. It resumes on that engine if the stream breaks.
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
		p.mayHaveRun = p.mayHaveRun || mayHaveBegun(stage, err)
		d.recordOutcome(&endpoint, stage, err)
		if err == nil || ctx.Err() != nil || stage < StageAccepted || isCallerError(err) {
			break
		}
		resumable = true
		job.Span.Step("resume", err.Error())
		d.waitBeforeRetry(ctx, try+1)
	}
	if err != nil && ctx.Err() == nil && !isCallerError(err) {
		// Not cancelled after a disconnect of the caller, who may reconnect with the last event
		// ID. The engine drops the request after its own grace period.
		d.cancel(job, &endpoint)
	}
	return err
}

// recordOutcome updates the pool with the outcome of a stream. Errors on the caller's side do not
// count against the engine.
func (d *Dispatcher) recordOutcome(endpoint *scheduling.Endpoint, stage Stage, err error) {
	var refusal *RefusalError
	switch {
	case err == nil:
		d.config.Pool.RecordSuccess(endpoint.ID)
	case isCallerError(err) || errors.Is(err, context.Canceled):
	case errors.As(err, &refusal):
		d.recordRefusal(endpoint, refusal)
	default:
		d.config.Pool.RecordFailure(d.config.Now(), endpoint.ID)
		d.config.Logger.Debug("attempt failed", "engine", endpoint.ID, "stage", stage.String(), "error", err)
	}
}

// recordRefusal updates the pool if the engine is draining or has been replaced.
func (d *Dispatcher) recordRefusal(endpoint *scheduling.Endpoint, refusal *RefusalError) {
	switch refusal.Kind {
	case engineapi.KindDraining:
		d.config.Pool.MarkDraining(endpoint.ID)
	case engineapi.KindIncarnation:
		d.config.Pool.MarkReplaced(endpoint.ID, endpoint.Incarnation)
	}
}
