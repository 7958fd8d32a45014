// Package upstream is an HTTP/1.1 client for back ends with its own connection pool. It never
// returns a response to another request, and each error states whether the request may have
// run.
//
// net/http's Transport is not used: it returns a late response on a reused connection to the
// next request, and does not expose whether a request was written.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/socket"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	dialTimeout = 250 * time.Millisecond
	// userTimeout closes connections whose peer acknowledges no data, unless the request has more
	// patience. A sound back end may be silent for a second.
	userTimeout = 1500 * time.Millisecond
	// bodyStallTimeout is the time after which a back end that reads nothing of a request's body is
	// given up, unless the request has more patience. It exceeds userTimeout, within which a back end
	// that is suspended shortly goes on.
	bodyStallTimeout = 2 * time.Second
	// heldInterval is the interval at which Request.OnHeld is called for a request that nobody has
	// acknowledged.
	heldInterval = 200 * time.Millisecond
	// connectAlarm and ackAlarm are the times after which a connect that is pending, and a request
	// that nobody has acknowledged, are reported to onConnect. They exceed the round trips within a
	// region by far. The attempt goes on.
	connectAlarm = 100 * time.Millisecond
	// settleTime is the time that a connection opened by Connect must survive: a firewall may accept
	// connections that it then resets.
	settleTime = 30 * time.Millisecond
	ackAlarm   = 200 * time.Millisecond
	readBuffer = httpwire.BufferSize
	// receiveBuffer bounds what the system keeps of a response that is read slowly; the system
	// doubles it for its own data. Within a site it allows for some 60 MB/s.
	receiveBuffer = 64 << 10
	// maxUnsent bounds what the system keeps of a request's body before it is sent, so that the pool
	// knows whether a back end that reads nothing has received all of it.
	maxUnsent = 16 << 10
	// connectionBytes is the memory of a connection: its read buffer and the system's descriptor.
	connectionBytes = 8 << 10
	// asyncBodySize is the body size from which a request is written while the response is
	// awaited: a back end may respond before it has read the whole request.
	asyncBodySize = 4 << 10
	// maxForeignResponses bounds the skipped responses to other requests.
	maxForeignResponses = 4
	maxForeignBody      = 1 << 20
	// defaultIdleTimeout is the idle timeout if the back end sends none, and idleMargin is
	// subtracted from the one that it sends.
	defaultIdleTimeout = 20 * time.Second
	idleMargin         = 1500 * time.Millisecond
	maxIdle            = 64
	// nonIdempotentMargin is the idle time that a kept connection must have left for a request
	// that must not run twice. If the back end closes the connection as the request arrives, it is
	// not known whether the request ran.
	nonIdempotentMargin = time.Second
)

// Errors of Do and of reading a response's body. Each error matches exactly one of them.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrIncomplete: the back end stopped reading before it had received the whole request and sent
	// nothing, so the request has not run.
	ErrIncomplete = errors.New("the request was not sent completely")
	// ErrOutcomeUnknown: the request was sent and may have run.
	ErrOutcomeUnknown = errors.New("the request was sent, but no complete response was received")
)

var (
	errPending        = errors.New("the connect is pending")
	errUnacknowledged = errors.New("the request is not acknowledged")
)

// callError is an error of one kind: ErrNotSent, ErrIncomplete or ErrOutcomeUnknown.
type callError struct {
	kind  error
	cause error
}

func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

func (e *callError) Is(target error) bool { return target == e.kind }

func (e *callError) Unwrap() error { return e.cause }

// Request is one request to a back end.
type Request struct {
	Method string
	// Target is the path and query of the request line, as received from the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value that the response carries in the pool's ID header.
	ID string
	// Backend is the intended receiver, and Instance the name of its instance in the request.
	Backend  pushback.Backend
	Instance string
	// Born is the start time of the start that has to serve the request; 0 if the name of its instance
	// tells enough. Each connection is asked once for its start before such a request is sent.
	Born state.UnixMilli
	// Expected is set if nothing shows that another start may serve. The status request is then awaited like the
	// response itself, and the request is not held as Unidentified, unless Confirm is set.
	Expected bool
	// Confirm makes the pool send the status request on any connection: its response shows that the back end
	// still responds. It has no effect at back ends with a limit, which count such calls.
	Confirm bool
	// Allowed is called just before the write, and its error keeps the request from being sent.
	// It may be nil.
	Allowed func() error
	// Admit is called once the start that serves the address is identified. It may wait, and its error keeps
	// the request from being sent. It may be nil.
	Admit func() error
	// Permit is the permit that a back end with a limit requires; otherwise nil.
	Permit *ratelimit.Permit
	// NonIdempotent marks a request that must not run twice. It is not sent over a kept connection
	// that is about to expire.
	NonIdempotent bool
	// Patience is the time for which the request is held while its back end reads nothing of it, nobody
	// acknowledges it or the status request is pending. Values lower than those of the pool have no effect.
	Patience time.Duration
	// OnHeld is called repeatedly while the request is silent for longer than a sound back end may be. It may
	// be nil. The request is given up if it returns false for one that is unread.
	OnHeld func(Held) bool
}

