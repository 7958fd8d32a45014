package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quinceridge.example/quinceridge/internal/clock"
)

// ErrStalled means that the peer of a connection read nothing while bytes waited.
var ErrStalled = errors.New("the peer read nothing while bytes waited")

// stallChecks is the number of times within the limit that Write looks for progress. Each look wakes
// the writer, which counts with many stalled peers.
const stallChecks = 5

// heldChecks is stallChecks for a writer that is held.
const heldChecks = 20

// Write writes to a connection and returns ErrStalled once its peer has read nothing for limit while
// bytes waited. A peer that reads slowly is told from one that does not read by what it acknowledges.
// Write uses the connection's write deadline. It returns early if canceled, which may be nil, returns
// true; whoever cancels also sets the deadline to the past.
func Write(c net.Conn, p []byte, limit time.Duration, canceled func() bool) (int, error) {
	return WriteHeld(c, p, limit, canceled, func(time.Duration) bool { return false })
}

// WriteHeld is Write for bytes that may be held beyond limit. Hold is called repeatedly with the time for
// which the peer has read nothing, and WriteHeld returns ErrStalled once it returns false.
func WriteHeld(c net.Conn, p []byte, limit time.Duration, canceled func() bool, hold func(stalled time.Duration) bool) (int, error) {
	written, queued := 0, -1
	var since time.Duration
	checks := time.Duration(stallChecks)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(limit / checks))
		if canceled != nil && canceled() {
			_ = c.SetWriteDeadline(time.Unix(1, 0))
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Write(p[written:])
		written += n
		if err == nil {
			_ = c.SetWriteDeadline(time.Time{})
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, left := clock.Now(), Unacknowledged(c)
		if queued < 0 || n > 0 || left < queued {
			since, checks = now, stallChecks
		} else if stalled := now - since; stalled >= limit {
			if !hold(stalled) {
				return written, ErrStalled
			}
			checks = heldChecks
		}
		queued = left
	}
}

// Unacknowledged returns the bytes of a connection that its peer has not acknowledged, 0 if unknown.
func Unacknowledged(c net.Conn) int {
	bytes := 0
	withDescriptor(c, func(fd int) { bytes, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return bytes
}

// Unread returns the bytes of a connection that have arrived and were not read, 0 if unknown.
func Unread(c net.Conn) int {
	bytes := 0
	withDescriptor(c, func(fd int) { bytes, _ = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	return bytes
}

// withDescriptor calls use with the descriptor of a connection or listener, if it has one.
func withDescriptor(c any, use func(fd int)) {
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { use(int(fd)) })
		}
	}
}

// LimitUnsent bounds the bytes that the system keeps for a connection before they are sent. Without
// it the system keeps up to some MB for a peer that reads nothing.
func LimitUnsent(c net.Conn, bytes int) {
	withDescriptor(c, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes) })
}

// ReceiveBuffer returns a control function for net.Dialer that bounds the bytes that the system
// keeps for a connection until they are read.
func ReceiveBuffer(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		return errors.Join(err, failure)
	}
}

// Controls returns a control function that calls all of the given ones.
func Controls(controls ...func(network, address string, c syscall.RawConn) error) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		for _, control := range controls {
			if err := control(network, address, c); err != nil {
				return err
			}
		}
		return nil
	}
}
