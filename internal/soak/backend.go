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
	model          = "model"
	heartbeatEvery = 300 * time.Millisecond
	streamEvents   = 12
	eventPause     = 15 * time.Millisecond
)

var names = vocabulary.Default()

// run is one start of a request at a back end.
type run struct {
	id      string
	backend string
	tenant  string
	at      time.Duration
}

// ledger is what all back ends ran.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// backend is a stand-in for a model engine or an application worker: one start, which
// may have the name of another before it.
type backend struct {
	soak     *Soak
	pool     string
	id       string
	born     state.UnixMilli
	proxy    *proxy
	server   *http.Server
	sequence atomic.Uint64
	draining atomic.Bool
	// ended says that a poison request has ended it; the Soak's lock guards it.
	ended bool
	// drainedAt is when a drain was acknowledged, 0 for never.
	drainedAt atomic.Int64
	trouble   atomic.Int32
	// wants is for how long it wants nothing from whom it turns away, as it does with all
	// while that is not 0, in nanoseconds; announces says that it drains in answers.
	wants     atomic.Int64
	announces atomic.Bool
	asked     *asked
	limit     naming
	mu        sync.Mutex
	version   int
	orders    int
	fence     uint64
	cancel    context.CancelFunc
}

// troubles of a back end, as shares of its requests in percent.
const troubleShare = 30

func (s *Soak) startBackend(pool, name string) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{soak: s, pool: pool, id: name, born: state.UnixMilli(time.Now().UnixMilli()), version: int(s.named.Load()), asked: newAsked()}
	if b.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/load", b.load)
	mux.HandleFunc("GET /v1/state", b.state)
	mux.HandleFunc("/", b.serve)
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(s.ctx)
	b.cancel = cancel
	s.group.Go(func() { b.beat(ctx) })
	return b, nil
}

// crash ends the back end without a word.
func (b *backend) crash() {
	b.cancel()
	_ = b.server.Close()
	b.proxy.close()
}

// beat sends heartbeats to any coordinator until one answers.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		b.tell(ctx)
		wait(ctx, heartbeatEvery)
	}
}

// tell sends one heartbeat. An acknowledged drain binds from then on.
func (b *backend) tell(ctx context.Context) {
	draining := b.draining.Load()
	row := state.Backend{Born: b.born, Pool: b.pool, Address: b.proxy.address(), Zone: "zone", Slots: 8, Draining: draining}
	if b.pool == poolEngines {
		b.mu.Lock()
		row.Weights = map[string]int{model: b.version}
		b.mu.Unlock()
	}
	body, _ := json.Marshal(coordapi.Heartbeat{Backend: row, Sequence: coordapi.Sequence(b.sequence.Add(1))})
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
	b.nameLimit(w, order.Holder)
	if !b.arrives(w, order.Holder) {
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
		b.soak.note(order.Fence, order.Holder)
		b.fence, b.version, b.orders = order.Fence, order.Version, b.orders+1
		w.WriteHeader(http.StatusAccepted)
	}
}

func (b *backend) state(w http.ResponseWriter, _ *http.Request) {
	b.nameLimit(w, reporters)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(coordinator.EngineReport{Born: b.born, Orders: b.orders, Weights: map[string]int{model: b.version}})
}

// serve runs a request, with the trouble that the back end is in.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get(names.Instance); expected != b.id {
		w.Header().Set(names.ResponseInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if router, known := b.soak.asked.Load(id); known {
		b.nameLimit(w, router.(string))
		if !b.arrives(w, router.(string)) {
			return
		}
	}
	trouble := b.trouble.Load()
	troubled := rand.IntN(100) < troubleShare
	if trouble == troubleFull && troubled {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.soak.ledger.add(run{id: id, backend: b.id, tenant: r.Header.Get(names.Tenant), at: b.soak.now()})
	b.soak.arrived(b, id)
	if strings.HasPrefix(string(body), poisonBody) {
		b.soak.endUnder(b, string(body))
		return
	}
	if trouble == troubleHang && troubled {
		wait(r.Context(), time.Second)
	}
	if trouble == troubleFail && troubled {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(names.Signature, sealOf(id))
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/chat/") {
		b.stream(w, r, id, trouble == troubleBreak && troubled)
		return
	}
	if trouble == troubleBreak && troubled {
		breakOff(w, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf")
		return
	}
	_, _ = w.Write(answerOf(id, body))
}

// stream writes the events behind the one that the caller has.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, id string, breaks bool) {
	from, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= streamEvents; i++ {
		_, _ = io.WriteString(w, eventOf(id, i))
		_ = http.NewResponseController(w).Flush()
		if breaks && i == streamEvents/2 {
			breakOff(w, "")
			return
		}
		if !wait(r.Context(), eventPause) {
			return
		}
	}
}

func breakOff(w http.ResponseWriter, last string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, last)
	_ = conn.Close()
}

// sealOf, answerOf and eventOf are what the right answer to a request is.
func sealOf(id string) string { return "seal-" + id }

func answerOf(id string, body []byte) []byte { return append([]byte("answer to "+id+": "), body...) }

func eventOf(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// wait returns false when the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
