package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/socket"
)

// BackendResponse is a response whose body is being read. It must be closed.
type BackendResponse struct {
	*http.Response
	pool       *Pool
	address    string
	connection *connection
	stop       func() bool
	// written receives the result of writing a body while the response is awaited; nil for a body
	// that was written before.
	written chan error
	// writeEnded is set once the write of the request has ended. unlimited is set if the connection
	// has no user timeout any more, so that it must not be reused.
	writeEnded atomic.Bool
	unlimited  bool
	// onStall is called when the back end has read nothing for a while of a request that is held.
	onStall func()
	// phase tells whether a byte of the response has arrived or the request was given up before.
	phase    atomic.Int32
	complete bool
	closed   bool
	// timed is set while the body has to arrive within a time, and ctx is that of the request.
	timed bool
	ctx   context.Context
	// identified is set if the connection leads to the start that the request names.
	identified bool
}

// Values of BackendResponse.phase.
const (
	phaseAwaiting int32 = iota
	phaseResponding
	phaseGivenUp
)

var errRespondedLate = errors.New("the response arrived when the request had been given up")

// exchange writes the request and reads the header of its response.
func (a *BackendResponse) exchange(ctx context.Context, r *Request) *callError {
	a.ctx = ctx
	c := a.connection
	head := encodeHeader(r)
	// Checked again just before the write: other responses may have arrived, and rows may have
	// changed, while this request waited for its connection.
	if err := a.pool.pushbacks.Check(r.Backend.ID); err != nil {
		return &callError{kind: ErrNotSent, cause: err}
	}
	if r.Allowed != nil {
		if err := r.Allowed(); err != nil {
			return &callError{kind: ErrNotSent, cause: err}
		}
	}
	if err := a.pool.limits.Consume(r.Backend.ID, r.Permit); err != nil {
		return &callError{kind: ErrNotSent, cause: err}
	}
	sent := clock.Now()
	if len(r.Body) < asyncBodySize {
		if n, err := c.Write(append(head, r.Body...)); err != nil {
			return &callError{kind: writeErrorKind(n), cause: err}
		}
	} else {
		a.written = make(chan error, 1)
		// The caller may change the request once there is a response.
		held := *r
		go func() {
			err := a.writeBody(ctx, head, &held)
			a.writeEnded.Store(true)
			a.written <- err
			// A back end that has begun to respond need not read the rest.
			if errors.Is(err, socket.ErrStalled) && a.phase.CompareAndSwap(phaseAwaiting, phaseGivenUp) {
				_ = c.SetReadDeadline(time.Unix(1, 0))
			}
		}()
	}
	response, err := a.readHeader(r, sent)
	if err != nil {
		return a.noResponse(err)
	}
	if a.written != nil && !a.writeEnded.Load() {
		// The back end responds before it has read the whole request. What it leaves unread must not
		// end the connection before the response is complete.
		socket.SetUserTimeout(c.Conn, 0)
		a.unlimited = true
	}
	a.Response = response
	return nil
}

// writeBody writes a request until the back end has read nothing of it for too long or the context
// ends.
func (a *BackendResponse) writeBody(ctx context.Context, head []byte, r *Request) error {
	canceled := func() bool { return ctx.Err() != nil }
	reported := false
	hold := func(stalled time.Duration) bool {
		if stalled >= max(r.Patience, a.pool.bodyStall) {
			return false
		}
		if a.phase.Load() == phaseResponding {
			// A back end that has begun to respond need not read the rest.
			return true
		}
		if !reported {
			reported = true
			a.onStall()
		}
		return r.held(Unread)
	}
	// A part of the body goes with the header, in one packet.
	first := min(len(r.Body), asyncBodySize)
	for _, part := range [][]byte{append(head, r.Body[:first]...), r.Body[first:]} {
		if _, err := socket.WriteHeld(a.connection.Conn, part, min(userTimeout, a.pool.bodyStall), canceled, hold); err != nil {
			return err
		}
	}
	return nil
}

// noResponse returns the error of a request that received no response header. The request has not
// run if a part of it was never written, because the back end did not read, and nothing came back. A
// connection that the back end closed tells nothing: it may have responded, and the response may be
// lost with the connection.
func (a *BackendResponse) noResponse(err error) *callError {
	unknown := &callError{kind: ErrOutcomeUnknown, cause: err}
	if a.written == nil || a.phase.Load() == phaseResponding {
		return unknown
	}
	// This ends the write.
	_ = a.connection.SetDeadline(time.Unix(1, 0))
	failure := <-a.written
	closed := errors.Is(failure, syscall.ECONNRESET) || errors.Is(failure, syscall.EPIPE)
	// The system reports its timeout only once: to the write or to the read.
	silent := (errors.Is(err, os.ErrDeadlineExceeded) && !closed) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(failure, syscall.ETIMEDOUT)
	if failure == nil || !silent {
		return unknown
	}
	return &callError{kind: ErrIncomplete, cause: errors.Join(failure, err)}
}

