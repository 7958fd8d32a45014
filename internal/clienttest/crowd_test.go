package clienttest

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// dialers is the number of clients of a crowd that connect and send at once.
	dialers     = 100
	dialTimeout = 3 * time.Second
	// sendTimeout bounds the time in which a client sends what its form says.
	sendTimeout = 8 * time.Second
	// holdTime is the time for which a crowd stays once all have sent.
	holdTime = time.Second
	// maxBody is the largest body of a request, and maxDocument that of a configuration.
	maxBody     = 4 << 20
	maxDocument = 8 << 20
	// legalHead is the largest head of a request within the pages' limits, and largeHead one beyond.
	legalHead = 15 << 10
	largeHead = 900 << 10
)

// target is an address to which a crowd sends requests.
type target struct {
	address string
	method  string
	path    string
	// host is the Host field, empty for that of the routes.
	host string
	// header holds further lines of the head.
	header string
}

// head returns the beginning of a request without the empty line at its end.
func (g target) head(lines ...string) string {
	return g.method + " " + g.path + " HTTP/1.1\r\nHost: " + cmp.Or(g.host, "h") + "\r\n" + g.header + strings.Join(lines, "")
}

// form is what one client of a crowd sends. The connection stays open afterwards.
type form struct {
	name  string
	count int
	send  func(c net.Conn, g target)
}

// write sends bytes. A client that is refused sends no more.
func write(c net.Conn, p []byte) bool {
	_, err := c.Write(p)
	return err == nil
}

// writePieces sends bytes in pieces of the given size.
func writePieces(c net.Conn, p []byte, size int) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	for len(p) > 0 {
		n := min(size, len(p))
		if !write(c, p[:n]) {
			return
		}
		p = p[n:]
	}
}

// shortFields returns a number of bytes of fields with names that differ.
func shortFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// The forms of misbehaviour.
var (
	shortFieldsForm = form{"short fields", 600, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(10), shortFields(legalHead), "\r\n")+"1234567"))
	}}
	manyShortFieldsForm = form{"60 KiB of short fields", 300, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(10), shortFields(60<<10), "\r\n")+"1234567"))
	}}
	promptPartsForm = form{"prompt of 7,000 parts", 700, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(10), names.Model+": m\r\n"+names.Usage+": 20,20\r\n"+names.Prefix+": "+strings.Repeat("a,", 7000)+"a:1\r\n", "\r\n")+"1234567"))
	}}
	endlessHeadForm = form{"60 KiB of head without an end", 1000, func(c net.Conn, g target) {
		write(c, []byte(g.head("X-Long: "+strings.Repeat("x", 60<<10))))
	}}
	largeHeadForm = form{"900 KiB of head", 300, func(c net.Conn, g target) {
		write(c, []byte(g.head("X-Long: "+strings.Repeat("x", largeHead))))
	}}
	slowHeadForm = form{"head a byte at a time", 400, func(c net.Conn, g target) {
		for _, b := range []byte(g.head()) {
			if !write(c, []byte{b}) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}}
	shortBodyForm = form{"4 MiB of body, one byte short", 150, func(c net.Conn, g target) {
		if write(c, []byte(g.head(contentLength(maxBody), "\r\n"))) {
			write(c, make([]byte, maxBody-1))
		}
	}}
	documentForm = form{"4 MiB of configuration, one byte short", 150, shortBodyForm.send}
	// wholeDocumentForm sends documents that are decoded and found invalid.
	wholeDocumentForm = form{"whole configurations of 4 MiB", 60, func(c net.Conn, g target) {
		const entry = `{"name":"a","keys":["k"]}`
		document := `{"version":1,"tenants":[` + strings.Repeat(entry+",", maxBody/len(entry)-2) + entry + "]}"
		write(c, []byte(g.head(contentLength(len(document)), "\r\n")+document))
	}}
	piecesForm = form{"64 KiB of body in pieces of 16 bytes, short", 300, func(c net.Conn, g target) {
		if write(c, []byte(g.head(contentLength(64<<10), "\r\n"))) {
			writePieces(c, make([]byte, 64<<10-1), 16)
		}
	}}
	announcedForm = form{"4 MiB announced and not sent", 600, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(maxBody), "\r\n")))
	}}
	byteChunksForm = form{"512 KiB of body in chunks of one byte, open at the end", 200, func(c net.Conn, g target) {
		if write(c, []byte(g.head(chunked, "\r\n"))) {
			write(c, bytes.Repeat([]byte("1\r\nx\r\n"), 512<<10))
		}
	}}
	endlessChunksForm = form{"chunks without an end", 100, func(c net.Conn, g target) {
		if !write(c, []byte(g.head(chunked, "\r\n"))) {
			return
		}
		chunk := []byte("10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n")
		for range 2 * maxDocument / (1 << 16) {
			if !write(c, chunk) {
				return
			}
		}
	}}
	overLimitForm = form{"64 MiB of body announced, 16 sent", 60, func(c net.Conn, g target) {
		if write(c, []byte(g.head(contentLength(64<<20), "\r\n"))) {
			for range 16 {
				if !write(c, make([]byte, 1<<20)) {
					return
				}
			}
		}
	}}
	trailersForm = form{"many trailers", 300, func(c net.Conn, g target) {
		write(c, []byte(g.head(chunked, "\r\n")+"1\r\nx\r\n0\r\n"+shortFields(60<<10)))
	}}
	aheadForm = form{"300 requests ahead, unread", 100, func(c net.Conn, g target) {
		write(c, []byte(strings.Repeat(g.head(names.RequestID+": a\r\n", contentLength(0), "\r\n"), 300)))
	}}
	fieldsAheadForm = form{"100 requests of short fields ahead, unread", 400, func(c net.Conn, g target) {
		write(c, []byte(strings.Repeat(g.head(names.RequestID+": a\r\n", contentLength(0), shortFields(3<<10), "\r\n"), 100)))
	}}
	aheadBodiesForm = form{"30 requests with bodies ahead, unread", 100, func(c net.Conn, g target) {
		one := g.head(names.RequestID+": a\r\n", contentLength(64<<10), "\r\n") + strings.Repeat("x", 64<<10)
		for range 30 {
			if !write(c, []byte(one)) {
				return
			}
		}
	}}
	unreadForm = form{"response unread", 300, func(c net.Conn, g target) {
		shrinkReceiveBuffer(c)
		write(c, []byte(g.head(names.RequestID+": a\r\n", contentLength(4), "\r\n")+"long"))
	}}
	trickleForm = form{"response read a byte at a time", 200, func(c net.Conn, g target) {
		shrinkReceiveBuffer(c)
		if !write(c, []byte(g.head(names.RequestID+": a\r\n", contentLength(4), "\r\n")+"long")) {
			return
		}
		one := make([]byte, 1)
		for range 200 {
			if _, err := c.Read(one); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}}
	halfClosedForm = form{"half a body, half closed", 300, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(256<<10), "\r\n")))
		write(c, make([]byte, 128<<10))
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}}
	resetForm = form{"half a body, reset", 600, func(c net.Conn, g target) {
		write(c, []byte(g.head(contentLength(256<<10), "\r\n")))
		write(c, make([]byte, 128<<10))
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}}
	silentForm = form{"connections that send nothing", 1000, func(net.Conn, target) {}}
	lineForm   = form{"8 MiB of a message without an end", 100, func(c net.Conn, _ target) { write(c, bytes.Repeat([]byte("x"), maxDocument)) }}
	callsForm  = form{"large messages of an unknown kind", 200, func(c net.Conn, _ target) {
		line := []byte(`{"n":1,"kind":"unknown","body":"` + strings.Repeat("x", 1<<20) + "\"}\n")
		for range 8 {
			if !write(c, line) {
				return
			}
		}
	}}
)

