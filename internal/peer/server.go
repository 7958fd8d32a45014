package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/memory"
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

// Serve starts a server on the listener and returns it. If the listener is a listener.Listener, messages count in
// its budget.
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
	c := &serverConnection{Conn: connection, server: s, account: accountOf(connection)}
	lines := newLineReader(connection, s.counters, c.account)
	slots := make(chan struct{}, callsPerConnection)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		call, err := lines.next()
		if errors.Is(err, errNoMemory) {
			c.recordNoMemory()
		}
		if err != nil {
			return
		}
		held, ok := c.begin(lines.size)
		if !ok {
			c.recordNoMemory()
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			defer c.end(held)
			c.answer(call)
		})
	}
}

// accountOf returns the account of a connection, nil if its listener counts nothing.
func accountOf(connection net.Conn) *memory.Account {
	if counted, ok := connection.(interface{ Account() *memory.Account }); ok {
		return counted.Account()
	}
	return nil
}

// errorLabel is the label of replies with an error.
const errorLabel = "error"

// freeMessage is the size of a message or reply that the memory of its connection covers.
const freeMessage = 4 << 10

// serverConnection is a connection with its running calls.
type serverConnection struct {
	net.Conn
	server *Server
	// account is nil if the listener counts nothing.
	account *memory.Account
	// writeMutex keeps replies apart.
	writeMutex sync.Mutex

	mu      sync.Mutex
	running int
}

// reserve takes bytes of the connection's account, except what the connection covers. It returns what it took.
func (c *serverConnection) reserve(bytes int) (held int64, ok bool) {
	if c.account == nil || bytes <= freeMessage {
		return 0, true
	}
	return int64(bytes), c.account.Reserve(int64(bytes))
}

// recordNoMemory records that the connection is closed for want of memory.
func (c *serverConnection) recordNoMemory() {
	if recorder, ok := c.Conn.(interface{ RecordNoMemory() }); ok {
		recorder.RecordNoMemory()
	}
}

// begin counts a call whose message has a size.
func (c *serverConnection) begin(size int) (held int64, ok bool) {
	if c.account == nil {
		return 0, true
	}
	if held, ok = c.reserve(decodedFactor * size); !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running++; c.running == 1 {
		c.account.SetRunning()
	}
	return held, true
}

// end ends a call for which begin took held bytes.
func (c *serverConnection) end(held int64) {
	if c.account == nil {
		return
	}
	c.account.Release(held)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running--; c.running == 0 {
		c.account.SetState(memory.Quiet)
	}
}

func (c *serverConnection) answer(call envelope) {
	reply, err := c.server.handler(c.server.ctx, call.Kind, call.Body)
	if call.Number == 0 {
		return
	}
	answer := envelope{Number: call.Number, Label: labelOf(reply, call.Kind)}
	if err == nil {
		answer.Body, err = json.Marshal(reply)
	}
	if err != nil {
		// The caller chose the kind, which may be unknown.
		answer.Body, answer.Label = nil, errorLabel
		answer.Error = err.Error()
	}
	line, err := encodeLine(answer, c.server.counters)
	if err != nil {
		return
	}
	held, ok := c.reserve(len(line))
	if !ok {
		c.recordNoMemory()
		_ = c.Close()
		return
	}
	if held > 0 {
		defer c.account.Release(held)
	}
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(line); err != nil {
		_ = c.Close()
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
