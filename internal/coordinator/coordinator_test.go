package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/loopback"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// fakeEngines simulates the model engines of a deployment, by address. An order takes effect at
// once, except that the first unanswered orders to each engine fail without an answer.
type fakeEngines struct {
	mu         sync.Mutex
	engines    map[string]*fakeEngine
	unanswered int
	// draining is the next result of Draining, and limits that of Limits.
	draining []coordapi.BackendID
	limits   []coordapi.LimitReport
	// calls records the orders and reports, and whether each had a permit.
	calls []engineCall
}

type engineCall struct {
	at     time.Time
	permit bool
}

type fakeEngine struct {
	version, orders, lost int
	holders               []string
}

func newFakeEngines() *fakeEngines { return &fakeEngines{engines: map[string]*fakeEngine{}} }

func (f *fakeEngines) at(address string) *fakeEngine {
	if f.engines[address] == nil {
		f.engines[address] = &fakeEngine{version: 1}
	}
	return f.engines[address]
}

func (f *fakeEngines) Load(_ context.Context, o LoadOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, engineCall{time.Now(), o.Permit != nil})
	e := f.at(o.Address)
	if e.lost < f.unanswered {
		e.lost++
		return errors.New("no answer")
	}
	if o.Expected != e.orders {
		return ErrOrderConflict
	}
	if e.version >= o.Version {
		return ErrAlreadyLoaded
	}
	e.orders++
	e.version = o.Version
	e.holders = append(e.holders, o.Holder)
	return nil
}

func (f *fakeEngines) Report(_ context.Context, to Target) (EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, engineCall{time.Now(), to.Permit != nil})
	e := f.at(to.Address)
	return EngineReport{Orders: e.orders, Weights: map[string]int{"m": e.version}}, nil
}

func (f *fakeEngines) Limits(bool) []coordapi.LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.limits
	f.limits = nil
	return out
}

func (f *fakeEngines) Draining() []coordapi.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.draining
	f.draining = nil
	return out
}

// group is a group of coordinators on the loopback interface.
type group struct {
	t       *testing.T
	config  []settings.Coordinator
	engines *fakeEngines
	// calls replaces engines in nodes that are started later, unless it is nil.
	calls   Engines
	servers []*Server
	// disks are the disks of the nodes. A disk in memory loses what is not synced when its node is
	// killed.
	disks   []vfs.FS
	newDisk func() (disk vfs.FS, directory string)
	// suspendedFor is the simulated time for which each node's machine was suspended, in
	// nanoseconds.
	suspendedFor []*atomic.Int64
	// maxBackends replaces the limit of nodes that are started later, unless it is 0.
	maxBackends int
}

// dataDirectory is the data directory of nodes with a disk in memory.
const dataDirectory = "data"

// newGroup starts coordinators of which the first three are the seeds, with disks in memory: a test
// does not depend on how long the machine's disk takes to sync.
func newGroup(t *testing.T, size int) *group {
	t.Helper()
	return startGroup(t, size, func() (vfs.FS, string) { return vfs.NewCrashableMem(), dataDirectory })
}

// newGroupOnMachineDisk is newGroup with data directories on the machine's disk.
func newGroupOnMachineDisk(t *testing.T, size int) *group {
	t.Helper()
	return startGroup(t, size, func() (vfs.FS, string) { return vfs.Default, t.TempDir() })
}

// startGroup starts coordinators on disks, with data directories, that newDisk returns.
func startGroup(t *testing.T, size int, newDisk func() (vfs.FS, string)) *group {
	t.Helper()
	g := &group{t: t, engines: newFakeEngines(), newDisk: newDisk}
	var addresses []string
	for range size {
		addresses = append(addresses, freeAddress(t))
	}
	for i, address := range addresses {
		g.config = append(g.config, settings.Coordinator{Name: fmt.Sprintf("node-%d", i), Zone: "a", PeerListen: address,
			Seeds: addresses[:min(3, size)], Bootstrap: true, BackendHeartbeat: time.Second,
			WeightsDeadline: 8 * time.Second, OrderLease: time.Second})
		g.config[i].SetDefaults()
		g.servers, g.disks = append(g.servers, nil), append(g.disks, nil)
		g.replaceDisk(i)
		g.suspendedFor = append(g.suspendedFor, &atomic.Int64{})
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.servers {
			g.kill(i)
		}
	})
	return g
}

// replaceDisk gives a node that does not run an empty disk.
func (g *group) replaceDisk(i int) { g.disks[i], g.config[i].DataDirectory = g.newDisk() }

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}

