package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a sound worker: it runs what it gets, and sends heartbeats to the controls.
type worker struct {
	id, service, address string
	record               *record
	// onRun is called for each run, before its answer; nil for nothing.
	onRun func(r *http.Request)
	// work is how long a run takes.
	work time.Duration
	// engine is set for a worker that holds weights. It answers with events, a pause apart.
	engine bool
	events int
	pause  time.Duration
	// software is the version of its software. Its first heartbeat arrives after late.
	software string
	late     time.Duration
	born     int64
	sequence atomic.Int64
	server   *http.Server
	ended    chan struct{}
	once     sync.Once

	mu sync.Mutex
	// Until warmAt the worker turns requests away, and wants nothing from their sender for rest.
	warmAt time.Time
	rest   time.Duration
	// turnedAway is when the worker last answered a machine with Retry-After, and tooEarly are the requests
	// that reached it from there within the rest.
	turnedAway map[string]time.Time
	tooEarly   map[string]int
	// cut are the local IP addresses of routers that cannot reach the worker.
	cut   map[string]bool
	conns map[net.Conn]struct{}
}

func startWorker(d *deployment, id, service string, last, port int, engine bool, onRun func(r *http.Request)) (*worker, error) {
	w := newWorker(d, id, service, last, port, engine)
	w.onRun = onRun
	return w, w.start(d)
}

func newWorker(d *deployment, id, service string, last, port int, engine bool) *worker {
	return &worker{id: id, service: service, address: d.address(last, port), record: d.record, work: 20 * time.Millisecond, engine: engine, events: 3,
		software: "v1", ended: make(chan struct{}), cut: map[string]bool{}, conns: map[net.Conn]struct{}{},
		turnedAway: map[string]time.Time{}, tooEarly: map[string]int{}}
}

// start begins a new life of the worker.
func (w *worker) start(d *deployment) error {
	w.born = time.Now().UnixMilli()
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set("X-Instance-Id", w.id) })
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux, ConnState: w.track}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(d)
	return nil
}

// stop ends the worker as a crash does: its connections close at once.
func (w *worker) stop() {
	w.once.Do(func() { close(w.ended) })
	_ = w.server.Close()
}

// track resets the connections of routers that cannot reach the worker.
func (w *worker) track(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = struct{}{}
		if w.cut[hostOf(c)] {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	default:
	}
}

func hostOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// setCut cuts a router off: its connections are reset, and new ones too.
func (w *worker) setCut(source string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[source] = cut
	for c := range w.conns {
		if cut && hostOf(c) == source {
			reset(c)
		}
	}
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set("X-Attempt-Id", id)
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case id == "":
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != w.id:
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.turnsAway(out, r, id) {
		return
	}
	w.record.add("runs %s at %s (%s), %s %s, %d bytes, tenant %q, from %s", id, w.id, w.service, r.Method, r.RequestURI, len(body), r.Header.Get("X-Tenant"), r.RemoteAddr)
	w.record.ran(id, w.service)
	if w.onRun != nil {
		w.onRun(r)
	}
	time.Sleep(w.work)
	out.Header().Set("X-Response-Seal", w.id+"."+id)
	if w.engine {
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("X-Weight-Versions", "1")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= w.events; i++ {
			if _, err := fmt.Fprintf(out, "id: %d\ndata: token by %s\n\n", i, w.software); err != nil {
				return
			}
			out.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(w.pause):
			}
		}
		return
	}
	_, _ = fmt.Fprintf(out, "answer of %s to %s\n", w.service, id)
}

// turnsAway answers a request during the warm-up, and counts those that come before the rest is
// over.
func (w *worker) turnsAway(out http.ResponseWriter, r *http.Request, id string) bool {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, is := w.turnedAway[from]; is && now.Sub(at) > time.Second/2 && now.Sub(at) < w.rest {
		w.tooEarly[from]++
		w.record.add("%s reaches %s from %s %v after it asked that machine for %v of rest", id, w.id, from, now.Sub(at).Round(time.Millisecond), w.rest)
	}
	if !now.Before(w.warmAt) {
		return false
	}
	w.turnedAway[from] = now
	w.record.add("%s turns %s of %s away with 503, Retry-After %v", w.id, id, from, w.rest.Seconds())
	out.Header().Set("X-Not-Executed", "1")
	out.Header().Set("Retry-After", strconv.FormatFloat(w.rest.Seconds(), 'f', -1, 64))
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (w *worker) models() any {
	if !w.engine {
		return nil
	}
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

func (w *worker) report(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"stage": "unified", "models": w.models(), "busy": false, "call_seq": 0, "queued": 0, "active": 0,
		"kv_used": 0, "kv_total": 100000, "handles": 0, "born": w.born})
}

// beat sends a heartbeat at each interval, to the next control if one does not acknowledge it.
func (w *worker) beat(d *deployment) {
	select {
	case <-w.ended:
		return
	case <-time.After(w.late):
	}
	for at := 0; ; {
		message := map[string]any{"service": w.service, "address": w.address, "zone": "hall", "version": w.software, "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "call_seq": w.sequence.Add(1), "born": w.born}
		if w.engine {
			message["stage"], message["models"] = "unified", w.models()
		}
		body, _ := json.Marshal(message)
		pause := heartbeat
		status, _, err := call("POST", "http://"+d.control(at%controls)+"/v1/instances/"+w.id+"/heartbeat", body, time.Second)
		if err != nil || status/100 != 2 {
			at++
			pause = 100 * time.Millisecond
		}
		select {
		case <-w.ended:
			return
		case <-time.After(pause):
		}
	}
}
