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
	var reused backends.AddressReused
	if !errors.As(cause, &reused) {
		a.cancel(cause)
		return
	}
	if before := a.successor.Swap(&reused.Successor); before != nil && *before == reused.Successor {
		return
	}
	knownAt := a.handler.clock()
	// The watchdog leaves time to read what has arrived while the process was suspended.
	w := newWatchdog(recheckDelay, func() bool { return a.endIfSilent(knownAt) })
	context.AfterFunc(a.ctx, w.stop)
}

// endIfSilent ends the attempt if it has been silent for restartSilence. It returns false if it is to be called
// again. What has arrived since the restart was known comes from the new start.
func (a *attempt) endIfSilent(knownAt time.Duration) bool {
	if a.awaited.lastAt() > knownAt {
		return true
	}
	if a.awaited.silence(a.handler.clock()) < restartSilence {
		return false
	}
	a.cancel(backends.ErrRestarted)
	return true
}

// awaited is when a router began to wait for the next bytes of a back end, and when the last ones arrived. It
// is safe for concurrent use.
type awaited struct {
	// since is 0 while the router does not wait, and last is 0 before the first bytes.
	since, last atomic.Int64
}

func (w *awaited) begin(now time.Duration) { w.since.Store(max(int64(now), 1)) }

// end records that the wait is over; arrived is set if bytes arrived.
func (w *awaited) end(now time.Duration, arrived bool) {
	if arrived {
		w.last.Store(int64(now))
	}
	w.since.Store(0)
}

// lastAt returns when the last bytes arrived.
func (w *awaited) lastAt() time.Duration { return time.Duration(w.last.Load()) }

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
	a := b.attempt
	a.awaited.begin(a.handler.clock())
	n, err := b.ReadCloser.Read(buffer)
	a.awaited.end(a.handler.clock(), n > 0)
	return n, err
}
