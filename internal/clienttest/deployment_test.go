package clienttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// answerTimeout bounds the wait until an ordinary request is answered after a crowd.
	answerTimeout = 30 * time.Second
	// largeResponse is the size of the response to /look/large.
	largeResponse = 2 << 20
	// observeInterval is the pause between ordinary requests beside a crowd.
	observeInterval = 50 * time.Millisecond
	eventInterval   = 100 * time.Millisecond
	// longStream is the number of events of a stream whose body is "long".
	longStream = 60
	// stopGrace is the grace of the router's stop.
	stopGrace = 4 * time.Second
	// documentIdleTimeout is the idle timeout of the configuration.
	documentIdleTimeout = 5 * time.Second
)

var names = vocabulary.Default()

const document = `{"version":1,"max_body_bytes":4194304,"max_header_bytes":16384,"header_timeout":"3s","idle_timeout":"5s","pools":[{"name":"llm","slots":64,"capacity_tokens":1000000},{"name":"app"}],
"routes":[{"name":"chat","host":"h","prefix":"/chat/","kind":"stream","timeout":"10s","target":"1s","split":{"llm":1},"max_attempts":1},
{"name":"pay","host":"h","prefix":"/pay/","kind":"unsafe","timeout":"10s","target":"500ms","split":{"app":1},"max_attempts":1},
{"name":"public","host":"h","prefix":"/public/","kind":"safe","timeout":"10s","target":"500ms","split":{"app":1},"max_attempts":2,"public":true},
{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout":"10s","target":"500ms","split":{"app":1},"max_attempts":2}],
"tenants":[{"name":"alice","keys":["ka"]}]}`

// deployment is a router with coordinators, as processes, and back ends that the test serves.
type deployment struct {
	t            *testing.T
	coordinators []*program
	// operator and peer are the coordinators' addresses, and nodeMetrics is that of the first one.
	operator, peer []string
	nodeMetrics    string
	router         *program
	listen         string
	readiness      string
	metrics        string
	relay          string
	requests       atomic.Int64
	// ran holds the IDs of the requests that back ends have received.
	ran sync.Map
}

// noAnswer is the error of an ordinary request whose connection ended without a whole response.
type noAnswer struct {
	id string
	error
}

// start starts a deployment and waits until an ordinary request is answered.
func start(t *testing.T, coordinators int) *deployment {
	t.Helper()
	return startSized(t, coordinators, descriptorLimit)
}

// startSized is start with a router that may open a number of descriptors.
func startSized(t *testing.T, coordinators, descriptors int) *deployment {
	t.Helper()
	d := &deployment{t: t, listen: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), relay: freeAddress(t), nodeMetrics: freeAddress(t)}
	for range coordinators {
		d.operator, d.peer = append(d.operator, freeAddress(t)), append(d.peer, freeAddress(t))
	}
	seeds, err := json.Marshal(d.peer)
	assert.NilError(t, err)
	for i := range coordinators {
		text := fmt.Sprintf("name: node-%d\nzone: z\nlisten: %q\npeer_listen: %q\nseeds: %s\nbootstrap: true\ndata_directory: %q\nbackend_heartbeat: %v\nweights_deadline: 8s\norder_lease: 1s\n",
			i, d.operator[i], d.peer[i], seeds, t.TempDir(), heartbeatInterval)
		if i == 0 {
			text += fmt.Sprintf("metrics: %q\n", d.nodeMetrics)
		}
		d.coordinators = append(d.coordinators, startProgram(t, fmt.Sprintf("coordinator-%d", i), "coordinator", text, nodeMemory, descriptorLimit))
	}
	d.router = startProgram(t, "router", "edge", fmt.Sprintf("name: router\nzone: z\nlisten: %q\nreadiness: %q\nmetrics: %q\nrelay_listen: %q\nseeds: %s\nrevocation: 5s\nstop_grace: %v\nretry_ratio: 0.2\nretry_burst: 50\nretry_window: 10s\nmemory_limit: %d\n",
		d.listen, d.readiness, d.metrics, d.relay, seeds, stopGrace, routerMemory), routerMemory, descriptors)
	d.configure()
	for i, pool := range []string{"llm", "app", "app"} {
		d.startBackend(fmt.Sprintf("%s-%d", pool, i), pool)
	}
	d.awaitAnswer()
	d.awaitStream()
	return d
}

func (d *deployment) configure() {
	d.t.Helper()
	d.poll("configuration", func() error { return d.operate(http.MethodPut, "/v1/configuration", []byte(document)) })
}