func writeErrorKind(written int) error {
	if written == 0 {
		return ErrNotSent
	}
	return ErrOutcomeUnknown
}

// readHeader reads the response header and skips responses to other requests. Sent is when the
// request was written.
func (a *BackendResponse) readHeader(r *Request, sent time.Duration) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	if err := a.connection.reader.Await(); err != nil {
		return nil, err
	}
	if !a.phase.CompareAndSwap(phaseAwaiting, phaseResponding) {
		return nil, errRespondedLate
	}
	stop := a.connection.watchHead()
	response, err := a.findResponse(r, request, sent)
	if !stop() {
		return nil, errHeadTimeout
	}
	return response, err
}

// findResponse reads headers until that of the response to a request.
func (a *BackendResponse) findResponse(r *Request, request *http.Request, sent time.Duration) (*http.Response, error) {
	for range maxForeignResponses {
		response, err := a.connection.readResponse(request)
		if err != nil {
			a.pool.countMalformed(err)
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(a.pool.idHeader) == r.ID {
			from := r.Backend
			from.From = pushback.Origin{Name: r.Instance, Address: a.address, Connection: a.connection.link}
			a.pool.pushbacks.ObserveResponse(from, r.Instance, response)
			a.pool.limits.ObserveResponse(from, r.Instance, sent, response)
			return response, nil
		}
		if err := discardBody(response); err != nil {
			a.pool.countMalformed(err)
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.New("only responses to other requests were received")
}

// Read reads the body. A truncated response ends with an error marked ErrOutcomeUnknown, never
// with io.EOF.
func (a *BackendResponse) Read(buffer []byte) (int, error) {
	n, err := a.Response.Body.Read(buffer)
	switch {
	case err == io.EOF:
		a.complete = true
	case err != nil:
		a.pool.countMalformed(err)
		if a.timed && a.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrBodyTimeout
		}
		err = &callError{kind: ErrOutcomeUnknown, cause: err}
	}
	return n, err
}

// SetReadTimeout bounds the time in which the rest of the body has to arrive; 0 for no bound. After it, Read
// returns an error that matches ErrBodyTimeout.
func (a *BackendResponse) SetReadTimeout(limit time.Duration) {
	// Errors mean that the connection is closed, which the next read returns.
	if a.timed = limit > 0; a.timed {
		_ = a.connection.SetReadDeadline(time.Now().Add(limit))
	} else {
		_ = a.connection.SetReadDeadline(time.Time{})
	}
	if a.ctx.Err() != nil {
		_ = a.connection.SetDeadline(time.Unix(1, 0))
	}
}

// Close releases the connection. It is reused only after a complete response to a completely
// written request, with no bytes behind it.
func (a *BackendResponse) Close() {
	if a.closed {
		return
	}
	a.closed = true
	undisturbed := a.stop()
	if !undisturbed || !a.reusable() {
		_ = a.connection.Close()
		return
	}
	_ = a.connection.SetReadDeadline(time.Time{})
	a.connection.expiresAt = clock.Now() + idleTimeout(a.Response.Header)
	a.pool.putIdle(a.address, a.connection)
}

// Framed reports whether the response has a length or is chunked. Otherwise it is complete once the back end has ended its
// side of the connection. One that the back end resets is truncated, also if the back end has only closed its socket with
// the request unread: what it would have sent is not known.
func (a *BackendResponse) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

// Identified reports whether the response was written by the start that the request names.
func (a *BackendResponse) Identified() bool { return a.identified }

func (a *BackendResponse) reusable() bool {
	r := a.Response
	if r == nil || a.unlimited || !a.complete || r.Close || !a.Framed() {
		return false
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return a.connection.reader.Buffered() == 0
}

// idleTimeout returns the time for which the back end keeps an idle connection open.
func idleTimeout(header http.Header) time.Duration {
	for _, value := range header["Keep-Alive"] {
		i := bytes.Index([]byte(value), []byte("timeout="))
		if i < 0 {
			continue
		}
		digits := value[i+len("timeout="):]
		end := 0
		for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
			end++
		}
		if seconds, err := strconv.Atoi(digits[:end]); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
