package forward

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
)

// restartSilence is the silence from which an attempt at an address that a new start has taken is one at the
// start before.
const restartSilence = 2 * time.Second

// onCancelled ends the attempt with a cause of the pool's. If a new start has taken the address of its back
// end, which may run the attempt, it ends once it is silent.
func (a *attempt) onCancelled(cause error) {
	if !errors.Is(cause, backends.ErrAddressReused) {
		a.cancel(cause)
		return
	}
	if a.restarted.Swap(true) || a.endIfSilent() {
		return
	}
	w := newWatchdog(recheckDelay, a.endIfSilent)
	context.AfterFunc(a.ctx, w.stop)
}

// endIfSilent ends the attempt if it has been silent for restartSilence, and reports whether it did.
func (a *attempt) endIfSilent() bool {
	if a.awaited.silence(a.handler.clock()) < restartSilence {
		return false
	}
	a.cancel(backends.ErrRestarted)
	return true
}

// awaited is when a router began to wait for the next bytes of a back end. It is safe for concurrent use.
type awaited struct {
	// since is 0 while the router does not wait.
	since atomic.Int64
}

func (w *awaited) begin(now time.Duration) { w.since.Store(max(int64(now), 1)) }

func (w *awaited) end() { w.since.Store(0) }

// silence returns the time for which the next bytes have been awaited.
func (w *awaited) silence(now time.Duration) time.Duration {
	since := w.since.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}

// awaitedBody is the body of an attempt's response. It records when it waits for the back end.
type awaitedBody struct {
	io.ReadCloser
	attempt *attempt
}

func (b *awaitedBody) Read(buffer []byte) (int, error) {
	b.attempt.awaited.begin(b.attempt.handler.clock())
	defer b.attempt.awaited.end()
	return b.ReadCloser.Read(buffer)
}
