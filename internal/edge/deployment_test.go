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

	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/follower"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// poisonBody is the body that crashes each engine that runs it for poisonTenant.
	poisonBody   = "poison"
	poisonTenant = "alice"
	// crashingPart is the shared part of prompts that crashes each engine that answers on it, unless
	// deployment.crashesOn is set.
	crashingPart = "bad0"
	// brokenBody is the beginning of the bodies whose streams break off in their first run.
	brokenBody = "broken"
)

var names = vocabulary.Default()

// deployment is a group of coordinators with routers and scripted engines, in one process on
// loopback.
type deployment struct {
	t      *testing.T
	config []settings.Coordinator
	nodes  []*coordinator.Server
	// disks are the disks of the coordinators, in memory: tests do not depend on how long the machine's
	// disk takes to sync.
	disks    []*vfs.MemFS
	routers  []*Edge
	frontend []string
	requests atomic.Int64
	// links is the network between routers and back ends; nil for that of the machine.
	links *links
	// relays is set if routers pass requests on to each other.
	relays bool
	// software is the software version of the engines that are added.
	software state.SoftwareVersion
	// retryRatio is the routers' setting of that name, 0 for 0.2, and stopGrace theirs, 0 for 2 s.
	retryRatio float64
	stopGrace  time.Duration
	// placeTimeout is the routers' bound of a request to the leader, 0 for their own. Beside a long one routers
	// choose no engines locally because a busy machine delays a reply.
	placeTimeout time.Duration
	// callerTimeout is when callers cancel, 0 for never.
	callerTimeout time.Duration
	// crashesOn reports whether a prompt with the given shared parts crashes engines; nil for all that
	// contain crashingPart. The lock guards it.
	crashesOn func(shared []string) bool
	// crashEvents is the number of events that an engine sends before such a prompt crashes it.
	crashEvents int
	// prolongs keeps streams whose bodies begin with long from ending: they send 60 further events once
	// it is unset.
	prolongs atomic.Bool
	// logger is that of routers and coordinators; nil to discard their lines.
	logger *slog.Logger

	mu sync.Mutex
	// runs counts how often engines have begun each body, and crashed lists the engines that the
	// poison request has crashed.
	runs    map[string]int
	crashed []string
	// salts holds the salts of the requests that engines have received, by tenant.
	salts map[string]map[string]bool
	hosts []*host
	// scripted are the runs of scripted requests by their bodies.
	scripted map[string][]*scriptedRun
}

// host is an address at which one engine runs at a time.
type host struct {
	deployment *deployment
	pool       string
	address    string
	starts     int
	server     *http.Server
	stop       context.CancelFunc
	// hangs makes a poison request hang the engine instead of crashing it: it keeps its
	// connections, and sends neither responses nor heartbeats.
	hangs bool
	// retryAfter makes the engine reject all requests with this Retry-After; 0 for none. The
	// deployment's lock guards it.
	retryAfter time.Duration
	// rejectUntil is when it stops to reject them; zero for as long as retryAfter is set. The deployment's
	// lock guards it.
	rejectUntil time.Time
	// datesStarts makes engines report the time of day of their starts.
	datesStarts bool
	// draining makes the engine announce in each response, but not in its heartbeats, that it
	// drains. The deployment's lock guards it.
	draining bool
	// limit is the rate that the engine names in each response, empty for none. The deployment's
	// lock guards it.
	limit string
	// slots bounds the requests that a plain back end, or an engine in a silence trial, runs at once, and
	// runTime is the time of each at a plain back end; nil and 0 for no bound. The deployment's lock
	// guards them.
	slots   chan struct{}
	runTime time.Duration
	// brittle is the rate of rejections that a plain back end names, empty for none. It then rejects
	// requests beyond its slots. The deployment's lock guards it.
	brittle string
	// software is the software version that the engine reports, empty for none. The deployment's lock
	// guards it.
	software state.SoftwareVersion
	// name is shared by all engines of the host; empty if each has its own.
	name string
	// muted keeps heartbeats from being sent. The deployment's lock guards it.
	muted bool
	// paused is closed when the host goes on; nil while it is not paused. The deployment's lock guards
	// it.
	paused chan struct{}
	// current is the running engine.
	current *engine
	// restartDelay is the time between a crash and the next start.
	restartDelay time.Duration
}

