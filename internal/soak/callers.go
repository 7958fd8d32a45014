package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout = 3 * time.Second
	callPause   = 60 * time.Millisecond
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
	// tenant is the tenant that the key belongs to, the usual one if empty. flood is set for requests
	// of a flood.
	tenant   string
	flood    bool
	status   int
	body     string
	seal     string
	complete bool
	rejected bool
	// blocked is set if a router rejected the request as a poison request.
	blocked bool
	// path and requestBody override the path and the body that are derived from the ID.
	path        string
	requestBody string
	// router is the name of the router that received the request.
	router string
}

// caller sends requests to random routers until the context ends.
func (s *Soak) caller(ctx context.Context, number int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for count := 0; wait(ctx, callPause); count++ {
		c := &call{id: fmt.Sprintf("c%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key()}
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
	c.sent = s.now()
	defer func() { c.took = s.now() - c.sent }()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	c.readResponse(response)
}

// request builds the HTTP request of a call and records its router.
func (s *Soak) request(c *call, to *program) (*http.Request, error) {
	path, body := "/"+c.kind+"/"+c.id, "body of "+c.id
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
	request.Header.Set(names.Prefix, "base:50,own:50")
	return request, nil
}

// readResponse reads the response and closes its body.
func (c *call) readResponse(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.status, c.body, c.complete = response.StatusCode, string(body), err == nil
	c.seal = response.Header.Get(names.Signature)
	c.blocked = c.status == http.StatusBadGateway && response.Header.Get("Retry-After") != ""
	c.rejected = c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}
