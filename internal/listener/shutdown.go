package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Server is an HTTP server whose connections a guard bounds.
type Server struct {
	*http.Server
	guard *Guard

	mu        sync.Mutex
	listeners []*Listener
}

// Listen wraps a listener that the server is to serve.
func (s *Server) Listen(inner net.Listener, config Config) *Listener {
	l := s.guard.Listen(inner, config)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return l
}

// Shutdown closes the listeners and the idle connections, and waits until the other ones have ended. It returns
// the context's error if some are left when that ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.Server.Shutdown(ctx) }