func newDeployment(t *testing.T, coordinators, routers, engines int) *deployment {
	t.Helper()
	return startDeployment(&deployment{t: t, relays: true}, coordinators, routers, engines)
}

// newLinkedDeployment returns a deployment in which each pair of router and back end can be cut.
func newLinkedDeployment(t *testing.T, coordinators, routers, engines int) *deployment {
	t.Helper()
	return startDeployment(&deployment{t: t, relays: true, links: newLinks()}, coordinators, routers, engines)
}

// newUnrelayedDeployment is newLinkedDeployment with routers that pass no requests on.
func newUnrelayedDeployment(t *testing.T, coordinators, routers, engines int) *deployment {
	t.Helper()
	return startDeployment(&deployment{t: t, links: newLinks()}, coordinators, routers, engines)
}

func startDeployment(d *deployment, coordinators, routers, engines int) *deployment {
	t := d.t
	t.Helper()
	d.runs = map[string]int{}
	var peers []string
	for range coordinators {
		peers = append(peers, freeAddress(t))
	}
	for i, peer := range peers {
		d.config = append(d.config, settings.Coordinator{Name: fmt.Sprintf("node-%d", i), Zone: "z", PeerListen: peer, Seeds: peers, Bootstrap: true,
			DataDirectory: "data", BackendHeartbeat: heartbeatInterval, WeightsDeadline: 8 * time.Second, OrderLease: time.Second})
		d.config[i].SetDefaults()
		d.nodes, d.disks = append(d.nodes, nil), append(d.disks, vfs.NewCrashableMem())
		d.startNode(i)
	}
	for i := range routers {
		d.addRouter(i, peers)
	}
	d.configure()
	for range engines {
		d.host("llm")
	}
	for range 4 {
		d.host("app")
	}
	d.awaitReady()
	t.Cleanup(d.stop)
	return d
}

// newPatientDeployment is newDeployment with routers that leave each choice to the leader while it can be reached.
func newPatientDeployment(t *testing.T, coordinators, routers, engines int) *deployment {
	t.Helper()
	return startDeployment(&deployment{t: t, relays: true, placeTimeout: 5 * time.Second}, coordinators, routers, engines)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (d *deployment) log() *slog.Logger { return cmp.Or(d.logger, discardLogger()) }

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}

// startNode starts a coordinator that does not run, without what its last start has not synced.
func (d *deployment) startNode(i int) {
	d.t.Helper()
	d.disks[i] = d.disks[i].CrashClone(vfs.CrashCloneCfg{})
	node, err := coordinator.NewOnDisk(d.disks[i], d.config[i], coordinator.NewHTTPEngines(d.log()), traffic.Parse, d.log())
	assert.NilError(d.t, err)
	assert.NilError(d.t, node.Start())
	d.nodes[i] = node
}

// restartNodes stops all coordinators at once and starts them again.
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
	s := d.routerSettings(i, seeds)
	d.routers, d.frontend = append(d.routers, d.startRouter(i, s)), append(d.frontend, s.Listen)
}

func (d *deployment) routerSettings(i int, seeds []string) settings.DisklessRouter {
	s := settings.DisklessRouter{Name: fmt.Sprintf("router-%d", i), Zone: "z", Listen: freeAddress(d.t), Readiness: freeAddress(d.t), Seeds: seeds,
		Revocation: 5 * time.Second, StopGrace: cmp.Or(d.stopGrace, 2*time.Second), RetryRatio: cmp.Or(d.retryRatio, 0.2), RetryBurst: 50, RetryWindow: 10 * time.Second, MemoryLimit: 100}
	if d.relays {
		s.RelayListen = freeAddress(d.t)
	}
	return s
}

