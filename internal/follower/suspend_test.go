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

// A router that was suspended beyond its lease must not serve by an outdated configuration
// before its first watch returns.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(3))
	f := New(Config{Name: "r", Seeds: []string{s.address}, Lease: time.Minute, Decode: decode, Pool: discardPool{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	var suspended atomic.Int64
	f.clock = func() time.Duration { return clock.Now() + time.Duration(suspended.Load()) }
	sent := f.now()
	assert.Assert(t, f.applyView(sent, view(3).View))
	assert.Assert(t, f.Fresh())
	suspended.Store(int64(2 * time.Minute))
	assert.Assert(t, !f.Fresh())
	// A reply to a request sent before the suspension does not renew the lease.
	assert.Assert(t, f.applyView(sent, view(4).View))
	assert.Assert(t, !f.Fresh())
	assert.Assert(t, f.applyView(f.now(), view(4).View))
	assert.Assert(t, f.Fresh())
}
