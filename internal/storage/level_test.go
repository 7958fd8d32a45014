package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/raft"
)

// levelDir returns the directory that a build of the given level wrote. It has a snapshot at
// index 3 and entries 4 to 6 of two terms.
func levelDir(level string) string { return filepath.Join("testdata", "level-"+level) }

func writeLevel(t *testing.T, dir string) {
	s, _, err := Open(vfs.Default, dir)
	assert.NilError(t, err)
	assert.NilError(t, s.Save(raft.Ready{HardState: &raft.HardState{Term: 2, Vote: 7, Commit: 3, LedTerm: 2}, Entries: entries(1, 4, 2)}))
	snapshot := &raft.Snapshot{Index: 3, Term: 2, Membership: raft.Membership{Voters: []uint64{7, 8, 9}, Addresses: map[uint64]string{7: "10.0.0.7:1"}}, Data: []byte(`{"applied":3}`)}
	assert.NilError(t, s.SaveSnapshot(snapshot, raft.HardState{Term: 2, Vote: 7, Commit: 4, LedTerm: 2}, entries(4, 4, 2)))
	assert.NilError(t, s.Save(raft.Ready{HardState: &raft.HardState{Term: 3, Vote: 8, Commit: 5, LedTerm: 2}, Entries: entries(5, 6, 3)}))
	assert.NilError(t, s.Close())
}

// A build must read the files of all earlier levels. WRITE_LEVEL_FOLDER=N writes the directory of
// a new level N; those of released levels must not change.
func TestReadDirectoriesOfAllLevels(t *testing.T) {
	if level := os.Getenv("WRITE_LEVEL_FOLDER"); level != "" {
		writeLevel(t, levelDir(level))
	}
	for _, level := range []string{"1", "2"} {
		dir := t.TempDir()
		assert.NilError(t, os.CopyFS(dir, os.DirFS(levelDir(level))))
		s, stored, err := Open(vfs.Default, dir)
		assert.NilError(t, err, "level %s", level)
		assert.DeepEqual(t, stored.HardState, raft.HardState{Term: 3, Vote: 8, Commit: 5, LedTerm: 2})
		assert.Equal(t, stored.Snapshot.Index, uint64(3))
		assert.DeepEqual(t, stored.Snapshot.Membership.Voters, []uint64{7, 8, 9})
		assert.Equal(t, string(stored.Snapshot.Data), `{"applied":3}`)
		var indexes []uint64
		for _, e := range stored.Entries {
			indexes = append(indexes, e.Index)
		}
		assert.DeepEqual(t, indexes, []uint64{4, 5, 6})
		assert.NilError(t, s.Close())
	}
}
