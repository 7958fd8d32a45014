package telemetry

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against lines of a burst that are dropped although the reader keeps up.
func TestBurstOfLinesIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBuffer(&out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 4 * maxPending >> 10
		for i := range lines {
			_, err := b.Write(line)
			assert.NilError(t, err)
			if i%16 == 0 {
				// The flush, if one is due, is done. No time passes.
				synctest.Wait()
			}
		}
		b.Flush()
		assert.Equal(t, b.Dropped(), 0)
		assert.Equal(t, out.Len(), lines*len(line))
	})
}

// Guards against last lines of a process that are lost because many were written with them.
func TestLinesAreWrittenAtOnceBeyondSizeOfFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBuffer(&out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range flushSize / len(line) {
			_, err := b.Write(line)
			assert.NilError(t, err)
		}
		synctest.Wait()
		assert.Equal(t, out.Len(), flushSize)
	})
}

// blockedOutput is an output whose reader does not read until release is closed. It is safe for concurrent use.
type blockedOutput struct {
	release chan struct{}
	written atomic.Int64
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.written.Add(int64(len(p)))
	return len(p), nil
}

func TestLinesBeyondTheBufferAreDroppedAndNotAwaited(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	b := NewBuffer(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxPending >> 10
	for range lines {
		_, err := b.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, b.Dropped() >= lines/2)
	close(out.release)
	b.Flush()
	assert.Equal(t, out.written.Load(), int64((lines-b.Dropped())*len(line)))
}
