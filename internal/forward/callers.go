package forward

import (
	"errors"
	"net"
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
	// requestBytes is the memory of a request without bodies. 1,000 stalled streams of small events take
	// 48.2 KiB each, of which the listener counts 16 KiB for the connection to the client and upstream.Pool
	// 8 KiB for that to the back end.
	requestBytes = 24 << 10
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
		if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingerer.SetLinger(0)
		}
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *clientConnection) NetConn() net.Conn { return c.Conn }

func stalledReason(limit time.Duration) string {
	return "it read nothing for " + limit.String() + " while bytes waited"
}
