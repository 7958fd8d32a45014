package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxBufferedBody bounds the body of a response that is buffered before it is forwarded.
	maxBufferedBody = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent     = 1 << 20
	streamBuffer = 4 << 10
)

// session is the response to one client request.
type session struct {
	handler *Handler
	client  http.ResponseWriter
	job     *job
	status  int
	// headerSent is set once a part of the response has been written, and bodySent once it is a
	// part of a body that no further attempt can continue.
	headerSent bool
	bodySent   bool
	// writeError is the error of writing a buffered response.
	writeError error
	// lastEventID is the ID of the last forwarded event, and lastEventNumber its numeric value.
	lastEventID     string
	lastEventNumber int64
	events          int
	firstAt         time.Duration
	// attempted is the back end of the present attempt, empty if that is made through another router, and
	// writer is the back end that wrote the first event.
	attempted backends.Choice
	writer    resumption.Writer
	// attemptedAt is when that attempt began, and gaveUp the cause with which the router cancelled the
	// last one; nil if it did not.
	attemptedAt time.Duration
	gaveUp      error
	// lastAt is when the last event was forwarded, and longestGap the longest pause between
	// two.
	lastAt     time.Duration
	longestGap time.Duration
	// stall cancels the attempt at a stalled stream that can be resumed elsewhere.
	stall *watchdog
	// tracked is the running attempt at an engine; nil for none.
	tracked *liveness.Stream
}

// bufferedResponse is a complete response of a back end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardResponse forwards a response to the client, or returns why it cannot be forwarded.
func (h *Handler) forwardResponse(ctx context.Context, s *session, response *upstream.BackendResponse) outcome {
	if response.StatusCode == http.StatusOK && s.job.route.Kind == traffic.KindStream {
		return s.stream(ctx, response)
	}
	body, whole, err := readPrefix(response, maxBufferedBody, &s.job.memory)
	if err != nil {
		return outcome{verdict: mayHaveRun, err: err, delivered: true}
	}
	read := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	names := &h.config.Headers
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != "":
		return outcome{verdict: notRun, response: read, delivered: true, err: errRejected}
	case response.StatusCode >= http.StatusInternalServerError && !whole:
		return s.forwardLargeFailure(response, body)
	case response.StatusCode >= http.StatusInternalServerError:
		return outcome{verdict: failed, response: read, delivered: true, err: errServerError}
	case response.StatusCode < http.StatusMultipleChoices && response.Header.Get(names.Signature) == "":
		return outcome{verdict: mayHaveRun, delivered: true, err: errNoSeal}
	case s.headerSent:
		return outcome{verdict: mayHaveRun, delivered: true, err: errServerError}
	}
	if !whole {
		if err := s.streamBody(response, body); err != nil {
			return outcome{verdict: mayHaveRun, err: err, delivered: true}
		}
		return outcome{verdict: done}
	}
	s.writeBuffered(read)
	return outcome{verdict: done}
}

// readPrefix reads a body up to limit bytes. Whole is false if the body is longer or the memory for
// it is not available; none of it is read if its length says so.
func readPrefix(response *upstream.BackendResponse, limit int64, reserved *memory.Reservation) (prefix []byte, whole bool, err error) {
	length := response.ContentLength
	switch {
	case response.Body == http.NoBody:
		// Reading it tells that the response is complete.
		_, err = io.Copy(io.Discard, response)
		return nil, true, err
	case length > limit:
		return nil, false, nil
	}
	prefix, err = readReserved(response, length, limit+1, reserved)
	if err == nil && length >= 0 {
		_, err = io.Copy(io.Discard, response)
	}
	if errors.Is(err, errMemory) {
		return prefix, false, nil
	}
	return prefix, int64(len(prefix)) <= limit, err
}

// forwardLargeFailure forwards a failure whose body is too large to be kept for later, unless
// another attempt may still succeed.
func (s *session) forwardLargeFailure(response *upstream.BackendResponse, prefix []byte) outcome {
	result := outcome{verdict: failed, delivered: true, err: errServerError}
	if s.headerSent || (s.job.route.Retryable() && s.job.ran+1 < s.job.route.MaxAttempts) {
		return result
	}
	if err := s.streamBody(response, prefix); err != nil {
		return outcome{verdict: mayHaveRun, delivered: true, err: err}
	}
	result.forwarded = true
	return result
}

// streamBody forwards a body while it arrives: the part that has been read, and the rest. An
// error means that the client's connection must be closed, since the body is incomplete.
func (s *session) streamBody(response *upstream.BackendResponse, prefix []byte) error {
	// Without chunks a truncation could not be shown to the client.
	if response.ContentLength < 0 && !s.job.chunked {
		s.client.Header().Set("Connection", "close")
		return errBodySize
	}
	s.copyHeader(response.Header)
	if response.ContentLength >= 0 {
		s.client.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	s.setStatus(response.StatusCode)
	s.firstAt = s.handler.now()
	s.headerSent, s.bodySent = true, true
	s.client.WriteHeader(s.status)
	if _, err := s.client.Write(prefix); err != nil {
		return &clientError{err}
	}
	// The response's own errors tell whether the request may have run.
	_, err := io.Copy(s.client, response)
	if err != nil && !errors.Is(err, upstream.ErrOutcomeUnknown) {
		return &clientError{err}
	}
	return err
}

// clientError is an error of writing to the client, which is no failure of the back end.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

// isLocal reports whether an attempt ended for a reason other than its back end.
func isLocal(err error) bool {
	var client *clientError
	return errors.As(err, &client) || errors.Is(err, errMemory)
}

var (
	errRejected       = errors.New("rejected")
	errBodySize       = errors.New("the body is too large to be forwarded without a length")
	errServerError    = errors.New("responded with a failure")
	errNoSeal         = errors.New("the response is not signed")
	errEventOrder     = errors.New("events are out of order")
	errEventSize      = errors.New("event is too large")
	errTruncatedEvent = errors.New("the stream ended within an event")
	errNoEvent        = errors.New("the stream ended without an event")
)

// copyHeader copies the back end's response headers, except those of the connection.
func (s *session) copyHeader(header http.Header) {
	out := s.client.Header()
	dropped := connectionHeaders(header)
	for name, values := range header {
		if !hopResponseHeaders[name] && !dropped[name] {
			out[name] = values
		}
	}
	if _, named := header["Content-Type"]; !named {
		out["Content-Type"] = nil
	}
	if _, named := header["Date"]; !named {
		out["Date"] = nil
	}
}

// hopResponseHeaders are response headers that concern one connection only.
var hopResponseHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, relay.HeaderDeclined: true, relay.HeaderSoftware: true}

