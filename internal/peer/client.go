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
	// dialTimeout is how long an address is dialled before the calls that wait
	// for it fail.
	dialTimeout = time.Second
	// dialAgain is the time after which another attempt is made beside the first.
	// A machine without power answers nothing, and the system asks it again only
	// after a second: too late for one that has just come back.
	dialAgain = 150 * time.Millisecond
	// redialPause keeps a client from dialling a dead address all the time.
	redialPause = 100 * time.Millisecond
	// silenceLimit is how long a peer may leave what was sent unacknowledged
	// before its connection is given up.
	silenceLimit = 900 * time.Millisecond
	// silentCall is how long a call must have waited, with nothing received meanwhile, for
	// its connection to be given up with it. Longer than any reply takes that is not held
	// on purpose, and those travel beside others.
	silentCall = 400 * time.Millisecond
	// sendQueue bounds the one-way messages that wait for an address. More are
	// dropped: their senders repeat them.
	sendQueue = 1024
)

// ErrUnreachable is returned when no connection could be had. The call was not
// sent.
var ErrUnreachable = errors.New("address cannot be reached")

// ErrConnectionLost is returned when the connection ended before the reply. The call
// may have been done.
var ErrConnectionLost = errors.New("connection ended before the reply")

// Client calls any number of addresses over one connection each.
type Client struct {
	counters *Counters
	dial     dialFunction

	mu    sync.Mutex
	links map[string]*link
}

// dialFunction opens one connection.
type dialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without connections.
func NewClient(counters *Counters) *Client {
	dialer := net.Dialer{Control: socket.UserTimeout(silenceLimit)}
	return &Client{counters: counters, dial: dialer.DialContext, links: map[string]*link{}}
}

// Call sends a request to address and decodes the reply. The context's end
// gives up waiting; the call may still be done.
func (c *Client) Call(ctx context.Context, address, kind string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	answer, err := c.link(address).call(ctx, envelope{Kind: kind, Body: body, Carries: labelOf(request, kind)})
	if err != nil {
		return errors.Wrapf(err, "call %s at %s", kind, address)
	}
	if answer.Error != "" {
		return errors.Mark(errors.Newf("%s at %s: %s", kind, address, answer.Error), ErrRemote)
	}
	return errors.Wrap(json.Unmarshal(answer.Body, reply), "decode reply")
}

// Send queues a one-way message. It never waits and may lose the message.
func (c *Client) Send(address, kind string, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		return
	}
	c.link(address).enqueue(envelope{Kind: kind, Body: body, Carries: labelOf(message, kind)})
}

// Close ends all connections.
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

// link is the connection to one address. Lock order: link.mu only.
type link struct {
	address  string
	counters *Counters
	dial     dialFunction
	queue    chan envelope
	stop     chan struct{}
	stopOnce sync.Once

	mu         sync.Mutex
	connection net.Conn
	// received is when something was received last.
	received time.Duration
	waiting  map[uint64]chan envelope
	number   uint64
	failedAt time.Duration
	dialling chan struct{}
}

func newLink(address string, counters *Counters, dial dialFunction) *link {
	l := &link{address: address, counters: counters, dial: dial, queue: make(chan envelope, sendQueue), stop: make(chan struct{}),
		waiting: map[uint64]chan envelope{}}
	go l.drain()
	return l
}

func (l *link) enqueue(e envelope) {
	select {
	case l.queue <- e:
	default:
	}
}

// drain sends queued one-way messages.
func (l *link) drain() {
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
	answer := make(chan envelope, 1)
	e.Number = l.register(answer)
	defer l.forget(e.Number)
	sent := clock.Now()
	if err := l.write(connection, e); err != nil {
		return envelope{}, errors.Mark(err, ErrConnectionLost)
	}
	select {
	case e, ok := <-answer:
		if !ok {
			return envelope{}, ErrConnectionLost
		}
		return e, nil
	case <-ctx.Done():
		l.suspect(connection, sent)
		return envelope{}, errors.Wrap(ctx.Err(), "wait for reply")
	}
}

// suspect drops a connection over which nothing came since a call was sent that has
// waited for long. It may have gone silent for good, without a reset, while others to
// the same address work.
func (l *link) suspect(connection net.Conn, sent time.Duration) {
	l.mu.Lock()
	silent := l.received < sent && clock.Since(sent) >= silentCall
	l.mu.Unlock()
	if silent {
		l.drop(connection)
	}
}

func (l *link) register(answer chan envelope) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.waiting[l.number] = answer
	return l.number
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// connect returns the connection, dialling if there is none. Callers that come
// while another one dials wait for its result.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	for {
		l.mu.Lock()
		if l.connection != nil {
			defer l.mu.Unlock()
			return l.connection, nil
		}
		if l.failedAt > 0 && clock.Since(l.failedAt) < redialPause {
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

// open dials and tells those who wait.
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

// dialRepeatedly starts an attempt every dialAgain until one has an outcome.
// The first outcome counts: a refusal says that the machine is there and the
// process is not.
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
	again := time.NewTicker(dialAgain)
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
	// A net.Conn takes whole writes from several goroutines without mixing
	// them.
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := connection.Write(line); err != nil {
		l.drop(connection)
		return errors.Wrap(err, "write message")
	}
	return nil
}

func (l *link) receive(connection net.Conn) {
	lines := newLineReader(connection, l.counters)
	for {
		e, err := lines.next()
		if err != nil {
			l.drop(connection)
			return
		}
		l.mu.Lock()
		l.received = clock.Now()
		answer := l.waiting[e.Number]
		delete(l.waiting, e.Number)
		l.mu.Unlock()
		if answer != nil {
			answer <- e
		}
	}
}

// drop forgets a connection and fails the calls that wait on it.
func (l *link) drop(connection net.Conn) {
	_ = connection.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != connection {
		return
	}
	l.connection = nil
	for number, answer := range l.waiting {
		close(answer)
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
