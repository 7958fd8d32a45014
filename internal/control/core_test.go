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

// newAlone returns a core that is its own group and leads.
func newAlone(t *testing.T, fs vfs.FS) *Core {
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

// enrolEach commits an entry for each back end.
func enrolEach(t *testing.T, c *Core, count int) {
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

// A snapshot of all rows for each 256 entries wrote 9.8 MB while 5,000 back ends
// registered one by one and 35 MB while 10,000 did: with the square of their number.
func TestSnapshotsWriteNoMoreThanTheLog(t *testing.T) {
	written := func(count int) uint64 {
		c := newAlone(t, vfs.NewMem())
		enrolEach(t, c, count)
		_, bytes := c.Syncs()
		return bytes
	}
	few, many := written(5000), written(10000)
	t.Logf("%d and %d bytes", few, many)
	assert.Assert(t, many < 3*few, "%d bytes for 5,000 back ends, %d for 10,000", few, many)
}

// A node that starts again counts on from the snapshot it finds.
func TestTheSizeOfTheLastSnapshotIsKnownAfterAStart(t *testing.T) {
	fs := vfs.NewMem()
	c := newAlone(t, fs)
	enrolEach(t, c, 3000)
	assert.NilError(t, c.Snapshot())
	size := c.snapshotBytes
	assert.NilError(t, c.Close())
	again := newAlone(t, fs)
	assert.Equal(t, again.snapshotBytes, size)
	enrolEach(t, again, 300)
	assert.Assert(t, again.snapshotAt < again.machine.Applied()-256, "it was taken again after %d bytes", again.logBytes)
}
