package listener

import (
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
)

// maxOutcomeLines bounds the log lines on requests without a response within a second.
const maxOutcomeLines = 50

// outcome is how a request that has been read, or a part of it, ended for its client. Each has one.
type outcome int

const (
	// answered: the whole response was written.
	answered outcome = iota
	// rejected: the server responded before a handler ran.
	rejected
	// left: the client closed or reset the connection before the response had been written.
	left
	// incomplete: the connection was closed before the whole head had been read.
	incomplete
	// aborted: the handler ended without a complete response.
	aborted
	// unsent: the process closed the connection, or could not write, while the handler ran.
	unsent
	// unhandled: the whole head had been read, and no handler ran.
	unhandled
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "rejected", "left", "incomplete", "aborted", "unsent", "unhandled"}

// String returns the name of the outcome in metrics and log lines.
func (o outcome) String() string { return outcomeNames[o] }

// withoutResponse reports whether the process ended the request without a response.
func (o outcome) withoutResponse() bool { return o == aborted || o == unsent || o == unhandled }

// progress is how far the request of a connection has come. The goroutine that serves the connection writes it,
// except where noted.
type progress struct {
	// arriving is set from the first byte of a request until its outcome is counted.
	arriving atomic.Bool
	// handled is set once a handler runs, and returned once it has returned normally.
	handled, returned atomic.Bool
	// written is set once a byte of a response was written, and failed while the last write failed. Reads in
	// the background do not change them.
	written, failed atomic.Bool
	// left is set once the client has closed or reset the connection. Any read may set it.
	left atomic.Bool
}

// noteRead records the error of a read.
func (p *progress) noteRead(err error) {
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
		p.left.Store(true)
	}
}

// noteWrite records a write.
func (p *progress) noteWrite(n int, err error) {
	p.failed.Store(err != nil)
	if n > 0 {
		p.written.Store(true)
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		p.left.Store(true)
	}
}

// outcome returns how the request ended. Whole reports whether its head has been read.
func (p *progress) outcome(whole bool) outcome {
	switch {
	case p.handled.Load() && p.returned.Load() && !p.failed.Load():
		return answered
	case p.left.Load():
		return left
	case p.handled.Load() && !p.returned.Load():
		return aborted
	case p.handled.Load():
		return unsent
	case p.written.Load():
		return rejected
	case whole:
		return unhandled
	}
	return incomplete
}

// outcomeLog counts outcomes and logs requests without a response. It is safe for concurrent use.
type outcomeLog struct {
	counts [outcomes]atomic.Uint64
	lines  bounded.LineLimiter
}

// settle counts the outcome of the connection's request, if there is one that has none yet.
func (c *Conn) settle() {
	p := &c.progress
	if !p.arriving.Swap(false) {
		return
	}
	o := p.outcome(c.head.ended)
	p.handled.Store(false)
	p.returned.Store(false)
	p.written.Store(false)
	g := c.listener.guard
	g.outcomes.counts[o].Add(1)
	read := time.Duration(0)
	if at := c.headAt.Load(); at > 0 {
		read = clock.Since(time.Duration(at))
	}
	if o.withoutResponse() && g.outcomes.lines.Allow(clock.Now(), maxOutcomeLines) {
		g.logger.Warn("request ended without a response", "part", "listener", "listener", c.listener.config.Name, "address", c.RemoteAddr().String(),
			"outcome", o.String(), "head_bytes", c.head.bytes, "read_ms", read.Milliseconds())
	}
}

// LogOutcomes logs how many requests have ended in which way.
func (g *Guard) LogOutcomes(message string, attributes ...any) {
	counts := make([]any, 0, int(outcomes))
	for o := range outcomes {
		counts = append(counts, slog.Uint64(o.String(), g.outcomes.counts[o].Load()))
	}
	g.logger.Info(message, append(attributes, slog.Group("requests", counts...))...)
}
