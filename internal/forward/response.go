package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxBufferedBody bounds the body of a response that is buffered before it is forwarded.
	maxBufferedBody = 16 << 20
	// maxBufferedUnsized is the same for a body without a length, which may have no end.
	maxBufferedUnsized = 256 << 10
	// maxBufferedFailure bounds the body of a response that is no success, and failureTimeout the time in
	// which it has to arrive: another attempt may follow.
	maxBufferedFailure = 256 << 10
	failureTimeout     = time.Second
	// maxEvent bounds one event of a stream.
	maxEvent     = 1 << 20
	streamBuffer = 4 << 10
	// copyBuffer is the buffer for a body that is forwarded while it arrives, and smallCopyBuffer the one
	// while the memory for requests is used up.
	copyBuffer      = 32 << 10
	smallCopyBuffer = 4 << 10
)

// session is the response to one client request.
type session struct {
	handler *Handler
	client  http.ResponseWriter
	job     *job
	race    *race
	// hedge is the hedge that the session belongs to, which has no client; nil for none.
	hedge  *hedge
	status int
	position
	// writeError is the error of writing a buffered response.
	writeError error
	firstAt    time.Duration
	// attempted is the back end of the present attempt, empty if that is made through another router.
	attempted backends.Choice
	// relay is the address of that router, empty for an attempt at a back end.
	relay string
	// attemptedAt is when that attempt began, and gaveUp the cause with which the router cancelled the
	// last one; nil if it did not.
	attemptedAt time.Duration
	gaveUp      error
	longestGap  time.Duration
	// stall begins a further attempt beside one whose stream has stalled.
	stall *watchdog
}

// position is how much of a response has been forwarded.
type position struct {
	// headerSent is set once a part of the response has been written, and bodySent once it is a
	// part of a body that no further attempt can continue.
	headerSent bool
	bodySent   bool
	// lastEventID is the ID of the last forwarded event, and lastEventNumber its numeric value.
	lastEventID     string
	lastEventNumber int64
	events          int
	// lastAt is when the last event was forwarded.
	lastAt time.Duration
	// writer is the back end that wrote the first event.
	writer resumption.Writer
}

// bufferedResponse is a complete response of a back end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// received is a response that is no stream, as far as it is buffered.
type received struct {
	*bufferedResponse
	// whole is set if that is all of it.
	whole bool
	// failure has an error if the response cannot be forwarded as a success.
	failure outcome
}

// forwardResponse forwards a response to the client, or returns why it cannot be forwarded.
func (h *Handler) forwardResponse(s *session, a *attempt) outcome {
	if a.isStream() {
		return s.stream(a)
	}
	var read received
	if a.ahead != nil {
		read = a.ahead.received
	} else {
		read = s.receive(a.response)
	}
	switch {
	case read.failure.verdict == failed && !read.whole:
		return s.forwardLargeFailure(a.response, read.body)
	case read.failure.err != nil:
		return read.failure
	case !s.race.goesOn():
		return replaced()
	case !read.whole:
		if err := s.streamBody(a.response, read.body); err != nil {
			return outcome{verdict: mayHaveRun, err: err, delivered: true}
		}
		return outcome{verdict: done}
	}
	s.writeBuffered(read.bufferedResponse)
	return outcome{verdict: done}
}

// replaced is the outcome of an attempt that a hedge has replaced.
func replaced() outcome { return outcome{verdict: mayHaveRun, err: errReplaced, delivered: true} }

