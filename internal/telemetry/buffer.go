package telemetry

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending is the maximum size of the buffered log in bytes. Further lines are dropped and
	// counted.
	maxPending = 256 << 10
	flushDelay = 100 * time.Millisecond
	// flushSize is the size of the buffered log from which it is written at once: a process that is killed loses
	// few lines, and the last lines of one that ends fit into one read of a collector.
	flushSize = 4 << 10
)

// Buffer writes log lines asynchronously, so that a slow log reader does not delay requests.
type Buffer struct {
	out io.Writer

	mu             sync.Mutex
	pending        []byte
	writeMutex     sync.Mutex
	flushScheduled bool
	// flushing is set while a flush of flushSize bytes or more is due.
	flushing bool
	// dropped counts the lines that did not fit into the buffer.
	dropped int
}

// NewBuffer returns a buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write implements io.Writer. Each call takes a whole line.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxPending {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	if !b.flushScheduled {
		b.flushScheduled = true
		time.AfterFunc(flushDelay, b.Flush)
	}
	if len(b.pending) >= flushSize && !b.flushing {
		b.flushing = true
		go b.Flush()
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit into the buffer.
func (b *Buffer) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Flush writes the buffered lines.
func (b *Buffer) Flush() {
	b.writeMutex.Lock()
	defer b.writeMutex.Unlock()
	b.mu.Lock()
	lines := b.pending
	b.pending, b.flushScheduled, b.flushing = nil, false, false
	b.mu.Unlock()
	if len(lines) > 0 {
		_, _ = b.out.Write(lines)
	}
}
