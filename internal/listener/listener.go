package listener

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
)

const (
	// connectionBytes is the memory of an open connection with a small head.
	connectionBytes = 16 << 10
	// flushTime is the time that the rest of a response has to be sent before its connection may be closed for a new
	// one, and sendTime that for one of which nothing has been sent, on a busy processor too.
	flushTime = 20 * time.Millisecond
	sendTime  = time.Second
)

// Config configures a listener.
type Config struct {
	// Name names the listener in metrics and log lines.
	Name string
	// Connections is the number of connections that may be open, 0 for no limit. Beyond it the one is closed
	// that has been quiet longest.
	Connections int
	// Messages is set if clients send messages of another protocol than HTTP. The server then counts them, with
	// Conn.Account, and sets its state.
	Messages bool
	// WriteTimeout is the time after which a client is disconnected that reads less than 4 KiB while a
	// response waits; 0 if the server bounds it.
	WriteTimeout time.Duration
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
	// DefaultWriteTimeout is the value of Config.WriteTimeout for servers without a limit of their own.
	DefaultWriteTimeout = 10 * time.Second
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
	// unsettled are closed connections with a request whose outcome has not been recorded yet.
	unsettled map[*Conn]struct{}
	refused   uint64
	// accepting is the number of calls of Accept that may still add a connection, and accepted that of connections
	// which such calls have returned.
	accepting int
	accepted  uint64
	// stopped is set once no call of Accept begins any more, and closed once connections that are being accepted
	// are reset.
	stopped, closed bool
	// stoppedAt is when the listener was stopped.
	stoppedAt  time.Duration
	closeOnce  sync.Once
	closeError error
	// empty receives when no connection is left; nil if nobody waits for that.
	empty chan<- struct{}
}

// Listen wraps a listener.
func (g *Guard) Listen(inner net.Listener, config Config) *Listener {
	if config.Limits == nil {
		config.Limits = DefaultLimits
	}
	l := &Listener{Listener: inner, guard: g, config: config, connections: map[*Conn]struct{}{}, unsettled: map[*Conn]struct{}{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[l] = struct{}{}
	return l
}

// Close implements net.Listener. Only the first call has an effect.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.guard.mu.Lock()
		delete(l.guard.listeners, l)
		l.guard.mu.Unlock()
		l.closeError = l.Listener.Close()
	})
	return l.closeError
}

// Accept implements net.Listener. It closes new connections for which no other one can be closed. Its error is
// http.ErrServerClosed once the server shuts down.
func (l *Listener) Accept() (net.Conn, error) {
	for l.beginAccept() {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, l.failAccept(err)
		}
		c, victim := l.admit(inner)
		if victim != nil {
			victim.abort()
		}
		if c != nil {
			return c, nil
		}
		reset(inner)
	}
	return nil, http.ErrServerClosed
}

// beginAccept returns false if the listener is stopped. The server does not end before the call that has begun.
func (l *Listener) beginAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.accepting++
	return true
}

// failAccept ends a call without a connection, and returns its error.
func (l *Listener) failAccept(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	if l.stopped {
		return http.ErrServerClosed
	}
	return err
}

// admit ends a call with a connection, and adds it. If there is no room it returns another one to be closed, which it
// has removed, or no connection if there is none.
func (l *Listener) admit(inner net.Conn) (c, victim *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	l.accepted++
	if l.closed {
		return nil, nil
	}
	if limit := l.config.Connections; limit > 0 && len(l.connections) >= limit {
		if victim = l.quietest(); victim == nil || !victim.mayAbort() {
			l.refused++
			return nil, nil
		}
		delete(l.connections, victim)
	}
	c = &Conn{Conn: inner, listener: l, closed: make(chan struct{}), idle: true}
	c.account = l.guard.budget.OpenAccount(connectionBytes, func() { c.end(CauseMemory) })
	c.outOfHead.Store(l.config.Messages)
	l.connections[c] = struct{}{}
	return c, victim
}

// quietest returns the connection that is closed first for a new one, nil if all have requests under way:
// the one of the lowest rank that has been without progress for longest.
func (l *Listener) quietest() *Conn {
	var best *Conn
	var bestRank int
	now := clock.Now()
	for c := range l.connections {
		rank, eligible := c.rank(now)
		if !eligible {
			continue
		}
		if best == nil || rank < bestRank || (rank == bestRank && c.account.MovedAt() < best.account.MovedAt()) {
			best, bestRank = c, rank
		}
	}
	return best
}

// closeOverdue closes the connections that exceed a time limit.
func (l *Listener) closeOverdue() {
	limits, now := l.config.Limits().withDefaults(), clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		switch cause, overdue := c.overdue(now, limits); {
		case !overdue:
		case cause != CauseIdle:
			c.close(cause)
		default:
			// Bytes that wait to be read keep the connection until the next request has been served.
			if again := c.isRetiring(); c.retire() && !again {
				l.guard.record(cause, c)
			}
		}
	}
}

// remove removes a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
	if l.empty != nil && c.progress.arriving.Load() {
		l.unsettled[c] = struct{}{}
	}
	l.signalEmpty()
}

// settled removes a closed connection whose last outcome has been recorded.
func (l *Listener) settled(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unsettled, c)
	l.signalEmpty()
}

// left returns the number of connections that a shutdown waits for, and of those that are being accepted. The lock is
// held.
func (l *Listener) left() int { return len(l.connections) + len(l.unsettled) + l.accepting }

// signalEmpty wakes a shutdown if no connection is left. The lock is held.
func (l *Listener) signalEmpty() {
	if l.left() > 0 {
		return
	}
	select {
	case l.empty <- struct{}{}:
	default:
	}
}

// count returns the number of open connections and of refused ones.
func (l *Listener) count() (open int, refused uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections), l.refused
}

// reset closes a connection without waiting for its peer.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The connection ends in any case.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