func (d *deployment) startRouter(i int, s settings.DisklessRouter) *Edge {
	d.t.Helper()
	return d.startRouterOfBuild(i, s, traffic.Parse)
}

// startRouterOfBuild starts a router whose build decodes configurations in another way.
func (d *deployment) startRouterOfBuild(i int, s settings.DisklessRouter, decode follower.Decode) *Edge {
	d.t.Helper()
	e := New(s, names, coordinator.StatusRequest(), decode, d.log())
	if d.links != nil {
		e.connections.SetDial(d.links.dialFrom(i))
	}
	if d.placeTimeout > 0 {
		e.follower.SetPlaceTimeout(d.placeTimeout)
	}
	assert.NilError(d.t, e.Start())
	return e
}

// abort ends a router with all its connections.
func (e *Edge) abort() {
	_ = e.callers.Close()
	_ = e.readiness.Close()
	if e.relayed != nil {
		_ = e.relayed.Close()
	}
	e.cancel()
	e.peers.Close()
}

// loseRouter ends a router and starts another one at its addresses after a time.
func (d *deployment) loseRouter(i int, after time.Duration) {
	d.mu.Lock()
	lost := d.routers[i]
	d.mu.Unlock()
	lost.abort()
	lost.group.Wait()
	time.Sleep(after)
	next := d.startRouter(i, lost.settings)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers[i] = next
}