// Held is why a request is held.
type Held int

const (
	// Unacknowledged: nobody has acknowledged it, and it may have arrived.
	Unacknowledged Held = iota
	// Unread: the back end reads nothing of it and has not received all of it.
	Unread
	// Unidentified: nothing of it has been written, since the start that serves the address is not known.
	Unidentified
)

// held calls OnHeld.
func (r *Request) held(why Held) (hold bool) { return r.OnHeld == nil || r.OnHeld(why) }

// Pool is a pool of connections to back ends by address. It is safe for concurrent use.
type Pool struct {
	// idHeader is the response header with the request's ID.
	idHeader string
	// pushbacks records pushbacks from responses and rejects requests during them.
	pushbacks *pushback.Registry
	// limits records limits from responses and rejects requests without the permit that they
	// require.
	limits *ratelimit.Registry
	dialer net.Dialer
	// dial is dialer.DialContext unless it is replaced in tests.
	dial   DialFunc
	memory *memory.Budget
	// onConnect is called after each connect and after the loss of a connection; nil for no call.
	onConnect ConnectFunc
	// bodyStall is bodyStallTimeout. It is replaced in tests.
	bodyStall time.Duration
	// status is the request that identifies starts; without it they are not identified.
	status Status
	// Opened counts new connections, Identified the status requests that were answered, and Malformed the responses
	// that were given up because their bytes are no HTTP.
	Opened, Identified, Malformed atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns a pool without connections.
func NewPool(idHeader string, pushbacks *pushback.Registry, limits *ratelimit.Registry) *Pool {
	p := &Pool{idHeader: idHeader, pushbacks: pushbacks, limits: limits, bodyStall: bodyStallTimeout, idle: map[string][]*connection{}}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: socket.Controls(socket.UserTimeout(userTimeout), socket.ReceiveBuffer(receiveBuffer))}
	p.dial = p.dialer.DialContext
	return p
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SetDial replaces the function that opens connections. It must be called before the first request.
func (p *Pool) SetDial(dial DialFunc) { p.dial = dial }

// SetSource sets the local IP address of connections. It must be called before the first request.
func (p *Pool) SetSource(source net.IP) { p.dialer.LocalAddr = &net.TCPAddr{IP: source} }

// ConnectFunc is called with the pool of a back end and the start of an attempt, by clock.Now, once
// the attempt has opened a connection, with a nil error, or has failed to open one or lost it, and once
// it has waited for the back end's system for unusually long.
type ConnectFunc func(pool string, started time.Duration, err error)

// OnConnect sets the function that observes connections. It must be called before the first request.
func (p *Pool) OnConnect(observe ConnectFunc) { p.onConnect = observe }

// SetMemory makes the pool charge its connections to a budget. It is to be called before the first
// request.
func (p *Pool) SetMemory(budget *memory.Budget) { p.memory = budget }

// connection is a reusable connection.
type connection struct {
	net.Conn
	reader *httpwire.Reader
	// expiresAt is when the connection must not be reused any more.
	expiresAt time.Duration
	// born is the start time of the process that it leads to, 0 if that is not known, and asked is set once
	// the process was asked for it.
	born  state.UnixMilli
	asked bool
	// reused is set once the connection was idle.
	reused bool
	// userTimeout is the user timeout in force.
	userTimeout time.Duration
	// memory is the budget that the connection is charged to until it is closed.
	memory *memory.Budget
	closed atomic.Bool
	// grown is what the reader's buffer takes beyond readBuffer, for a long header.
	grown atomic.Int64
	link  *link
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if !c.closed.Swap(true) {
		c.memory.Release(connectionBytes + c.grown.Load())
	}
	return c.Conn.Close()
}

// takeIdle returns the most recently used idle connection that is still usable, nil for none.
func (p *Pool) takeIdle(address string, nonIdempotent bool) *connection {
	margin := time.Duration(0)
	if nonIdempotent {
		margin = nonIdempotentMargin
	}
	for {
		c := p.removeIdle(address, clock.Now(), margin)
		if c == nil || c.isIdle() {
			return c
		}
		_ = c.Close()
	}
}

// removeIdle removes and returns the most recently used idle connection that expires in more than
// margin, nil for none. It closes the expired ones that it meets.
func (p *Pool) removeIdle(address string, now, margin time.Duration) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		if now < c.expiresAt && now+margin >= c.expiresAt {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if now < c.expiresAt {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// isIdle reports whether a connection is open and holds no unread bytes.
func (c *connection) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	isIdle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isIdle = failure == syscall.EAGAIN || failure == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && isIdle
}

func (p *Pool) putIdle(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) open(ctx context.Context, address string) (*connection, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, &callError{kind: ErrNotSent, cause: err}
	}
	p.Opened.Add(1)
	p.memory.Charge(connectionBytes)
	socket.LimitUnsent(raw, maxUnsent)
	raw = socket.ReportResets(raw)
	return &connection{Conn: raw, reader: httpwire.NewReader(raw), userTimeout: userTimeout, memory: p.memory,
		link: &link{conn: raw, openedAt: state.UnixMilli(time.Now().UnixMilli())}}, nil
}

// setPatience sets the user timeout for a request with the given patience.
func (c *connection) setPatience(patience time.Duration) {
	if limit := max(patience, userTimeout); limit != c.userTimeout {
		c.userTimeout = limit
		socket.SetUserTimeout(c.Conn, limit)
	}
}

// Down reports whether no process listens at an address: it then refuses connections, while a
// process that only broke a response off accepts them. A new connection is kept for the next
// request.
func (p *Pool) Down(ctx context.Context, address string) bool {
	c, err := p.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	p.keep(address, c)
	return false
}

// keep makes a new connection available to the next request.
func (p *Pool) keep(address string, c *connection) {
	c.expiresAt = clock.Now() + defaultIdleTimeout
	p.putIdle(address, c)
}

// Connect opens a connection to an address and keeps it for the next request. It fails if the
// connection ends at once.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	if time.Sleep(settleTime); !c.isIdle() {
		_ = c.Close()
		return &callError{kind: ErrNotSent, cause: syscall.ECONNRESET}
	}
	p.keep(address, c)
	return nil
}

