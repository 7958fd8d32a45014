package edge

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/upstream"
)

// linkState is the state of the path from a router to a back end.
type linkState int

const (
	linkUp linkState = iota
	// linkSilent drops all packets.
	linkSilent
	// linkResets resets open connections and refuses new ones.
	linkResets
	// linkRefuses refuses new connections, while open ones live on.
	linkRefuses
)

const (
	// linkDialTimeout and linkUserTimeout are the time-outs of a router's connections to back ends.
	linkDialTimeout = 250 * time.Millisecond
	linkUserTimeout = 1500 * time.Millisecond
)

// links is the network between routers and back ends. Each pair of both can be cut.
type links struct {
	mu     sync.Mutex
	states map[link]linkState
	// changed is closed and replaced at each change.
	changed chan struct{}
	conns   map[*linkConn]struct{}
}

// link is the path from a router, by its number, to the address of a back end.
type link struct {
	router  int
	address string
}

func newLinks() *links {
	return &links{states: map[link]linkState{}, changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
}

// set changes the state of the paths from a router to addresses.
func (n *links) set(state linkState, router int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.states[link{router, address}] = state
	}
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		switch n.states[c.link] {
		case linkResets:
			c.fail(syscall.ECONNRESET)
		case linkUp:
			c.deliver()
		}
	}
}

// state returns the state of a path and a channel that is closed when any has changed.
func (n *links) state(of link) (linkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.states[of], n.changed
}

// dialFrom returns the function with which a router opens connections to back ends.
func (n *links) dialFrom(router int) upstream.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
		defer cancel()
		to := link{router, address}
		state, _ := n.state(to)
		switch state {
		case linkSilent:
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		case linkResets, linkRefuses:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		var dialer net.Dialer
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &linkConn{TCPConn: raw.(*net.TCPConn), links: n, link: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// linkConn is a connection over a link.
type linkConn struct {
	*net.TCPConn
	links *links
	link  link

	mu sync.Mutex
	// pending is what was written while the link was silent, and timeout ends the connection unless
	// it is delivered.
	pending []byte
	timeout *time.Timer
	// failure is the error with which the connection has ended.
	failure error
}

// fail ends the connection as its system would.
func (c *linkConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
		_ = c.TCPConn.SetDeadline(time.Unix(1, 0))
	}
}

// deliver sends what was written while the link was silent.
func (c *linkConn) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil && c.timeout != nil && c.timeout.Stop() {
		_, _ = c.TCPConn.Write(c.pending)
	}
	c.pending, c.timeout = nil, nil
}

func (c *linkConn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

func (c *linkConn) Write(p []byte) (int, error) {
	state, _ := c.links.state(c.link)
	if err := c.failed(); err != nil {
		return 0, err
	}
	if state != linkSilent {
		return c.TCPConn.Write(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, p...)
	if c.timeout == nil {
		c.timeout = time.AfterFunc(linkUserTimeout, func() { c.fail(syscall.ETIMEDOUT) })
	}
	return len(p), nil
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for {
		if failure := c.failed(); failure != nil {
			return 0, failure
		}
		state, changed := c.links.state(c.link)
		if state != linkSilent || err != nil {
			return n, err
		}
		// What has arrived was sent after the link became silent.
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
			if c.closed() {
				return 0, net.ErrClosed
			}
		}
	}
}

// closed reports whether this end has closed the connection or passed its deadline.
func (c *linkConn) closed() bool {
	_, err := c.TCPConn.Write(nil)
	return err != nil
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
