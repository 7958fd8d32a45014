package httpwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"quinceridge.example/quinceridge/internal/socket"
)

// Transport is an http.RoundTripper that returns no response which Reader would refuse, and whose bodies end with io.EOF
// only if the peer has ended its side of the connection.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the connections and limits of base, which must not be used otherwise, or with those
// of http.DefaultTransport if it is nil. Its connections are not encrypted.
func NewTransport(base *http.Transport) *Transport {
	if base == nil {
		base = http.DefaultTransport.(*http.Transport).Clone()
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: socket.ReportResets(raw)}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.unanswered.Store(true)
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedConn checks the heads of responses before they can be read.
type checkedConn struct {
	net.Conn
	// unanswered is set from the beginning of a request until the head of its response has been checked.
	unanswered atomic.Bool
	section    section
	// arrived has been read and not returned. Its first ready bytes have been checked. Err follows them.
	arrived []byte
	ready   int
	err     error
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.ready == 0 && c.err == nil {
		if len(c.arrived) == 0 && !c.unanswered.Load() {
			n, err := c.Conn.Read(p)
			if n == 0 || !c.unanswered.Load() {
				return n, err
			}
			// A request began during the read.
			c.arrived, c.err = append(c.arrived, p[:n]...), err
		}
		c.checkHead()
	}
	if c.ready == 0 {
		return 0, c.err
	}
	n := copy(p, c.arrived[:c.ready])
	c.arrived, c.ready = c.arrived[n:], c.ready-n
	if len(c.arrived) == 0 {
		c.arrived = nil
	}
	return n, nil
}

// checkHead reads until a head is complete, and makes it ready.
func (c *checkedConn) checkHead() {
	part := make([]byte, BufferSize)
	for {
		ended, err := c.section.check(c.arrived)
		switch {
		case err != nil:
			c.err = err
			return
		case ended && c.section.isInformational():
			c.ready = c.section.checked
			c.section = section{}
			return
		case ended:
			c.ready = len(c.arrived)
			c.section = section{}
			c.unanswered.Store(false)
			return
		case len(c.arrived) >= MaxHead:
			c.err = ErrHeadSize
			return
		case c.err != nil:
			if c.err == io.EOF && len(c.arrived) > 0 {
				c.err = io.ErrUnexpectedEOF
			}
			return
		}
		n, err := c.Conn.Read(part)
		c.arrived, c.err = append(c.arrived, part[:n]...), err
	}
}

// trailerBody is a body whose trailers are checked.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		for name, values := range b.response.Trailer {
			if len(values) > 0 && !isName([]byte(name)) {
				err = malformed("trailer", []byte(name))
			}
		}
	}
	return n, err
}
