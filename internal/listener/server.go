package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"quinceridge.example/quinceridge/internal/memory"
)

const (
	// bodyFactor is the memory that a handler takes for each byte of a body that it reads as a whole: the
	// buffer and its copy while it grows.
	bodyFactor = 2
	// freeBody is the part of a body that the memory of a connection covers.
	freeBody = 4 << 10
	// retryAfter is the Retry-After of refused requests, in seconds.
	retryAfter = "1"
)

// ErrMemory is the error of reading a body for which there is no memory, or whose client made no progress
// while others needed its memory. The request has not run.
var ErrMemory = errors.New("the memory for requests is used up")

// Bodies is who counts the memory of request bodies.
type Bodies int

const (
	// CountBodies makes the guard count what a handler reads, until it returns.
	CountBodies Bodies = iota
	// HandlerCountsBodies leaves it to the handler, which gets the account with memory.AccountOf.
	HandlerCountsBodies
)

type connKey struct{}

// Bind returns a Server that runs an HTTP server and counts its requests. Its connections must come from Listen. The
// HTTP server's handler must be set before, and its hooks must not be replaced afterwards.
func (g *Guard) Bind(server *http.Server, bodies Bodies) *Server {
	next := server.Handler
	server.MaxHeaderBytes = DefaultHeadBytes
	// The guard bounds the time of heads, of bodies and of idle connections. The server would count from the accept.
	bodyTimeout := server.ReadTimeout
	server.ReadTimeout, server.ReadHeaderTimeout, server.IdleTimeout = 0, -1, -1
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner := connOf(c); inner != nil {
			return memory.WithAccount(context.WithValue(ctx, connKey{}, inner), inner.account)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if inner := connOf(c); inner != nil {
			inner.changeState(state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if bodyTimeout > 0 && r.Body != http.NoBody {
			// A connection that cannot be bounded has ended.
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		c.serve(w, r, next, bodies)
	})
	return &Server{Server: server, guard: g, empty: make(chan struct{}, 1)}
}

// connOf returns the guarded connection that a connection wraps, nil if there is none.
func connOf(c net.Conn) *Conn {
	for c != nil {
		if inner, ok := c.(*Conn); ok {
			return inner
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// changeState is a hook of http.Server.
func (c *Conn) changeState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.markActive()
	case http.StateClosed:
		c.settle()
		c.listener.settled(c)
	case http.StateIdle:
		c.settle()
		c.releaseHead()
		c.used.Store(true)
		c.fate.CompareAndSwap(runs, undecided)
		if c.beginIdle() {
			c.account.SetState(memory.Quiet)
		} else {
			c.headAt.Store(int64(c.account.SetState(memory.Receiving)))
		}
		c.outOfHead.Store(false)
		if c.account.Evicted() {
			// It was evicted while a request ran, and could reserve nothing for another one.
			c.retire()
		}
	default:
	}
}

// serve handles a request within the bounds of its connection.
func (c *Conn) serve(w http.ResponseWriter, r *http.Request, next http.Handler, bodies Bodies) {
	body := &countedBody{ReadCloser: r.Body, conn: c, counts: bodies == CountBodies}
	// By its own type of body the server decides whether the client may still be sending as the connection closes.
	defer func() { r.Body = body.ReadCloser }()
	defer body.finish()
	c.progress.handled.Store(true)
	c.unframed.Store(!r.ProtoAtLeast(1, 1))
	if c.isRetiring() {
		w.Header().Set("Connection", "close")
	}
	c.handle(w, r, body, next)
	c.progress.returned.Store(true)
}

// handle refuses a request that exceeds a bound, and passes others to the handler.
func (c *Conn) handle(w http.ResponseWriter, r *http.Request, body *countedBody, next http.Handler) {
	if r.Body == nil || r.Body == http.NoBody {
		body.ended = true
		if !c.begin() {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
	} else {
		r.Body = body
	}
	if limit := c.listener.config.Limits().withDefaults().HeadBytes; c.head.bytes > int64(limit) {
		c.listener.guard.refusedHeads.Add(1)
		refuse(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if !c.reserveHead(estimateHeader(r.Header)) {
		c.listener.guard.refusedMemory.Add(1)
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	next.ServeHTTP(w, r)
}

// refuse sends an empty response and closes the connection.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// estimateHeader returns the memory of parsed fields, in bytes.
func estimateHeader(header http.Header) int64 {
	total := int64(0)
	for name, values := range header {
		for _, value := range values {
			total += int64(2*(len(name)+len(value)) + fieldBytes)
		}
	}
	return total
}

// countedBody is the body of a request.
type countedBody struct {
	io.ReadCloser
	conn   *Conn
	counts bool
	ended  bool
	// read are the bytes that were read, and held what the account holds for them.
	read, held int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF && !b.ended && !b.conn.begin():
		return n, ErrMemory
	case err == io.EOF:
		b.ended = true
	case err != nil && b.conn.account.Evicted():
		return n, errors.Join(ErrMemory, err)
	}
	if more := bodyFactor*b.read - freeBody - b.held; b.counts && more > 0 {
		if !b.conn.account.Reserve(more) {
			return n, ErrMemory
		}
		b.held += more
	}
	return n, err
}

// finish returns what the account holds for the body, and bounds the time in which the server reads the
// rest of a body that the handler has not read.
func (b *countedBody) finish() {
	b.conn.account.Release(b.held)
	b.conn.account.SetState(memory.Finished)
	if !b.ended {
		b.conn.limitUnread()
	}
}
