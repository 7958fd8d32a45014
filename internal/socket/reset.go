package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection on Linux. One that is reset or times out is closed at once; one whose peer has only ended its
// side is not.
const (
	tcpEstablished = 1
	tcpClose       = 7
)

// ReportResets returns a connection whose reads end with io.EOF only if the peer has ended its side. The system
// returns the error of a connection once, to a read or to a write beside it; reads then return the end as if the peer
// had closed the connection. A peer that closes its socket with bytes unread resets the connection, whatever it has sent
// before.
func ReportResets(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// resetConn is a connection that keeps the error which a write has received.
type resetConn struct {
	net.Conn
	// mu is held by writes, and guards what follows.
	mu sync.Mutex
	// taken is the error of the connection that a write has received, nil for none.
	taken error
	// end is the error of reads at the end of the connection, nil while it is not known.
	end error
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.taken == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.taken = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == io.EOF:
		err = c.endError()
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.setEnd(err)
	}
	return n, err
}

// setEnd records the error of the connection that a read has received: writes get another one from then on.
func (c *resetConn) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil {
		c.end = err
	}
}

// endError returns io.EOF if the peer has ended its side, and otherwise the error of the connection.
func (c *resetConn) endError() error {
	state, err := tcpState(c.Conn)
	if err == nil && state != tcpClose {
		return io.EOF
	}
	// A write in progress ends with the connection.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil {
		c.end = endOf(c.taken, pendingError(c.Conn), err)
	}
	return c.end
}

// endOf returns the error of reads of a closed connection, by the error that a write has received, the one that nothing has
// received yet, and closed, which is set if this process has closed the connection. A reset behind the end of the peer's
// side is EPIPE, any other one ECONNRESET.
func endOf(taken, pending, closed error) error {
	switch {
	case errors.Is(taken, syscall.EPIPE), errors.Is(pending, syscall.EPIPE):
		return io.EOF
	case taken != nil:
		return taken
	case closed != nil:
		return closed
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

// tcpState returns the state of a connection, 0 if it has none, or an error if this process has closed it.
func tcpState(c net.Conn) (state uint8, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) {
		if info, failure := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failure == nil {
			state = info.State
		}
	})
	return state, err
}

// pendingError returns the error of a connection that nothing has received, and takes it.
func pendingError(c net.Conn) (pending error) {
	withDescriptor(c, func(fd int) {
		if number, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && number != 0 {
			pending = syscall.Errno(number)
		}
	})
	return pending
}

// IsOpen reports whether a peer may still use a connection: it has not ended its side, or bytes of it wait. It does
// not wait for a read in progress, and leaves the error of the connection to reads.
func IsOpen(c net.Conn) bool {
	state, err := tcpState(c)
	return err == nil && (state == tcpEstablished || Unread(c) > 0)
}
