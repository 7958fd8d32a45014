package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// identifyTimeout is the time for the status request on a connection after which the request is held, or
	// given up without patience: a few round trips between zones, and pauses of either process for a tenth
	// of a second.
	identifyTimeout = 500 * time.Millisecond
	// maxStatus bounds the body of its response, in bytes.
	maxStatus = 64 << 10
	// maxIdentified bounds the connections that are tried: back ends close some after a response.
	maxIdentified = 2
)

// Errors of requests that were not sent because of the start that serves the address.
var (
	// ErrOtherStart means that a later start than the intended one does.
	ErrOtherStart = errors.New("a later start of the back end serves the address")
	// ErrNotIdentified means that it rejected the status request.
	ErrNotIdentified = errors.New("the back end rejects status requests")
)

var (
	// errUnsuitable means that another connection may lead to the intended start.
	errUnsuitable = errors.New("the connection ends, or leads to an earlier start of the back end")
	// errNotKept is errUnsuitable for a connection that ends with the response to the status request.
	errNotKept = fmt.Errorf("the back end closes the connection after its status: %w", errUnsuitable)
)

// Status is the request with which a router asks a back end for its start time.
type Status struct {
	// Target is the path of the request, and InstanceHeader the header that names the intended instance.
	Target, InstanceHeader string
	// Born decodes the start time from the body of a response; 0 if it names none.
	Born func(body []byte) (state.UnixMilli, error)
}

// SetStatus sets the request that identifies starts. It must be called before the first request.
func (p *Pool) SetStatus(status Status) { p.status = status }

// connect returns a connection for a request, an idle one if there is one, that leads to the start which the
// request is meant for.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*connection, error) {
	var err error
	for range maxIdentified {
		var c *connection
		if c, err = p.take(ctx, address, r); err != nil {
			return nil, err
		}
		c.setPatience(r.Patience)
		if err = p.identify(ctx, address, c, r); err == nil {
			return c, nil
		}
		_ = c.Close()
		if !errors.Is(err, errUnsuitable) {
			break
		}
	}
	if errors.Is(err, errNotKept) && (r.Born == 0 || r.Expected) {
		// The back end closes each connection after a response. It responds, and nothing shows another start.
		c, err := p.take(ctx, address, r)
		if err == nil {
			c.setPatience(r.Patience)
		}
		return c, err
	}
	return nil, &callError{kind: ErrNotSent, cause: err}
}

// identify asks once on a connection which start of the back end it leads to, if a request must not reach
// another one: a process is the same for the life of a connection, while names and addresses may be taken by
// others before their first heartbeat. Confirm asks in any case. A back end with a limit counts such calls, so that
// it is not asked.
func (p *Pool) identify(ctx context.Context, address string, c *connection, r *Request) error {
	if (r.Born == 0 && !r.Confirm) || r.Permit.Limited() || p.status.Born == nil {
		return nil
	}
	kept := true
	if !c.asked || r.Confirm {
		status, err := p.requestStatus(ctx, address, c, r)
		if c.reused && isClosed(err) {
			// It may have been closed as idle.
			err = fmt.Errorf("%w: %w", errUnsuitable, err)
		}
		if err != nil {
			return fmt.Errorf("identify start: %w", err)
		}
		p.Identified.Add(1)
		c.born, c.asked, kept = status.born, true, status.kept
	}
	switch {
	case r.Born != 0 && c.born > r.Born:
		return ErrOtherStart
	case r.Born != 0 && c.born != 0 && c.born < r.Born:
		return errUnsuitable
	case !kept:
		return errNotKept
	}
	// A back end that names no start time cannot be told from one that has taken its name.
	return nil
}

// isClosed reports whether an error shows that the back end has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// status is the response to a status request: the start time that it names, 0 if none, and whether the connection
// is kept.
type status struct {
	born state.UnixMilli
	kept bool
}

func (p *Pool) requestStatus(ctx context.Context, address string, c *connection, r *Request) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, max(r.Patience, identifyTimeout))
	defer cancel()
	defer r.holdUnidentified()()
	return p.exchangeStatus(ctx, address, c, r)
}

// awaitsStatus reports whether the status request is awaited like the response itself.
func (r *Request) awaitsStatus() bool { return r.Expected && !r.Confirm }

// holdUnidentified calls OnHeld while the status request is pending. Release waits for the last call.
func (r *Request) holdUnidentified() (release func()) {
	if r.OnHeld == nil || r.awaitsStatus() || r.Patience <= identifyTimeout {
		return func() {}
	}
	ended, returned := make(chan struct{}), make(chan struct{})
	timer := time.AfterFunc(identifyTimeout, func() {
		defer close(returned)
		for {
			r.OnHeld(Unidentified)
			select {
			case <-ended:
				return
			case <-time.After(heldInterval):
			}
		}
	})
	return func() {
		if !timer.Stop() {
			close(ended)
			<-returned
		}
	}
}

// exchangeStatus sends the status request and returns its response.
func (p *Pool) exchangeStatus(ctx context.Context, address string, c *connection, r *Request) (out status, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	a := &BackendResponse{pool: p, address: address, connection: c}
	header := http.Header{}
	header.Set(p.status.InstanceHeader, r.Instance)
	ask := &Request{Method: http.MethodGet, Target: p.status.Target, Host: address, Header: header, Backend: r.Backend, Instance: r.Instance, Allowed: r.Allowed}
	if r.awaitsStatus() {
		pool, started := r.Backend.Pool, clock.Now()
		a.onStall = func() { p.observe(ctx, pool, started, errUnacknowledged) }
		defer p.watchAcknowledgement(a, r.OnHeld)()
	}
	if err := a.exchange(ctx, ask); err != nil {
		return out, err
	}
	body, err := io.ReadAll(io.LimitReader(a, maxStatus))
	rejected := a.StatusCode == http.StatusTooManyRequests || a.StatusCode == http.StatusServiceUnavailable
	switch {
	case err != nil:
		return out, err
	case a.StatusCode == http.StatusMisdirectedRequest:
		return out, ErrOtherStart
	case rejected && r.Born != 0:
		return out, fmt.Errorf("%w: status %d", ErrNotIdentified, a.StatusCode)
	case !stop():
		return out, context.Cause(ctx)
	}
	out.kept = a.reusable()
	if a.StatusCode != http.StatusOK || r.Born == 0 {
		// The back end has no such request, or its response alone counts.
		return out, nil
	}
	out.born, err = p.status.Born(body)
	return out, err
}

// take returns an idle connection to an address, or a new one.
func (p *Pool) take(ctx context.Context, address string, r *Request) (*connection, error) {
	if c := p.takeIdle(address, r.NonIdempotent); c != nil {
		c.reused = true
		return c, nil
	}
	// The alarm may still run when the caller changes the request for its next attempt.
	pool, started := r.Backend.Pool, clock.Now()
	alarm := time.AfterFunc(connectAlarm, func() { p.observe(ctx, pool, started, errPending) })
	c, err := p.open(ctx, address)
	alarm.Stop()
	p.observe(ctx, pool, started, err)
	return c, err
}
