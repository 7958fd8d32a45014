// Command standin runs a small deployment of quinceridge on loopback addresses, with workers, clients
// and an operator of its own that follow the users' pages. It checks that the parts of a split route
// get the shares that their weights name once a configuration has changed these.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	network      = "127.77.%d.%d"
	host         = "shop.example"
	configApply  = 2 * time.Second
	margin       = time.Second
	heartbeat    = 1200 * time.Millisecond
	startLimit   = 30 * time.Second
	requestLimit = 4 * time.Second
	// The rule counts 200 requests or more, and a share may be 0.2 off its weight's (NEWS-27).
	leastRequests = 200
	maxOff        = 0.2
	// firstRequests and laterRequests are sent to each router before and after the change.
	firstRequests = 40
	laterRequests = 150
	lastRequests  = 20
)

// deployment is the state of one run.
type deployment struct {
	folder, root string
	record       *os.File
	processes    []*exec.Cmd
	ports        map[string]int
	began        time.Time

	mu   sync.Mutex
	runs map[string]string
	// sent counts the requests sent to each router.
	sent map[string]int
	// left are the workers that have left.
	left map[string]bool
}

// note writes one line of the record.
func (d *deployment) note(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin ROOT RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	d := &deployment{folder: folder, root: os.Args[1], record: record, began: time.Now(), runs: map[string]string{}, sent: map[string]int{}, left: map[string]bool{}}
	defer d.stop()
	broken, err := d.play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// play runs the case and reports whether the rule was broken.
func (d *deployment) play(trouble bool) (broken bool, err error) {
	if err := d.start(); err != nil {
		return false, err
	}
	routers := []string{d.address(2, 1, "front"), d.address(2, 2, "front")}
	if err := d.put(document(1, 900, 100)); err != nil {
		return false, err
	}
	if err := d.worker("stable", 3, 1); err != nil {
		return false, err
	}
	if err := d.worker("canary", 3, 2); err != nil {
		return false, err
	}
	for i := range routers {
		if err := d.awaitReady(d.address(2, i+1, "readiness")); err != nil {
			return false, err
		}
	}
	if err := d.awaitServed(routers); err != nil {
		return false, err
	}
	// Ordinary traffic: some tens of requests at each router.
	first := map[string]int{}
	for i, router := range routers {
		for n := 0; n < firstRequests || d.sent[router]%10 != 5; n++ {
			first[d.request(router, fmt.Sprintf("one-%d-%d", i, n))]++
		}
	}
	d.note("with weights stable 900, canary 100: %v", first)
	share := 0.1
	acked := time.Now()
	if trouble {
		if err := d.put(document(2, 1, 0)); err != nil {
			return false, err
		}
		acked, share = time.Now(), 0
		d.note("version 2 acknowledged: weights stable 1, canary 0")
	}
	time.Sleep(configApply + margin)
	second := map[string]int{}
	for n := range laterRequests {
		for i, router := range routers {
			attempt, sent := fmt.Sprintf("two-%d-%d", i, n), time.Since(acked)
			service := d.request(router, attempt)
			second[service]++
			if trouble && service == "canary" {
				d.note("CONFIG: request %s, sent %d ms after version 2 was acknowledged, was run by canary, whose weight is 0", attempt, sent.Milliseconds())
			}
		}
	}
	served := second["stable"] + second["canary"]
	if served < leastRequests {
		return false, fmt.Errorf("%d requests were served, %d are needed", served, leastRequests)
	}
	got := float64(second["canary"]) / float64(served)
	broken = math.Abs(got-share) > maxOff
	d.note("from %v after the change on, %d requests: %v; canary's share is %.2f, its weight's %.2f; at most %.1f off is allowed: broken %t", configApply+margin, served, second, got, share, maxOff, broken)
	if trouble && broken {
		d.withoutCanary(routers)
	}
	return broken, nil
}

// withoutCanary shows what follows once the service that was taken out of the route has gone. It is not
// judged.
func (d *deployment) withoutCanary(routers []string) {
	if err := d.call("/v1/instances/i-canary/deregister", nil); err != nil {
		d.note("not shown: %v", err)
		return
	}
	d.mu.Lock()
	d.left["i-canary"] = true
	d.mu.Unlock()
	d.note("the worker of canary has left, which is acknowledged; stable is idle")
	time.Sleep(configApply + margin)
	served := 0
	for n := range lastRequests {
		for i, router := range routers {
			if d.request(router, fmt.Sprintf("three-%d-%d", i, n)) != "" {
				served++
			}
		}
	}
	d.note("without canary: %d of %d requests were served", served, lastRequests*len(routers))
}

// document returns a configuration whose only route is split over two services.
func document(version, stable, canary int) []byte {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}
	}
	body, _ := json.Marshal(map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "r-orders", "host": host, "path_prefix": "/orders/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 0, "max_attempts": 1, "public": true, "sticky": false, "resumable": false,
			"traffic_split": []any{map[string]any{"service": "stable", "weight": stable}, map[string]any{"service": "canary", "weight": canary}}}},
		"services": []any{service("stable"), service("canary")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{}})
	return body
}

