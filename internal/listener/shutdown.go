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
	// unusedTime is the time from the start of a shutdown for which connections without any request stay open:
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
	// stoppedAt is when the first shutdown began, 0 for none.
	stoppedAt time.Duration
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

// Shutdown closes the listeners and the idle connections, and waits until the other ones have ended. It returns
// the context's error if some are left when that ends, and may then be called again. A request of which a byte has
// arrived is served: http.Server.Shutdown would close its connection, or read the request and drop it.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners, stoppedAt := s.beginShutdown()
	tick := time.NewTicker(shutdownInterval)
	defer tick.Stop()
	for {
		left, now := 0, clock.Now()
		for _, l := range listeners {
			left += l.retire(now, now-stoppedAt >= unusedTime)
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

// beginShutdown closes the listeners. It returns them, and when that happened first.
func (s *Server) beginShutdown() ([]*Listener, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stoppedAt == 0 {
		s.stoppedAt = clock.Now()
	}
	for _, l := range s.listeners {
		l.stop()
	}
	return slices.Clone(s.listeners), s.stoppedAt
}

// stop makes the listener accept no connections any more, also none that is being accepted.
func (l *Listener) stop() {
	l.mu.Lock()
	l.stopped.Store(true)
	l.mu.Unlock()
	// No connection is accepted in any case.
	_ = l.Close()
}

// retire lets connections end once they are idle, also those without any request if unused is set. It returns the
// number of those that are left.
func (l *Listener) retire(now time.Duration, unused bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		switch state := c.account.State(); {
		case state == memory.Quiet && !c.used.Load() && !unused:
		case state == memory.Receiving && c.headOverdue(now, shutdownHeadTimeout):
			c.close(CauseHead)
		default:
			c.retire()
		}
	}
	return l.left()
}
