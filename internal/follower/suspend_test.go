package follower

import (
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/clock"
)

// A router that was suspended for longer than its right lasts served by keys that had
// been taken away meanwhile, until its first question was answered.
func TestTheRightEndsDuringASuspension(t *testing.T) {
	s := newScript(t)
	s.say(view(3))
	f := New(Config{Name: "r", Seeds: []string{s.address}, Lease: time.Minute, Decode: decode, Pool: nobody{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	var slept atomic.Int64
	f.clock = func() time.Duration { return clock.Now() + time.Duration(slept.Load()) }
	sent := f.now()
	assert.Assert(t, f.take(sent, view(3).View))
	assert.Assert(t, f.Fresh())
	slept.Store(int64(2 * time.Minute))
	assert.Assert(t, !f.Fresh())
	// An answer to a question from before gives no right.
	assert.Assert(t, f.take(sent, view(4).View))
	assert.Assert(t, !f.Fresh())
	assert.Assert(t, f.take(f.now(), view(4).View))
	assert.Assert(t, f.Fresh())
}