// start starts three coordinators and two routers with the commands of the deploy file.
func (d *deployment) start() error {
	d.ports = map[string]int{}
	for _, name := range []string{"control", "peer", "front", "readiness", "relay", "metrics"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.ports[name] = listener.Addr().(*net.TCPAddr).Port
		defer listener.Close()
	}
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(1, i, "control")))
	}
	list := "[" + strings.Join(seeds, ", ") + "]"
	for i := 1; i <= 3; i++ {
		text := fmt.Sprintf("name: core-%d\nzone: one\nlisten: %q\npeer_listen: %q\nseeds: %s\npeer_port: %d\nbootstrap: true\ndata_directory: %q\nbackend_heartbeat: 1200ms\nweights_deadline: 8000ms\norder_lease: 3000ms\nmetrics: %q\nlog:\n  format: json\n  level: info\n",
			i, d.address(1, i, "control"), d.address(1, i, "peer"), list, d.ports["peer"], filepath.Join(d.folder, fmt.Sprintf("core-%d", i)), d.address(1, i, "metrics"))
		if err := d.launch("quinceridge-control", fmt.Sprintf("core-%d", i), text); err != nil {
			return err
		}
	}
	for i := 1; i <= 2; i++ {
		text := fmt.Sprintf("name: front-%d\nzone: one\nlisten: %q\nreadiness: %q\nseeds: %s\npeer_port: %d\nrelay_listen: %q\nrevocation: 5000ms\nstop_grace: 8s\nretry_ratio: 0.2\nretry_burst: 54\nretry_window: 10s\nmemory_limit: 284\nmetrics: %q\nlog:\n  format: json\n  level: info\n",
			i, d.address(2, i, "front"), d.address(2, i, "readiness"), list, d.ports["peer"], d.address(2, i, "relay"), d.address(2, i, "metrics"))
		if err := d.launch("quinceridge-router", fmt.Sprintf("front-%d", i), text); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) address(kind, number int, port string) string {
	return fmt.Sprintf(network+":%d", kind, number, d.ports[port])
}

func (d *deployment) launch(program, name, settings string) error {
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(d.root, "target", program))
	command.Env = append(os.Environ(), "QUINCERIDGE_CONFIG="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, command)
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, command := range d.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// call sends a call of a worker or of the operator to one coordinator after the other until one accepts it.
func (d *deployment) call(path string, body []byte) error {
	client := &http.Client{Timeout: time.Second}
	var last error
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := 1; i <= 3; i++ {
			response, err := client.Post("http://"+d.address(1, i, "control")+path, "application/json", bytes.NewReader(body))
			if err != nil {
				last = err
				continue
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Errorf("%s: status %d, %s", path, response.StatusCode, text)
		}
	}
	return last
}

func (d *deployment) put(body []byte) error { return d.call("/v1/config/put", body) }

// worker starts a worker that answers every request with the name of its service.
func (d *deployment) worker(service string, kind, number int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf(network+":0", kind, number))
	if err != nil {
		return err
	}
	id := "i-" + service
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			w.Header().Set("X-Attempt-Id", attempt)
			w.Header().Set("X-Instance-Id", id)
			switch {
			case r.URL.Path == "/healthz":
				return
			case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != id:
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			d.mu.Lock()
			d.runs[attempt] = service
			d.mu.Unlock()
			d.note("%s runs %s", service, attempt)
			w.Header().Set("X-Response-Seal", "seal-"+attempt)
			_, _ = io.WriteString(w, service)
		}))
	}()
	beat := func(sequence int) error {
		body, _ := json.Marshal(map[string]any{"service": service, "address": listener.Addr().String(), "zone": "one", "version": "v1", "slots": 6,
			"state": "ready", "cold_remaining_ms": 0, "call_seq": sequence})
		return d.call("/v1/instances/"+id+"/heartbeat", body)
	}
	if err := beat(1); err != nil {
		return err
	}
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(heartbeat)
			if d.hasLeft(id) {
				return
			}
			_ = beat(sequence)
		}
	}()
	return nil
}

func (d *deployment) hasLeft(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left[id]
}

func (d *deployment) awaitReady(address string) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(address + " does not become ready")
}

// awaitServed waits until each router serves from both services.
func (d *deployment) awaitServed(routers []string) error {
	for i, router := range routers {
		seen := map[string]bool{}
		for n := 0; len(seen) < 2; n++ {
			if n > 400 {
				return errors.New(router + " does not reach both services")
			}
			if service := d.request(router, fmt.Sprintf("warm-%d-%d", i, n)); service != "" {
				seen[service] = true
			} else {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// request sends one client attempt and returns the service that ran it, empty for none.
func (d *deployment) request(router, attempt string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+router+"/orders/1", strings.NewReader("{}"))
	if err != nil {
		return ""
	}
	d.sent[router]++
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", "4000")
	response, err := (&http.Client{Timeout: requestLimit}).Do(request)
	if err != nil {
		d.note("%s gets no answer: %v", attempt, err)
		return ""
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	d.note("%s gets %d, %q", attempt, response.StatusCode, body)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[attempt]
}
