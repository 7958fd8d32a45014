package ratelimit

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/vocabulary"
)

// A spare permit must be used once or released once, and only while it is valid.
func TestSparePermitIsUsedOrReleasedOnce(t *testing.T) {
	var now time.Duration
	r := New(vocabulary.Default(), slog.New(slog.DiscardHandler))
	r.clock = func() time.Duration { return now }
	r.AddSpare(Granted("a", 1, 0, PermitTTL))
	r.AddSpare(Granted("b", 2, 0, PermitTTL))
	assert.Equal(t, len(r.Spares()), 2)
	assert.Assert(t, r.TakeSpare("other") == nil)
	taken := r.TakeSpare("a")
	assert.NilError(t, r.Consume("a", taken))
	assert.Assert(t, r.TakeSpare("a") == nil)
	assert.Equal(t, len(r.Unused()), 0)
	now = PermitTTL
	assert.Assert(t, r.TakeSpare("b") == nil)
	assert.DeepEqual(t, r.Unused(), []uint64{2})
	assert.Equal(t, len(r.Unused()), 0)
	// It expired before it arrived.
	r.AddSpare(Granted("c", 3, 0, PermitTTL))
	assert.Equal(t, len(r.Spares()), 0)
	assert.DeepEqual(t, r.Unused(), []uint64{3})
}

func TestSparePermitsAreBounded(t *testing.T) {
	r := New(vocabulary.Default(), slog.New(slog.DiscardHandler))
	for i := range maxSpares + 2 {
		r.AddSpare(Granted("a", uint64(i), r.clock(), time.Hour))
	}
	assert.DeepEqual(t, r.Unused(), []uint64{0, 1})
}
