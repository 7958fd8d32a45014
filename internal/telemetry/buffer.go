package telemetry

import (
	"io"
	"sync"
	"time"
)

const (
	// bufferLimit bounds the log that waits to be written. Lines beyond it are
	// dropped and counted.
	bufferLimit = 256 << 10
	flushEvery  = 100 * time.Millisecond
)

// Buffer passes lines on to a writer from a goroutine of its own, so that a
// slow reader of the log never holds a request up.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	writing sync.Mutex
	armed   bool
	// Dropped counts lines that found the buffer full.
	dropped int
}

// NewBuffer returns a buffer before a writer.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write implements io.Writer. It takes one whole line.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > bufferLimit {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	if !b.armed {
		b.armed = true
		time.AfterFunc(flushEvery, b.Flush)
	}
	return len(line), nil
}

// Dropped returns how many lines found the buffer full.
func (b *Buffer) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Flush writes what is pending.
func (b *Buffer) Flush() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines := b.pending
	b.pending, b.armed = nil, false
	b.mu.Unlock()
	_, _ = b.out.Write(lines)
}
