package clienttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Clients within the limits must be served in calm.

const (
	// maxHead is the largest head within the limits.
	maxHead = 16 << 10
	// quietClients are nine in ten of the clients of a large zone.
	quietClients = 360
)

// roundTrip sends the bytes that write produces over a connection and returns the status of the response.
func roundTrip(c net.Conn, write func(w io.Writer) error) (int, error) {
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if err := write(c); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (d *deployment) dial() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.listen)
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

// checkServed sends one request over a connection and expects its answer.
func (d *deployment) checkServed(c net.Conn, write func(w io.Writer) error) {
	d.t.Helper()
	status, err := roundTrip(c, write)
	assert.NilError(d.t, err)
	assert.Equal(d.t, status, http.StatusOK)
}

func text(s string) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, s)
		return err
	}
}

func (d *deployment) smallRequest() string {
	return d.route().head(fmt.Sprintf("X-N: %d\r\n", d.requests.Add(1)), contentLength(2), "\r\n") + "ok"
}

func TestLargestHeadIsServedInCalm(t *testing.T) {
	d := start(t, 1)
	rest := d.route().head(contentLength(2), "\r\n")
	fields := shortFields(maxHead - len(rest) - 24)
	head := d.route().head(contentLength(2), fields, "x:"+strings.Repeat("x", maxHead-len(rest)-len(fields)-4)+"\r\n", "\r\n")
	assert.Equal(t, len(head), maxHead)
	d.checkServed(d.dial(), text(head+"ok"))
}

func TestLargestBodyInChunksOfOneByteIsServedInCalm(t *testing.T) {
	d := start(t, 1)
	d.checkServed(d.dial(), func(w io.Writer) error {
		if _, err := io.WriteString(w, d.route().head(chunked, "\r\n")); err != nil {
			return err
		}
		if _, err := w.Write(bytes.Repeat([]byte("1\r\nx\r\n"), maxBody)); err != nil {
			return err
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	})
}

func TestClientThatSendsUntilItsDeadlineIsServedInCalm(t *testing.T) {
	d := start(t, 1)
	d.checkServed(d.dial(), func(w io.Writer) error {
		const pieces = 80
		if _, err := io.WriteString(w, d.route().head(contentLength(pieces), "\r\n")); err != nil {
			return err
		}
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			if _, err := w.Write([]byte("x")); err != nil {
				return err
			}
		}
		return nil
	})
}

func TestIdleConnectionIsServedInCalm(t *testing.T) {
	d := start(t, 1)
	unused, used := d.dial(), d.dial()
	d.checkServed(used, text(d.smallRequest()))
	time.Sleep(documentIdleTimeout * 4 / 5)
	d.checkServed(unused, text(d.smallRequest()))
	d.checkServed(used, text(d.smallRequest()))
}

func TestQuietConnectionsOfZoneAreServedInCalm(t *testing.T) {
	d := start(t, 1)
	var quiet []net.Conn
	for range quietClients {
		quiet = append(quiet, d.dial())
	}
	time.Sleep(holdTime)
	for _, c := range quiet {
		d.checkServed(c, text(d.smallRequest()))
	}
	d.router.checkBounds()
}

func TestLargeResponseReadSlowlyIsServedInCalm(t *testing.T) {
	d := start(t, 1)
	c := d.dial()
	g := target{address: d.listen, method: http.MethodPost, path: "/look/large", header: id() + withKey}
	_, err := io.WriteString(c, g.head(contentLength(0), "\r\n"))
	assert.NilError(t, err)
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	read := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, 64<<10)
		if read += n; err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	assert.Equal(t, read, int64(largeResponse))
}
