package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Handler executes a call and returns its reply. It is called concurrently.
type Handler func(ctx context.Context, kind string, body json.RawMessage) (reply any, err error)

const (
	// callsPerConnection is the maximum number of concurrent calls of a connection.
	callsPerConnection = 256
	writeTimeout       = 5 * time.Second
)

// Server executes the calls that arrive on a listener.
type Server struct {
	handler  Handler
	counters *Counters
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	group    sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

// Serve starts a server on the listener and returns it.
func Serve(listener net.Listener, counters *Counters, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: handler, counters: counters, ctx: ctx, cancel: cancel, listener: listener,
		connections: map[net.Conn]struct{}{}}
	s.group.Go(s.accept)
	return s
}

// Close closes the listener and all connections, and waits for running calls.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for connection := range s.connections {
		_ = connection.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(connection) {
			_ = connection.Close()
			return
		}
		s.group.Go(func() { s.serve(connection) })
	}
}

// track records a connection for Close. It returns false after Close, which would otherwise wait
// for a connection that was accepted too late for it to close.
func (s *Server) track(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *Server) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
	}()
	lines := newLineReader(connection, s.counters)
	var writeMutex sync.Mutex
	slots := make(chan struct{}, callsPerConnection)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		call, err := lines.next()
		if err != nil {
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			s.answer(connection, &writeMutex, call)
		})
	}
}

func (s *Server) answer(connection net.Conn, writeMutex *sync.Mutex, call envelope) {
	reply, err := s.handler(s.ctx, call.Kind, call.Body)
	if call.Number == 0 {
		return
	}
	answer := envelope{Number: call.Number, Label: labelOf(reply, call.Kind)}
	if err == nil {
		answer.Body, err = json.Marshal(reply)
	}
	if err != nil {
		answer.Body = nil
		answer.Error = err.Error()
	}
	line, err := encodeLine(answer, s.counters)
	if err != nil {
		return
	}
	writeMutex.Lock()
	defer writeMutex.Unlock()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := connection.Write(line); err != nil {
		_ = connection.Close()
	}
}

// ErrUnknownKind is returned by handlers for calls of a kind that they do not serve.
var ErrUnknownKind = errors.New("unknown kind of call")

// HandleDecoded decodes the body of a call and passes it to a handler.
func HandleDecoded[Request, Reply any](body json.RawMessage, handle func(Request) (Reply, error)) (any, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode call")
	}
	return handle(request)
}
