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

	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxWhole bounds an answer that is read whole before it is passed on.
	maxWhole = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent     = 1 << 20
	streamBuffer = 4 << 10
)

// session is the caller's side of one request.
type session struct {
	handler *Handler
	writer  http.ResponseWriter
	job     *job
	status  int
	// begun says that a part of an answer has left.
	begun bool
	// lastEvent is the ID of the last event that was passed on, and lastNumber
	// its value.
	lastEvent  string
	lastNumber int64
	events     int
	firstAt    time.Duration
	// lastAt is when the last event was passed on, and longestGap the longest
	// pause between two.
	lastAt     time.Duration
	longestGap time.Duration
	// stall watches for pauses of a stream that may go on elsewhere.
	stall *alarm
}

// whole is a back end's whole answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// take passes an answer on, or says why it cannot be.
func (h *Handler) take(ctx context.Context, s *session, answer *upstream.BackendResponse) outcome {
	if answer.StatusCode == http.StatusOK && s.job.route.Kind == traffic.KindStream {
		return s.stream(ctx, answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole))
	if err != nil {
		return outcome{verdict: mayHaveRun, err: err, arrived: true}
	}
	read := &whole{status: answer.StatusCode, header: answer.Header, body: body}
	names := &h.config.Headers
	switch {
	case answer.StatusCode == http.StatusMisdirectedRequest || answer.Header.Get(names.NotRun) != "":
		return outcome{verdict: notRun, answer: read, arrived: true, err: errTurnedAway}
	case answer.StatusCode >= http.StatusInternalServerError:
		return outcome{verdict: failed, answer: read, arrived: true, err: errAnsweredFailure}
	case answer.StatusCode < http.StatusMultipleChoices && answer.Header.Get(names.Signature) == "":
		return outcome{verdict: mayHaveRun, arrived: true, err: errNoSeal}
	case s.begun:
		return outcome{verdict: mayHaveRun, arrived: true, err: errAnsweredFailure}
	}
	s.writeWhole(read)
	return outcome{verdict: done}
}

var (
	errTurnedAway      = errors.New("turned away")
	errAnsweredFailure = errors.New("answered with a failure")
	errNoSeal          = errors.New("the answer is not signed")
	errEventOrder      = errors.New("the events are not in order")
	errEventSize       = errors.New("an event is too large")
	errHalfEvent       = errors.New("the stream ended within an event")
	errNoEvent         = errors.New("the stream ended without an event")
)

// copyHead passes the back end's headers on.
func (s *session) copyHead(header http.Header) {
	out := s.writer.Header()
	dropped := connectionNamed(header)
	for name, values := range header {
		if !hopAnswer[name] && !dropped[name] {
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

var hopAnswer = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

func (s *session) writeWhole(answer *whole) {
	s.copyHead(answer.header)
	s.status = answer.status
	s.firstAt = s.handler.now()
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	s.writer.WriteHeader(answer.status)
	_, _ = s.writer.Write(answer.body)
}

// stream passes events on as they come. The head leaves with the first event.
func (s *session) stream(ctx context.Context, answer *upstream.BackendResponse) outcome {
	reader := bufio.NewReaderSize(answer, streamBuffer)
	if answer.Header.Get(s.handler.config.Headers.Signature) == "" {
		return outcome{verdict: mayHaveRun, arrived: true, err: errNoSeal}
	}
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		if err == io.EOF && len(event) == 0 {
			return s.endStream(answer)
		}
		if err == io.EOF {
			err = errHalfEvent
		}
		if err == nil {
			err = s.passEvent(answer, event, !eventWaits(reader))
		}
		if err != nil {
			return outcome{verdict: mayHaveRun, err: err, arrived: true}
		}
	}
}

func (s *session) endStream(answer *upstream.BackendResponse) outcome {
	if !s.begun {
		return outcome{verdict: mayHaveRun, err: errNoEvent, arrived: true}
	}
	return outcome{verdict: done}
}

// eventWaits tells whether another whole event has been read already. Only then
// is an event held back for a moment, to leave together with the next.
func eventWaits(reader *bufio.Reader) bool {
	waiting, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n"))
}

// readEvent reads up to and with the empty line that ends an event.
func readEvent(reader *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
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

// passEvent writes one whole event. Events that the caller has are dropped.
func (s *session) passEvent(answer *upstream.BackendResponse, event []byte, flush bool) error {
	id, named := eventID(event)
	if named {
		number, err := strconv.ParseInt(id, 10, 64)
		if err == nil && s.lastEvent != "" && number <= s.lastNumber {
			if s.events == 0 {
				return errEventOrder
			}
			return nil
		}
		s.lastNumber = number
	}
	if !s.begun {
		s.copyHead(answer.Header)
		s.status = answer.StatusCode
		s.writer.WriteHeader(answer.StatusCode)
		s.begun = true
		s.firstAt = s.handler.now()
		s.lastAt = s.firstAt
	}
	s.noteGap()
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	if flush {
		s.writer.(http.Flusher).Flush()
	}
	s.events++
	if named {
		s.lastEvent = strings.Clone(id)
	}
	return nil
}

// noteGap measures the pause before an event.
func (s *session) noteGap() {
	now := s.handler.now()
	s.stall.putOff()
	s.longestGap = max(s.longestGap, now-s.lastAt)
	s.lastAt = now
}

// eventID returns the value of an event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