// receive reads a response that is no stream as far as it is buffered. It does not read what cannot be
// forwarded.
func (s *session) receive(response *upstream.BackendResponse) received {
	names := &s.handler.config.Headers
	success := response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(names.Signature) == "" {
		return received{failure: outcome{verdict: mayHaveRun, delivered: true, err: errNoSeal}}
	}
	isRejection := response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != ""
	isFailure := response.StatusCode >= http.StatusInternalServerError
	limit := int64(maxBufferedBody)
	switch {
	case isRejection, isFailure:
		limit = maxBufferedFailure
		response.SetReadTimeout(failureTimeout)
	case response.ContentLength < 0:
		limit = maxBufferedUnsized
	}
	body, whole, err := readPrefix(response, limit, &s.job.memory)
	endless := errors.Is(err, upstream.ErrBodyTimeout) || (!whole && response.ContentLength < 0)
	if (isRejection || isFailure) && endless {
		// Nothing of it is forwarded: it may have no end.
		body, whole, err = nil, false, nil
	}
	if err != nil {
		return received{failure: outcome{verdict: mayHaveRun, err: err, delivered: true}}
	}
	read := received{bufferedResponse: &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, whole: whole}
	switch {
	case isRejection:
		read.failure = outcome{verdict: notRun, response: read.bufferedResponse, delivered: true, err: errRejected}
	case isFailure:
		read.failure = outcome{verdict: failed, delivered: true, err: errServerError}
		switch {
		case whole:
			read.failure.response = read.bufferedResponse
		case endless:
			read.failure.verdict = mayHaveRun
		default:
			response.SetReadTimeout(0)
		}
	case s.headerSent:
		read.failure = outcome{verdict: mayHaveRun, delivered: true, err: errServerError}
	}
	return read
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
	if !s.race.goesOn() {
		return replaced()
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
	s.extendDeadline()
	s.race.advance(func(p *position) { p.headerSent, p.bodySent = true, true })
	s.client.WriteHeader(s.status)
	if _, err := s.client.Write(prefix); err != nil {
		return &clientError{err}
	}
	size := copyBuffer
	if s.job.memory.Grow(copyBuffer) {
		defer s.job.memory.Shrink(copyBuffer)
	} else {
		size = smallCopyBuffer
	}
	// The response's own errors tell whether the request may have run. The client's own copying would take a
	// buffer that nobody counts.
	_, err := io.CopyBuffer(struct{ io.Writer }{s.client}, struct{ io.Reader }{response}, make([]byte, size))
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
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, relay.HeaderDeclined: true,
	relay.HeaderConfiguration: true, relay.HeaderSoftware: true, relay.HeaderPool: true}

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
func (s *session) stream(a *attempt) outcome {
	if a.response.Header.Get(s.handler.config.Headers.Signature) == "" {
		return outcome{verdict: mayHaveRun, delivered: true, err: errNoSeal}
	}
	var event []byte
	for {
		var err error
		event, err = a.nextEvent(event[:0])
		if err == io.EOF {
			return s.endStream()
		}
		if err == nil {
			a.tracked.Event(s.handler.clock())
			if !s.race.goesOn() {
				return replaced()
			}
			err = s.writeEvent(a.response, event, !eventBuffered(a.reader))
			s.race.forwarded()
			a.tracked.Forwarded(s.handler.clock())
		}
		if err != nil {
			return outcome{verdict: mayHaveRun, err: err, delivered: true}
		}
	}
}

func (s *session) endStream() outcome {
	if !s.headerSent {
		return outcome{verdict: mayHaveRun, err: errNoEvent, delivered: true}
	}
	if !s.race.goesOn() {
		return replaced()
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
		s.race.advance(func(p *position) { p.lastEventNumber = number })
	}
	if !s.headerSent {
		s.begin(response)
		s.copyHeader(response.Header)
		if s.job.origin != nil {
			s.client.Header().Set(relay.HeaderSoftware, string(s.writer.Software))
			s.client.Header().Set(relay.HeaderPool, s.writer.Pool)
		}
		s.status = response.StatusCode
		s.client.WriteHeader(response.StatusCode)
		s.firstAt = s.handler.now()
		s.extendDeadline()
		s.race.advance(func(p *position) { p.headerSent, p.lastAt = true, s.firstAt })
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
	s.race.advance(func(p *position) {
		p.events++
		if named {
			p.lastEventID = strings.Clone(id)
		}
	})
	return nil
}

// extendDeadline lets a response that has begun go on for as long as its client waits: no error can replace it.
func (s *session) extendDeadline() {
	s.race.mu.Lock()
	defer s.race.mu.Unlock()
	if s.job.extend != nil {
		s.job.extend()
		s.job.deadline = s.job.cutoff
	}
}

// recordGap measures the pause before an event.
func (s *session) recordGap() {
	now := s.handler.now()
	s.longestGap = max(s.longestGap, now-s.lastAt)
	s.race.advance(func(p *position) { p.lastAt = now })
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
