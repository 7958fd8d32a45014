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

// Outcome classifies a failed request by whether it was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that the request was not run and will not be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have been run. The router does not retry it.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// APIError is an error response in the format of the OpenAI API.
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

// invalid returns the error for an invalid request.
func invalid(status int, parameter, message string) *APIError {
	return &APIError{Status: status, Outcome: OutcomeNotRun, Type: "invalid_request_error", Parameter: parameter, Message: message}
}

// notRun returns the error for a request that cannot be served now, with the time after which to
// retry.
func notRun(status int, message string, retryAfter time.Duration) *APIError {
	return &APIError{Status: status, Outcome: OutcomeNotRun, Type: "not_run", Message: message, RetryAfter: retryAfter}
}

func unknownOutcome(message string) *APIError {
	return &APIError{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Type: "outcome_unknown", Message: message}
}

// handleError writes an error response, unless the response has begun.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	apiError := asAPIError(err)
	header := c.Response().Header()
	if apiError.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(apiError.RetryAfter.Seconds()))))
	}
	header.Set(headerOutcome, string(apiError.Outcome))
	g.metrics.refused(apiError)
	if err := c.JSON(apiError.Status, apiError.body()); err != nil {
		g.logger.Debug("cannot send error response", "error", err)
	}
}

func asAPIError(err error) *APIError {
	var apiError *APIError
	if errors.As(err, &apiError) {
		return apiError
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return invalid(httpError.Code, "", http.StatusText(httpError.Code))
	}
	if errors.Is(err, context.Canceled) {
		return notRun(499, "the caller went away", 0)
	}
	return &APIError{Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, Type: "server_error", Message: err.Error()}
}

// maxRequestID bounds the part of a request ID that the caller chooses.
const maxRequestID = 64

// assignRequestID sets the request's ID: the caller's own, if valid, followed by a random part
// that makes it unique at the engines.
func (g *Gateway) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := randomID()
		if own := c.Request().Header.Get(headerRequestID); validID(own) {
			id = own + "-" + id
		}
		c.Set(headerRequestID, id)
		// An earlier request on the connection may have set a deadline.
		_ = http.NewResponseController(c.Response().Writer).SetWriteDeadline(time.Time{})
		c.Response().Header().Set(headerRequestID, id)
		return next(c)
	}
}

func requestID(c echo.Context) string {
	id, _ := c.Get(headerRequestID).(string)
	return id
}

func randomID() string {
	var buffer [12]byte
	_, _ = rand.Read(buffer[:])
	return hex.EncodeToString(buffer[:])
}

func validID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
