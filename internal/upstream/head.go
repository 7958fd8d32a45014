package upstream

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

const (
	// maxHead bounds the header of a response, in bytes.
	maxHead = 64 << 10
	// headTimeout is the time from the first byte of a response within which its header has to be complete. A
	// sound back end may pause for a second meanwhile.
	headTimeout = 2500 * time.Millisecond
)

// Errors of responses whose header does not end.
var (
	errHeadSize    = errors.New("the header of the response is too large")
	errHeadTimeout = errors.New("the header of the response is not complete in time")
	// ErrBodyTimeout: the body did not arrive within the time of SetReadTimeout.
	ErrBodyTimeout = errors.New("the body of the response is not complete in time")
)

// boundedReader reads from a connection up to a limit. Each connection has one, so that a back end that
// writes without end takes no memory.
type boundedReader struct {
	conn net.Conn
	left int64
}

func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadSize
	}
	n, err := r.conn.Read(buffer[:min(int64(len(buffer)), r.left)])
	r.left -= int64(n)
	return n, err
}

// limit bounds what is read from now on, beyond what is buffered.
func (r *boundedReader) limit(bytes int64) { r.left = bytes }

// unlimit ends the bound.
func (r *boundedReader) unlimit() { r.left = math.MaxInt64 }

// watchHead ends reads of the connection once a header takes too long. Stop returns false if it has.
func (c *connection) watchHead() (stop func() bool) {
	return time.AfterFunc(headTimeout, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }).Stop
}

// readResponse reads one header.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	c.bound.limit(maxHead)
	response, err := http.ReadResponse(c.reader, request)
	c.bound.unlimit()
	return response, err
}

// discardBody reads the body of a response to another request, up to a limit.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	if err == nil && n == maxForeignBody {
		err = errHeadSize
	}
	return err
}
