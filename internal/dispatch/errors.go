package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Stage is the stage that an attempt has reached.
type Stage int

// The stages of an attempt.
const (
	// StageConnecting means that nothing has been sent.
	StageConnecting Stage = iota
	// StageSent means that a part of the request may have been sent.
	StageSent
	// StageRefused means that the engine has refused the request without running it.
	StageRefused
	// StageAccepted means that the engine has accepted the request.
	StageAccepted
	// StageStreaming means that an event has been received.
	StageStreaming
	// StageEnded means that the end marker of the stream has been received.
	StageEnded
)

// String returns the stage's name for logs.
func (s Stage) String() string {
	return [...]string{"connecting", "sent", "refused", "accepted", "streaming", "ended"}[s]
}

// RefusalError is a refusal by an engine, which has not run the request.
type RefusalError struct {
	// Status is the HTTP status.
	Status  int
	Kind    engineapi.ErrorKind
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine refused with %d %s: %s", e.Status, e.Kind, e.Message)
}

// callerError is a failure to write the answer to the caller. It is not retried.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "give answer to caller: " + e.cause.Error() }

func (e *callerError) Unwrap() error { return e.cause }

func isCallerError(err error) bool {
	var caller *callerError
	return errors.As(err, &caller)
}

// ErrStopping is the cause with which requests are cancelled when the router's stop reaches its limit.
var ErrStopping = errors.New("the router stops")

// ErrNotSent marks errors of attempts that failed before any byte was sent.
var ErrNotSent = errors.New("nothing was sent")

// mayHaveBegun reports whether the engine may have begun to run the request, if the attempt ended
// at the given stage. It does not account for earlier attempts, which a refused resume follows.
func mayHaveBegun(stage Stage, err error) bool {
	return stage >= StageAccepted || (stage == StageSent && !notRun(err))
}

// notRun reports whether the engine has certainly not begun to run the request.
func notRun(err error) bool {
	var refusal *RefusalError
	return errors.As(err, &refusal) || errors.Is(err, ErrNotSent)
}

// waitBeforeRetry waits for a random delay whose mean doubles with each attempt, up to 16 times
// Backoff, or until the context is done.
func (d *Dispatcher) waitBeforeRetry(ctx context.Context, attempt int) {
	meanDelay := d.config.Backoff << min(attempt-1, 4)
	delay := time.Duration(rand.Int64N(int64(2 * meanDelay)))
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
