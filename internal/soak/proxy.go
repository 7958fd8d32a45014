package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// acceptPause is how long a proxy that can't take a connection waits.
const acceptPause = 20 * time.Millisecond

// proxy stands before an address and can cut it off: silently, so that bytes
// wait, or by resets.
type proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	gate   chan struct{} // closed while bytes may pass
	refuse bool
	open   map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, gate: make(chan struct{}), open: map[net.Conn]struct{}{}}
	close(p.gate)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// accept goes on after an error: a run that is out of descriptors for a moment must not
// lose a program for the rest of it.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	p.pass()
	if p.refusing() {
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	p.note(near, far)
	defer p.forget(near, far)
	done := make(chan struct{}, 2)
	go p.copy(near, far, done)
	go p.copy(far, near, done)
	<-done
}

// copy moves bytes while the gate is open. A closed sender closes both sides.
func (p *proxy) copy(to, from net.Conn, done chan<- struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			done <- struct{}{}
			return
		}
	}
}

// pass waits until bytes may pass.
func (p *proxy) pass() {
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

func (p *proxy) note(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = struct{}{}
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
	}
}

// cut holds all bytes back for a time.
func (p *proxy) cut(wait func()) {
	p.mu.Lock()
	held := make(chan struct{})
	p.gate = held
	p.mu.Unlock()
	wait()
	close(held)
}

// reset ends all connections and refuses new ones for a time.
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

func (p *proxy) close() { _ = p.listener.Close() }