// operate sends a call to the coordinators until one accepts it.
func (d *deployment) operate(method, path string, body []byte) error {
	var last error
	for _, address := range d.operator {
		request, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
	return last
}

// poll repeats an operation until it succeeds.
func (d *deployment) poll(what string, operation func() error) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if err := operation(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(answerTimeout), poll.WithDelay(50*time.Millisecond))
}

// observe sends ordinary requests and readiness checks one after the other until the context ends, and logs how
// many were answered.
func (d *deployment) observe(ctx context.Context) {
	var served, sent, ready, checks int
	var longest time.Duration
	var last error
	for ; ctx.Err() == nil; sent++ {
		begun := time.Now()
		if err := d.request("/pay/x", "ordinary"); err == nil {
			served++
		} else {
			last = err
		}
		longest = max(longest, time.Since(begun))
		checks++
		if get(d.readiness, "/readyz") == nil {
			ready++
		}
		time.Sleep(observeInterval)
	}
	d.t.Logf("meanwhile: %d of %d ordinary requests answered, up to %v, last error %v; %d of %d readiness checks", served, sent, longest, last, ready, checks)
}

// awaitAnswer repeats an ordinary request until it is answered.
func (d *deployment) awaitAnswer() {
	d.t.Helper()
	d.poll("ordinary request", func() error { return d.request("/pay/x", "ordinary") })
}

func (d *deployment) awaitStream() {
	d.t.Helper()
	d.poll("ordinary stream", func() error { return d.request("/chat/x", "short") })
}

// request sends an ordinary request over a connection of its own.
func (d *deployment) request(path, body string) error {
	return d.requestOver(&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, path, strings.NewReader(body))
}

// requestOver sends an ordinary request and reads its whole response.
func (d *deployment) requestOver(client *http.Client, path string, body io.Reader) error {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+d.listen+path, body)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("ordinary-%d", d.requests.Add(1))
	request.Host = "h"
	request.Header.Set(names.RequestID, id)
	request.Header.Set("Authorization", "Bearer ka")
	if strings.HasPrefix(path, "/chat/") {
		request.Header.Set(names.Model, "m")
		request.Header.Set(names.Usage, "20,20")
	}
	response, err := client.Do(request)
	if err != nil {
		return &noAnswer{id, err}
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return &noAnswer{id, err}
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// get sends a GET request to an address and expects status 200.
func get(address, path string) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// backend is a back end that behaves as the protocol says.
type backend struct {
	id   string
	pool string
	born state.UnixMilli
	ran  *sync.Map
}

func (d *deployment) startBackend(id, pool string) {
	listener, err := net.Listen("tcp", freeAddress(d.t))
	assert.NilError(d.t, err)
	b := &backend{id: id, pool: pool, born: state.UnixMilli(time.Now().UnixMilli()), ran: &d.ran}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.sendHeartbeats(ctx, b, listener.Addr().String())
	}()
	d.t.Cleanup(func() {
		cancel()
		<-ended
		_ = server.Close()
	})
}

func (d *deployment) sendHeartbeats(ctx context.Context, b *backend, address string) {
	row := state.Backend{Born: b.born, Pool: b.pool, Address: address, Zone: "z", Slots: 64}
	if b.pool == "llm" {
		row.Weights = map[string]int{"m": 1}
	}
	for n := 1; ctx.Err() == nil; n++ {
		body, err := json.Marshal(coordapi.Heartbeat{Backend: row, Sequence: coordapi.Sequence(n)})
		if err != nil {
			return
		}
		// A lost heartbeat is followed by the next one.
		_ = d.operate(http.MethodPost, "/v1/backends/"+b.id+"/heartbeat", body)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	switch {
	case r.URL.Path == "/v1/state":
		_ = json.NewEncoder(w).Encode(coordinator.EngineReport{Born: b.born})
		return
	case r.Header.Get(names.Instance) != b.id:
		w.Header().Set(names.ResponseInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.ran.Store(r.Header.Get(names.RequestID), true)
	w.Header().Set(names.Signature, "seal")
	switch {
	case b.pool == "llm":
		stream(w, r, string(body))
	case strings.HasSuffix(r.URL.Path, "/large"):
		_, _ = w.Write(make([]byte, largeResponse))
	default:
		_, _ = w.Write(body)
	}
}

// stream sends two events, or longStream if the body is "long".
func stream(w http.ResponseWriter, r *http.Request, body string) {
	count := 2
	if body == "long" {
		count = longStream
	}
	for i := range count {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}
