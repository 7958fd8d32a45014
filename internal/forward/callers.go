package forward

import (
	"errors"
	"net"
	"net/http"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/socket"
)

const (
	// clientStallTimeout is the time after which a client that reads nothing while bytes wait is
	// disconnected: what waits for it is memory of the router and a running request of a back end.
	clientStallTimeout = 5 * time.Second
	// maxUnsent bounds the bytes that the system keeps for a client before they are sent.
	maxUnsent = 32 << 10
	// clientConnectionBytes is the memory of a client's connection, and requestBytes that of a request
	// without bodies. 1,000 stalled streams of small events take 48.2 KiB each, of which
	// upstream.Pool charges 8 KiB for the connection to the back end.
	clientConnectionBytes = 16 << 10
	requestBytes          = 24 << 10
	// maxStallLines bounds the log lines on disconnected clients within a second.
	maxStallLines = 20
)

// Listener returns a listener whose connections bound what waits for a slow client, and that
// disconnects clients that read nothing.
func (h *Handler) Listener(listener net.Listener) net.Listener {
	return &clientListener{Listener: listener, handler: h}
}

type clientListener struct {
	net.Listener
	handler *Handler
}

func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket.LimitUnsent(c, maxUnsent)
	return &clientConnection{Conn: c, handler: l.handler}, nil
}

// clientConnection is the connection of one client.
type clientConnection struct {
	net.Conn
	handler *Handler
}

// Write implements net.Conn. The server closes the connection after an error.
func (c *clientConnection) Write(p []byte) (int, error) {
	n, err := socket.Write(c.Conn, p, c.handler.clientStall, nil)
	if errors.Is(err, socket.ErrStalled) {
		c.handler.metrics.stalledClients.Add(1)
		if c.handler.stallLines.Allow(clock.Now(), maxStallLines) {
			c.handler.config.Logger.Warn("client disconnected", "part", "forward", "address", c.RemoteAddr().String(),
				"reason", stalledReason(c.handler.clientStall), "waiting", len(p)-n)
		}
		// The system would keep the bytes that were not sent and try to deliver them.
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	return n, err
}

func stalledReason(limit time.Duration) string {
	return "it read nothing for " + limit.String() + " while bytes waited"
}

// ConnState charges the connections of clients to the memory budget. It is a hook of http.Server.
func (h *Handler) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.config.Memory.Charge(clientConnectionBytes)
	case http.StateClosed, http.StateHijacked:
		h.config.Memory.Release(clientConnectionBytes)
	default:
	}
}
