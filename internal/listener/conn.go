package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/socket"
)

const (
	// fieldBytes is the memory that a field of a head takes beside its bytes: a map entry, a slice, and
	// both again in the request to the back end.
	fieldBytes = 192
	// freeHead is the estimate of a head that connectionBytes covers.
	freeHead = 4 << 10
	// refusedHead is the largest estimate of a head that is parsed without memory for it.
	refusedHead = 16 << 10
	// lingerTime and lingerBytes bound what is read of a connection that is closed with unread bytes.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// sentCheck is the interval at which a connection that is to be reset is checked for unsent bytes.
	sentCheck = 5 * time.Millisecond
	// unreadTimeout is the time for which the rest of a request is read that has been answered.
	unreadTimeout = time.Second
)

// errClosed is the error of reading from a connection that is closed for the sake of others. It is a
// timeout, on which servers close the connection without a response.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	account  *memory.Account
	head     headCounter
	// headBytes is what the account holds for the head.
	headBytes int64
	// headRead is set once the whole head of a request has been read, and outOfHead once it has been parsed, until its
	// response has been written.
	headRead, outOfHead atomic.Bool
	// headAt is when the first byte of the head arrived, 0 for none.
	headAt atomic.Int64
	// unframed is set while a request of HTTP/1.0 is handled, whose client takes the end of the connection for that of the
	// response unless the response has a length.
	unframed atomic.Bool
	// used is set once a request has been answered.
	used atomic.Bool
	// fate decides between a request that runs and a connection that is closed.
	fate atomic.Int32
	// ending is set once reads fail, and cut once writes fail too.
	ending, cut atomic.Bool
	// closing is set once Close has been called.
	closing atomic.Bool
	once    sync.Once
	// closed is closed with the connection.
	closed   chan struct{}
	progress progress
	// overdueBefore is set once a shutdown has found the head overdue. The lock of the listener guards it.
	overdueBefore bool

	// mu guards what follows, and orders it with the read deadline.
	mu sync.Mutex
	// idle is set while no byte of the next request has been read, and early if one was read before the last
	// response had been written.
	idle, early bool
	// retiring is set once the connection is to be closed when it is idle.
	retiring bool
	// unread is set while the server reads the rest of a body that the handler has not read.
	unread bool
}

// Values of Conn.fate. Only an undecided connection may be closed before a response: a request that runs
// goes on, and one that was closed does not run.
const (
	undecided int32 = iota
	runs
	closes
)

// begin lets the request run whose last byte has been read. It returns false if the connection is closed.
func (c *Conn) begin() bool {
	if !c.fate.CompareAndSwap(undecided, runs) {
		return false
	}
	c.account.SetRunning()
	return true
}

// Account returns what the connection holds of the memory budget.
func (c *Conn) Account() *memory.Account { return c.account }

// rank orders connections for closing, lowest first: those that have never sent a request, those without a
// request, and those whose request arrives. It returns false for those with a request that runs.
func (c *Conn) rank(now time.Duration) (rank int, eligible bool) {
	state := c.account.State()
	switch {
	case state == memory.Quiet && !c.used.Load() && !c.listener.config.Messages:
		return 0, true
	case state == memory.Quiet, state == memory.Finished && c.isFlushed(now):
		return 1, true
	case state == memory.Receiving:
		return 2, true
	default:
		return 0, false
	}
}

// isFlushed reports whether a response has had its time to be sent.
func (c *Conn) isFlushed(now time.Duration) bool {
	limit := sendTime
	if c.progress.written.Load() {
		limit = flushTime
	}
	return now-c.account.MovedAt() >= limit
}

// mayAbort decides that the connection is closed at once. It returns false if a request runs.
func (c *Conn) mayAbort() bool {
	return c.fate.CompareAndSwap(undecided, closes) || c.account.State() == memory.Finished || c.fate.Load() == closes
}

// abort closes the connection for a new one. A whole request that has been read is refused before, unless that takes
// long; one that arrives ends with the connection.
func (c *Conn) abort() {
	c.account.MarkEvicted()
	c.listener.guard.record(CauseConnections, c)
	state := c.account.State()
	refused := state == memory.Quiet || (state == memory.Receiving && c.headRead.Load())
	c.stopReading()
	if refused && !c.awaitClosed(flushTime) {
		go func() {
			c.awaitClosed(sendTime)
			reset(c.Conn)
		}()
		return
	}
	reset(c.Conn)
}

// awaitClosed waits until the server has closed the connection, and returns false if it does not within a time limit.
func (c *Conn) awaitClosed(limit time.Duration) bool {
	select {
	case <-c.closed:
		return true
	case <-time.After(limit):
		return false
	}
}

// overdue reports whether the connection exceeds a time limit.
func (c *Conn) overdue(now time.Duration, limits Limits) (Cause, bool) {
	switch c.account.State() {
	case memory.Quiet:
		return CauseIdle, now-c.account.MovedAt() >= limits.IdleTimeout
	case memory.Receiving:
		return CauseHead, c.headOverdue(now, limits.HeadTimeout)
	case memory.Responding:
		limit := c.listener.config.WriteTimeout
		return CauseUnread, limit > 0 && c.account.Blocked(now) >= limit
	default:
		return 0, false
	}
}

// headOverdue reports whether the head of a request has not arrived within a time limit. Bytes that wait to be read may
// be the rest of it.
func (c *Conn) headOverdue(now, limit time.Duration) bool {
	since := c.headAt.Load()
	return since > 0 && !c.headRead.Load() && !c.outOfHead.Load() && now-time.Duration(since) >= limit && socket.Unread(c.Conn) == 0
}

// close ends the connection and its request, unless that has been done.
func (c *Conn) close(cause Cause) {
	c.account.MarkEvicted()
	if !c.ending.Load() {
		c.end(cause)
	}
}

