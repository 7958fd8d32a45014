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
	url := "http://" + s.routers[rand.IntN(len(s.routers))].listen + "/" + c.kind + "/" + c.id
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body of "+c.id))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Host = "soak"
	request.Header.Set(names.RequestID, c.id)
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(names.Model, model)
	request.Header.Set(names.Usage, "100,50")
	request.Header.Set(names.Prefix, "base:50,own:50")
	c.sent = s.now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.status, c.body, c.whole = response.StatusCode, string(body), err == nil
	c.seal = response.Header.Get(names.Seal)
	c.refused = c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}