func (d *deployment) stop() {
	d.mu.Lock()
	for _, h := range d.hosts {
		h.stop()
		_ = h.server.Close()
	}
	d.mu.Unlock()
	for _, e := range d.routers {
		e.abort()
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
{"name":"talk","host":"h","prefix":"/talk/","kind":"stream","timeout":"10s","target":"1s","gap_target":"400ms","split":{"llm":1},"max_attempts":2,"resumable":true},
{"name":"resume","host":"h","prefix":"/resume/","kind":"stream","timeout":"10s","target":"1s","split":{"llm":1},"max_attempts":1,"resumable":true},
{"name":"once","host":"h","prefix":"/once/","kind":"stream","timeout":"10s","target":"1s","gap_target":"400ms","split":{"llm":1},"max_attempts":1},
{"name":"pay","host":"h","prefix":"/pay/","kind":"unsafe","timeout":"4s","target":"500ms","split":{"app":1},"max_attempts":1},
{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout":"4s","target":"500ms","split":{"app":1},"max_attempts":2}],
"tenants":[{"name":"alice","keys":["ka"]},{"name":"bob","keys":["kb"]}]}`

// node returns the coordinators in turn.
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

func (d *deployment) configure() { d.configureDocument(1, testDocument) }

func (d *deployment) configureDocument(version uint64, document string) {
	d.call(coordapi.Request{Configure: &state.Configure{Version: version, Document: json.RawMessage(document)}})
}

func (d *deployment) awaitReady() {
	d.t.Helper()
	for frontend := range d.frontend {
		for _, path := range []string{"/chat/", "/pay/"} {
			poll.WaitOn(d.t, func(poll.LogT) poll.Result {
				if got := d.send(frontend, "ka", path, fmt.Sprintf("warm %d", d.requests.Load())); got.status != http.StatusOK || !got.complete {
					return poll.Continue("%+v", got)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
}

func (d *deployment) host(pool string) *host {
	h := &host{deployment: d, pool: pool, software: d.software, address: freeAddress(d.t), restartDelay: 400 * time.Millisecond}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	h.start()
	return h
}

// start starts a new engine at the host's address.
func (h *host) start() {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		// The test is over, or the port is not free yet.
		time.AfterFunc(heartbeatInterval, h.start)
		return
	}
	d := h.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	h.starts++
	id := cmp.Or(h.name, fmt.Sprintf("%s#%d", h.address, h.starts))
	ctx, cancel := context.WithCancel(d.t.Context())
	e := &engine{host: h, id: id, born: state.UnixMilli(h.starts), software: h.software, end: cancel, rejected: map[string][]time.Time{}, tooEarly: map[string]int{}, limitSent: map[string]time.Time{}}
	if h.datesStarts {
		e.born = state.UnixMilli(time.Now().UnixMilli())
	}
	h.current = e
	h.stop = cancel
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	h.server = server
	go func() { _ = server.Serve(listener) }()
	go e.heartbeat(ctx)
}

// engine is one start of an engine or of a plain back end.
type engine struct {
	host *host
	id   string
	born state.UnixMilli
	// software is that of the host when the engine started.
	software state.SoftwareVersion
	end      context.CancelFunc
	once     sync.Once
	hung     atomic.Bool
	// rejected holds the times of rejections by router, and tooEarly counts the requests of each
	// router that came before Retry-After had passed.
	rejected map[string][]time.Time
	tooEarly map[string]int
	// arrivals holds the times of the requests that were run.
	arrivals []time.Time
	// limitedArrivals holds the requests received under a limit, and limitSent when each
	// router was first sent the limit.
	limitedArrivals []arrival
	limitSent       map[string]time.Time
	// rejections are the times of rejections of a brittle back end. The deployment's lock guards them.
	rejections []time.Time
	// streams is the number of running streams, and peakStreams the largest so far. The deployment's
	// lock guards them.
	streams, peakStreams int
}

func (e *engine) heartbeat(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		row := state.Backend{ID: e.id, Born: e.born, Pool: e.host.pool, Address: e.host.address, Zone: "z", Software: e.software, Slots: 8}
		if e.host.pool != "app" {
			row.Weights = map[string]int{"m": 1}
		}
		e.host.awaitRunning()
		if !e.muted() {
			_, _ = e.host.deployment.node(n).Call(ctx, coordapi.Request{Heartbeat: &coordapi.Heartbeat{Backend: row, Sequence: coordapi.Sequence(n)}})
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *engine) muted() bool {
	e.host.deployment.mu.Lock()
	defer e.host.deployment.mu.Unlock()
	return e.host.muted
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.host.awaitRunning()
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if r.Header.Get(names.Instance) != e.id {
		w.Header().Set(names.ResponseInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.hung.Load() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/v1/state" {
		_ = json.NewEncoder(w).Encode(coordinator.EngineReport{Born: e.born})
		return
	}
	e.sendLimit(w, r)
	if e.reject(w, r) {
		return
	}
	d := e.host.deployment
	d.mu.Lock()
	d.runs[string(body)]++
	d.recordSalt(r.Header)
	e.arrivals = append(e.arrivals, time.Now())
	if e.host.draining {
		w.Header().Set(names.Draining, "1")
	}
	d.mu.Unlock()
	w.Header().Set(names.Signature, "seal")
	if strings.HasPrefix(string(body), poisonBody) && r.Header.Get(names.Tenant) == poisonTenant {
		e.crash(r, string(body))
		return
	}
	if e.host.pool == "llm" && d.crashes(r.Header.Get(names.Prefix)) {
		e.crashLater(w, r)
		return
	}
	if strings.HasPrefix(string(body), scriptedBody) {
		e.runScript(w, r, string(body))
		return
	}
	if e.host.pool == "app" {
		if e.rejectBrittle(w) {
			return
		}
		e.occupySlot()
		_, _ = w.Write(body)
		return
	}
	if strings.HasPrefix(string(body), brokenBody) {
		e.breakingStream(w, r)
		return
	}
	if strings.HasPrefix(string(body), silentBody) {
		e.silentStream(w, r)
		return
	}
	if strings.HasPrefix(string(body), randomBody) {
		e.randomStream(w, r)
		return
	}
	e.stream(w, r, string(body))
}

// occupySlot waits for a slot of a plain back end and takes its time.
func (e *engine) occupySlot() {
	d := e.host.deployment
	d.mu.Lock()
	slots, runTime := e.host.slots, e.host.runTime
	d.mu.Unlock()
	if slots == nil {
		return
	}
	slots <- struct{}{}
	time.Sleep(runTime)
	<-slots
}

// stream sends events 15 ms apart: 60 if the body begins with long, else two.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, body string) {
	defer e.countStream()()
	first, count := 1, 2
	long := strings.HasPrefix(body, "long")
	if long {
		count = 60
	}
	_, _ = fmt.Sscan(r.Header.Get(names.LastEvent), &first)
	for i := first; i <= count; i++ {
		if long && e.host.deployment.prolongs.Load() {
			count = i + 60
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(15 * time.Millisecond):
		}
		if e.hung.Load() {
			<-r.Context().Done()
			return
		}
	}
}

// countStream counts a running stream until end is called.
func (e *engine) countStream() (end func()) {
	d := e.host.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	e.streams++
	e.peakStreams = max(e.peakStreams, e.streams)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		e.streams--
	}
}

// crash stops the engine with all its requests. Another starts at its address later.
func (e *engine) crash(r *http.Request, body string) {
	h, d := e.host, e.host.deployment
	e.once.Do(func() {
		e.end()
		d.mu.Lock()
		d.crashed = append(d.crashed, e.id)
		server := h.server
		d.mu.Unlock()
		if h.hangs {
			e.hung.Store(true)
			time.AfterFunc(h.restartDelay, func() {
				_ = server.Close()
				h.start()
			})
			return
		}
		_ = server.Close()
		time.AfterFunc(h.restartDelay, h.start)
	})
	<-r.Context().Done()
}

// runCount returns how often engines have begun a body.
func (d *deployment) runCount(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[body]
}

func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashed)
}

// result is the response that a caller got.
type result struct {
	status int
	header http.Header
	// complete is set if the response was read to its end.
	complete bool
	took     time.Duration
}

// send sends a request with a new ID and reads the whole response.
func (d *deployment) send(frontend int, key, path, body string) result {
	return d.sendWithin(d.callerTimeout, frontend, key, path, body)
}

// sendWithin is send for a caller that cancels after a time, 0 for never.
func (d *deployment) sendWithin(timeout time.Duration, frontend int, key, path, body string) result {
	return d.sendPrompt(timeout, frontend, key, path, body, "")
}

// sendPrompt is sendWithin for a prompt with parts, as in the header that names them; empty for none.
func (d *deployment) sendPrompt(timeout time.Duration, frontend int, key, path, body, prefix string) result {
	ctx := d.t.Context()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend[frontend]+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	request.Host = "h"
	request.Header.Set(names.RequestID, fmt.Sprintf("%d try-%d", frontend, d.requests.Add(1)))
	request.Header.Set("Authorization", "Bearer "+key)
	if !strings.HasPrefix(path, "/pay") && !strings.HasPrefix(path, "/look") {
		request.Header.Set(names.Model, "m")
		request.Header.Set(names.Usage, "20,20")
		if prefix != "" {
			request.Header.Set(names.Prefix, prefix)
		}
	}
	begun := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{took: time.Since(begun)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return result{status: response.StatusCode, header: response.Header, complete: err == nil, took: time.Since(begun)}
}

// sendWithRetries sends a request and retries as Retry-After asks while engines are behind,
// which depends on the machine that runs the test. Any other response is final.
func (d *deployment) sendWithRetries(frontend int, key, path, body string) result {
	got := d.send(frontend, key, path, body)
	for tries := 0; got.status == http.StatusServiceUnavailable && tries < 20; tries++ {
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil {
			return got
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		got = d.send(frontend, key, path, body)
	}
	return got
}