// notRunStatuses are the statuses that tell a client that its request has not run and will not
// run later.
var notRunStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true}

// forwardedStatus returns the status with which the response of a back end that may have run the
// request is forwarded.
func forwardedStatus(status int) int {
	if notRunStatuses[status] {
		return http.StatusBadGateway
	}
	return status
}

// setStatus sets the status of a forwarded response. A signature vouches for the back end's own
// status, so that it is dropped with it.
func (s *session) setStatus(status int) {
	s.status = forwardedStatus(status)
	if s.status != status {
		s.client.Header().Del(s.handler.config.Headers.Signature)
	}
}

// writeBuffered forwards a complete response of a back end that may have run the request.
func (s *session) writeBuffered(response *bufferedResponse) {
	s.copyHeader(response.header)
	s.setStatus(response.status)
	s.writeBody(s.status, response.body)
}

// writeBody sends a status and a complete body.
func (s *session) writeBody(status int, body []byte) {
	s.status = status
	s.firstAt = s.handler.now()
	s.client.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.client.WriteHeader(status)
	// The back end has done its part; the log names the error.
	_, s.writeError = s.client.Write(body)
}

// stream forwards events as they arrive. The header is sent with the first event.
func (s *session) stream(ctx context.Context, response *upstream.BackendResponse) outcome {
	reader := bufio.NewReaderSize(response, streamBuffer)
	if response.Header.Get(s.handler.config.Headers.Signature) == "" {
		return outcome{verdict: mayHaveRun, delivered: true, err: errNoSeal}
	}
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0], &s.job.memory)
		if err == io.EOF && len(event) == 0 {
			return s.endStream(response)
		}
		if err == io.EOF {
			err = errTruncatedEvent
		}
		if err == nil {
			s.tracked.Event(s.handler.clock())
			err = s.writeEvent(response, event, !eventBuffered(reader))
			s.tracked.Forwarded(s.handler.clock())
		}
		if err != nil {
			return outcome{verdict: mayHaveRun, err: err, delivered: true}
		}
	}
}

func (s *session) endStream(response *upstream.BackendResponse) outcome {
	if !s.headerSent {
		return outcome{verdict: mayHaveRun, err: errNoEvent, delivered: true}
	}
	return outcome{verdict: done}
}

// eventBuffered reports whether another complete event is buffered. Flushing then waits for
// that event.
func eventBuffered(reader *bufio.Reader) bool {
	waiting, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n"))
}

// readEvent reads one event, including the empty line that ends it. A larger buffer than a
// stream has in any case is reserved.
func readEvent(reader *bufio.Reader, event []byte, reserved *memory.Reservation) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
		if needed := len(event) + len(line); needed > max(cap(event), streamBuffer) {
			larger := max(needed, 2*cap(event))
			if !reserved.Grow(int64(larger - cap(event))) {
				return event, errMemory
			}
			event = append(make([]byte, 0, larger), event...)
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEvent {
				return event, errEventSize
			}
			continue
		case err != nil:
			return event, err
		case len(event) > maxEvent:
			return event, errEventSize
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// writeEvent forwards one complete event. It drops events that the client already has.
func (s *session) writeEvent(response *upstream.BackendResponse, event []byte, flush bool) error {
	id, named := eventID(event)
	if named {
		number, err := strconv.ParseInt(id, 10, 64)
		if err == nil && s.lastEventID != "" && number <= s.lastEventNumber {
			if s.events == 0 {
				return errEventOrder
			}
			return nil
		}
		s.lastEventNumber = number
	}
	if !s.headerSent {
		s.begin(response)
		s.copyHeader(response.Header)
		if s.job.origin != nil {
			s.client.Header().Set(relay.HeaderSoftware, string(s.writer.Software))
		}
		s.status = response.StatusCode
		s.client.WriteHeader(response.StatusCode)
		s.headerSent = true
		s.firstAt = s.handler.now()
		s.lastAt = s.firstAt
	}
	s.recordGap()
	// While the client does not read, the back end is not silent.
	s.stall.pause()
	defer s.stall.extend()
	if _, err := s.client.Write(event); err != nil {
		return &clientError{err}
	}
	if flush {
		if err := http.NewResponseController(s.client).Flush(); err != nil {
			return &clientError{err}
		}
	}
	s.events++
	if named {
		s.lastEventID = strings.Clone(id)
	}
	return nil
}

// recordGap measures the pause before an event.
func (s *session) recordGap() {
	now := s.handler.now()
	s.longestGap = max(s.longestGap, now-s.lastAt)
	s.lastAt = now
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
