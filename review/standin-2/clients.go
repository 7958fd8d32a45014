package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
	// services are those that ran each request.
	services map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, services: map[string][]string{}}, nil
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) ran(id, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[id] = append(r.services[id], service)
}

// ranAt returns the services that ran a request.
func (r *record) ranAt(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[id]
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// call makes one call of the operator, a worker or the platform.
func call(method, url string, body []byte, limit time.Duration) (status int, answer []byte, err error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return do(r, limit)
}

func do(r *http.Request, limit time.Duration) (status int, answer []byte, err error) {
	one := *client
	one.Timeout = limit
	response, err := one.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// configure sends a configuration until it is acknowledged, as the operator does, and returns when it was.
func (d *deployment) configure(version int, document string) (time.Time, error) {
	d.record.add("operator sends configuration %d: %s", version, document)
	for i, until := 0, time.Now().Add(15*time.Second); time.Now().Before(until); i++ {
		status, answer, err := call("POST", "http://"+d.control(i%controls)+"/v1/config/put", []byte(document), time.Second)
		switch {
		case err == nil && status == 200:
			at := time.Now()
			d.record.add("configuration %d is acknowledged by core-%d", version, i%controls+1)
			return at, nil
		case err == nil && status/100 == 4:
			return time.Time{}, fmt.Errorf("configuration %d: status %d: %s", version, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("configuration %d was not acknowledged", version)
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	header                 map[string]string
	body                   string
	// router is the number of the router that the client is connected to.
	router int
	sentAt time.Time
	status int
	answer []byte
	err    error
	// limit is how long the client waits.
	limit time.Duration
}

// send sends a request and waits for its answer.
func (d *deployment) send(q *request) {
	r, err := http.NewRequest(q.method, "http://"+d.routers[q.router]+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		q.err = err
		return
	}
	r.Host = q.host
	r.Header.Set("X-Attempt-Id", q.id)
	limit := cmp.Or(q.limit, 4*time.Second)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	q.sentAt = time.Now()
	d.record.add("client sends %s to front-%d: %s %s%s", q.id, q.router+1, q.method, q.host, q.path)
	q.status, q.answer, q.err = do(r, limit)
	d.record.add("answer to %s: status %d, error %v", q.id, q.status, q.err)
}
