// Package socket sets what the standard library leaves to the system.
package socket

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the number of TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 0x12

// UserTimeout returns a control function for net.Dialer and net.ListenConfig:
// a connection ends when what was sent is not acknowledged for that long. A
// peer without power says nothing, and the system would wait for minutes.
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
