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

// BackendResponse is an answer whose body is being read. Close must be called.
type BackendResponse struct {
	*http.Response
	pool       *Pool
	address    string
	connection *connection
	stop       func() bool
	written    chan error
	whole      bool
	closed     bool
}

// exchange writes the request and reads the head of its answer.
func (a *BackendResponse) exchange(r *Request) *callError {
	c := a.connection
	head := encodeHead(r)
	// Again, just before the send: other answers may have come while this one waited for
	// its connection.
	if err := a.pool.pushbacks.Check(r.Backend.ID); err != nil {
		return &callError{mark: ErrNotSent, cause: err}
	}
	if err := a.pool.limits.Spend(r.Backend.ID, r.Right); err != nil {
		return &callError{mark: ErrNotSent, cause: err}
	}
	sent := clock.Now()
	if len(r.Body) < asyncBody {
		if n, err := c.Write(append(head, r.Body...)); err != nil {
			return &callError{mark: sentMark(n), cause: err}
		}
	} else {
		a.written = make(chan error, 1)
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			a.written <- err
		}()
	}
	response, err := a.readHead(r, sent)
	if err != nil {
		return &callError{mark: ErrOutcomeUnknown, cause: err}
	}
	a.Response = response
	return nil
}

func sentMark(written int) error {
	if written == 0 {
		return ErrNotSent
	}
	return ErrOutcomeUnknown
}

// readHead reads past answers to other requests. Sent is when the request was written.
func (a *BackendResponse) readHead(r *Request, sent time.Duration) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxForeign {
		response, err := http.ReadResponse(a.connection.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(a.pool.idHeader) == r.ID {
			a.pool.pushbacks.ObserveResponse(r.Backend, r.Instance, response)
			a.pool.limits.Answered(r.Backend, r.Instance, sent, response)
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody)); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.New("only answers to other requests came")
}

// Read reads the body. An answer that is cut short ends with an error marked
// ErrUnknown, never with io.EOF.
func (a *BackendResponse) Read(buffer []byte) (int, error) {
	n, err := a.Response.Body.Read(buffer)
	switch {
	case err == io.EOF:
		a.whole = true
	case err != nil:
		err = &callError{mark: ErrOutcomeUnknown, cause: err}
	}
	return n, err
}

// Close ends the use of the connection. It is kept only after a whole answer
// to a request that was wholly written, with nothing behind it.
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
	a.connection.until = clock.Now() + keepTime(a.Response.Header)
	a.pool.put(a.address, a.connection)
}

// Framed tells whether the answer says where it ends. Else it ends with its
// connection, and one that is cut short can't be told from a whole one.
func (a *BackendResponse) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

func (a *BackendResponse) reusable() bool {
	r := a.Response
	if r == nil || !a.whole || r.Close || !a.Framed() {
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

// keepTime reads the time for which the back end keeps idle connections.
func keepTime(header http.Header) time.Duration {
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
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return defaultKeep
}
