package upstream

import (
	"net"
	"syscall"

	"quinceridge.example/quinceridge/internal/state"
)

// link is what remains of a connection for what has arrived over it, without its buffers. It implements
// pushback.Connection.
type link struct {
	conn     net.Conn
	openedAt state.UnixMilli
}

// OpenedAt implements pushback.Connection.
func (l *link) OpenedAt() state.UnixMilli { return l.openedAt }

// IsOpen implements pushback.Connection. It does not wait for a read in progress.
func (l *link) IsOpen() bool {
	conn, is := l.conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, failure := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || failure == syscall.EAGAIN || failure == syscall.EWOULDBLOCK || failure == syscall.EINTR
	})
	return err == nil && open
}
