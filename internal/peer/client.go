package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/socket"
)

const (
	// dialTimeout is the time after which dialing an address fails, and with it the calls that
	// wait for the connection.
	dialTimeout = time.Second
	// dialInterval is the time between parallel dial attempts. The system resends a lost SYN
	// only after a second, which is too late for a machine that has just come back.
	dialInterval = 150 * time.Millisecond
	// redialDelay is the time after a failed dial during which calls fail without another one.
	redialDelay = 100 * time.Millisecond
	// ackTimeout is the time after which a connection with unacknowledged data is closed.
	ackTimeout = 900 * time.Millisecond
	// stalledCallAge is the minimum age at which a canceled call closes its connection, if
	// nothing was received since the call. It exceeds the time to any reply except those that
	// are delayed on purpose, which share the connection with others.
	stalledCallAge = 400 * time.Millisecond
	// sendQueueSize is the maximum number of queued one-way messages for an address. Further
	// ones are dropped, which is safe since their senders resend them.
	sendQueueSize = 1024
)

// ErrUnreachable is returned when no connection could be opened. The call was not sent.
var ErrUnreachable = errors.New("address cannot be reached")

// ErrConnectionLost is returned when the connection ended before the reply. The call may have
// been executed.
var ErrConnectionLost = errors.New("connection ended before the reply")

// Client calls any number of addresses, with one connection to each. It is safe for concurrent
// use.
type Client struct {
	counters *Counters
	dial     dialFunction

	mu    sync.Mutex
	links map[string]*link
}

// dialFunction opens a connection.
type dialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that dials addresses on first use.
func NewClient(counters *Counters) *Client {
	dialer := net.Dialer{Control: socket.UserTimeout(ackTimeout)}
	return &Client{counters: counters, dial: dialer.DialContext, links: map[string]*link{}}
}

// Call sends a request to address and decodes the reply. If the context ends first, Call
// returns, but the call may still be executed.
func (c *Client) Call(ctx context.Context, address, kind string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	response, err := c.link(address).call(ctx, envelope{Kind: kind, Body: body, Label: labelOf(request, kind)})
	if err != nil {
		return errors.Wrapf(err, "call %s at %s", kind, address)
	}
	if response.Error != "" {
		return errors.Mark(errors.Newf("%s at %s: %s", kind, address, response.Error), ErrRemote)
	}
	return errors.Wrap(json.Unmarshal(response.Body, reply), "decode reply")
}

// Send queues a one-way message. It never blocks, and the message may be lost.
func (c *Client) Send(address, kind string, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		return
	}
	c.link(address).enqueue(envelope{Kind: kind, Body: body, Label: labelOf(message, kind)})
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.close()
	}
	c.links = map[string]*link{}
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = newLink(address, c.counters, c.dial)
		c.links[address] = l
	}
	return l
}

// link is the connection to an address. Lock order: link.mu only.
type link struct {
	address  string
	counters *Counters
	dial     dialFunction
	queue    chan envelope
	stop     chan struct{}
	stopOnce sync.Once

	mu         sync.Mutex
	connection net.Conn
	// received is the time at which a message last arrived.
	received time.Duration
	waiting  map[uint64]chan envelope
	number   uint64
	failedAt time.Duration
	dialling chan struct{}
}

func newLink(address string, counters *Counters, dial dialFunction) *link {
	l := &link{address: address, counters: counters, dial: dial, queue: make(chan envelope, sendQueueSize), stop: make(chan struct{}),
		waiting: map[uint64]chan envelope{}}
	go l.sendQueued()
	return l
}

func (l *link) enqueue(e envelope) {
	select {
	case l.queue <- e:
	default:
	}
}

// sendQueued sends the queued one-way messages.
func (l *link) sendQueued() {
	for {
		select {
		case <-l.stop:
			return
		case e := <-l.queue:
			connection, err := l.connect(context.Background())
			if err != nil {
				continue
			}
			_ = l.write(connection, e)
		}
	}
}

