package upstream

import (
	"net"

	"quinceridge.example/quinceridge/internal/socket"
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
func (l *link) IsOpen() bool { return socket.IsOpen(l.conn) }
