package simulation

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
)

// Timeouts of the simulated group, in the same proportions as the defaults.
const (
	heartbeat       = 100 * time.Millisecond
	electionTimeout = time.Second
	leaderLease     = 800 * time.Millisecond
	routerLease     = 3 * time.Second
	snapshotEvery   = 40
	// maxDrift is the maximum relative error of a clock's rate.
	maxDrift = 0.04
)

var errKilled = errors.New("killed at a write")

// node is a control node with its disk and clock.
type node struct {
	world  *world
	id     uint64
	name   string
	core   *control.Core
	disk   *vfs.MemFS
	join   bool
	drift  float64
	origin time.Duration
	down   bool
	lost   bool
	frozen bool
	// suspendedFor is the total time for which the node's clock was stopped.
	suspendedFor time.Duration
	// queued holds the messages that arrived while the node was frozen.
	queued []func()
	// lastChecked is the applied index at the last check.
	lastChecked uint64
	// writesUntilKill is the number of writes until one fails and kills the node, or 0 for no
	// failure.
	writesUntilKill int
}

func newNode(w *world, id uint64, join bool) *node {
	n := &node{world: w, id: id, name: fmt.Sprintf("control-%d", id), disk: vfs.NewCrashableMem(), join: join,
		drift: 1 + (w.random.Float64()*2-1)*maxDrift, origin: w.between(0, time.Hour)}
	n.open()
	return n
}

// clock returns the time that the node's process reads, with its own origin and drift.
func (n *node) clock() time.Duration {
	return n.origin + time.Duration(float64(n.world.now()-n.suspendedFor)*n.drift)
}

func (n *node) config() control.CoreConfig {
	config := control.CoreConfig{
		Raft: raft.Config{ID: n.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat, LeaseDuration: leaderLease,
			Random: rand.New(rand.NewPCG(n.world.random.Uint64(), n.id))},
		SnapshotEvery: snapshotEvery, Lease: routerLease, Bootstrap: trust(),
	}
	if !n.join {
		config.Initial = raft.Membership{Addresses: map[uint64]string{}}
		for id := uint64(1); id <= uint64(n.world.config.Nodes); id++ {
			config.Initial.Voters = append(config.Initial.Voters, id)
		}
	}
	return config
}

func (n *node) open() {
	core, err := control.NewCore(n.config(), n.faultyDisk(), "data", n.clock())
	if errors.Is(err, errKilled) {
		n.down = true
		n.world.queue.After(100*time.Millisecond, n.restart)
		return
	}
	if err != nil {
		// A mutant can corrupt the disk, which counts as a detected fault.
		n.world.checks.fail("%s cannot start: %v", n.name, err)
		return
	}
	n.core = core
}

// faultyDisk returns the node's disk, with a write error when writesUntilKill reaches 0.
func (n *node) faultyDisk() vfs.FS {
	return errorfs.Wrap(n.disk, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if n.writesUntilKill == 0 || op.Kind.ReadOrWrite() != errorfs.OpIsWrite {
			return nil
		}
		n.writesUntilKill--
		if n.writesUntilKill == 0 {
			return errKilled
		}
		return nil
	}))
}

func (n *node) running() bool { return !n.down && !n.lost && !n.frozen && n.core != nil }

func (n *node) tick() {
	if !n.running() {
		return
	}
	n.core.Tick(n.clock())
	n.pump()
}

// receive runs work on the node, or queues it while the node is frozen.
func (n *node) receive(work func()) {
	switch {
	case n.frozen && !n.down:
		n.queued = append(n.queued, work)
	case n.running():
		work()
		n.pump()
	}
}

func (n *node) pump() {
	if !n.running() {
		return
	}
	messages, err := n.core.Pump(n.clock())
	if err != nil {
		if !errors.Is(err, errKilled) && !errors.Is(err, storage.ErrCorrupt) {
			n.world.checks.fail("%s: %v", n.name, err)
			return
		}
		n.world.count("kill at a write")
		n.crash(n.world.between(50*time.Millisecond, 2*time.Second))
		return
	}
	if applied := n.core.Machine().Applied(); applied != n.lastChecked {
		n.lastChecked = applied
		n.world.checks.applied(n)
	}
	for _, m := range messages {
		if to := n.world.node(m.To); to != nil {
			n.world.send(n.name, to.name, func() { to.receive(func() { to.core.Step(to.clock(), m) }) })
		}
	}
}

func (w *world) node(id uint64) *node {
	for _, n := range w.nodes {
		if n.id == id && !n.lost {
			return n
		}
	}
	return nil
}

// crash stops the node and restarts it after a pause. Unsynced data may be lost.
func (n *node) crash(pause time.Duration) {
	if n.down || n.lost {
		return
	}
	n.down, n.frozen, n.queued, n.core, n.writesUntilKill = true, false, nil, nil, 0
	n.disk = n.crashedDisk()
	if n.world.config.Mutant == MutantNoSync {
		n.disk = vfs.NewCrashableMem()
	}
	n.world.queue.After(pause, n.restart)
}