// end makes reads fail, on which the request is refused or the connection closed. A response that its peer
// does not read is cut.
func (c *Conn) end(cause Cause) {
	switch {
	case c.account.State() == memory.Responding:
		c.cut.Store(true)
		_ = c.SetWriteDeadline(past)
		c.stopReading()
	case c.retire():
	case c.fate.CompareAndSwap(undecided, closes):
		c.stopReading()
	default:
		return
	}
	c.listener.guard.record(cause, c)
}

// stopReading makes reads fail, on which the server closes the connection.
func (c *Conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending.Store(true)
	// A connection that cannot be bounded has ended.
	_ = c.Conn.SetReadDeadline(past)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. It has no effect once reads are to fail.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It has no effect once writes are to fail.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.cut.Load() {
		return c.Conn.SetWriteDeadline(past)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn. It counts the heads of requests before they are parsed. Bytes that have been read are
// returned also if the connection is to be closed, so that a whole request gets a response.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ending.Load() {
		return 0, errClosed
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.mayReadAgain() {
		n, err = c.Conn.Read(p)
	}
	c.progress.noteRead(err)
	if n > 0 {
		c.endIdle()
	}
	if n > 0 && !c.countRead(p[:n]) && !c.mayRefuse() {
		c.RecordNoMemory()
		return 0, errClosed
	}
	return n, err
}

// RecordNoMemory records that the connection is closed since there is no memory for what it has sent, unless it
// was evicted. Reads fail from then on.
func (c *Conn) RecordNoMemory() {
	if c.ending.CompareAndSwap(false, true) {
		c.listener.guard.record(CauseMemory, c)
	}
}

// Write implements net.Conn. It records what the peer reads, so that a peer that does not read can be told from
// one that reads slowly.
func (c *Conn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return 0, net.ErrClosed
	}
	if c.account.State() == memory.Running {
		c.account.BeginWriting()
	}
	n, err := c.Conn.Write(p)
	c.progress.noteWrite(n, err)
	c.account.Moved(n)
	if err == nil {
		c.account.EndWriting()
	}
	return n, err
}

// countRead counts bytes that have arrived, and returns false if there is no memory for them.
func (c *Conn) countRead(p []byte) bool {
	if c.outOfHead.Load() {
		c.account.Moved(len(p))
		return true
	}
	c.progress.arriving.Store(true)
	if c.headAt.Load() == 0 {
		c.headAt.Store(int64(c.account.SetState(memory.Receiving)))
	}
	c.account.Moved(len(p))
	c.head.count(p)
	if c.head.ended {
		c.headRead.Store(true)
	}
	return c.reserveHead(c.head.estimate())
}

// mayRefuse reports whether a head for which there is no memory is parsed nevertheless, so that its request is refused
// and not dropped: it is whole and small.
func (c *Conn) mayRefuse() bool { return c.head.ended && c.head.estimate() <= refusedHead }

// reserveHead makes the account hold the estimate of a head.
func (c *Conn) reserveHead(estimate int64) bool {
	more := estimate - freeHead - c.headBytes
	if more <= 0 {
		return true
	}
	if !c.account.Reserve(more) {
		return false
	}
	c.headBytes += more
	return true
}

// releaseHead returns what the account holds for the head.
func (c *Conn) releaseHead() {
	c.account.Release(c.headBytes)
	c.headBytes = 0
	c.head = headCounter{}
	c.headRead.Store(false)
	c.headAt.Store(0)
}

// CloseWrite closes the sending side, after which servers wait for the client to close.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what the system does with unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Conn. It lets the client read a response that has just been written.
func (c *Conn) Close() error {
	if c.closing.CompareAndSwap(false, true) {
		if c.isTruncated() {
			c.resetOnClose()
		} else {
			c.linger()
		}
	}
	c.once.Do(func() {
		c.listener.remove(c)
		c.account.Close()
		close(c.closed)
	})
	return c.Conn.Close()
}

// isTruncated reports whether the connection ends within a response whose client may take that for its end.
func (c *Conn) isTruncated() bool {
	return c.unframed.Load() && c.progress.written.Load() && c.progress.outcome(true) != answered
}

// resetOnClose makes Close reset the connection, once the client has received what was written or has had its time.
func (c *Conn) resetOnClose() {
	for begun := clock.Now(); clock.Since(begun) < lingerTime && socket.Unacknowledged(c.Conn) > 0 && !c.listener.isAbandoned(); {
		time.Sleep(sentCheck)
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that cannot be reset has ended.
		_ = tcp.SetLinger(0)
	}
}

// linger ends the sending side and reads what the client still sends, for a short time: closing with unread bytes resets
// the connection, which drops what the client has not read of the response. It does nothing unless a response has been
// written and bytes are unread, and ends early if the connection is closed meanwhile.
func (c *Conn) linger() {
	if !c.progress.written.Load() || c.cut.Load() || c.listener.config.Messages || c.listener.isAbandoned() || socket.Unread(c.Conn) == 0 || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	// The connection is closed however this ends.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// headCounter estimates the memory of a request's head from its bytes.
type headCounter struct {
	bytes, lines int64
	// ended is set at the empty line that ends the head, and atLineStart is set after a line break.
	ended, atLineStart bool
}

// count counts bytes up to the end of the head.
func (h *headCounter) count(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case b == '\n' && h.atLineStart:
			h.ended = true
		case b == '\n':
			h.lines++
			h.atLineStart = true
		case b != '\r':
			h.atLineStart = false
		}
	}
}

// estimate returns the memory of the head in bytes: its text, which is copied once, and its fields.
func (h *headCounter) estimate() int64 { return 2*h.bytes + fieldBytes*h.lines }
