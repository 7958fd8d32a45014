package coordinator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/follower"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// stopHandover and stopCalls are the times that a process gives the parts of its stop.
	stopHandover = time.Second
	stopCalls    = 2 * time.Second
)

// operatorCalls are calls of operators and back ends, with their bodies.
var operatorCalls = map[string]string{
	"PUT /v1/configuration":               `{"version":9}`,
	"GET /v1/configuration":               "",
	"POST /v1/weights":                    `{"Model":"m","Version":2}`,
	"POST /v1/backends/x/heartbeat":       `{"Backend":{"Pool":"app","Address":"127.0.0.1:1","Zone":"z","Slots":8},"Sequence":1}`,
	"POST /v1/backends/x/leave":           "",
	"GET /v1/limits":                      "",
	"GET /v1/software":                    "",
	"GET /v1/blocked":                     "",
	"POST /v1/blocked":                    `{"request":"0000000000000007"}`,
	"DELETE /v1/blocked/0000000000000007": "",
}

// operatorConn is a connection of an operator.
type operatorConn struct {
	net.Conn
	t         *testing.T
	responses *bufio.Reader
}

// stoppingNode is the leader of a group, with its listener for operators.
type stoppingNode struct {
	*Server
	group     *group
	operators *listener.Server
	address   string
	// begun receives when a call has been passed to its handler.
	begun chan struct{}
}

// newStoppingNode serves operators at the leader of a group. Wrap replaces their listener.
func newStoppingNode(t *testing.T, size int, wrap func(net.Listener) net.Listener) *stoppingNode {
	t.Helper()
	g := newGroup(t, size)
	g.enrol("x")
	n := &stoppingNode{group: g, begun: make(chan struct{}, 100)}
	i := g.leader()
	n.Server, g.servers[i] = g.servers[i], nil
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n.address = inner.Addr().String()
	handler := n.Handler()
	n.operators = n.ServeOperators(wrap(inner), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.begun <- struct{}{}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { _ = n.operators.Close() })
	return n
}

func plain(l net.Listener) net.Listener { return l }

// stop stops the node as its process does, and returns a channel that is closed then.
func (n *stoppingNode) stop() <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.stopNode()
		n.operators.ShutdownWithin(context.Background(), stopCalls)
	}()
	return stopped
}

func (n *stoppingNode) stopNode() {
	ctx, cancel := context.WithTimeout(context.Background(), stopHandover)
	defer cancel()
	n.Stop(ctx)
}

func (n *stoppingNode) dial(t *testing.T) *operatorConn {
	t.Helper()
	c, err := net.Dial("tcp", n.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &operatorConn{Conn: c, t: t, responses: bufio.NewReader(c)}
}

// send sends a call.
func (c *operatorConn) send(call string) {
	c.t.Helper()
	body := operatorCalls[call]
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", call, len(body), body)
	assert.NilError(c.t, err)
}

// status returns the status of the response to a call.
func (c *operatorConn) status(call string) int {
	c.t.Helper()
	response, err := http.ReadResponse(c.responses, nil)
	assert.NilError(c.t, err, call)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, err, call)
	assert.NilError(c.t, response.Body.Close())
	return response.StatusCode
}

// Guards against an operator's call that is being served as its node stops and gets no response.
func TestOperatorsCallsInProgressAtStopGetResponses(t *testing.T) {
	n := newStoppingNode(t, 3, plain)
	held, release := make(chan struct{}), make(chan struct{})
	go n.loop.Do(context.Background(), func(time.Duration) {
		close(held)
		<-release
	})
	<-held
	conns := map[string]*operatorConn{}
	for call := range operatorCalls {
		conns[call] = n.dial(t)
		conns[call].send(call)
		<-n.begun
	}
	stopped := n.stop()
	time.Sleep(200 * time.Millisecond)
	close(release)
	for call, c := range conns {
		status := c.status(call)
		assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%s: %d", call, status)
	}
	<-stopped
}

