package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
)

const (
	callTimeout = 3 * time.Second
	callPause   = 60 * time.Millisecond
	// uploadEvery is how many calls there are to one with a long body, and uploadSize the bytes of that: more than the
	// system keeps between a router and a back end that reads nothing.
	uploadEvery = 10
	uploadSize  = 4 << 20
)

// kinds lists the request kinds, which are also the first path segments.
var kinds = []string{"safe", "unsafe", "stream", "chat"}

// call is one request of a caller and its result.
type call struct {
	id   string
	kind string
	key  string
	sent time.Duration
	// took is the time until the response was complete or the call failed.
	took time.Duration
	// lastAt is when the caller of a long stream received something last, and left is set if it left
	// after it had received nothing for its patience.
	lastAt time.Duration
	left   bool
	// tenant is the tenant that the key belongs to, the usual one if empty. flood is set for requests
	// of a flood and for long streams.
	tenant   string
	flood    bool
	status   int
	body     string
	seal     string
	complete bool
	// stopped is set if the caller disconnected once it had the events that it wanted.
	stopped  bool
	rejected bool
	// blocked is set if a router rejected the request as a poison request.
	blocked bool
	// upload is set if the request has a long body.
	upload bool
	// malformed is the error of a response that is no HTTP, nil for none.
	malformed error
	// path and requestBody override the path and the body that are derived from the ID.
	path        string
	requestBody string
	// crashingPart is a part of the prompt that crashes back ends, empty for none.
	crashingPart string
	// resumes is the ID of the attempt that brought the first event of the stream that the call resumes,
	// empty for none, and after the number of its last event.
	resumes string
	after   int
	// stopAfter is the number of events after which the caller disconnects, 0 for never.
	stopAfter int
	// router is the name of the router that received the request, and address the caller's own of the
	// connection to it.
	router  string
	address string
	// whole is set once the whole request was sent, and dropped if the connection then ended in a way that
	// shows that it had been read.
	whole, dropped bool
	// onData is called when a part of the response arrives, nil for nothing.
	onData func()
}

// caller sends requests to random routers until the context ends.
func (s *Soak) caller(ctx context.Context, number int) {
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext})}
	defer client.CloseIdleConnections()
	for count := 0; wait(ctx, callPause); count++ {
		c := &call{id: fmt.Sprintf("c%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key(), upload: rand.IntN(uploadEvery) == 0}
		s.send(client, c)
		s.results.add(c)
	}
}

// send makes one call to a random router, without retries.
func (s *Soak) send(client *http.Client, c *call) {
	request, err := s.request(c, s.routers[rand.IntN(len(s.routers))])
	if err != nil {
		return
	}
	ctx, leave := context.WithCancelCause(request.Context())
	defer leave(nil)
	if isLong(c.kind) {
		timer := time.AfterFunc(patienceOf(c.kind), func() { leave(errNoPatience) })
		defer timer.Stop()
		c.onData = func() {
			timer.Reset(patienceOf(c.kind))
			c.lastAt = s.now()
		}
	}
	c.sent = s.now()
	defer func() {
		c.took = s.now() - c.sent
		c.left = errors.Is(context.Cause(ctx), errNoPatience)
	}()
	var address atomic.Value
	var whole atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { address.Store(info.Conn.LocalAddr().String()) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { whole.Store(info.Err == nil) },
	}
	defer func() {
		c.address, _ = address.Load().(string)
		c.whole = whole.Load()
	}()
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		c.noteError(err)
		return
	}
	c.readResponse(response)
}

// bodyText returns the body of the request.
func (c *call) bodyText() string {
	text := "body of " + c.id
	if c.upload {
		text += strings.Repeat(" and more", uploadSize/len(" and more"))
	}
	return text
}

// noteError records the error of a response that is no HTTP.
func (c *call) noteError(err error) {
	if errors.Is(err, httpwire.ErrMalformed) {
		c.malformed = err
	}
}

var errNoPatience = errors.New("nothing arrived for too long")

// noticingReader calls onData after each read that brings data.
type noticingReader struct {
	io.Reader
	onData func()
}

func (r noticingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.onData != nil {
		r.onData()
	}
	return n, err
}

// request builds the HTTP request of a call and records its router.
func (s *Soak) request(c *call, to *program) (*http.Request, error) {
	path, body := "/"+c.kind+"/"+c.id, c.bodyText()
	if c.path != "" {
		path, body = c.path, c.requestBody
	}
	c.router = to.name
	s.requestRouters.Store(c.id, to.name)
	request, err := http.NewRequest(http.MethodPost, "http://"+to.listen+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Host = "soak"
	request.Header.Set(names.RequestID, c.id)
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(names.Model, model)
	request.Header.Set(names.Usage, "100,50")
	request.Header.Set(names.Prefix, promptOf(c))
	if c.resumes != "" {
		request.Header.Set(names.Resumes, c.resumes)
		request.Header.Set(names.LastEvent, strconv.Itoa(c.after))
	}
	return request, nil
}

// readResponse reads the response and closes its body.
func (c *call) readResponse(response *http.Response) {
	defer response.Body.Close()
	body, stopped, err := c.readBody(noticingReader{response.Body, c.onData})
	c.noteError(err)
	c.status, c.body, c.complete, c.stopped = response.StatusCode, string(body), err == nil && !stopped, stopped
	c.seal = response.Header.Get(names.Signature)
	c.blocked = c.status == http.StatusBadGateway && response.Header.Get("Retry-After") != ""
	c.rejected = c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// served reports whether the caller got what it wanted.
func (c *call) served() bool { return c.status == http.StatusOK && (c.complete || c.stopped) }

// readBody reads a body to its end, or until the caller has the events after which it stops.
func (c *call) readBody(body io.Reader) (read []byte, stopped bool, err error) {
	if c.stopAfter == 0 {
		read, err = io.ReadAll(body)
		return read, false, err
	}
	for reader := bufio.NewReader(body); ; {
		line, err := reader.ReadBytes('\n')
		if read = append(read, line...); errors.Is(err, io.EOF) {
			return read, false, nil
		}
		if err != nil {
			return read, false, err
		}
		if bytes.Count(read, []byte("\n\n")) >= c.stopAfter {
			return read, true, nil
		}
	}
}