// observe passes the result of an attempt to open or use a connection to onConnect, unless the
// attempt was given up by this process.
func (p *Pool) observe(ctx context.Context, pool string, started time.Duration, err error) {
	if p.onConnect != nil && ctx.Err() == nil {
		p.onConnect(pool, started, err)
	}
}

// lostConnection reports whether an error shows that the path to a back end may be lost, or that the
// back end has ended.
func lostConnection(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// Do sends a request and returns its response once the header has arrived. The end of the
// context closes the connection, which cancels the request at the back end.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*BackendResponse, error) {
	p.pushbacks.Adopt(r.Backend.ID, r.Instance, address)
	p.limits.Adopt(r.Backend.ID, r.Instance, address)
	if err := p.pushbacks.Check(r.Backend.ID); err != nil {
		return nil, &callError{kind: ErrNotSent, cause: err}
	}
	if err := p.limits.Check(r.Backend.ID, r.Permit); err != nil {
		return nil, &callError{kind: ErrNotSent, cause: err}
	}
	c, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if r.Admit != nil {
		if err := r.Admit(); err != nil {
			_ = c.Close()
			return nil, &callError{kind: ErrNotSent, cause: err}
		}
	}
	started := clock.Now()
	a := &BackendResponse{pool: p, address: address, connection: c, identified: r.Born != 0 && c.born == r.Born}
	a.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	backendPool := r.Backend.Pool
	a.onStall = func() { p.observe(ctx, backendPool, started, errUnacknowledged) }
	// A back end that is slow to read a large body leaves bytes unacknowledged as well.
	if len(r.Body) < asyncBodySize {
		defer p.watchAcknowledgement(a, r.OnHeld)()
	}
	if err := a.exchange(ctx, r); err != nil {
		a.Close()
		if lostConnection(err) {
			p.observe(ctx, r.Backend.Pool, started, err)
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.closeIdle(address)
		}
		if ctx.Err() != nil {
			err.cause = ctx.Err()
		}
		return nil, err
	}
	return a, nil
}

// watchAcknowledgement reports that nobody has acknowledged a request, until stop is called.
func (p *Pool) watchAcknowledgement(a *BackendResponse, onHeld func(Held) bool) (stop func()) {
	unacknowledged := func() bool { return socket.Unacknowledged(a.connection.Conn) > 0 }
	alarm := time.AfterFunc(ackAlarm, func() {
		if unacknowledged() {
			p.closeIdle(a.address)
			a.onStall()
		}
	})
	if onHeld == nil {
		return func() { alarm.Stop() }
	}
	ended := make(chan struct{})
	held := time.AfterFunc(userTimeout, func() {
		for unacknowledged() {
			onHeld(Unacknowledged)
			select {
			case <-ended:
				return
			case <-time.After(heldInterval):
			}
		}
	})
	return func() {
		alarm.Stop()
		held.Stop()
		close(ended)
	}
}

// Call sends a request and reads the response's body. A body of more than limit bytes is an error
// marked ErrOutcomeUnknown.
func (p *Pool) Call(ctx context.Context, address string, r *Request, limit int64) (status int, body []byte, err error) {
	response, err := p.Do(ctx, address, r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	body, err = io.ReadAll(io.LimitReader(response, limit+1))
	if err == nil && int64(len(body)) > limit {
		return response.StatusCode, nil, &callError{kind: ErrOutcomeUnknown, cause: fmt.Errorf("the response body exceeds %d bytes", limit)}
	}
	return response.StatusCode, body, err
}

// closeIdle closes the idle connections to an address at which a connection timed out, or at which a
// request is not acknowledged. All connections to a host may fail without a reset while new ones work,
// and each would cost a request.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// encodeHeader returns the request line and headers. Header values were validated when they
// were read.
func encodeHeader(r *Request) []byte {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}
