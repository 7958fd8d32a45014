package listener

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/memory"
)

const (
	// shutdownInterval is the time between two searches for connections that have become idle.
	shutdownInterval = 10 * time.Millisecond
	// unusedTime is the time from the end of accepting for which connections without any request stay open:
	// clients send one right after they have connected.
	unusedTime = 600 * time.Millisecond
	// shutdownHeadTimeout is the time for which a shutdown waits for the rest of a head.
	shutdownHeadTimeout = time.Second
)

// Server is an HTTP server whose connections a guard bounds.
type Server struct {
	*http.Server
	guard *Guard

	mu        sync.Mutex
	listeners []*Listener
	// empty receives when a listener has no connection left.
	empty chan struct{}
}

// Listen wraps a listener that the server is to serve.
func (s *Server) Listen(inner net.Listener, config Config) *Listener {
	l := s.guard.Listen(inner, config)
	l.empty = s.empty
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return l
}

// Shutdown accepts what stands in the backlogs of the listeners, closes them and the idle connections, and waits until
// the other connections have ended. It returns the context's error if some are left when that ends, and may then be
// called again. A request of which a byte has arrived is served: http.Server.Shutdown would close its connection, or
// read the request and drop it.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners := s.beginShutdown(ctx)
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	swept := clock.Now()
	for {
		left, now := 0, clock.Now()
		for _, l := range listeners {
			left += l.retire(now)
		}
		if now-swept >= sweepInterval {
			// The guard checks open listeners only.
			swept = now
			for _, l := range listeners {
				l.closeOverdue()
			}
		}
		if left == 0 {
			return s.Server.Shutdown(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.empty:
		case <-tick.C:
		}
	}
}

// ShutdownWithin is Shutdown that closes the connections which are left after a time limit.
func (s *Server) ShutdownWithin(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		// Their clients have had their time.
		_ = s.Close()
	}
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	for _, l := range s.boundListeners() {
		l.abandon()
	}
	return s.Server.Close()
}

// beginShutdown closes the listeners and returns them.
func (s *Server) beginShutdown(ctx context.Context) []*Listener {
	listeners := s.boundListeners()
	for _, l := range listeners {
		l.acceptBacklog(ctx)
		l.stop()
	}
	return listeners
}

// boundListeners returns the listeners that the server is to serve.
func (s *Server) boundListeners() []*Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.listeners)
}

// stop makes the listener accept no connections any more, except one that is being accepted.
func (l *Listener) stop() {
	l.mu.Lock()
	if !l.stopped {
		l.stopped, l.stoppedAt = true, clock.Now()
	}
	l.mu.Unlock()
	// No connection is accepted in any case.
	_ = l.Close()
}

// abandon makes the listener reset also a connection that is being accepted.
func (l *Listener) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped, l.closed = true, true
}

// isAbandoned reports whether connections are closed at once.
func (l *Listener) isAbandoned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// retire lets connections end once they are idle, also those without any request some time after the last one was
// accepted. It returns the number of those that are left or are being accepted.
func (l *Listener) retire(now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	unused := now-l.stoppedAt >= unusedTime
	for c := range l.connections {
		switch state := c.account.State(); {
		case state == memory.Quiet && !c.used.Load() && !unused:
		case state == memory.Receiving && c.headOverdue(now, shutdownHeadTimeout):
			// What has been read and not counted yet may end the head.
			if c.overdueBefore {
				c.close(CauseHead)
			}
			c.overdueBefore = true
		default:
			c.retire()
		}
	}
	return l.left()
}
