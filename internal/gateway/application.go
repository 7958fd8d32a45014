package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/claims"
	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/state"
)

// Limits of application calls.
const (
	workerDialTimeout = 500 * time.Millisecond
	maxIdempotencyKey = 128
	// maxResponse bounds the body of a worker's response, in bytes. A longer one is not passed on.
	maxResponse    = 8 << 20
	maxWorkerTries = 3
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 2 * time.Second
	// lostAttemptGrace is the time after a route's deadline at which an unfinished attempt
	// counts as lost.
	lostAttemptGrace = 5 * time.Second
)

// call is a checked application call.
type call struct {
	id     string
	tenant string
	path   string
	route  bundle.Route
	body   []byte
	header http.Header
}

// workerResponse is the response of a worker.
type workerResponse struct {
	status      int
	contentType string
	body        []byte
}

func newWorkerClient() *http.Client {
	dialer := &net.Dialer{Timeout: workerDialTimeout}
	return &http.Client{
		Transport: httpwire.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, errors.Mark(err, dispatch.ErrNotSent)
				}
				return connection, nil
			},
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// application serves the application routes of the bundle.
func (g *Gateway) application(c echo.Context) error {
	config, err := g.current()
	if err != nil {
		return err
	}
	tenant, _, err := authenticate(c, config)
	if err != nil {
		return err
	}
	path := "/" + c.Param("*")
	route, known := config.Route(path)
	if !known {
		return invalid(http.StatusNotFound, "", "no such route: "+path)
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	g.metrics.open.Inc()
	defer g.metrics.open.Dec()
	r := &call{id: requestID(c), tenant: tenant, path: path, route: route, body: body, header: c.Request().Header}
	var result workerResponse
	if route.Retryable {
		result, err = g.callRetryable(c.Request().Context(), r)
	} else {
		result, err = g.callOnce(c.Request().Context(), r)
	}
	if err != nil {
		return err
	}
	g.metrics.answered()
	return c.Blob(result.status, result.contentType, result.body)
}

// callRetryable tries workers until one responds.
func (g *Gateway) callRetryable(ctx context.Context, r *call) (workerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.route.Deadline)
	defer cancel()
	var last error
	for _, worker := range g.applications() {
		result, err := g.callWorker(ctx, r, worker)
		if err == nil {
			return result, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil || errors.Is(last, dispatch.ErrNotSent) {
		return workerResponse{}, notRun(http.StatusServiceUnavailable, "no application worker can be reached", time.Second)
	}
	return workerResponse{}, unknownOutcome("the application worker gave no answer")
}

// callOnce runs a call that must not be retried, under a claim on its key.
func (g *Gateway) callOnce(ctx context.Context, r *call) (workerResponse, error) {
	key := r.header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKey {
		return workerResponse{}, invalid(http.StatusBadRequest, headerIdempotencyKey, "this route needs an Idempotency-Key of at most 128 characters")
	}
	claim := state.ClaimOperation{Tenant: r.tenant, Key: key, Attempt: r.id, Request: digestOf(r)}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := g.config.Claims.Acquire(claimCtx, claim)
	if err != nil {
		return workerResponse{}, notRun(http.StatusServiceUnavailable, claims.ErrNoQuorum.Error(), time.Second)
	}
	if result.State != state.ClaimGranted {
		return priorResult(r, result)
	}
	return g.awaitOnce(ctx, func() (workerResponse, error) { return g.runOnce(r, claim) })
}

// awaitOnce returns the result of a call, or that its outcome is not known once the router's stop ends the request.
func (g *Gateway) awaitOnce(ctx context.Context, run func() (workerResponse, error)) (workerResponse, error) {
	type result struct {
		response workerResponse
		err      error
	}
	done := make(chan result, 1)
	go func() {
		response, err := run()
		done <- result{response, err}
	}()
	stopping := ctx.Done()
	for {
		select {
		case got := <-done:
			return got.response, got.err
		case <-stopping:
			if errors.Is(context.Cause(ctx), dispatch.ErrStopping) {
				return workerResponse{}, unknownOutcome("the router stops; a retry with the same key returns the outcome")
			}
			// The caller has left, and may retry.
			stopping = nil
		}
	}
}

// priorResult returns the result for a call whose key has been used before.
func priorResult(r *call, claim state.ClaimResult) (workerResponse, error) {
	switch claim.State {
	case state.ClaimFinished:
		switch {
		case claim.Outcome.Unknown:
			return workerResponse{}, unknownOutcome("the first attempt with this key was sent and gave no answer")
		case claim.Outcome.Truncated:
			return workerResponse{}, unknownOutcome("the call was run; its answer was too long to keep")
		}
		return workerResponse{claim.Outcome.Status, claim.Outcome.ContentType, claim.Outcome.Body}, nil
	case state.ClaimMismatch:
		return workerResponse{}, invalid(http.StatusUnprocessableEntity, headerIdempotencyKey, "this key was used for another request")
	case state.ClaimRunning:
		if time.Duration(claim.Age)*time.Millisecond > r.route.Deadline+lostAttemptGrace {
			return workerResponse{}, unknownOutcome("the first attempt with this key was lost with its router")
		}
		conflict := notRun(http.StatusConflict, "a request with this key is running", time.Second)
		return workerResponse{}, conflict
	}
	return workerResponse{}, notRun(http.StatusServiceUnavailable, "the claim was given up", time.Second)
}

// runOnce makes the only attempt. It continues when the caller disconnects, so that a retry of
// the call returns the outcome.
func (g *Gateway) runOnce(r *call, claim state.ClaimOperation) (workerResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.route.Deadline)
	defer cancel()
	for tries, worker := range g.applications() {
		result, err := g.callWorker(ctx, r, worker)
		switch {
		case err == nil:
			g.config.Claims.Finish(claim, state.Outcome{Status: result.status, ContentType: result.contentType, Body: result.body})
			return result, nil
		case !errors.Is(err, dispatch.ErrNotSent):
			g.config.Claims.Finish(claim, state.Outcome{Unknown: true})
			return workerResponse{}, unknownOutcome("the call was sent and no answer came")
		}
		if tries+1 >= maxWorkerTries || ctx.Err() != nil {
			break
		}
	}
	g.config.Claims.Release(claim)
	return workerResponse{}, notRun(http.StatusServiceUnavailable, "no application worker can be reached", time.Second)
}

// callWorker sends a call to one worker. ErrNotSent marks errors before any byte was sent.
func (g *Gateway) callWorker(ctx context.Context, r *call, worker membership.Application) (workerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+worker.Address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return workerResponse{}, errors.Mark(err, dispatch.ErrNotSent)
	}
	// Without GetBody the transport cannot retry the call by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", r.header.Get("Content-Type"))
	request.Header.Set(headerRequestID, r.id)
	request.Header.Set("Tenant", r.tenant)
	request.Header.Set("Request-Key", r.header.Get(headerIdempotencyKey))
	response, err := g.workers.Do(request)
	if err != nil {
		return workerResponse{}, g.recordFailure(r, worker, errors.Wrap(err, "call worker"))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse+1))
	if len(body) > maxResponse {
		err = errors.Newf("the worker response exceeds %d bytes", maxResponse)
	}
	if err != nil {
		return workerResponse{}, g.recordFailure(r, worker, errors.Wrap(err, "read worker response"))
	}
	g.config.Pool.RecordSuccess(worker.ID)
	return workerResponse{response.StatusCode, response.Header.Get("Content-Type"), body}, nil
}

// recordFailure records a call without a whole response, and returns its error.
func (g *Gateway) recordFailure(r *call, worker membership.Application, err error) error {
	g.config.Pool.RecordFailure(g.config.Now(), worker.ID)
	g.metrics.failedCalls.Inc()
	g.logger.Warn("call of an application worker failed", "id", r.id, "worker", worker.ID, "error", err.Error())
	return err
}

// applications returns the workers in the order to try: the router's own zone first, suspect
// ones last.
func (g *Gateway) applications() []membership.Application {
	workers := g.config.Pool.Applications(g.config.Now())
	rand.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	var near, far, suspect []membership.Application
	for _, w := range workers {
		switch {
		case w.Suspect:
			suspect = append(suspect, w)
		case w.Zone == g.config.Zone:
			near = append(near, w)
		default:
			far = append(far, w)
		}
	}
	return append(append(near, far...), suspect...)
}

func digestOf(r *call) string {
	sum := sha256.New()
	sum.Write([]byte(r.route.Path + "\x00"))
	sum.Write(r.body)
	return hex.EncodeToString(sum.Sum(nil))
}
