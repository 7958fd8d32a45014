package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/socket"
)

// acceptRetryDelay is the delay before the next Accept after a failed one.
const acceptRetryDelay = 20 * time.Millisecond

// proxy forwards connections to an address. It can stall all traffic or reset all connections.
type proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	gate   chan struct{} // closed while traffic may pass
	refuse bool
	open   map[net.Conn]struct{}
	// cuts are the callers whose connections are reset; nil for none. senders maps the local
	// addresses of connections to the target to the callers' IP addresses.
	cuts    *cuts
	senders sync.Map
}

// newProxy returns a proxy for a target at an address of its own.
func newProxy(target string) (*proxy, error) { return newProxyAt(anyAddress, target) }

// newProxyAt is newProxy for an address that another proxy may have had.
func newProxyAt(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, gate: make(chan struct{}), open: map[net.Conn]struct{}{}}
	close(p.gate)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// accept continues after temporary errors, such as a lack of file descriptors, so that the
// address stays reachable.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(downstream net.Conn) {
	defer downstream.Close()
	p.waitOpen()
	if p.refusing() {
		return
	}
	source := sourceOf(downstream)
	if p.cuts.isCut(source) {
		_ = downstream.(*net.TCPConn).SetLinger(0)
		return
	}
	upstream, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.senders.Store(upstream.LocalAddr().String(), source)
	defer p.senders.Delete(upstream.LocalAddr().String())
	p.track(downstream, upstream)
	defer p.untrack(downstream, upstream)
	near, far := newProxied(downstream), newProxied(upstream)
	done := make(chan struct{}, 2)
	go p.copy(near, far, done)
	go p.copy(far, near, done)
	<-done
}

// proxied is one side of a connection through a proxy. Its reads tell resets from ends.
type proxied struct {
	net.Conn
	tcp *net.TCPConn
}

func newProxied(c net.Conn) proxied { return proxied{socket.ReportResets(c), c.(*net.TCPConn)} }

// copy forwards bytes while the gate is open. At EOF it closes the write side of the
// destination, and after a reset it resets it.
func (p *proxy) copy(to, from proxied, done chan<- struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitOpen()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == io.EOF {
			_ = to.tcp.CloseWrite()
		}
		if errors.Is(err, syscall.ECONNRESET) {
			_ = to.tcp.SetLinger(0)
		}
		if err != nil {
			done <- struct{}{}
			return
		}
	}
}

// waitOpen blocks until the gate is open.
func (p *proxy) waitOpen() {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	<-gate
}

func (p *proxy) refusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
	}
}

// cut stalls all traffic until wait returns.
func (p *proxy) cut(wait func()) {
	p.mu.Lock()
	blocked := make(chan struct{})
	p.gate = blocked
	p.mu.Unlock()
	wait()
	close(blocked)
}

// reset closes all connections with a TCP reset and refuses new ones until wait returns.
func (p *proxy) reset(wait func()) {
	p.mu.Lock()
	p.refuse = true
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.mu.Unlock()
	wait()
	p.mu.Lock()
	p.refuse = false
	p.mu.Unlock()
}

// resetFrom resets the connections of some callers.
func (p *proxy) resetFrom(sources map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if sources[sourceOf(c)] {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// sourceOf returns the IP address of a connection's other end.
func sourceOf(c net.Conn) string { return c.RemoteAddr().(*net.TCPAddr).IP.String() }

func (p *proxy) close() { _ = p.listener.Close() }
