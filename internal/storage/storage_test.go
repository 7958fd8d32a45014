package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/raft"
)

const dataDir = "data"

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: json.RawMessage(fmt.Sprintf(`{"n":%d}`, index))}
}

func entries(from, to, term uint64) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func save(t *testing.T, s *Storage, hard raft.HardState, list ...raft.Entry) {
	t.Helper()
	assert.NilError(t, s.Save(raft.Ready{HardState: &hard, Entries: list}))
}

func readLog(t *testing.T, fs vfs.FS) []byte {
	t.Helper()
	file, err := fs.Open(fs.PathJoin(dataDir, logName))
	assert.NilError(t, err)
	defer file.Close()
	data, err := io.ReadAll(file)
	assert.NilError(t, err)
	return data
}

func writeLog(t *testing.T, fs vfs.FS, data []byte) {
	t.Helper()
	file, err := fs.Create(fs.PathJoin(dataDir, logName), vfs.WriteCategoryUnspecified)
	assert.NilError(t, err)
	// MemFS modifies the written buffer under the race detector.
	_, err = file.Write(bytes.Clone(data))
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
}

// newFilledDir returns a file system with a data directory whose log has three batches.
func newFilledDir(t *testing.T) *vfs.MemFS {
	t.Helper()
	fs := vfs.NewCrashableMem()
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	save(t, s, raft.HardState{Term: 1, Vote: 2}, entries(1, 3, 1)...)
	save(t, s, raft.HardState{Term: 2, Vote: 1, Commit: 3}, entries(4, 6, 2)...)
	return fs
}

func TestSavedStateSurvivesCrash(t *testing.T) {
	fs := newFilledDir(t).CrashClone(vfs.CrashCloneCfg{})
	_, stored, err := Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, stored.HardState, raft.HardState{Term: 2, Vote: 1, Commit: 3})
	assert.Equal(t, len(stored.Entries), 6)
}

func TestSavedEntriesReplaceConflictingOnes(t *testing.T) {
	fs := newFilledDir(t)
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	save(t, s, raft.HardState{Term: 3, Commit: 3}, entry(5, 3))
	_, stored, err := Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, len(stored.Entries), 5)
	assert.Equal(t, stored.Entries[4].Term, uint64(3))
}

func TestTornLastBatchIsDropped(t *testing.T) {
	whole := readLog(t, newFilledDir(t))
	second := bytes.Index(whole, []byte(`"batch":2`)) - checksumDigits - 2
	third := bytes.Index(whole, []byte(`"batch":3`)) - checksumDigits - 2
	assert.Assert(t, 0 < second && second < third)
	for cut := third + 1; cut < len(whole); cut++ {
		fs := newFilledDir(t)
		writeLog(t, fs, whole[:cut])
		_, stored, err := Open(fs, dataDir)
		assert.NilError(t, err, "cut at byte %d", cut)
		assert.Equal(t, len(stored.Entries), 3, "cut at byte %d", cut)
		assert.Equal(t, stored.HardState.Term, uint64(1), "cut at byte %d", cut)
	}
}

func TestHoleInLastBatchIsDropped(t *testing.T) {
	fs := newFilledDir(t)
	data := readLog(t, fs)
	hole := bytes.Index(data, []byte(`"index":4`))
	clear(data[hole : hole+20])
	writeLog(t, fs, data)
	_, stored, err := Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, len(stored.Entries), 3)
}

func TestHoleInEarlierBatchIsCorruption(t *testing.T) {
	fs := newFilledDir(t)
	data := readLog(t, fs)
	hole := bytes.Index(data, []byte(`"index":2`))
	data[hole] ^= 1
	writeLog(t, fs, data)
	_, _, err := Open(fs, dataDir)
	assert.Assert(t, errors.Is(err, ErrCorrupt), "%v", err)
	assert.DeepEqual(t, readLog(t, fs), data) // the file was not changed
}

func TestLogShorterThanCommitIsCorruption(t *testing.T) {
	fs := vfs.NewCrashableMem()
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	save(t, s, raft.HardState{Term: 1, Commit: 9}, entries(1, 3, 1)...)
	_, _, err = Open(fs, dataDir)
	assert.Assert(t, errors.Is(err, ErrCorrupt), "%v", err)
}

func TestSnapshotReplacesConflictingLog(t *testing.T) {
	fs := newFilledDir(t)
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	hard := raft.HardState{Term: 4, Commit: 6}
	snapshot := &raft.Snapshot{Index: 6, Term: 4, Data: json.RawMessage(`{}`)}
	// Only the snapshot was written, as by a crash before the log was replaced.
	assert.NilError(t, s.writeSnapshot(snapshot))
	_, stored, err := Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, len(stored.Entries), 0)

	s, _, err = Open(fs, dataDir)
	assert.NilError(t, err)
	assert.NilError(t, s.Save(raft.Ready{HardState: &hard, Snapshot: snapshot}))
	_, stored, err = Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, stored.Snapshot.Index, uint64(6))
	assert.Equal(t, stored.HardState, hard)
}

func TestDamagedSnapshotIsCorruption(t *testing.T) {
	fs := newFilledDir(t)
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	assert.NilError(t, s.writeSnapshot(&raft.Snapshot{Index: 6, Term: 2, Data: json.RawMessage(`{}`)}))
	file, err := fs.Create(fs.PathJoin(dataDir, snapshotName), vfs.WriteCategoryUnspecified)
	assert.NilError(t, err)
	_, err = file.Write([]byte("0000000f {\"index\":6}\n"))
	assert.NilError(t, err)
	_, _, err = Open(fs, dataDir)
	assert.Assert(t, errors.Is(err, ErrCorrupt), "%v", err)
}

func TestSaveFailsAfterWriteError(t *testing.T) {
	fs := newFilledDir(t)
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	s.failed = errors.New("disk full")
	assert.ErrorContains(t, s.Save(raft.Ready{HardState: &raft.HardState{Term: 9}}), "disk full")
}

func FuzzDecodeLog(f *testing.F) {
	f.Add([]byte("00000000 {}\n"))
	f.Add([]byte("x\ny\n"))
	f.Add(appendLine(nil, record{Batch: 1, Hard: &raft.HardState{Term: 1}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, torn, err := decodeLog(data)
		assert.Assert(t, torn <= len(data))
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrCorrupt))
		}
		if count := len(records); count > 0 && err == nil {
			assert.Equal(t, records[count-1].Remaining, 0)
		}
	})
}
