package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// Outcome says of a failed request whether it was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun says that the request was not run and will not be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown says that the request may have been run. It is never
	// repeated by the router.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// APIError is an error answer in the shape of the OpenAI API.
type APIError struct {
	Status     int
	Outcome    Outcome
	Type       string
	Parameter  string
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *APIError) Error() string { return e.Message }

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Parameter *string `json:"param"`
	Code      Outcome `json:"code"`
}

func (e *APIError) body() errorBody {
	detail := errorDetail{Message: e.Message, Type: e.Type, Code: e.Outcome}
	if e.Parameter != "" {
		detail.Parameter = &e.Parameter
	}
	return errorBody{Error: detail}
}

// invalid is the answer to a request that is at fault itself.
func invalid(status int, parameter, message string) *APIError {
	return &APIError{Status: status, Outcome: OutcomeNotRun, Type: "invalid_request_error", Parameter: parameter, Message: message}
}

// notRun is the answer to a request that cannot be served now. It comes at
// once and says when to come back.
func notRun(status int, message string, retryAfter time.Duration) *APIError {
	return &APIError{Status: status, Outcome: OutcomeNotRun, Type: "not_run", Message: message, RetryAfter: retryAfter}
}

func unknownOutcome(message string) *APIError {
	return &APIError{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Type: "outcome_unknown", Message: message}
}

// handleError writes an error answer, unless the answer has begun.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	answer := asAPIError(err)
	header := c.Response().Header()
	if answer.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
	header.Set(headerOutcome, string(answer.Outcome))
	g.metrics.refused(answer)
	if err := c.JSON(answer.Status, answer.body()); err != nil {
		g.logger.Debug("error answer was not delivered", "error", err)
	}
}

func asAPIError(err error) *APIError {
	var answer *APIError
	if errors.As(err, &answer) {
		return answer
	}
	var framework *echo.HTTPError
	if errors.As(err, &framework) {
		return invalid(framework.Code, "", http.StatusText(framework.Code))
	}
	if errors.Is(err, context.Canceled) {
		return notRun(499, "the caller went away", 0)
	}
	return &APIError{Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, Type: "server_error", Message: err.Error()}
}

// maxRequestID bounds the part of a request's name that the caller chooses.
const maxRequestID = 64

// identify names the request. The caller's own name is kept at its front; the
// rest makes it unique, so that no two requests meet at an engine.
func (g *Gateway) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := randomName()
		if own := c.Request().Header.Get(headerRequestID); validName(own) {
			id = own + "-" + id
		}
		c.Set(headerRequestID, id)
		// An earlier request of the connection may have left its deadline.
		_ = http.NewResponseController(c.Response().Writer).SetWriteDeadline(time.Time{})
		c.Response().Header().Set(headerRequestID, id)
		return next(c)
	}
}

func requestID(c echo.Context) string {
	id, _ := c.Get(headerRequestID).(string)
	return id
}

func randomName() string {
	var buffer [12]byte
	_, _ = rand.Read(buffer[:])
	return hex.EncodeToString(buffer[:])
}

func validName(name string) bool {
	if name == "" || len(name) > maxRequestID {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
