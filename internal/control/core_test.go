package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// newSingleNode returns the leader of a group of one node.
func newSingleNode(t *testing.T, fs vfs.FS) *Core {
	t.Helper()
	config := CoreConfig{SnapshotEvery: 256, Initial: raft.Membership{Voters: []uint64{1}},
		Raft: raft.Config{ID: 1, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond,
			LeaseDuration: 50 * time.Millisecond, Random: rand.New(rand.NewPCG(1, 1))}}
	c, err := NewCore(config, fs, "data", 0)
	assert.NilError(t, err)
	for now := time.Duration(0); c.Status().Role != raft.Leader; now += 10 * time.Millisecond {
		c.Tick(now)
		_, err := c.Pump(now)
		assert.NilError(t, err)
	}
	return c
}

// enrolBackends commits one entry per back end.
func enrolBackends(t *testing.T, c *Core, count int) {
	t.Helper()
	for i := range count {
		row := state.Backend{ID: fmt.Sprintf("i-%010x", i*7919), Pool: "llm", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Zone: "east",
			Slots: 16, Weights: map[string]int{"m": 1}}
		err := c.Propose(time.Second, state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}}, func(state.Result, error) {})
		assert.NilError(t, err)
		_, err = c.Pump(time.Second)
		assert.NilError(t, err)
	}
}

// Guards against snapshots of the whole state at a fixed interval, which write a number of
// bytes quadratic in the number of back ends.
func TestSnapshotBytesGrowLinearlyWithBackends(t *testing.T) {
	written := func(count int) uint64 {
		c := newSingleNode(t, vfs.NewMem())
		enrolBackends(t, c, count)
		_, bytes := c.Syncs()
		return bytes
	}
	few, many := written(5000), written(10000)
	t.Logf("%d and %d bytes", few, many)
	assert.Assert(t, many < 3*few, "%d bytes for 5,000 back ends, %d for 10,000", few, many)
}

// A restarted node must use the size of the snapshot on disk to schedule the next one.
func TestCoreRestoresSnapshotSizeAfterRestart(t *testing.T) {
	fs := vfs.NewMem()
	c := newSingleNode(t, fs)
	enrolBackends(t, c, 3000)
	assert.NilError(t, c.Snapshot())
	size := c.snapshotBytes
	assert.NilError(t, c.Close())
	restarted := newSingleNode(t, fs)
	assert.Equal(t, restarted.snapshotBytes, size)
	enrolBackends(t, restarted, 300)
	assert.Assert(t, restarted.snapshotAt < restarted.machine.Applied()-256, "new snapshot after %d bytes", restarted.logBytes)
}