func (g *group) start(i int) {
	g.t.Helper()
	var engines Engines = g.engines
	if g.calls != nil {
		engines = g.calls
	}
	server, err := NewOnDisk(g.disks[i], g.config[i], engines, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(g.t, err)
	suspendedFor := g.suspendedFor[i]
	server.clock = func() time.Duration { return clock.Now() + time.Duration(suspendedFor.Load()) }
	if g.maxBackends > 0 {
		server.maxBackends = g.maxBackends
	}
	assert.NilError(g.t, server.Start())
	g.servers[i] = server
}

// kill stops a node without handing over leadership. A disk in memory loses what was not synced.
func (g *group) kill(i int) {
	if g.servers[i] == nil {
		return
	}
	g.servers[i].abort()
	g.servers[i] = nil
	if disk, inMemory := g.disks[i].(*vfs.MemFS); inMemory {
		g.disks[i] = disk.CrashClone(vfs.CrashCloneCfg{})
	}
}

// waitOn is poll.WaitOn with the checks on the caller's goroutine: none is left running beside the end of
// the test, and a check may fail the test. Pauses of the whole process do not count towards the time-out.
func waitOn(t *testing.T, check poll.Check, options ...poll.SettingOp) {
	t.Helper()
	settings := poll.Settings{Timeout: 10 * time.Second, Delay: 100 * time.Millisecond}
	for _, option := range options {
		option(&settings)
	}
	var paused atomic.Int64
	ended := make(chan struct{})
	defer close(ended)
	go measurePauses(&paused, ended)
	begun := time.Now()
	expired := func() bool { return time.Since(begun)-time.Duration(paused.Load()) > settings.Timeout }
	for message := "first check never completed"; ; time.Sleep(settings.Delay) {
		result := check(t)
		if result.Error() != nil {
			t.Fatalf("polling check failed: %s", result.Error())
		}
		if !result.Done() {
			message = result.Message()
		}
		if expired() {
			// A pause that has just ended may not be measured yet.
			time.Sleep(5 * pauseCheckInterval)
		}
		if expired() {
			t.Fatalf("timeout hit after %s: %s", settings.Timeout, message)
		}
		if result.Done() {
			return
		}
	}
}

const (
	// pauseCheckInterval is the time between two turns of a goroutine that measures pauses of the process,
	// and minPause the least gap between them that is one.
	pauseCheckInterval = 10 * time.Millisecond
	minPause           = 500 * time.Millisecond
)

// measurePauses adds up the pauses of the process until ended is closed.
func measurePauses(paused *atomic.Int64, ended <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-time.After(pauseCheckInterval):
		}
		now := time.Now()
		if gap := now.Sub(last); gap > minPause {
			paused.Add(int64(gap))
		}
		last = now
	}
}