// crashedDisk returns the disk after a crash: the synced data and sometimes unsynced data, with
// a torn log tail.
//
// The clone takes all or none of the unsynced data, since a partial clone iterates over a map
// and would make runs nondeterministic.
func (n *node) crashedDisk() *vfs.MemFS {
	synced := n.disk.CrashClone(vfs.CrashCloneCfg{})
	if n.world.chance(0.4) {
		return synced
	}
	all := n.disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 1))})
	kept, written := readAll(synced, logPath), readAll(all, logPath)
	if !bytes.HasPrefix(written, kept) || len(written) == len(kept) {
		return all
	}
	tail := written[len(kept):]
	switch cut := n.world.random.IntN(len(tail) + 1); {
	case n.world.chance(0.5):
		tail = tail[:cut]
	default:
		clear(tail[cut/2 : cut]) // a block that wasn't written back
	}
	writeAll(all, logPath, append(kept, tail...))
	return all
}

const logPath = "data/log.jsonl"

func readAll(fs *vfs.MemFS, path string) []byte {
	file, err := fs.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	data, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	return data
}

func writeAll(fs *vfs.MemFS, path string, data []byte) {
	file, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return
	}
	_, _ = file.Write(data)
	_ = file.Sync()
	_ = file.Close()
}

func (n *node) restart() {
	if n.lost || n.core != nil {
		return
	}
	n.down = false
	n.open()
}

func (n *node) freeze(length time.Duration) {
	if !n.running() {
		return
	}
	n.frozen = true
	n.world.queue.After(length, func() {
		if !n.frozen {
			return
		}
		n.frozen = false
		queued := n.queued
		n.queued = nil
		for _, work := range queued {
			n.receive(work)
		}
	})
}

// suspend freezes the node as a suspended machine does. With clocksStopInSuspend, its clock
// stops too.
func (n *node) suspend(length time.Duration) {
	if !n.running() {
		return
	}
	core := n.core
	n.world.queue.After(length, func() {
		if n.frozen && n.core == core && n.world.clocksStopInSuspend() {
			n.suspendedFor += length
		}
	})
	n.freeze(length)
}

// clocksStopInSuspend reports whether clocks stop while their machine is suspended.
func (w *world) clocksStopInSuspend() bool { return w.config.Mutant == MutantSteadyClock }

// leader returns the node that holds the leader lease, or nil.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.running() && n.core.HoldsLease(n.clock()) {
			return n
		}
	}
	return nil
}

// submit sends a command to a node and passes the result to done, unless a message is lost. It
// calls appended when the node has appended the command to its log.
func (w *world) submit(from string, to *node, command state.Command, appended func(), done func(state.Result, error)) {
	w.send(from, to.name, func() {
		to.receive(func() {
			command.At = w.wallClock()
			err := to.core.Propose(to.clock(), command, func(r state.Result, err error) {
				w.send(to.name, from, func() { done(r, err) })
			})
			if err != nil {
				w.send(to.name, from, func() { done(state.Result{}, err) })
				return
			}
			appended()
		})
	})
}

// wallClock returns a wall time in milliseconds that jumps by up to 10 seconds in both
// directions.
func (w *world) wallClock() int64 {
	jump := w.random.Int64N(20_000) - 10_000
	return 1_800_000_000_000 + w.now().Milliseconds() + jump
}

func (w *world) randomNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// replaceLost replaces a node that lost its disk, as an operator does: it adds a learner,
// promotes it and removes the old member.
func (w *world) replaceLost() {
	leader := w.leader()
	if leader == nil {
		return
	}
	for _, old := range w.nodes {
		if old.lost && w.replace(leader, old) {
			return
		}
	}
}

func (w *world) replace(leader, old *node) (busy bool) {
	members := leader.core.Status().Membership
	newest := w.nodes[len(w.nodes)-1]
	change := func(kind raft.ChangeKind, id uint64) {
		leader.receive(func() { _ = leader.core.Change(leader.clock(), raft.Change{Kind: kind, ID: id}) })
	}
	switch {
	case !members.IsVoter(old.id) && !members.IsLearner(old.id):
		return false
	case newest.lost || !newest.join || members.IsVoter(newest.id):
		if len(members.Voters) > w.config.Nodes {
			change(raft.RemoveMember, old.id)
			return true
		}
		w.nextID++
		w.nodes = append(w.nodes, newNode(w, w.nextID, true))
		w.partitions[w.nodes[len(w.nodes)-1].name] = w.partitions[leader.name]
		w.report.Replaced++
	case members.IsLearner(newest.id):
		change(raft.Promote, newest.id)
	default:
		change(raft.AddLearner, newest.id)
	}
	return true
}

// controlCall sends a router's lease request to a control node and passes the reply to done.
func (w *world) controlCall(from string, to *node, request controlapi.LeaseRequest, done func(controlapi.LeaseReply)) {
	w.send(from, to.name, func() {
		to.receive(func() {
			reply := to.core.Lease(to.clock(), request)
			w.send(to.name, from, func() { done(reply) })
		})
	})
}