// Guards against an operator's change whose outcome is open as its node stops and that gets no response.
func TestOperatorsChangesWithoutMajorityAtStopGetResponses(t *testing.T) {
	n := newStoppingNode(t, 3, plain)
	for i := range n.group.servers {
		n.group.kill(i)
	}
	conns := map[string]*operatorConn{}
	for _, call := range []string{"PUT /v1/configuration", "POST /v1/weights", "POST /v1/blocked", "POST /v1/backends/x/leave"} {
		conns[call] = n.dial(t)
		conns[call].send(call)
		<-n.begun
	}
	stopped := n.stop()
	for call, c := range conns {
		assert.Check(t, c.status(call) == http.StatusServiceUnavailable, call)
	}
	<-stopped
}

// Guards against an operator's call that arrives once its node has stopped and gets no response.
func TestOperatorsCallsAfterStopOfNodeGetResponses(t *testing.T) {
	n := newStoppingNode(t, 3, plain)
	conns := map[string]*operatorConn{}
	for call := range operatorCalls {
		conns[call] = n.dial(t)
		conns[call].send("GET /v1/blocked")
		assert.Equal(t, conns[call].status(call), http.StatusOK)
	}
	n.stopNode()
	for call, c := range conns {
		c.send(call)
		status := c.status(call)
		assert.Check(t, status == http.StatusServiceUnavailable, "%s: %d", call, status)
	}
	n.operators.ShutdownWithin(context.Background(), stopCalls)
}

// gatedListener returns connections whose reads begin once the gate is open.
type gatedListener struct {
	net.Listener
	gate, waits chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, listener: l}, nil
}

// SyscallConn implements syscall.Conn.
func (l *gatedListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(*net.TCPListener).SyscallConn()
}

type gatedConn struct {
	net.Conn
	listener *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	select {
	case c.listener.waits <- struct{}{}:
	default:
	}
	<-c.listener.gate
	return c.Conn.Read(p)
}

// SyscallConn implements syscall.Conn.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// Guards against an operator's call that waits to be read as its node stops and gets no response.
func TestOperatorsCallsThatWaitToBeReadAtStopGetResponses(t *testing.T) {
	l := &gatedListener{gate: make(chan struct{}), waits: make(chan struct{}, 100)}
	n := newStoppingNode(t, 3, func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	})
	conns := map[string]*operatorConn{}
	for call := range operatorCalls {
		conns[call] = n.dial(t)
		conns[call].send(call)
		<-l.waits
	}
	n.stopNode()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.operators.ShutdownWithin(context.Background(), stopCalls)
	}()
	time.Sleep(300 * time.Millisecond)
	close(l.gate)
	for call, c := range conns {
		assert.Check(t, c.status(call) == http.StatusServiceUnavailable, call)
	}
	<-stopped
}

// Guards against calls of peers that go on waiting for a node which has stopped.
func TestPeersCallsInProgressAtStopEnd(t *testing.T) {
	n := newStoppingNode(t, 1, plain)
	peers := peer.NewClient(&peer.Counters{})
	defer peers.Close()
	const wait = time.Minute
	first := &coordapi.Watch{Router: "r"}
	reply, err := n.Call(t.Context(), coordapi.Request{Watch: first})
	assert.NilError(t, err)
	view := reply.View
	held, release := make(chan struct{}), make(chan struct{})
	type ended struct {
		call string
		err  error
	}
	results := make(chan ended, 3)
	call := func(name string, request coordapi.Request) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		var reply coordapi.Reply
		results <- ended{name, peers.Call(ctx, n.settings.PeerListen, coordapi.KindCall, request, &reply)}
	}
	go call("watch", coordapi.Request{Watch: &coordapi.Watch{Router: "r", Since: view.Revision, Leader: view.Leader, Announced: view.Announced, Wait: wait}})
	time.Sleep(100 * time.Millisecond)
	go n.loop.Do(context.Background(), func(time.Duration) {
		close(held)
		<-release
	})
	<-held
	go call("weights", coordapi.Request{NameWeights: &state.NameWeights{Model: "m", Version: 2}})
	go call("read", coordapi.Request{Read: &coordapi.Read{}})
	time.Sleep(100 * time.Millisecond)
	begun := time.Now()
	stopped := n.stop()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	for range 3 {
		e := <-results
		assert.Check(t, time.Since(begun) < wait/2, "%s: %v", e.call, e.err)
	}
	<-stopped
}

