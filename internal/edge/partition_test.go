package edge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/settings"
)

// network connects routers and coordinators to coordinators, and can isolate one of these in both
// directions.
type network struct {
	// addresses are those at which the coordinators are reached, and targets where they listen.
	addresses, targets []string

	mu sync.Mutex
	// isolated is the isolated coordinator, -1 for none, and healed is closed when its isolation ends.
	// Its connections are then closed if drops is set, and else what was sent meanwhile is delivered.
	isolated int
	healed   chan struct{}
	drops    bool
	// late is the delay of what coordinators send to routers.
	late time.Duration
	// asks are the calls in order with which routers asked again for a waiting request. inFlight counts
	// those without a reply by router, and peak is the largest number of one router.
	asks     []ask
	inFlight map[string]int
	peak     int
}

// ask is a repeated Place on its way to a coordinator.
type ask struct {
	at     time.Time
	node   int
	router string
	number uint64
}

// proxied is a connection to a coordinator. source is the coordinator that opened it, -1 if that is not
// known or a router.
type proxied struct {
	network *network
	node    int
	source  atomic.Int32
	// pending are the routers of the calls in pending asks, by the number of the call.
	pending sync.Map
}

func newNetwork(t *testing.T, coordinators int) *network {
	n := &network{isolated: -1, inFlight: map[string]int{}}
	var listeners []net.Listener
	for range coordinators {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		n.addresses = append(n.addresses, listener.Addr().String())
		n.targets = append(n.targets, freeAddress(t))
		listeners = append(listeners, listener)
	}
	for node, listener := range listeners {
		go n.accept(listener, node)
	}
	return n
}

func (n *network) accept(listener net.Listener, node int) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		called, err := net.Dial("tcp", n.targets[node])
		if err != nil {
			_ = caller.Close()
			continue
		}
		p := &proxied{network: n, node: node}
		p.source.Store(-1)
		go p.copyLines(called, caller, p.observeCall)
		sent, received := net.Pipe()
		go p.copyLines(sent, called, p.observeReply)
		go p.copyLate(caller, received)
	}
}

// copyLines forwards lines until one of the connections ends, and closes both.
func (p *proxied) copyLines(to, from net.Conn, observe func(line []byte)) {
	defer to.Close()
	defer from.Close()
	reader := bufio.NewReader(from)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		p.identify(line)
		if !p.network.pass(p) {
			return
		}
		observe(line)
		if _, err := to.Write(line); err != nil {
			return
		}
	}
}

// copyLate forwards lines with the delay of the network at the time when they were sent.
func (p *proxied) copyLate(to, from net.Conn) {
	type delayed struct {
		line []byte
		due  time.Time
	}
	lines := make(chan delayed, 1024)
	go func() {
		defer close(lines)
		reader := bufio.NewReader(from)
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			lines <- delayed{line, time.Now().Add(p.lateBy())}
		}
	}()
	defer to.Close()
	defer from.Close()
	for d := range lines {
		time.Sleep(time.Until(d.due))
		if _, err := to.Write(d.line); err != nil {
			return
		}
	}
}

