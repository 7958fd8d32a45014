package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/state"
)

var (
	strictStatus = regexp.MustCompile(`^HTTP/1\.1 [1-5][0-9]{2} [\t\x20-\x7e\x80-\xff]*$`)
	strictField  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*$")
)

// maxFuzzed bounds the responses of FuzzResponse so that they are buffered.
const maxFuzzed = maxBufferedUnsized / 2

// plainResponse is a response without what concerns its connection.
type plainResponse struct {
	status int
	header http.Header
	body   string
}

// FuzzResponse checks that a client gets a back end's response as it is, or an error, and nothing that is no HTTP. The
// response consists of a status line, the fields that each one has, and the rest.
func FuzzResponse(f *testing.F) {
	for _, text := range malformedResponses {
		addResponse(f, text)
	}
	for _, c := range unusualResponses {
		addResponse(f, c.text)
	}
	f.Fuzz(func(t *testing.T, line string, rest []byte) {
		if len(rest) > maxFuzzed {
			t.Skip("it may be forwarded before its end, which a cut connection shows")
		}
		response := line + "\r\n{id}\r\n{seal}\r\n" + string(rest)
		r := newRig(t)
		r.pool.Apply([]state.Backend{{ID: "x", Pool: "app", Address: "127.0.0.1:1", Zone: "a"}}, nil, false)
		r.handler.config.Upstream.SetDial(func(context.Context, string, string) (net.Conn, error) { return respondOverPipe(response), nil })
		got := readStrictly(t, r.askOverPipe("/unsafe/1"))
		if got.status >= http.StatusInternalServerError {
			return
		}
		want, err := readPlain(filled(response, "id-1"))
		assert.NilError(t, err, "%+v", got)
		assert.Equal(t, got.status, want.status)
		assert.Equal(t, got.body, want.body)
		for name, values := range want.header {
			assert.DeepEqual(t, got.header[name], values)
		}
	})
}

func addResponse(f *testing.F, text string) {
	if line, rest, ok := strings.Cut(text, "\r\n{id}\r\n{seal}\r\n"); ok && len(rest) < 1000 {
		f.Add(line, []byte(rest))
	}
}

// respondOverPipe returns a connection to a back end that responds with a text. It uses no ports, of which many cases would
// take too many.
func respondOverPipe(response string) net.Conn {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if q, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(far, filled(response, q.Header.Get(names.RequestID)))
		}
	}()
	return near
}

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conns chan net.Conn
}

func (l singleListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// askOverPipe sends a request over a connection of its own and returns all that comes back.
func (r *rig) askOverPipe(path string) []byte {
	near, far := net.Pipe()
	defer near.Close()
	l := singleListener{r.router.Listener, make(chan net.Conn, 1)}
	l.conns <- far
	close(l.conns)
	server := &http.Server{Handler: r.handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	assert.NilError(r.t, near.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := fmt.Fprintf(near, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s: id-1\r\nAuthorization: Bearer ka\r\nContent-Length: 4\r\n\r\nbody", path, names.RequestID)
	assert.NilError(r.t, err)
	read, err := io.ReadAll(near)
	assert.NilError(r.t, err)
	return read
}

// readStrictly reads the response of the router line by line.
func readStrictly(t *testing.T, text []byte) plainResponse {
	reader := bufio.NewReader(bytes.NewReader(text))
	line := func() string {
		read, err := reader.ReadString('\n')
		assert.NilError(t, err, "%q", text)
		assert.Assert(t, strings.HasSuffix(read, "\r\n"), "%q", read)
		return strings.TrimSuffix(read, "\r\n")
	}
	first := line()
	assert.Assert(t, strictStatus.MatchString(latin1(first)), "%q", first)
	status, err := strconv.Atoi(first[9:12])
	assert.NilError(t, err)
	out := plainResponse{status: status, header: http.Header{}}
	for field := line(); field != ""; field = line() {
		assert.Assert(t, strictField.MatchString(latin1(field)), "%q", field)
		name, value, _ := strings.Cut(field, ":")
		out.header.Add(name, strings.Trim(value, " \t"))
	}
	body, err := io.ReadAll(reader)
	assert.NilError(t, err)
	if length := out.header.Get("Content-Length"); length != "" && status != http.StatusNotModified {
		assert.Equal(t, length, strconv.Itoa(len(body)))
	}
	assert.Equal(t, out.header.Get("Transfer-Encoding"), "")
	out.body = string(body)
	return out
}

// latin1 returns text with a character for each byte.
func latin1(text string) string {
	out := make([]rune, len(text))
	for i := range len(text) {
		out[i] = rune(text[i])
	}
	return string(out)
}

// readPlain reads the response of a back end that closes the connection behind it. Whole responses to other requests before
// it are skipped.
func readPlain(text string) (plainResponse, error) {
	reader := httpwire.NewReader(strings.NewReader(text))
	for {
		response, err := reader.ReadResponse(&http.Request{Method: http.MethodPost})
		if err != nil {
			return plainResponse{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if response.Header.Get(names.RequestID) != "id-1" {
			if err != nil || response.Close {
				return plainResponse{}, errors.New("the response is one to another request")
			}
			continue
		}
		header := response.Header
		for name := range connectionHeaders(header) {
			header.Del(name)
		}
		for name := range hopResponseHeaders {
			header.Del(name)
		}
		return plainResponse{status: response.StatusCode, header: header, body: string(body)}, err
	}
}
