package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
)

// headTimeout is the time from the first byte of a response within which its header has to be complete. A
// sound back end may pause for a second meanwhile.
const headTimeout = 2500 * time.Millisecond

// Errors of responses that do not end.
var (
	errHeadTimeout = errors.New("the header of the response is not complete in time")
	errForeignSize = errors.New("the response to another request is too large")
	// ErrBodyTimeout: the body did not arrive within the time of SetReadTimeout.
	ErrBodyTimeout = errors.New("the body of the response is not complete in time")
)

// watchHead ends reads of the connection once a header takes too long. Stop returns false if it has.
func (c *connection) watchHead() (stop func() bool) {
	return time.AfterFunc(headTimeout, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }).Stop
}

// readResponse reads one header.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	response, err := c.reader.ReadResponse(request)
	if grown := int64(c.reader.Size()-readBuffer) - c.grown.Load(); grown > 0 {
		c.memory.Charge(grown)
		c.grown.Add(grown)
	}
	return response, err
}

// discardBody reads the body of a response to another request, up to a limit.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	if err == nil && n == maxForeignBody {
		err = errForeignSize
	}
	return err
}

// countMalformed counts a response that is given up because of its bytes.
func (p *Pool) countMalformed(err error) {
	if errors.Is(err, httpwire.ErrMalformed) {
		p.Malformed.Add(1)
	}
}
