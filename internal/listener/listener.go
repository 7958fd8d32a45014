package listener

import (
	"cmp"
	"net"
	"sync"
	"time"
)

// connectionBytes is the memory of an open connection with a small head.
const connectionBytes = 16 << 10

// Config configures a listener.
type Config struct {
	// Name names the listener in metrics and log lines.
	Name string
	// Limits returns the limits in force.
	Limits func() Limits
}

// Limits bound the requests of clients. A zero value means the default.
type Limits struct {
	// HeadBytes is the maximum size of a request's head.
	HeadBytes int
	// HeadTimeout is the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout is the time for which a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultHeadBytes   = 64 << 10
	DefaultHeadTimeout = 10 * time.Second
	DefaultIdleTimeout = 2 * time.Minute
)

// DefaultLimits returns the defaults.
func DefaultLimits() Limits { return Limits{}.withDefaults() }

func (l Limits) withDefaults() Limits {
	return Limits{HeadBytes: cmp.Or(l.HeadBytes, DefaultHeadBytes), HeadTimeout: cmp.Or(l.HeadTimeout, DefaultHeadTimeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, DefaultIdleTimeout)}
}

// Listener accepts connections within the bounds of a guard.
type Listener struct {
	net.Listener
	guard  *Guard
	config Config

	mu          sync.Mutex
	connections map[*Conn]struct{}
}

// Listen wraps a listener.
func (g *Guard) Listen(inner net.Listener, config Config) *Listener {
	if config.Limits == nil {
		config.Limits = DefaultLimits
	}
	l := &Listener{Listener: inner, guard: g, config: config, connections: map[*Conn]struct{}{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[l] = struct{}{}
	return l
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.guard.mu.Lock()
	delete(l.guard.listeners, l)
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.add(inner), nil
}

func (l *Listener) add(inner net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Conn{Conn: inner, listener: l}
	c.account = l.guard.budget.OpenAccount(connectionBytes, func() { c.end(CauseMemory) })
	l.connections[c] = struct{}{}
	return c
}

// closeOverdue closes the connections that exceed a time limit.
func (l *Listener) closeOverdue() {
	limits := l.config.Limits().withDefaults()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		if cause, overdue := c.overdue(limits); overdue {
			c.close(cause)
		}
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// count returns the number of open connections.
func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}
