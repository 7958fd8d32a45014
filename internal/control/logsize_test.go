package control

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
)

// restart returns the leader of a group of one node that has applied its log.
func restart(t *testing.T, fs vfs.FS) *Core {
	t.Helper()
	c := newSingleNode(t, fs)
	_, err := c.Pump(time.Second)
	assert.NilError(t, err)
	return c
}

const documentSize = 700 << 10

func configureCommand(version uint64) state.Command {
	document := json.RawMessage(`{"routes":"` + strings.Repeat("r", documentSize) + `"}`)
	return state.Command{Configure: &state.Configure{Version: version, Document: document}}
}

// configure commits large configurations and returns the largest size of the data directory in between.
func configure(t *testing.T, c *Core, fs vfs.FS, from, to uint64) int64 {
	t.Helper()
	largest := int64(0)
	for version := from; version <= to; version++ {
		assert.NilError(t, c.Propose(time.Second, configureCommand(version), func(state.Result, error) {}))
		_, err := c.Pump(time.Second)
		assert.NilError(t, err)
		largest = max(largest, directorySize(t, fs))
	}
	assert.Equal(t, c.Machine().Deployment().Version, to)
	return largest
}

func directorySize(t *testing.T, fs vfs.FS) int64 {
	t.Helper()
	size := int64(0)
	names, err := fs.List("data")
	assert.NilError(t, err)
	for _, name := range names {
		info, err := fs.Stat(fs.PathJoin("data", name))
		assert.NilError(t, err)
		size += info.Size()
	}
	return size
}

// maxDirectorySize is the size of a log that is due for compaction with what the last one retained, an entry
// and the snapshot.
const maxDirectorySize = maxLogGrowth + 2<<20 + 3*documentSize

// Guards against logs of few large entries that fill the disk.
func TestLogOfLargeConfigurationsIsCompacted(t *testing.T) {
	fs := vfs.NewMem()
	c := newSingleNode(t, fs)
	largest := configure(t, c, fs, 1, 60)
	assert.Assert(t, largest <= maxDirectorySize, "%d bytes", largest)
	_, written := c.Syncs()
	assert.Assert(t, written < 3*60*documentSize, "%d bytes", written)
	assert.NilError(t, c.Close())
	for version := uint64(60); version < 64; version++ {
		c = restart(t, fs)
		assert.Equal(t, c.Machine().Deployment().Version, version)
		largest = configure(t, c, fs, version+1, version+1)
		assert.Assert(t, largest <= maxDirectorySize, "%d bytes", largest)
		assert.NilError(t, c.Close())
	}
}

// A large log of a build that compacts by entries alone must be compacted at the start.
func TestLargeLogIsCompactedAtStart(t *testing.T) {
	fs := vfs.NewMem()
	store, _, err := storage.Open(fs, "data")
	assert.NilError(t, err)
	for version := uint64(1); version <= 40; version++ {
		data, err := json.Marshal(configureCommand(version))
		assert.NilError(t, err)
		entry := raft.Entry{Index: version, Term: 1, Kind: raft.EntryCommand, Data: data}
		assert.NilError(t, store.Save(raft.Ready{HardState: &raft.HardState{Term: 1, Vote: 1, Commit: version - 1, LedTerm: 1}, Entries: []raft.Entry{entry}}))
	}
	assert.NilError(t, store.Close())
	assert.Assert(t, directorySize(t, fs) > 25<<20)
	c := restart(t, fs)
	assert.Equal(t, c.Machine().Deployment().Version, uint64(40))
	size := directorySize(t, fs)
	assert.Assert(t, size <= maxDirectorySize, "%d bytes", size)
}

// Guards against a core that fails because a compaction has no space, and against an attempt at each entry.
func TestCoreWorksWhileLogCannotBeCompacted(t *testing.T) {
	disk := vfs.NewMem()
	full := false
	fs := errorfs.Wrap(disk, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full && op.Kind == errorfs.OpFileWrite && strings.HasSuffix(op.Path, ".new") {
			return unix.ENOSPC
		}
		return nil
	}))
	c := newSingleNode(t, fs)
	reported := 0
	c.config.OnNoSpace = func(error) { reported++ }
	full = true
	configure(t, c, fs, 1, 30)
	assert.Assert(t, reported >= 2 && reported <= 5, "%d attempts", reported)
	full = false
	configure(t, c, fs, 31, 40)
	size := directorySize(t, disk)
	assert.Assert(t, size <= maxDirectorySize, "%d bytes", size)
	restarted := restart(t, disk)
	assert.Equal(t, restarted.Machine().Deployment().Version, uint64(40))
}
