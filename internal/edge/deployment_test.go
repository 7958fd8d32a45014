package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	testBeat = 100 * time.Millisecond
	// poisonBody is the body that ends each engine that runs it for poisonTenant.
	poisonBody   = "poison"
	poisonTenant = "alice"
)

var names = vocabulary.Default()

// deployment is a group of coordinators with routers and scripted engines, in one
// process on loopback.
type deployment struct {
	t       *testing.T
	config  []settings.Coordinator
	nodes   []*coordinator.Server
	routers []*Edge
	front   []string
	asked   atomic.Int64
	// patience is when callers leave, 0 for never.
	patience time.Duration

	mu sync.Mutex
	// runs counts the starts of bodies at engines, and ended the engines that the
	// poison request has ended.
	runs  map[string]int
	ended []string
	seats []*seat
}

// seat is an address at which one engine runs after the other.
type seat struct {
	deployment *deployment
	pool       string
	address    string
	starts     int
	server     *http.Server
	stop       context.CancelFunc
	// dark says that a poison request makes the engine fall silent: it keeps its
	// connections, and answers and beats no more.
	dark bool
	// wait is for how long its engine wants nothing from a router that it turns away, as
	// it does with all while it is set; the deployment's lock guards it.
	wait time.Duration
	// drains makes its engine say in each answer that it drains, and nothing in its
	// heartbeats; the deployment's lock guards it.
	drains bool
	// limit is the rate that its engine names in each answer, empty for none; the
	// deployment's lock guards it.
	limit string
	// name is how all its engines name themselves; empty if each has a name of its own.
	name string
	// current is the engine that runs there.
	current *engine
	// back is how long after its end an engine is started again.
	back time.Duration
}

func newDeployment(t *testing.T, coordinators, routers, engines int) *deployment {
	t.Helper()
	d := &deployment{t: t, runs: map[string]int{}}
	var peers []string
	for range coordinators {
		peers = append(peers, freeAddress(t))
	}
	for i, peer := range peers {
		d.config = append(d.config, settings.Coordinator{Name: fmt.Sprintf("node-%d", i), Zone: "z", PeerListen: peer, Seeds: peers, Bootstrap: true,
			DataDirectory: t.TempDir(), BackendHeartbeat: testBeat, WeightsDeadline: 8 * time.Second, OrderLease: time.Second})
		d.config[i].SetDefaults()
		d.nodes = append(d.nodes, nil)
		d.startNode(i)
	}
	for i := range routers {
		d.addRouter(i, peers)
	}
	d.configure()
	for range engines {
		d.seat("llm")
	}
	for range 4 {
		d.seat("app")
	}
	d.awaitReady()
	t.Cleanup(d.stop)
	return d
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}

func (d *deployment) startNode(i int) {
	d.t.Helper()
	node, err := coordinator.New(d.config[i], coordinator.NewHTTPEngines(quiet()), traffic.Parse, quiet())
	assert.NilError(d.t, err)
	assert.NilError(d.t, node.Start())
	d.nodes[i] = node
}

