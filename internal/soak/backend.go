package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	model             = "model"
	heartbeatInterval = 300 * time.Millisecond
	streamEvents      = 12
	eventPause        = 15 * time.Millisecond
	engineSlots       = 8
)

var names = vocabulary.Default()

// run is one execution of a request by a back end.
type run struct {
	id      string
	backend string
	tenant  string
	at      time.Duration
}

// runLog records the executions of all back ends.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// backend simulates a model engine or an application worker. Each start is a new backend, even
// under a name that was used before.
type backend struct {
	soak *Soak
	pool string
	id   string
	born state.UnixMilli
	// software is its software version, which it writes into each event.
	software string
	proxy    *proxy
	server   *http.Server
	sequence atomic.Uint64
	draining atomic.Bool
	// muted is set while the back end sends no heartbeats. lateHeartbeats is set once some of them
	// are delayed.
	muted          atomic.Bool
	lateHeartbeats atomic.Bool
	// crashed is set once a poison request has crashed the back end. It is guarded by Soak.mu.
	crashed bool
	// drainedAt is the time at which a coordinator acknowledged the drain, or 0.
	drainedAt   atomic.Int64
	failureMode atomic.Int32
	// broken is set while some responses are no HTTP, and uploads are answered with a part and reset.
	broken atomic.Bool
	// pushback is the Retry-After delay in nanoseconds with which the back end rejects every
	// request, or 0 if it accepts requests.
	pushback atomic.Int64
	// announcesDrain is set while responses carry the draining header.
	announcesDrain atomic.Bool
	notices        *notices
	limit          announcedLimit
	suspension     suspension
	// endedAt is when the back end ended, or 0.
	endedAt atomic.Int64
	// running is the number of requests in progress. An engine rejects those beyond engineSlots.
	running atomic.Int32
	mu      sync.Mutex
	version int
	orders  int
	fence   uint64
	cancel  context.CancelFunc
}

// failurePercent is the percentage of requests that an active failure mode affects.
const failurePercent = 30

// anyAddress lets the system choose a port.
const anyAddress = "127.0.0.1:0"

// startBackend starts a back end at an address. If muted is set it sends no heartbeats until backend.muted
// is cleared.
func (s *Soak) startBackend(pool, name, address string, muted bool) (*backend, error) {
	listener, err := net.Listen("tcp", anyAddress)
	if err != nil {
		return nil, err
	}
	b := &backend{soak: s, pool: pool, id: name, born: state.UnixMilli(time.Now().UnixMilli()), software: s.softwareOf(pool), version: int(s.weightsVersion.Load()), notices: newNotices()}
	if b.proxy, err = newProxyAt(address, listener.Addr().String()); err != nil {
		_ = listener.Close()
		return nil, err
	}
	b.proxy.cuts = &s.cuts
	b.muted.Store(muted)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/load", b.load)
	mux.HandleFunc("GET /v1/state", b.state)
	mux.HandleFunc("/", b.serve)
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(s.ctx)
	b.cancel = cancel
	s.group.Go(func() { b.heartbeatLoop(ctx) })
	return b, nil
}

// senderOf returns the name of the router that sent a request: of the connection it came over, or else
// the one that received it from its caller. It is empty if neither is known.
func (b *backend) senderOf(r *http.Request, id string) string {
	if source, known := b.proxy.senders.Load(r.RemoteAddr); known {
		for _, p := range b.soak.routers {
			if p.source == source {
				return p.name
			}
		}
	}
	if router, known := b.soak.requestRouters.Load(id); known {
		return router.(string)
	}
	return ""
}

// crash stops the back end without a drain or a final heartbeat.
func (b *backend) crash() {
	b.endedAt.CompareAndSwap(0, int64(b.soak.now()))
	b.cancel()
	_ = b.server.Close()
	b.proxy.close()
}

// heartbeatLoop sends heartbeats until the context ends.
func (b *backend) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if b.awaitRunning() && !b.muted.Load() {
			b.sendHeartbeat(ctx)
		}
		wait(ctx, heartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat and records when a drain was first acknowledged.
func (b *backend) sendHeartbeat(ctx context.Context) {
	draining := b.draining.Load()
	row := state.Backend{Born: b.born, Pool: b.pool, Address: b.proxy.address(), Zone: "zone", Software: state.SoftwareVersion(b.software), Slots: engineSlots, Draining: draining}
	if b.pool == poolEngines {
		b.mu.Lock()
		row.Weights = map[string]int{model: b.version}
		b.mu.Unlock()
	}
	body, _ := json.Marshal(coordapi.Heartbeat{Backend: row, Sequence: coordapi.Sequence(b.sequence.Add(1))})
	if b.lateHeartbeats.Load() && rand.IntN(2) == 0 {
		b.soak.group.Go(func() {
			wait(ctx, rand.N(maxLateness))
			b.soak.control(ctx, http.MethodPost, "/v1/backends/"+b.id+"/heartbeat", body)
		})
		return
	}
	if b.soak.control(ctx, http.MethodPost, "/v1/backends/"+b.id+"/heartbeat", body) == http.StatusOK && draining {
		b.drainedAt.CompareAndSwap(0, int64(b.soak.now()))
	}
}

func (b *backend) load(w http.ResponseWriter, r *http.Request) {
	var order coordinator.LoadOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Instance != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := b.soak.now()
	b.awaitRunningOrAbort()
	b.announceLimit(w, r, order.Holder, arrived)
	if !b.admit(w, r, order.Holder, arrived) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case order.Fence < b.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case order.Expected != b.orders:
		w.WriteHeader(http.StatusConflict)
	case order.Version <= b.version:
		w.WriteHeader(http.StatusOK)
	default:
		b.soak.recordFence(order.Fence, order.Holder)
		b.fence, b.version, b.orders = order.Fence, order.Version, b.orders+1
		w.WriteHeader(http.StatusAccepted)
	}
}

