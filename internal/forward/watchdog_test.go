package forward

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A router that was suspended must read what has arrived meanwhile before it gives a back end up.
func TestWatchdogWaitsAfterSuspension(t *testing.T) {
	var fired atomic.Bool
	w := newWatchdog(50*time.Millisecond, func() bool {
		fired.Store(true)
		return true
	})
	defer w.stop()
	// The callback of the timer is held up, as by a suspension of the process.
	w.mu.Lock()
	time.Sleep(300 * time.Millisecond)
	w.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, !fired.Load(), "fired although events may have arrived")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !fired.Load() {
			return poll.Continue("not fired")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}