// lateBy returns the delay of what is sent over a connection that a router opened.
func (p *proxied) lateBy() time.Duration {
	if p.source.Load() >= 0 {
		return 0
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.late
}

// setLate sets the delay of what coordinators send to routers from now on.
func (n *network) setLate(late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late = late
}

// identify sets the source of a connection by the sender of its first consensus message.
func (p *proxied) identify(line []byte) {
	if p.source.Load() >= 0 || !bytes.Contains(line, []byte(`"sender":`)) {
		return
	}
	for i, address := range p.network.addresses {
		if bytes.Contains(line, []byte(`"sender":"`+address+`"`)) {
			p.source.Store(int32(i))
		}
	}
}

// pass waits while one end of a connection is isolated. It returns false if the connection is lost.
func (n *network) pass(p *proxied) bool {
	for {
		n.mu.Lock()
		healed, drops := n.healed, n.drops
		blocked := n.isolated >= 0 && (n.isolated == p.node || n.isolated == int(p.source.Load()))
		n.mu.Unlock()
		if !blocked {
			return true
		}
		<-healed
		if drops {
			return false
		}
	}
}

// call is the envelope of a call with a repeated Place.
type call struct {
	Number uint64           `json:"n"`
	Body   coordapi.Request `json:"body"`
}

func (p *proxied) observeCall(line []byte) {
	if !bytes.Contains(line, []byte(`"again":true`)) {
		return
	}
	var c call
	if json.Unmarshal(line, &c) != nil || c.Body.Place == nil {
		return
	}
	router := c.Body.Place.Router
	p.pending.Store(c.Number, router)
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asks = append(n.asks, ask{at: time.Now(), node: p.node, router: router, number: c.Body.Place.Number})
	n.inFlight[router]++
	n.peak = max(n.peak, n.inFlight[router])
}

func (p *proxied) observeReply(line []byte) {
	var c struct {
		Number uint64 `json:"n"`
	}
	if json.Unmarshal(line, &c) != nil {
		return
	}
	if router, asked := p.pending.LoadAndDelete(c.Number); asked {
		p.network.mu.Lock()
		p.network.inFlight[router.(string)]--
		p.network.mu.Unlock()
	}
}

// isolate isolates a coordinator until heal is called.
func (n *network) isolate(node int, drops bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated, n.drops, n.healed = node, drops, make(chan struct{})
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated >= 0 {
		n.isolated = -1
		close(n.healed)
	}
}

// newIsolatableDeployment returns a deployment of three coordinators whose network may be cut.
func newIsolatableDeployment(t *testing.T, routers, engines int) (*deployment, *network) {
	t.Helper()
	n := newNetwork(t, 3)
	d := &deployment{t: t, runs: map[string]int{}}
	for i, address := range n.addresses {
		d.config = append(d.config, settings.Coordinator{Name: fmt.Sprintf("node-%d", i), Zone: "z", PeerListen: n.targets[i], PeerAddress: address,
			Seeds: n.addresses, Bootstrap: true, DataDirectory: "data", BackendHeartbeat: heartbeatInterval, WeightsDeadline: 8 * time.Second,
			OrderLease: time.Second, Metrics: freeAddress(t)})
		d.config[i].SetDefaults()
		d.nodes, d.disks = append(d.nodes, nil), append(d.disks, vfs.NewCrashableMem())
		d.startNode(i)
	}
	for i := range routers {
		d.addRouter(i, n.addresses)
	}
	d.configure()
	for range engines {
		d.host("llm")
	}
	d.host("app")
	d.awaitReady()
	t.Cleanup(d.stop)
	t.Cleanup(n.heal)
	return d, n
}

// leader returns the coordinator that leads.
func (d *deployment) leader(n *network) int {
	d.t.Helper()
	peers := peer.NewClient(&peer.Counters{})
	defer peers.Close()
	leader := -1
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for i, address := range n.targets {
			var reply coordapi.Reply
			if peers.Call(d.t.Context(), address, coordapi.KindCall, coordapi.Request{Find: &coordapi.Find{}}, &reply) == nil && !reply.NotLeader {
				leader = i
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return leader
}

// waiting returns the number of requests that wait at all routers.
func (d *deployment) waiting() int {
	total := 0
	for _, r := range d.routers {
		total += r.follower.Waiting()
	}
	return total
}

// running returns the number of streams that engines run.
func (d *deployment) running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, h := range d.hosts {
		if h.current != nil {
			total += h.current.streams
		}
	}
	return total
}

const (
	// maxLeaderlessTime is the time within which routers must ask the next leader for the requests that
	// wait, and maxAsksAtOnce the number of calls of one router at a time.
	maxLeaderlessTime = 2 * time.Second
	maxAsksAtOnce     = 20
	// chatTimeout is the time-out of the route chat, and timeoutSlack the delay with which a caller may
	// see its end on a busy machine.
	chatTimeout  = 10 * time.Second
	timeoutSlack = time.Second
)

// Guards, with a full queue at a leader that is cut off, against requests that wait for the lost leader
// although another one leads, that are asked for again in the wrong order or all at once, that run twice,
// or that wait beyond their time-out. The leader is partitioned, and its connections are lost, or it is
// suspended, and what it was sent and what it sends arrives late.
func TestWaitingRequestsSurviveIsolatedLeader(t *testing.T) {
	for _, c := range []struct {
		name  string
		drops bool
	}{{"partitioned", true}, {"suspended", false}} {
		t.Run(c.name, func(t *testing.T) {
			const running, queued = 16, 60
			d, n := newIsolatableDeployment(t, 2, 2)
			// No engine becomes free before the queue is full.
			d.prolongs.Store(true)
			var results []*result
			var group sync.WaitGroup
			var answered atomic.Int64
			for begun := time.Now(); d.waiting() < queued; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Since(begun) < 10*time.Second, "%d requests wait", d.waiting())
				// Requests that arrive together have no order, and those for which the leader answers too
				// late are not queued.
				if d.waiting()+d.running()+int(answered.Load()) < len(results) {
					continue
				}
				i, got := len(results), &result{}
				results = append(results, got)
				group.Go(func() {
					*got = d.send(i%len(d.frontend), "ka", "/chat/", fmt.Sprint("long ", i))
					answered.Add(1)
				})
			}
			leader := d.leader(n)
			d.prolongs.Store(false)
			n.isolate(leader, c.drops)
			isolatedAt, waiting := time.Now(), d.waiting()
			time.AfterFunc(3*time.Second, n.heal)
			group.Wait()

			served := 0
			for i, got := range results {
				runs := d.runCount(fmt.Sprint("long ", i))
				assert.Assert(t, runs <= 1, "request %d ran %d times", i, runs)
				assert.Assert(t, got.took < chatTimeout+timeoutSlack, "request %d took %v", i, got.took)
				switch got.status {
				case http.StatusOK:
					assert.Assert(t, got.complete && runs == 1, "request %d: %+v", i, got)
					served++
				case http.StatusServiceUnavailable:
					assert.Equal(t, runs, 0, "request %d was answered as not run", i)
				default:
					t.Errorf("request %d: %+v", i, got)
				}
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			first := map[string][]ask{}
			for _, a := range n.asks {
				assert.Assert(t, a.node != leader || a.at.Sub(isolatedAt) > 3*time.Second, "asked the lost leader")
				if !slices.ContainsFunc(first[a.router], func(b ask) bool { return a.number == b.number }) {
					first[a.router] = append(first[a.router], a)
				}
			}
			asked, last := 0, time.Duration(0)
			for router, asks := range first {
				asked += len(asks)
				numbers := make([]uint64, len(asks))
				for i, a := range asks {
					numbers[i] = a.number
				}
				slices.Sort(numbers)
				for i, a := range asks {
					rank := slices.Index(numbers, a.number)
					// Calls in flight overtake each other.
					assert.Assert(t, rank-i < maxAsksAtOnce, "router %s asked for request %d of its age in place %d", router, rank, i)
					last = max(last, a.at.Sub(isolatedAt))
				}
			}
			t.Logf("%d waited, %d were asked for again, the last after %v, %d at once; %d of %d served", waiting, asked, last, n.peak, served, len(results))
			assert.Equal(t, asked, waiting, "requests that waited were not asked for again")
			assert.Assert(t, last < maxLeaderlessTime, "asked after %v", last)
			assert.Assert(t, n.peak <= maxAsksAtOnce, "%d at once", n.peak)
			assert.Assert(t, served >= (running+queued)*3/4, "%d of %d served", served, len(results))
		})
	}
}
