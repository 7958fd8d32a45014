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
	callLimit = 3 * time.Second
	callPause = 60 * time.Millisecond
)

// kinds of requests, by their path.
var kinds = []string{"safe", "unsafe", "stream", "chat"}

// call is one attempt of a caller and what came of it.
type call struct {
	id      string
	kind    string
	key     string
	sent    time.Duration
	status  int
	body    string
	seal    string
	whole   bool
	refused bool
	// blocked says that the answer kept the request from back ends.
	blocked bool
	// path and sends replace what the ID makes the path and the body.
	path  string
	sends string
	// router is the one that was asked.
	router string
}

// caller asks routers in turn until the context ends.
func (s *Soak) caller(ctx context.Context, number int) {
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 2,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for count := 0; wait(ctx, callPause); count++ {
		c := &call{id: fmt.Sprintf("c%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key()}
		s.ask(client, c)
		s.results.add(c)
	}
}

// ask makes one call. Each has an ID of its own: nothing is repeated here.
func (s *Soak) ask(client *http.Client, c *call) {
	request, err := s.request(c, s.routers[rand.IntN(len(s.routers))])
	if err != nil {
		return
	}
	c.sent = s.now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	c.take(response)
}

// request is a call to a router.
func (s *Soak) request(c *call, to *program) (*http.Request, error) {
	path, body := "/"+c.kind+"/"+c.id, "body of "+c.id
	if c.path != "" {
		path, body = c.path, c.sends
	}
	c.router = to.name
	s.asked.Store(c.id, to.name)
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

// take reads an answer.
func (c *call) take(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.status, c.body, c.whole = response.StatusCode, string(body), err == nil
	c.seal = response.Header.Get(names.Signature)
	c.blocked = c.status == http.StatusBadGateway && response.Header.Get("Retry-After") != ""
	c.refused = c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}