// restartNodes ends all coordinators at once and starts them again.
func (d *deployment) restartNodes() {
	for _, node := range d.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		node.Stop(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.nodes {
		d.startNode(i)
	}
}

func (d *deployment) addRouter(i int, seeds []string) {
	d.t.Helper()
	s := settings.DisklessRouter{Name: fmt.Sprintf("router-%d", i), Zone: "z", Listen: freeAddress(d.t), Readiness: freeAddress(d.t), Seeds: seeds,
		Revocation: 5 * time.Second, StopGrace: 2 * time.Second, RetryRatio: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second, MemoryLimit: 100}
	e := New(s, names, traffic.Parse, quiet())
	assert.NilError(d.t, e.Start())
	d.routers, d.front = append(d.routers, e), append(d.front, s.Listen)
}

func (d *deployment) stop() {
	d.mu.Lock()
	for _, s := range d.seats {
		s.stop()
		_ = s.server.Close()
	}
	d.mu.Unlock()
	for _, e := range d.routers {
		_ = e.callers.Close()
		_ = e.readiness.Close()
		e.cancel()
		e.peers.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, node := range d.nodes {
		node.Stop(ctx)
	}
}

const testDocument = `{"version":1,"pools":[{"name":"llm","slots":8,"capacity_tokens":100000},{"name":"app"}],
"routes":[{"name":"chat","host":"h","prefix":"/chat/","kind":"stream","timeout":"10s","target":"1s","split":{"llm":1},"max_attempts":1},
{"name":"check","host":"h","prefix":"/check/","kind":"stream","timeout":"10s","target":"1s","split":{"llm":1},"max_attempts":2,"resumable":true},
{"name":"pay","host":"h","prefix":"/pay/","kind":"unsafe","timeout":"4s","target":"500ms","split":{"app":1},"max_attempts":1},
{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout":"4s","target":"500ms","split":{"app":1},"max_attempts":2}],
"tenants":[{"name":"alice","keys":["ka"]},{"name":"bob","keys":["kb"]}]}`

// node returns one coordinator after the other.
func (d *deployment) node(n int) *coordinator.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[n%len(d.nodes)]
}

// call sends a request to the coordinators until one answers it.
func (d *deployment) call(request coordapi.Request) coordapi.Reply {
	d.t.Helper()
	var reply coordapi.Reply
	try := 0
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		try++
		var err error
		if reply, err = d.node(try).Call(context.Background(), request); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return reply
}

func (d *deployment) configure() {
	d.call(coordapi.Request{Configure: &state.Configure{Version: 1, Document: json.RawMessage(testDocument)}})
}

func (d *deployment) awaitReady() {
	d.t.Helper()
	for front := range d.front {
		for _, path := range []string{"/chat/", "/pay/"} {
			poll.WaitOn(d.t, func(poll.LogT) poll.Result {
				if got := d.ask(front, "ka", path, fmt.Sprintf("warm %d", d.asked.Load())); got.status != http.StatusOK || !got.whole {
					return poll.Continue("%+v", got)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
}

func (d *deployment) seat(pool string) *seat {
	s := &seat{deployment: d, pool: pool, address: freeAddress(d.t), back: 400 * time.Millisecond}
	d.mu.Lock()
	d.seats = append(d.seats, s)
	d.mu.Unlock()
	s.start()
	return s
}

// start begins a new engine at the seat's address.
func (s *seat) start() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		// The test is over, or the port is not free yet.
		time.AfterFunc(testBeat, s.start)
		return
	}
	d := s.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	s.starts++
	id := cmp.Or(s.name, fmt.Sprintf("%s#%d", s.address, s.starts))
	ctx, cancel := context.WithCancel(d.t.Context())
	e := &engine{seat: s, id: id, born: state.UnixMilli(s.starts), end: cancel, turnedAway: map[string][]time.Time{}, tooEarly: map[string]int{}, told: map[string]time.Time{}}
	s.current = e
	s.stop = cancel
	s.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = s.server.Serve(listener) }()
	go e.beat(ctx)
}

// engine is one start of an engine or of a plain back end.
type engine struct {
	seat  *seat
	id    string
	born  state.UnixMilli
	end   context.CancelFunc
	once  sync.Once
	muted atomic.Bool
	// turnedAway are the times at which it answered each router that it wants nothing
	// for a while, and tooEarly what has come from a router within such a time.
	turnedAway map[string][]time.Time
	tooEarly   map[string]int
	// arrived is when it was sent what it ran.
	arrived []time.Time
	// limited is what it was sent since it first named a limit, and told when it first
	// answered each router with it.
	limited []arrival
	told    map[string]time.Time
}

func (e *engine) beat(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		row := state.Backend{ID: e.id, Born: e.born, Pool: e.seat.pool, Address: e.seat.address, Zone: "z", Slots: 8}
		if e.seat.pool == "llm" {
			row.Weights = map[string]int{"m": 1}
		}
		_, _ = e.seat.deployment.node(n).Call(ctx, coordapi.Request{Heartbeat: &coordapi.Heartbeat{Backend: row, Sequence: coordapi.Sequence(n)}})
		select {
		case <-ctx.Done():
		case <-time.After(testBeat):
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if r.Header.Get(names.Instance) != e.id {
		w.Header().Set(names.ResponseInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.muted.Load() {
		<-r.Context().Done()
		return
	}
	e.nameLimit(w, r)
	if e.turnAway(w, r) {
		return
	}
	d := e.seat.deployment
	d.mu.Lock()
	d.runs[string(body)]++
	e.arrived = append(e.arrived, time.Now())
	if e.seat.drains {
		w.Header().Set(names.Draining, "1")
	}
	d.mu.Unlock()
	w.Header().Set(names.Signature, "seal")
	if strings.HasPrefix(string(body), poisonBody) && r.Header.Get(names.Tenant) == poisonTenant {
		e.crash(r, string(body))
		return
	}
	if e.seat.pool == "app" {
		_, _ = w.Write(body)
		return
	}
	e.stream(w, r, string(body))
}

// stream sends twenty events, 15 ms apart, unless the body asks for another number.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, body string) {
	first, count := 1, 2
	if strings.HasPrefix(body, "long") {
		count = 60
	}
	_, _ = fmt.Sscan(r.Header.Get(names.LastEvent), &first)
	for i := first; i <= count; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(15 * time.Millisecond):
		}
		if e.muted.Load() {
			<-r.Context().Done()
			return
		}
	}
}

// crash ends the engine with all that it runs. Another starts at its address later.
func (e *engine) crash(r *http.Request, body string) {
	s, d := e.seat, e.seat.deployment
	e.once.Do(func() {
		e.end()
		d.mu.Lock()
		d.ended = append(d.ended, e.id)
		server := s.server
		d.mu.Unlock()
		if s.dark {
			e.muted.Store(true)
			time.AfterFunc(s.back, func() {
				_ = server.Close()
				s.start()
			})
			return
		}
		_ = server.Close()
		time.AfterFunc(s.back, s.start)
	})
	<-r.Context().Done()
}

// ran is how often a body was begun at engines, and ended how many engines were ended.
func (d *deployment) ran(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[body]
}

func (d *deployment) endedEngines() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ended)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	// whole says that the answer came to its end.
	whole bool
	took  time.Duration
}

// ask sends a request under an ID of its own and waits for the whole answer.
func (d *deployment) ask(front int, key, path, body string) answer {
	ctx := d.t.Context()
	if d.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.patience)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front[front]+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	request.Host = "h"
	request.Header.Set(names.RequestID, fmt.Sprintf("%d try-%d", front, d.asked.Add(1)))
	request.Header.Set("Authorization", "Bearer "+key)
	if !strings.HasPrefix(path, "/pay") && !strings.HasPrefix(path, "/look") {
		request.Header.Set(names.Model, "m")
		request.Header.Set(names.Usage, "20,20")
	}
	begun := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{took: time.Since(begun)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{status: response.StatusCode, header: response.Header, whole: err == nil, took: time.Since(begun)}
}

// askAsTold asks again, as a caller does, when engines are behind and it is told when to
// come back: that depends on the machine that runs the test. No other answer is taken
// for a refusal.
func (d *deployment) askAsTold(front int, key, path, body string) answer {
	got := d.ask(front, key, path, body)
	for tries := 0; got.status == http.StatusServiceUnavailable && tries < 20; tries++ {
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil {
			return got
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		got = d.ask(front, key, path, body)
	}
	return got
}
