// Package socket sets socket options that the standard library does not support.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the value of TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 0x12

// SetUserTimeout replaces the limit of UserTimeout for a connection; 0 for none.
func SetUserTimeout(c net.Conn, limit time.Duration) {
	withDescriptor(c, func(fd int) {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
}

// UserTimeout returns a control function for net.Dialer and net.ListenConfig that closes a
// connection whose data stays unacknowledged for limit. By default the system waits for minutes,
// for example if the peer lost power.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// Backlog returns the number of connections of a listener that wait to be accepted, 0 if unknown.
func Backlog(l net.Listener) int {
	waiting := 0
	withDescriptor(l, func(fd int) {
		// For a listening socket the kernel reports the length of its accept queue as unacknowledged.
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
