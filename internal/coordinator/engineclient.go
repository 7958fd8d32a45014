package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// EngineClient sends a coordinator's calls to engines with the headers of a vocabulary. The calls
// obey the pushback and the limit of an engine as the requests of a router do.
type EngineClient struct {
	headers   vocabulary.Headers
	pushbacks *pushback.Registry
	limits    *ratelimit.Registry
	pool      *upstream.Pool
}

// NewEngineClient returns a client without open connections.
func NewEngineClient(headers vocabulary.Headers, logger *slog.Logger) *EngineClient {
	pushbacks, limits := pushback.New(headers, logger), ratelimit.New(headers, logger)
	return &EngineClient{headers: headers, pushbacks: pushbacks, limits: limits, pool: upstream.NewPool(headers.RequestID, pushbacks, limits)}
}

// Call sends a request to one start of an engine and returns the status and the body of its
// answer.
func (e *EngineClient) Call(ctx context.Context, to Target, method, path string, body []byte) (int, []byte, error) {
	header := http.Header{}
	header.Set(e.headers.Instance, to.Instance)
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	request := &upstream.Request{Method: method, Target: path, Host: to.Address, Header: header, Body: body, NonIdempotent: method != http.MethodGet,
		Backend: pushback.Backend{ID: to.Backend, Pool: to.Pool}, Instance: to.Instance, Permit: to.Permit}
	return e.pool.Call(ctx, to.Address, request, maxCall)
}

// SendOrder posts an order. It returns nil if the engine has begun to carry it out, and otherwise
// an error as described at Engines.Load.
func (e *EngineClient) SendOrder(ctx context.Context, to Target, path string, body []byte) error {
	status, _, err := e.Call(ctx, to, http.MethodPost, path, body)
	if errors.Is(err, upstream.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err != nil {
		return err
	}
	switch status {
	case http.StatusAccepted:
		return nil
	case http.StatusOK:
		return ErrAlreadyLoaded
	case http.StatusConflict:
		return ErrOrderConflict
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusMisdirectedRequest:
		return ErrWrongInstance
	}
	return fmt.Errorf("engine answered order with status %d", status)
}

// Draining implements Engines.
func (e *EngineClient) Draining() []coordapi.BackendID {
	return drainingBackends(e.pushbacks.TakeUnreported())
}

// Limits implements Engines.
func (e *EngineClient) Limits(all bool) []coordapi.LimitReport {
	if all {
		e.limits.ReportAgain()
	}
	return e.limits.TakeUnreported()
}

// drainingBackends returns the back ends that are draining according to troubles.
func drainingBackends(troubles []coordapi.Trouble) []coordapi.BackendID {
	var out []coordapi.BackendID
	for _, t := range troubles {
		if t.Kind == coordapi.Draining {
			out = append(out, coordapi.BackendID(t.ID))
		}
	}
	return out
}