func (l *link) call(ctx context.Context, e envelope) (envelope, error) {
	connection, err := l.connect(ctx)
	if err != nil {
		return envelope{}, err
	}
	replies := make(chan envelope, 1)
	e.Number = l.register(replies)
	defer l.unregister(e.Number)
	sent := clock.Now()
	if err := l.write(connection, e); err != nil {
		return envelope{}, errors.Mark(err, ErrConnectionLost)
	}
	select {
	case e, ok := <-replies:
		if !ok {
			return envelope{}, ErrConnectionLost
		}
		return e, nil
	case <-ctx.Done():
		l.dropIfStalled(connection, sent)
		return envelope{}, errors.Wrap(ctx.Err(), "wait for reply")
	}
}

// dropIfStalled drops the connection if nothing was received over it since a call that has
// waited for stalledCallAge. A connection may stop delivering data without a reset, while new
// ones to the same address work.
func (l *link) dropIfStalled(connection net.Conn, sent time.Duration) {
	l.mu.Lock()
	stalled := l.received < sent && clock.Since(sent) >= stalledCallAge
	l.mu.Unlock()
	if stalled {
		l.drop(connection)
	}
}

func (l *link) register(replies chan envelope) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.waiting[l.number] = replies
	return l.number
}

func (l *link) unregister(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// connect returns the connection, and dials if there is none. Concurrent callers share one dial.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	for {
		l.mu.Lock()
		if l.connection != nil {
			defer l.mu.Unlock()
			return l.connection, nil
		}
		if l.failedAt > 0 && clock.Since(l.failedAt) < redialDelay {
			defer l.mu.Unlock()
			return nil, ErrUnreachable
		}
		if l.dialling == nil {
			l.dialling = make(chan struct{})
			go l.open()
		}
		wait := l.dialling
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrap(ctx.Err(), "wait for connection"), ErrUnreachable)
		}
	}
}

// open dials and wakes the callers of connect.
func (l *link) open() {
	connection, err := l.dialRepeatedly()
	select {
	case <-l.stop:
		if err == nil {
			_ = connection.Close()
		}
		err = ErrUnreachable
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialling)
	l.dialling = nil
	if err != nil {
		l.failedAt = clock.Now()
		return
	}
	l.connection = connection
	go l.receive(connection)
}

// dialRepeatedly starts another attempt every dialInterval and returns the first result, also if
// that is an error: a refused connection shows that the machine is up and the process is not.
func (l *link) dialRepeatedly() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	type outcome struct {
		connection net.Conn
		err        error
	}
	outcomes := make(chan outcome)
	attempt := func() {
		connection, err := l.dial(ctx, "tcp", l.address)
		select {
		case outcomes <- outcome{connection, err}:
		case <-ctx.Done():
			if err == nil {
				_ = connection.Close()
			}
		}
	}
	again := time.NewTicker(dialInterval)
	defer again.Stop()
	for {
		go attempt()
		select {
		case o := <-outcomes:
			return o.connection, o.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-again.C:
		}
	}
}

func (l *link) write(connection net.Conn, e envelope) error {
	line, err := encodeLine(e, l.counters)
	if err != nil {
		return err
	}
	// A net.Conn does not interleave concurrent writes.
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := connection.Write(line); err != nil {
		l.drop(connection)
		return errors.Wrap(err, "write message")
	}
	return nil
}

func (l *link) receive(connection net.Conn) {
	lines := newLineReader(connection, l.counters, nil)
	for {
		e, err := lines.next()
		if err != nil {
			l.drop(connection)
			return
		}
		l.mu.Lock()
		l.received = clock.Now()
		replies := l.waiting[e.Number]
		delete(l.waiting, e.Number)
		l.mu.Unlock()
		if replies != nil {
			replies <- e
		}
	}
}

// drop closes a connection and fails the calls that wait on it.
func (l *link) drop(connection net.Conn) {
	_ = connection.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != connection {
		return
	}
	l.connection = nil
	for number, replies := range l.waiting {
		close(replies)
		delete(l.waiting, number)
	}
}

func (l *link) close() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.mu.Lock()
	connection := l.connection
	l.mu.Unlock()
	if connection != nil {
		l.drop(connection)
	}
}
