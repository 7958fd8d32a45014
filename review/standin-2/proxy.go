package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy forwards connections to an address. It can hold back all bytes of the connections that a named
// router has opened, as a cut without a reset does. The routers name themselves in their calls.
type proxy struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut string
	// healed is closed when the cut ends.
	healed chan struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) close() { _ = p.listener.Close() }

// setCut holds back the bytes of a router from now on; an empty name ends that.
func (p *proxy) setCut(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
	if p.cut = router; router != "" {
		p.healed = make(chan struct{})
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	link := &link{proxy: p}
	done := make(chan struct{}, 2)
	go link.copy(server, client, true, done)
	go link.copy(client, server, false, done)
	<-done
}

// link is one connection through a proxy. Router is the name of its router, once that is known.
type link struct {
	proxy  *proxy
	mu     sync.Mutex
	router string
}

// name learns the router from the bytes that it sends.
func (l *link) name(sent []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	marker := []byte(`"router":"`)
	if l.router != "" {
		return
	}
	if at := bytes.Index(sent, marker); at >= 0 {
		name, _, _ := bytes.Cut(sent[at+len(marker):], []byte("/"))
		l.router = string(name)
	}
}

// wait waits while the router is cut off.
func (l *link) wait() {
	l.mu.Lock()
	router := l.router
	l.mu.Unlock()
	l.proxy.mu.Lock()
	healed := l.proxy.healed
	held := router != "" && router == l.proxy.cut
	l.proxy.mu.Unlock()
	if held {
		<-healed
	}
}

func (l *link) copy(to, from net.Conn, sent bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if sent {
				l.name(buffer[:n])
			}
			l.wait()
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