// repliesForm sends calls whose replies repeat 1 MiB of them, and reads none.
var repliesForm = form{"large replies unread", 100, func(c net.Conn, _ target) {
	shrinkReceiveBuffer(c)
	line := []byte(`{"n":1,"kind":"` + strings.Repeat("x", 1<<20) + "\"}\n")
	for range 20 {
		if !write(c, line) {
			return
		}
	}
}}

// shrinkReceiveBuffer bounds what the system reads on behalf of a client.
func shrinkReceiveBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
}

// crowd is the open connections of clients that misbehave.
type crowd struct {
	mu          sync.Mutex
	connections []net.Conn
}

// assemble connects count clients of a form and lets them send.
func (w *crowd) assemble(f form, g target, count int) {
	var group sync.WaitGroup
	slots := make(chan struct{}, dialers)
	for range count {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c, err := net.DialTimeout("tcp", g.address, dialTimeout)
			if err != nil {
				// A process may refuse connections.
				return
			}
			w.mu.Lock()
			w.connections = append(w.connections, c)
			w.mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(sendTimeout))
			f.send(c, g)
		})
	}
	group.Wait()
}

func (w *crowd) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.connections {
		_ = c.Close()
	}
	w.connections = nil
}

// survive sends a crowd at a target and checks that the program stays within its bounds and answers an
// ordinary request afterwards.
func survive(t *testing.T, p *program, f form, g target, answers func()) {
	t.Helper()
	surviveBeside(t, p, f, g, answers, func(ctx context.Context) { <-ctx.Done() })
}

// surviveBeside is survive while other calls run.
func surviveBeside(t *testing.T, p *program, f form, g target, answers func(), beside func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { beside(ctx) })
	defer group.Wait()
	defer cancel()
	var w crowd
	defer w.leave()
	w.assemble(f, g, f.count)
	time.Sleep(holdTime)
	cancel()
	p.checkBounds()
	w.leave()
	answers()
	p.checkBounds()
}
