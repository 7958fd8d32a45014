package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Stage is how far an attempt came.
type Stage int

// The stages of an attempt.
const (
	// StageConnecting has sent nothing.
	StageConnecting Stage = iota
	// StageSent may have sent a first byte.
	StageSent
	// StageRefused was answered by a refusal: it was not run.
	StageRefused
	// StageAccepted was accepted by the engine.
	StageAccepted
	// StageStreaming has received a token.
	StageStreaming
	// StageEnded has received the proper end.
	StageEnded
)

// String returns the stage's name in logs.
func (s Stage) String() string {
	return [...]string{"connecting", "sent", "refused", "accepted", "streaming", "ended"}[s]
}

// RefusalError is an engine's refusal. The request was not run there.
type RefusalError struct {
	Status  int
	Kind    engineapi.ErrorKind
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine refused with %d %s: %s", e.Status, e.Kind, e.Message)
}

// callerError is a failure to give the answer to the caller. No other attempt
// can help.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "give answer to caller: " + e.cause.Error() }

func (e *callerError) Unwrap() error { return e.cause }

func isCallerError(err error) bool {
	var caller *callerError
	return errors.As(err, &caller)
}

// ErrNotSent is the mark of attempts that ended before a byte was sent.
var ErrNotSent = errors.New("nothing was sent")

// began tells whether the engine may have begun when an attempt ended at a
// stage. A refused resume says nothing of what went before it.
func began(stage Stage, err error) bool {
	return stage >= StageAccepted || (stage == StageSent && !notRun(err))
}

// notRun tells whether the engine surely did not begin.
func notRun(err error) bool {
	var refusal *RefusalError
	return errors.As(err, &refusal) || errors.Is(err, ErrNotSent)
}

// pause waits before a retry, with jitter, longer each time.
func (d *Dispatcher) pause(ctx context.Context, attempt int) {
	mean := d.config.Backoff << min(attempt-1, 4)
	wait := time.Duration(rand.Int64N(int64(2 * mean)))
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
