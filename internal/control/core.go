// Package control implements the control node: the replicated state machine on top of Raft,
// the leases of routers, and the rollout of configuration bundles.
//
// Core makes the decisions. It is driven by a single goroutine or by the simulator; Server
// connects it to sockets, clocks and disks.
package control

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
)

// ErrLeadershipChanged is passed to Done when the entry was replaced by one of another leader,
// or when the leader stepped down before the outcome was known. The command may still be
// applied: retry it with the same request ID.
var ErrLeadershipChanged = errors.New("leadership changed before the outcome was known")

// CoreConfig configures a Core.
type CoreConfig struct {
	Raft raft.Config
	// Initial is the membership of a new group.
	Initial raft.Membership
	// SnapshotEvery is the minimum number of applied entries between two snapshots.
	SnapshotEvery uint64
	// Lease is the duration of a router's lease.
	Lease time.Duration
	// OnNoSpace is called when the log could not be compacted for want of space. It may be nil.
	OnNoSpace func(error)
	// Bootstrap holds the operators whose signatures are valid before the first bundle.
	Bootstrap state.Trust
}

// Done receives the outcome of a proposal.
type Done func(state.Result, error)

type pendingProposal struct {
	term uint64
	done Done
}

// Core is the decision logic of a control node. It is not safe for concurrent use.
type Core struct {
	config  CoreConfig
	node    *raft.Node
	store   *storage.Storage
	machine *state.Machine
	// proposals holds the proposals without an outcome, by log index.
	proposals map[uint64]pendingProposal
	leases    leaseTable
	deltas    deltaCache
	// snapshotAt is the log index of the last snapshot.
	snapshotAt uint64
	// snapshotBytes is the size of the last snapshot, logBytes that of the entries applied
	// since.
	snapshotBytes int
	logBytes      int
	hard          raft.HardState
}

// NewCore opens the data directory and restores the last snapshot. now is the time at start.
func NewCore(config CoreConfig, fs vfs.FS, dir string, now time.Duration) (*Core, error) {
	store, stored, err := storage.Open(fs, dir)
	if err != nil {
		return nil, err
	}
	stored.Initial = config.Initial
	node, err := raft.NewNode(config.Raft, stored, now)
	if err != nil {
		return nil, err
	}
	c := &Core{config: config, node: node, store: store, machine: state.New(), proposals: map[uint64]pendingProposal{}, hard: stored.HardState}
	c.leases.reset(now)
	if s := stored.Snapshot; s != nil {
		if err := c.machine.Restore(s.Data); err != nil {
			return nil, err
		}
		c.snapshotAt, c.snapshotBytes = s.Index, len(s.Data)
	}
	return c, nil
}

// Close closes the data directory.
func (c *Core) Close() error { return c.store.Close() }

// Machine returns the replicated state machine, which callers must not modify.
func (c *Core) Machine() *state.Machine { return c.machine }

// Status returns the status of the Raft node.
func (c *Core) Status() raft.Status { return c.node.Status() }

// HoldsLease reports whether the node is the leader and its lease is valid at now.
func (c *Core) HoldsLease(now time.Duration) bool { return c.node.HoldsLease(now) }

// LeaseUntil returns the expiry of the leader's lease, or 0 if the node has none.
func (c *Core) LeaseUntil() time.Duration { return c.node.LeaseUntil() }

// Syncs returns the number of file syncs and of bytes written since the start.
func (c *Core) Syncs() (syncs, bytes uint64) { return c.store.Syncs, c.store.Bytes }

// Tick advances the clock to now and runs the timed work: elections, rollout and admission.
func (c *Core) Tick(now time.Duration) {
	c.node.Tick(now)
	c.trackLeadership(now)
	c.advanceRollout(now)
	c.admit(now)
}

// Step processes a Raft message.
func (c *Core) Step(now time.Duration, m raft.Message) {
	c.node.Step(now, m)
	c.trackLeadership(now)
}

// trackLeadership resets the lease table when the node becomes leader, and fails the pending
// proposals when it stops being leader.
func (c *Core) trackLeadership(now time.Duration) {
	role := c.node.Role()
	if role == raft.Leader && !c.leases.leading {
		c.leases.reset(now)
		c.leases.leading = true
	}
	if role != raft.Leader && c.leases.leading {
		c.leases.leading = false
		c.failProposals()
	}
}

func (c *Core) failProposals() {
	proposals := c.proposals
	c.proposals = map[uint64]pendingProposal{}
	for _, w := range proposals {
		w.done(state.Result{}, ErrLeadershipChanged)
	}
}

