package storage

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/raft"
)

// smallDisk is a disk with the files of one directory and a limit on their size.
type smallDisk struct {
	vfs.FS
	t    *testing.T
	dir  string
	size int
}

func newSmallDisk(t *testing.T, size int) *smallDisk {
	return &smallDisk{FS: vfs.Default, t: t, dir: filepath.Join(t.TempDir(), dataDir), size: size}
}

func (d *smallDisk) used() int {
	used := 0
	files, err := os.ReadDir(d.dir)
	assert.NilError(d.t, err)
	for _, f := range files {
		info, err := f.Info()
		assert.NilError(d.t, err)
		used += int(info.Size())
	}
	return used
}

func (d *smallDisk) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := d.FS.Create(name, category)
	return smallDiskFile{file, d}, err
}

func (d *smallDisk) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	file, err := d.FS.OpenReadWrite(name, category, options...)
	return smallDiskFile{file, d}, err
}

// smallDiskFile writes as much as there is space for.
type smallDiskFile struct {
	vfs.File
	disk *smallDisk
}

func (f smallDiskFile) Truncate(size int64) error { return f.File.(truncater).Truncate(size) }

func (f smallDiskFile) Write(data []byte) (int, error) {
	return f.write(data, 0, f.File.Write)
}

func (f smallDiskFile) WriteAt(data []byte, at int64) (int, error) {
	info, err := f.File.Stat()
	assert.NilError(f.disk.t, err)
	return f.write(data, max(0, int(info.Size()-at)), func(part []byte) (int, error) { return f.File.WriteAt(part, at) })
}

// write writes data, some bytes of which replace others.
func (f smallDiskFile) write(data []byte, replaced int, write func([]byte) (int, error)) (int, error) {
	space := max(0, f.disk.size-f.disk.used()) + replaced
	if len(data) <= space {
		return write(data)
	}
	count, err := write(data[:space])
	assert.NilError(f.disk.t, err)
	return count, unix.ENOSPC
}

// largeEntries have a kilobyte of data each.
func largeEntries(from, to uint64) []raft.Entry {
	list := entries(from, to, 1)
	for i := range list {
		list[i].Data = json.RawMessage(`"` + string(bytes.Repeat([]byte("x"), 1022)) + `"`)
	}
	return list
}

// fillDisk opens the disk and saves one entry after the other until there is no space for another. It returns how
// many were saved.
func fillDisk(t *testing.T, d *smallDisk) uint64 {
	s, _, err := Open(d, d.dir)
	assert.NilError(t, err)
	for i := uint64(1); ; i++ {
		if err := s.Save(raft.Ready{HardState: &raft.HardState{Term: 1, Commit: i - 1}, Entries: largeEntries(i, i)}); err != nil {
			assert.Assert(t, vfs.IsNoSpaceError(err), "%v", err)
			assert.NilError(t, s.Close())
			return i - 1
		}
	}
}

// Guards against a log of more than half of the disk that can never be opened again.
func TestLogThatFillsDiskIsOpenedAgain(t *testing.T) {
	d := newSmallDisk(t, 64<<10)
	count := fillDisk(t, d)
	assert.Assert(t, count > 50)
	for range 3 {
		s, stored, err := Open(d, d.dir)
		assert.NilError(t, err)
		assert.Equal(t, uint64(len(stored.Entries)), count)
		assert.Equal(t, stored.HardState.Commit, count-1)
		assert.NilError(t, s.Close())
	}
}

// Guards against a compaction without space that ends in an unreadable log or a storage that has failed.
func TestCompactionWithoutSpaceLeavesLog(t *testing.T) {
	for _, data := range []int{8 << 10, 128 << 10} { // the log does not fit, the snapshot does not fit
		d := newSmallDisk(t, 64<<10)
		s, _, err := Open(d, d.dir)
		assert.NilError(t, err)
		hard := raft.HardState{Term: 1, Commit: 40}
		save(t, s, hard, largeEntries(1, 40)...)
		snapshot := &raft.Snapshot{Index: 10, Term: 1, Data: json.RawMessage(`"` + string(bytes.Repeat([]byte("s"), data)) + `"`)}
		err = s.SaveSnapshot(snapshot, hard, largeEntries(11, 40))
		assert.Assert(t, errors.Is(err, ErrNoSpace), "%v", err)
		grown, _ := s.LogGrowth()
		assert.Equal(t, grown, int64(0))
		save(t, s, raft.HardState{Term: 2, Commit: 40}, entry(41, 2))
		_, err = os.Stat(filepath.Join(d.dir, logName+tempSuffix))
		assert.Assert(t, os.IsNotExist(err))
		assert.NilError(t, s.Close())

		s, stored, err := Open(d, d.dir)
		assert.NilError(t, err)
		last := stored.Entries[len(stored.Entries)-1]
		assert.Equal(t, last.Index, uint64(41))
		assert.Equal(t, stored.HardState, raft.HardState{Term: 2, Commit: 40})
		d.size = 1 << 20
		assert.NilError(t, s.SaveSnapshot(snapshot, stored.HardState, append(largeEntries(11, 40), entry(41, 2))))
		assert.NilError(t, s.Close())
	}
}

// A replacement that was interrupted leaves a file that may take all space.
func TestOpenRemovesInterruptedReplacement(t *testing.T) {
	d := newSmallDisk(t, 64<<10)
	s, _, err := Open(d, d.dir)
	assert.NilError(t, err)
	save(t, s, raft.HardState{Term: 1}, entries(1, 3, 1)...)
	assert.NilError(t, s.Close())
	assert.NilError(t, os.WriteFile(filepath.Join(d.dir, logName+tempSuffix), make([]byte, 64<<10-d.used()), 0o600))
	s, stored, err := Open(d, d.dir)
	assert.NilError(t, err)
	assert.Equal(t, len(stored.Entries), 3)
	save(t, s, raft.HardState{Term: 1}, largeEntries(4, 10)...)
	assert.NilError(t, s.Close())
}