// call sends a request to a node until it succeeds.
func (g *group) call(i int, request coordapi.Request) coordapi.Reply {
	g.t.Helper()
	var reply coordapi.Reply
	waitOn(g.t, func(poll.LogT) poll.Result {
		var err error
		if reply, err = g.servers[i].Call(context.Background(), request); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return reply
}

// voters returns the number of voters in a node's membership.
func (g *group) voters(i int) int {
	count := 0
	g.servers[i].loop.Do(context.Background(), func(time.Duration) {
		if g.servers[i].core != nil {
			count = len(g.servers[i].core.Status().Membership.Voters)
		}
	})
	return count
}

func (g *group) awaitVoters(i, wanted int) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		if have := g.voters(i); have != wanted {
			return poll.Continue("%d voters, wanted %d", have, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

func configure(version uint64) coordapi.Request {
	return coordapi.Request{Configure: &state.Configure{Version: version, Document: []byte(fmt.Sprintf(`{"version":%d}`, version))}}
}

// Guards against a joining node that has no address to answer the leader at, and so never catches
// up.
func TestThreeSeedsGrowToFiveVoters(t *testing.T) {
	g := newGroup(t, 5)
	for i := range g.servers {
		g.awaitVoters(i, 5)
	}
	g.call(4, configure(7))
	assert.Equal(t, string(g.call(3, coordapi.Request{Read: &coordapi.Read{}}).Document), `{"version":7}`)
}

func TestAcknowledgedConfigurationSurvivesTwoLostDisks(t *testing.T) {
	for name, start := range map[string]func(*testing.T, int) *group{"disks in memory": newGroup, "disk of the machine": newGroupOnMachineDisk} {
		t.Run(name, func(t *testing.T) { testLossOfTwoDisks(t, start(t, 5)) })
	}
}

func testLossOfTwoDisks(t *testing.T, g *group) {
	t.Helper()
	for i := range g.servers {
		g.awaitVoters(i, 5)
	}
	g.call(0, configure(3))
	for i := range g.servers {
		g.kill(i)
	}
	for i := range g.servers {
		g.config[i].Bootstrap = false
		if i < 2 {
			g.replaceDisk(i)
		}
		g.start(i)
	}
	assert.Equal(t, string(g.call(4, coordapi.Request{Read: &coordapi.Read{}}).Document), `{"version":3}`)
	for i := range g.servers {
		g.awaitVoters(i, 5)
	}
}

// row returns a row of a node's replica.
func (g *group) row(i int, id string) state.Backend {
	var row state.Backend
	g.servers[i].loop.Do(context.Background(), func(time.Duration) { row = g.servers[i].core.Machine().Deployment().Backends[id] })
	return row
}

func (g *group) leader() int {
	leader := -1
	waitOn(g.t, func(poll.LogT) poll.Result {
		for i := range g.servers {
			g.servers[i].loop.Do(context.Background(), func(now time.Duration) {
				if g.servers[i].core.HoldsLease(now) {
					leader = i
				}
			})
		}
		if leader < 0 {
			return poll.Continue("no leader")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	return leader
}

func beat(id string, sequence coordapi.Sequence, draining bool) coordapi.Request {
	return coordapi.Request{Heartbeat: &coordapi.Heartbeat{Sequence: sequence, Backend: state.Backend{ID: id, Pool: "llm", Address: id,
		Weights: map[string]int{"m": 1}, Draining: draining}}}
}

func TestLateHeartbeatDoesNotClearDrain(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.call(1, beat("x", 3, true))
	g.call(2, beat("x", 2, false))
	g.call(0, beat("x", 4, false))
	assert.Assert(t, g.row(g.leader(), "x").Draining)
}

func TestUnansweredOrderIsCarriedOutOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.engines.unanswered = 3
	for _, s := range g.servers {
		s.settings.WeightsDeadline = 2 * time.Second
	}
	g.call(0, beat("x", 1, false))
	g.call(0, coordapi.Request{NameWeights: &state.NameWeights{Model: "m", Version: 2}})
	g.awaitVersion("x", 2)
	assert.Equal(t, g.engines.at("x").orders, 1)
	assert.Assert(t, g.row(g.leader(), "x").Loading == nil)
}

// Guards against a load announced by a lost leader that keeps its engine out of service forever.
func TestLoadOfLostLeaderIsResolved(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.call(0, coordapi.Request{NameWeights: &state.NameWeights{Model: "m", Version: 2}})
	leader := g.servers[g.leader()]
	g.engines.at("x").version, g.engines.at("x").orders = 2, 1
	leader.updateRow(context.Background(), "x", func(b *state.Backend) { b.Loading = &state.Loading{Model: "m", Version: 2} })
	g.awaitVersion("x", 2)
	assert.Assert(t, g.row(g.leader(), "x").Loading == nil)
	assert.Equal(t, g.row(g.leader(), "x").Orders, 1)
}

// awaitVersion waits until the leader's row has a version and no load.
func (g *group) awaitVersion(id string, version int) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		row := g.row(g.leader(), id)
		if row.Weights["m"] != version || row.Loading != nil {
			return poll.Continue("row is %+v", row)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against Stop waiting forever for the run goroutine to take the outcome of an order.
func TestStopDoesNotWaitForOrders(t *testing.T) {
	g := newGroup(t, 1)
	g.engines.unanswered = 1 << 30
	for _, s := range g.servers {
		s.settings.WeightsDeadline = time.Second
	}
	g.call(0, beat("x", 1, false))
	g.call(0, coordapi.Request{NameWeights: &state.NameWeights{Model: "m", Version: 2}})
	waitOn(t, func(poll.LogT) poll.Result {
		if g.row(0, "x").Loading == nil {
			return poll.Continue("no order yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.servers[0].Stop(ctx)
		g.servers[0] = nil
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("Stop hangs")
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, configure(1))
	leader := g.leader()
	watch := coordapi.Request{Watch: &coordapi.Watch{Router: "r"}}
	first := g.call(leader, watch).View
	assert.Equal(t, first.Version, uint64(1))
	views := make(chan *coordapi.View, 1)
	go func() {
		again := coordapi.Request{Watch: &coordapi.Watch{Router: "r", Since: first.Revision, Leader: first.Leader, Announced: first.Announced, Wait: 800 * time.Millisecond}}
		reply, _ := g.servers[leader].Call(context.Background(), again)
		views <- reply.View
	}()
	g.call(0, configure(2))
	view := <-views
	assert.Assert(t, view != nil)
	assert.Equal(t, view.Version, uint64(2))
	assert.Equal(t, string(view.Document), `{"version":2}`)
}
