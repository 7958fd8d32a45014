package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// engine is set for a worker that holds weights.
	engine   bool
	born     int64
	sequence atomic.Int64
	server   *http.Server
	ended    chan struct{}

	mu sync.Mutex
	// cut are the local IP addresses of routers that cannot reach the worker.
	cut   map[string]bool
	conns map[net.Conn]struct{}
}

func startWorker(d *deployment, id, service string, last, port int, engine bool, onRun func(r *http.Request)) (*worker, error) {
	w := &worker{id: id, service: service, address: d.address(last, port), record: d.record, onRun: onRun, work: 20 * time.Millisecond, engine: engine,
		born: time.Now().UnixMilli(), ended: make(chan struct{}), cut: map[string]bool{}, conns: map[net.Conn]struct{}{}}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set("X-Instance-Id", w.id) })
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux, ConnState: w.track}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(d)
	return w, nil
}

func (w *worker) stop() {
	close(w.ended)
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
		for i := range 3 {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: token\n\n", i+1)
		}
		return
	}
	_, _ = fmt.Fprintf(out, "answer of %s to %s\n", w.service, id)
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
	for at := 0; ; {
		message := map[string]any{"service": w.service, "address": w.address, "zone": "hall", "version": "v1", "slots": 64, "state": "ready",
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