// A log that is continued behind a torn batch must be read by this build and by older ones, which replace it at each
// start.
func TestLogIsContinuedBehindTornBatch(t *testing.T) {
	for _, tail := range []string{"", "0", "00000000 {}\n", string(make([]byte, 5000))} {
		d := newSmallDisk(t, 1<<20)
		s, _, err := Open(d, d.dir)
		assert.NilError(t, err)
		save(t, s, raft.HardState{Term: 1}, entries(1, 3, 1)...)
		whole, err := os.ReadFile(filepath.Join(d.dir, logName))
		assert.NilError(t, err)
		save(t, s, raft.HardState{Term: 2}, largeEntries(4, 8)...)
		assert.NilError(t, s.Close())
		log, err := os.ReadFile(filepath.Join(d.dir, logName))
		assert.NilError(t, err)
		// The last batch without its last record.
		torn := append(log[:bytes.LastIndexByte(log[:len(log)-1], '\n')+1], tail...)
		assert.NilError(t, os.WriteFile(filepath.Join(d.dir, logName), torn, 0o600))

		s, stored, err := Open(d, d.dir)
		assert.NilError(t, err)
		assert.Equal(t, len(stored.Entries), 3)
		continued, err := os.ReadFile(filepath.Join(d.dir, logName))
		assert.NilError(t, err)
		assert.DeepEqual(t, continued, whole)
		save(t, s, raft.HardState{Term: 3}, entries(3, 5, 3)...)
		save(t, s, raft.HardState{Term: 3, Commit: 5}, entries(6, 6, 3)...)
		assert.NilError(t, s.Close())

		stored, remains, err := Read(vfs.Default, d.dir)
		assert.NilError(t, err)
		assert.Equal(t, remains, 0)
		assert.Equal(t, stored.HardState, raft.HardState{Term: 3, Commit: 5})
		assert.Equal(t, len(stored.Entries), 6)
		assert.Equal(t, stored.Entries[2].Term, uint64(3))
	}
}

// A start must not write as many bytes as the log has.
func TestOpenWritesNoCopyOfLog(t *testing.T) {
	fs := vfs.NewCrashableMem()
	s, _, err := Open(fs, dataDir)
	assert.NilError(t, err)
	for i := range uint64(10) {
		save(t, s, raft.HardState{Term: 1, Commit: 1}, largeEntries(1+10*i, 10+10*i)...)
	}
	s, _, err = Open(fs, dataDir)
	assert.NilError(t, err)
	assert.Equal(t, s.Syncs, uint64(1))
	grown, _ := s.LogGrowth()
	assert.Assert(t, grown > 100<<10)
	assert.Assert(t, s.Bytes < uint64(grown)/8, "%d bytes of %d", s.Bytes, grown)
}

// uncertainDisk holds what a sync that failed did not write for written, as the system does.
type uncertainDisk struct {
	*vfs.MemFS
	failing, dirty bool
}

func (d *uncertainDisk) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := d.MemFS.Create(name, category)
	return uncertainFile{file, d}, err
}

func (d *uncertainDisk) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	file, err := d.MemFS.OpenReadWrite(name, category, options...)
	return uncertainFile{file, d}, err
}

type uncertainFile struct {
	vfs.File
	disk *uncertainDisk
}

func (f uncertainFile) Write(data []byte) (int, error) {
	f.disk.dirty = true
	return f.File.Write(data)
}

func (f uncertainFile) WriteAt(data []byte, at int64) (int, error) {
	f.disk.dirty = true
	return f.File.WriteAt(data, at)
}

func (f uncertainFile) SyncData() error { return f.Sync() }

func (f uncertainFile) Sync() error {
	dirty := f.disk.dirty
	f.disk.dirty = false
	switch {
	case f.disk.failing:
		return unix.EIO
	case dirty:
		return f.File.Sync()
	}
	return nil
}

// Guards against a batch that is read, and acknowledged, after a sync that failed, and lost with the machine.
func TestOpenMakesBatchOfFailedSyncDurable(t *testing.T) {
	d := &uncertainDisk{MemFS: vfs.NewCrashableMem()}
	s, _, err := Open(d, dataDir)
	assert.NilError(t, err)
	save(t, s, raft.HardState{Term: 1, Commit: 1}, entries(1, 3, 1)...)
	d.failing = true
	assert.Assert(t, s.Save(raft.Ready{Entries: entries(4, 5, 1)}) != nil)
	d.failing = false
	_, stored, err := Open(d, dataDir)
	assert.NilError(t, err)
	_, durable, err := Open(d.CrashClone(vfs.CrashCloneCfg{}), dataDir)
	assert.NilError(t, err)
	assert.Equal(t, len(durable.Entries), len(stored.Entries))
}

// A process that was killed may have written records without a sync, which the next one reads.
func TestOpenSyncsRecordsOfKilledProcess(t *testing.T) {
	fs := newFilledDir(t)
	data := readLog(t, fs)
	s := &Storage{batches: 3}
	lines := s.encodeBatch(nil, entries(7, 8, 2))
	file, err := fs.OpenReadWrite(fs.PathJoin(dataDir, logName), vfs.WriteCategoryUnspecified)
	assert.NilError(t, err)
	_, err = file.WriteAt(lines, int64(len(data)))
	assert.NilError(t, err)
	for range 2 {
		_, stored, err := Open(fs, dataDir)
		assert.NilError(t, err)
		assert.Equal(t, len(stored.Entries), 8)
		fs = fs.CrashClone(vfs.CrashCloneCfg{})
	}
}