// Propose appends a command to the log. Done is called once the outcome is known. If Propose
// returns an error, nothing was appended and Done is not called.
func (c *Core) Propose(now time.Duration, command state.Command, done Done) error {
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	index, err := c.node.Propose(now, data)
	if err != nil {
		return err
	}
	c.proposals[index] = pendingProposal{term: c.node.Term(index), done: done}
	return nil
}

// Change proposes a membership change of the control group.
func (c *Core) Change(now time.Duration, change raft.Change) error {
	_, err := c.node.ProposeChange(now, change)
	return err
}

// TransferLeadership starts a transfer of leadership to the given node.
func (c *Core) TransferLeadership(to uint64) error { return c.node.TransferLeadership(to) }

// Pump persists all pending work, applies the committed entries and returns the messages to
// send. An error means that the disk failed. The node must then stop, as its votes and entries
// may not be durable.
func (c *Core) Pump(now time.Duration) ([]raft.Message, error) {
	var messages []raft.Message
	for c.node.HasReady() {
		ready := c.node.Ready()
		if err := c.store.Save(ready); err != nil {
			return nil, err
		}
		if ready.HardState != nil {
			c.hard = *ready.HardState
		}
		messages = append(messages, ready.Messages...)
		if err := c.apply(ready); err != nil {
			return nil, err
		}
		c.node.Advance(ready)
	}
	c.trackLeadership(now)
	return messages, c.maybeSnapshot()
}

func (c *Core) apply(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := c.machine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		c.snapshotAt, c.snapshotBytes, c.logBytes = ready.Snapshot.Index, len(ready.Snapshot.Data), 0
	}
	for _, e := range ready.Committed {
		var command []byte
		if e.Kind == raft.EntryCommand {
			command = e.Data
		}
		c.logBytes += len(e.Data)
		result, err := c.machine.Apply(e.Index, e.Term, command)
		if err != nil {
			return err
		}
		c.complete(e, result)
	}
	return nil
}

func (c *Core) complete(e raft.Entry, result state.Result) {
	w, ok := c.proposals[e.Index]
	if !ok {
		return
	}
	delete(c.proposals, e.Index)
	if w.term != e.Term {
		w.done(state.Result{}, ErrLeadershipChanged)
		return
	}
	w.done(result, nil)
}

// claimsPerEntry is the number of stored claims that raise the snapshot interval by one entry.
const claimsPerEntry = 4

// maxLogGrowth is the number of bytes by which the log may grow before it is compacted, however few
// its entries are: disks are small, and a start reads the whole log.
const maxLogGrowth = 4 << 20

// maybeSnapshot takes a snapshot when the log has grown enough by entries or by bytes.
func (c *Core) maybeSnapshot() error {
	if !c.hasManyEntries() && !c.hasManyBytes() {
		return nil
	}
	return c.Snapshot()
}

// hasManyEntries reports whether enough entries were applied since the last snapshot and their total
// size has reached that of the snapshot. The second condition keeps the bytes written for
// snapshots proportional to the size of the log, also while the state grows.
func (c *Core) hasManyEntries() bool {
	every := max(c.config.SnapshotEvery, uint64(c.machine.ClaimCount()/claimsPerEntry))
	return c.machine.Applied() >= c.snapshotAt+every && c.logBytes >= c.snapshotBytes
}

// hasManyBytes reports whether the log has grown by maxLogGrowth, and by as much as a compaction writes.
func (c *Core) hasManyBytes() bool {
	grown, compacted := c.store.LogGrowth()
	return c.machine.Applied() > c.snapshotAt && grown >= max(maxLogGrowth, compacted, int64(c.snapshotBytes))
}

// Snapshot persists the current state and compacts the log. If there is no space for that, the log
// remains as it is until the next snapshot is due.
func (c *Core) Snapshot() error {
	applied := c.machine.Applied()
	data, err := c.machine.Snapshot()
	if err != nil {
		return err
	}
	s := &raft.Snapshot{Index: applied, Term: c.node.Term(applied), Membership: c.node.MembershipAt(applied), Data: data}
	c.node.Compact(s)
	c.snapshotAt, c.snapshotBytes, c.logBytes = applied, len(data), 0
	err = c.store.SaveSnapshot(s, c.hard, c.node.Stable())
	if !errors.Is(err, storage.ErrNoSpace) {
		return err
	}
	if c.config.OnNoSpace != nil {
		c.config.OnNoSpace(err)
	}
	return nil
}