// nothing is what a router without back ends and a store holds.
type nothing struct{}

func (nothing) Apply([]state.Backend, []string, bool)                             {}
func (nothing) PathKnown(string) bool                                             { return true }
func (nothing) Refused() int                                                      { return 0 }
func (nothing) OnSuperseded(func(string))                                         {}
func (nothing) ApplyNotes(coordapi.Notes)                                         {}
func (nothing) RestrictToShard(coordapi.Shard)                                    {}
func (nothing) Troubles() []coordapi.Trouble                                      { return nil }
func (nothing) SetTotalLoads(time.Duration, []coordapi.Load, time.Duration, bool) {}
func (nothing) OwnLoads() []coordapi.Load                                         { return nil }
func (nothing) Add([]uint64)                                                      {}
func (nothing) TakeNew() []uint64                                                 { return nil }

// placedBy is the result of a router's request to place.
type placedBy struct {
	choice          backends.Choice
	found, answered bool
}

// follow returns a router of the group that places requests at the leader.
func (g *group) follow() *follower.Follower {
	g.t.Helper()
	f := follower.New(follower.Config{Name: "r", Seeds: g.config[0].Seeds, Lease: time.Minute, Pool: nothing{}, Saved: nothing{}, Peers: peer.NewClient(&peer.Counters{}),
		Decode: func([]byte) (*traffic.Table, error) { return &traffic.Table{Version: 1}, nil }, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		f.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		f.Update(ctx)
		ended <- struct{}{}
	}()
	g.t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return f
}

// placeLimit is the time after which the client of a request leaves.
const placeLimit = 15 * time.Second

// placeAt asks the leader for an engine of four slots.
func placeAt(f *follower.Follower) (p placedBy) {
	ctx, cancel := context.WithTimeout(context.Background(), placeLimit)
	defer cancel()
	p.choice, p.found, p.answered = f.Place(ctx, &backends.Query{Pool: "llm", Model: "m", Target: time.Second, Patience: 20 * time.Second, Slots: 4, Capacity: 10000,
		Work: backends.Work{Prompt: 10, Most: 20}, Queueing: coordapi.Queueing{Wait: true, Account: "t", Deadline: 20 * time.Second}})
	return p
}

// placeSoon asks until the leader answers.
func (g *group) placeSoon(f *follower.Follower) (p placedBy) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		if p = placeAt(f); !p.answered || !p.found {
			return poll.Continue("%+v", p)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return p
}

// Guards against a request that a stopping node is asked to place and that its router does not place by itself.
func TestRouterGoesOnWhenNodeStopsDuringPlacement(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	f := g.follow()
	g.placeSoon(f)
	i := g.leader()
	leader := g.servers[i]
	g.servers[i] = nil
	leader.blocker.mu.Lock()
	placed := make(chan placedBy, 1)
	go func() { placed <- placeAt(f) }()
	time.Sleep(10 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		leader.Stop(ctx)
	}()
	begun := time.Now()
	p := <-placed
	took := time.Since(begun)
	leader.blocker.mu.Unlock()
	assert.Assert(t, !p.answered && took < placeLimit/2, "%+v after %v", p, took)
	<-stopped
	g.placeSoon(f)
}

// Guards against a request that waits at a stopping node and that its router does not ask for again.
func TestRouterAsksNextLeaderWhenNodeStopsDuringWait(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	f := g.follow()
	for range 4 {
		g.placeSoon(f)
	}
	results := make(chan placedBy, 3)
	for range cap(results) {
		go func() { results <- placeAt(f) }()
	}
	waitOn(t, func(poll.LogT) poll.Result {
		if f.Waiting() < cap(results) {
			return poll.Continue("%d wait", f.Waiting())
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	i := g.leader()
	leader := g.servers[i]
	g.servers[i] = nil
	ctx, cancel := context.WithTimeout(context.Background(), stopHandover)
	defer cancel()
	leader.Stop(ctx)
	for range cap(results) {
		p := <-results
		assert.Check(t, p.answered && p.found && p.choice.ID == "x", "%+v", p)
	}
}
