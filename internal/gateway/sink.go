package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/engineapi"
)

// sink sends a response to the caller, as events or as a whole.
type sink struct {
	context    echo.Context
	gateway    *Gateway
	generation *generation
	controller *http.ResponseController
	// text and last collect a response that is sent as a whole.
	text strings.Builder
	last *engineapi.Chunk
	seen bool
}

func newSink(c echo.Context, g *Gateway, r *generation) *sink {
	return &sink{context: c, gateway: g, generation: r, controller: http.NewResponseController(c.Response().Writer)}
}

// Chunk implements dispatch.Sink.
func (s *sink) Chunk(token dispatch.Token, data string, chunk *engineapi.Chunk) error {
	if !s.seen {
		s.seen = true
		wait := time.Since(s.generation.started)
		s.gateway.metrics.observeFirstToken(s.generation.class, wait)
		s.generation.job.Span.Step("first token", token.Engine)
	}
	s.gateway.metrics.tokens.Inc()
	if chunk.Usage != nil {
		s.gateway.metrics.prompt.Add(float64(chunk.Usage.PromptTokens))
		s.gateway.metrics.cached.Add(float64(chunk.Usage.Details.CachedTokens))
	}
	if !s.generation.request.Stream {
		s.text.WriteString(chunk.Choices[0].Content())
		s.last = chunk
		return nil
	}
	s.begin()
	return s.write("id: " + token.String() + "\ndata: " + data + "\n\n")
}

// begin sends the headers of a stream.
func (s *sink) begin() {
	response := s.context.Response()
	if response.Committed {
		return
	}
	header := response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	response.WriteHeader(http.StatusOK)
}

func (s *sink) write(text string) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.context.Response().Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(s.controller.Flush(), "flush event")
}

// finish completes the response, with the end marker or an error.
func (s *sink) finish(err error) error {
	switch {
	case err == nil && s.generation.request.Stream:
		return s.write("data: " + engineapi.Done + "\n\n")
	case err == nil:
		return s.writeResponse()
	case s.context.Response().Committed:
		s.gateway.metrics.cut()
		return s.writeError(err)
	}
	return asRefusal(err)
}

// writeError ends a stream with an error event.
func (s *sink) writeError(cause error) error {
	body := (&APIError{Outcome: OutcomeUnknown, Type: "answer_cut", Message: cause.Error()}).body()
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode error event")
	}
	if err := s.write("event: error\ndata: " + string(text) + "\n\n"); err != nil {
		return err
	}
	return cause
}

// writeResponse sends the response as one JSON object.
func (s *sink) writeResponse() error {
	response := s.last
	choice := &response.Choices[0]
	text := s.text.String()
	if choice.Delta != nil {
		choice.Delta = nil
		choice.Message = &engineapi.Message{Role: "assistant", Content: text}
		response.Object = "chat.completion"
	} else {
		choice.Text = text
		response.Object = "text_completion"
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.context.JSON(http.StatusOK, response)
}

// asRefusal converts the error of a request without any response to an API error.
func asRefusal(err error) error {
	var refusal *dispatch.RefusalError
	switch {
	case errors.Is(err, dispatch.ErrNotHeld):
		return invalid(http.StatusGone, headerLastEventID, err.Error())
	case errors.As(err, &refusal) && refusal.Kind == engineapi.KindInvalid:
		return invalid(http.StatusBadRequest, "", refusal.Message)
	case errors.Is(err, dispatch.ErrNotRun):
		return notRun(http.StatusServiceUnavailable, err.Error(), time.Second)
	case errors.Is(err, dispatch.ErrInterrupted):
		return unknownOutcome(err.Error())
	}
	return err
}
