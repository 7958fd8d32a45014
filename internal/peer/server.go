package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Handler answers one call. It is called from many goroutines.
type Handler func(ctx context.Context, kind string, body json.RawMessage) (reply any, err error)

const (
	// callsPerConnection bounds how many calls of one connection run at once.
	callsPerConnection = 256
	writeTimeout       = 5 * time.Second
)

// Server serves calls on a listener.
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

// Serve starts to serve on the listener and returns at once.
func Serve(listener net.Listener, counters *Counters, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: handler, counters: counters, ctx: ctx, cancel: cancel, listener: listener,
		connections: map[net.Conn]struct{}{}}
	s.group.Go(s.accept)
	return s
}

// Close stops serving and cuts all connections.
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
		if !s.keep(connection) {
			_ = connection.Close()
			return
		}
		s.group.Go(func() { s.serve(connection) })
	}
}

// keep notes a connection for Close to cut. It returns false if Close has done so with the
// others: one that is accepted as the listener closes would be served for as long as its caller
// keeps it, and Close wait for that.
func (s *Server) keep(connection net.Conn) bool {
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
	var writing sync.Mutex
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
			s.answer(connection, &writing, call)
		})
	}
}

func (s *Server) answer(connection net.Conn, writing *sync.Mutex, call envelope) {
	reply, err := s.handler(s.ctx, call.Kind, call.Body)
	if call.Number == 0 {
		return
	}
	answer := envelope{Number: call.Number, Carries: labelOf(reply, call.Kind)}
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
	writing.Lock()
	defer writing.Unlock()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := connection.Write(line); err != nil {
		_ = connection.Close()
	}
}

// ErrUnknownKind is returned by handlers for calls that they do not serve.
var ErrUnknownKind = errors.New("unknown kind of call")

// HandleDecoded runs a handler on the decoded body of a call.
func HandleDecoded[Request, Reply any](body json.RawMessage, handle func(Request) (Reply, error)) (any, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode call")
	}
	return handle(request)
}
