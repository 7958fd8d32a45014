// Package listener accepts connections of clients that may break every limit. It counts what their requests
// take of the memory and of the descriptors of the process, bounds how long they may take, and closes those
// that hold most and make least progress.
package listener

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
	// CauseMemory: others needed the memory that the connection held, or there was none for what it sent.
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
	// refusedHeads counts requests whose head was larger than configured, and refusedMemory those for which
	// there was no memory, as far as the guard answered them.
	refusedHeads, refusedMemory atomic.Uint64
	outcomes                    outcomeLog

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

// Budget returns the memory that clients share.
func (g *Guard) Budget() *memory.Budget { return g.budget }

// sample is one value of a metric with a label.
type sample struct {
	name, label, value string
	number             uint64
}

// Names of metrics.
const (
	metricClosed      = "quinceridge_clients_closed_total"
	metricRequests    = "quinceridge_client_requests_total"
	metricRefused     = "quinceridge_clients_refused_total"
	metricConnections = "quinceridge_client_connections"
)

// samples returns the values of all metrics.
func (g *Guard) samples() []sample {
	out := []sample{
		{metricRefused, "reason", "head", g.refusedHeads.Load()},
		{metricRefused, "reason", "memory", g.refusedMemory.Load()},
	}
	for o := range outcomes {
		out = append(out, sample{metricRequests, "outcome", o.String(), g.outcomes.counts[o].Load()})
	}
	for cause := range causes {
		out = append(out, sample{metricClosed, "reason", cause.String(), g.closed[cause].Load()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		open, refused := l.count()
		name := l.config.Name
		out = append(out, sample{metricConnections, "listener", name, uint64(open)},
			sample{metricConnections + "_limit", "listener", name, uint64(l.config.Connections)},
			sample{metricConnections + "_refused_total", "listener", name, refused})
	}
	return out
}

// WriteTo writes the metrics in the Prometheus text format.
func (g *Guard) WriteTo(w io.Writer) (int64, error) {
	for _, s := range g.samples() {
		_, _ = fmt.Fprintf(w, "%s{%s=%q} %d\n", s.name, s.label, s.value, s.number)
	}
	return 0, nil
}

// Describe implements prometheus.Collector. The metrics are those of WriteTo.
func (g *Guard) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (g *Guard) Collect(out chan<- prometheus.Metric) {
	for _, s := range g.samples() {
		kind := prometheus.GaugeValue
		if strings.HasSuffix(s.name, "_total") {
			kind = prometheus.CounterValue
		}
		description := prometheus.NewDesc(s.name, "Connections and requests of clients (docs/OPERATIONS.md).", []string{s.label}, nil)
		out <- prometheus.MustNewConstMetric(description, kind, float64(s.number), s.value)
	}
}
