package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
)

// BackendResponse is a response whose body is being read. It must be closed.
type BackendResponse struct {
	*http.Response
	pool       *Pool
	address    string
	connection *connection
	stop       func() bool
	written    chan error
	complete   bool
	closed     bool
}

// exchange writes the request and reads the header of its response.
func (a *BackendResponse) exchange(r *Request) *callError {
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
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			a.written <- err
		}()
	}
	response, err := a.readHeader(r, sent)
	if err != nil {
		return &callError{kind: ErrOutcomeUnknown, cause: err}
	}
	a.Response = response
	return nil
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
	for range maxForeignResponses {
		response, err := http.ReadResponse(a.connection.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(a.pool.idHeader) == r.ID {
			a.pool.pushbacks.ObserveResponse(r.Backend, r.Instance, response)
			a.pool.limits.ObserveResponse(r.Backend, r.Instance, sent, response)
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody)); err != nil {
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
		err = &callError{kind: ErrOutcomeUnknown, cause: err}
	}
	return n, err
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
	a.connection.expiresAt = clock.Now() + idleTimeout(a.Response.Header)
	a.pool.putIdle(a.address, a.connection)
}

// Framed reports whether the response has a length or is chunked. Otherwise it ends with its
// connection, and a truncated one cannot be told from a complete one.
func (a *BackendResponse) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

func (a *BackendResponse) reusable() bool {
	r := a.Response
	if r == nil || !a.complete || r.Close || !a.Framed() {
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