func (b *backend) state(w http.ResponseWriter, r *http.Request) {
	arrived := b.soak.now()
	b.awaitRunningOrAbort()
	b.announceLimit(w, r, coordinatorSender, arrived)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(coordinator.EngineReport{Born: b.born, Orders: b.orders, Weights: map[string]int{model: b.version}})
}

// serve handles a request, subject to the back end's failure mode.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if r.ContentLength >= uploadSize && b.broken.Load() {
		a, end := b.observe(r.Context(), id, b.senderOf(r, id))
		defer end()
		b.resetDuringUpload(w, a)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	router := b.senderOf(r, id)
	a, end := b.observe(r.Context(), id, router)
	defer end()
	b.awaitRunningOrAbort()
	switch whole := b.run(w, r, a, body); {
	case !whole:
		b.soak.attemptLog.record(func() { a.declined = true })
	case r.Context().Err() == nil:
		b.soak.attemptLog.record(func() { a.whole = b.soak.now() })
	}
}

// run runs a request that has arrived. It returns false if the back end does not run it or breaks its
// answer off.
func (b *backend) run(w http.ResponseWriter, r *http.Request, a *attempt, body []byte) bool {
	id := a.id
	if expected := r.Header.Get(names.Instance); expected != b.id {
		w.Header().Set(names.ResponseInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if a.router != "" {
		b.announceLimit(w, r, a.router, a.arrived)
		if !b.admit(w, r, a.router, a.arrived) {
			return false
		}
	}
	if b.pool == poolEngines {
		b.soak.engineArrivals.Add(1)
		defer b.running.Add(-1)
		if b.running.Add(1) > engineSlots {
			b.soak.engineRejections.Add(1)
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		}
	}
	failureMode := b.failureMode.Load()
	affected := rand.IntN(100) < failurePercent
	if failureMode == failureOverload && affected {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	b.soak.runLog.add(run{id: id, backend: b.id, tenant: r.Header.Get(names.Tenant), at: b.soak.now()})
	b.soak.checkDrained(b, id, a.router, a.arrived)
	if strings.HasPrefix(string(body), poisonBody) {
		b.soak.recordBrokenOff(a)
		b.soak.crashUnderPoison(b, string(body))
		return false
	}
	if part := crashingPartOf(r.Header.Get(names.Prefix)); part != "" {
		b.soak.recordBrokenOff(a)
		b.soak.crashUnderPoison(b, part)
		return false
	}
	if failureMode == failureHang && affected {
		wait(r.Context(), time.Second)
	}
	if failureMode == failureStatus && affected {
		w.WriteHeader(http.StatusInternalServerError)
		return false
	}
	if b.broken.Load() && affected {
		b.soak.recordBrokenOff(a)
		b.soak.brokenResponses.Add(1)
		respondBroken(w, id, rand.IntN(len(brokenResponses)))
		return false
	}
	w.Header().Set(names.Signature, sealOf(id))
	if kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); isStream(kind) {
		return b.stream(w, r, a, failureMode == failureDisconnect && affected)
	}
	if failureMode == failureDisconnect && affected {
		b.soak.recordBrokenOff(a)
		disconnectAfter(w, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf")
		return false
	}
	_, _ = w.Write(answerOf(id, body))
	b.soak.recordSent(a)
	return true
}

// stream writes the events that follow the caller's last event. It returns false if it breaks off.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, a *attempt, disconnect bool) bool {
	from, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= streamEvents; i++ {
		_, _ = io.WriteString(w, eventOf(a.id, i, b.software))
		_ = http.NewResponseController(w).Flush()
		b.soak.recordSent(a)
		if disconnect && i == streamEvents/2 {
			b.soak.recordBrokenOff(a)
			disconnectAfter(w, "")
			return false
		}
		open := wait(r.Context(), eventPauseOf(a.id))
		b.awaitRunningOrAbort()
		if !open {
			return true
		}
	}
	return true
}

func disconnectAfter(w http.ResponseWriter, last string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, last)
	_ = conn.Close()
}

// sealOf, answerOf and eventOf return parts of the expected response to a request.
func sealOf(id string) string { return "seal-" + id }

func answerOf(id string, body []byte) []byte { return append([]byte("answer to "+id+": "), body...) }

func eventOf(id string, number int, software string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", number, number, id, software)
}

// wait sleeps for d and returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
