// Package listener accepts connections of clients that may break every limit. It counts what their requests
// take of the memory and of the descriptors of the process, bounds how long they may take, and closes those
// that hold most and make least progress.
package listener

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/periodic"
)

const (
	// sweepInterval is the time between checks for connections that exceed a time limit.
	sweepInterval = 500 * time.Millisecond
	// maxCloseLines bounds the log lines on closed connections within a second.
	maxCloseLines = 10
)

// Cause is why the process closes a client's connection.
type Cause int

// Causes of closing a connection.
const (
	// CauseMemory: others needed the memory that the connection held.
	CauseMemory Cause = iota
	// CauseConnections: the listener had its number of connections.
	CauseConnections
	// CauseHead: the head of a request did not arrive in time.
	CauseHead
	// CauseIdle: no request arrived in time.
	CauseIdle
	// CauseUnread: the client did not read a response in time.
	CauseUnread
	causes
)

var causeNames = [causes]string{"memory", "connections", "head", "idle", "unread"}

// String returns the name of the cause in metrics and log lines.
func (c Cause) String() string { return causeNames[c] }

// Guard bounds the connections of all listeners of a process. It is safe for concurrent use.
type Guard struct {
	budget *memory.Budget
	logger *slog.Logger
	lines  bounded.LineLimiter
	closed [causes]atomic.Uint64

	mu        sync.Mutex
	listeners map[*Listener]struct{}
}

// NewGuard returns a guard for listeners whose clients share a budget.
func NewGuard(budget *memory.Budget, logger *slog.Logger) *Guard {
	return &Guard{budget: budget, logger: logger, listeners: map[*Listener]struct{}{}}
}

// Run closes the connections that exceed a time limit until the context ends.
func (g *Guard) Run(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, func(context.Context) { g.sweep() })
}

func (g *Guard) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		l.closeOverdue()
	}
}

// record counts a connection that is closed, and logs it unless many are.
func (g *Guard) record(cause Cause, c *Conn) {
	g.closed[cause].Add(1)
	if g.lines.Allow(clock.Now(), maxCloseLines) {
		g.logger.Warn("client disconnected", "part", "listener", "listener", c.listener.config.Name, "address", c.RemoteAddr().String(),
			"reason", cause.String(), "held_bytes", c.account.Held(), "quiet_ms", clock.Since(c.account.MovedAt()).Milliseconds())
	}
}

// WriteTo writes the metrics in the Prometheus text format.
func (g *Guard) WriteTo(w io.Writer) (int64, error) {
	for cause := range causes {
		_, _ = fmt.Fprintf(w, "quinceridge_clients_closed_total{reason=%q} %d\n", cause.String(), g.closed[cause].Load())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		open, refused := l.count()
		_, _ = fmt.Fprintf(w, "quinceridge_client_connections{listener=%q} %d\n", l.config.Name, open)
		_, _ = fmt.Fprintf(w, "quinceridge_client_connections_limit{listener=%q} %d\n", l.config.Name, l.config.Connections)
		_, _ = fmt.Fprintf(w, "quinceridge_client_connections_refused_total{listener=%q} %d\n", l.config.Name, refused)
	}
	return 0, nil
}
