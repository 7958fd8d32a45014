// Package storage stores a consensus node's hard state, log and snapshots in a data directory.
//
// The log is a file of JSON lines, each preceded by its CRC-32C. Records are acknowledged only
// after the file was synced. A damaged record in the last batch is therefore taken for a write
// that a crash interrupted, and the batch is dropped. A damaged record before a later batch is
// a disk fault: Open fails with ErrCorrupt.
package storage

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/raft"
)

// File names in the data directory.
const (
	logName      = "log.jsonl"
	snapshotName = "snapshot.jsonl"
	tempSuffix   = ".new"
)

// ErrCorrupt is returned if synced records are damaged or missing. The node must be replaced, not
// restarted.
var ErrCorrupt = errors.New("stored state is corrupt")

// ErrNoSpace marks a failure to replace a file for want of space. The file was not changed.
var ErrNoSpace = errors.New("no space to replace a file")

// record is one line of the log file. Exactly one of Hard and Entry is set.
//
// Records that are written and synced together form a batch. After a crash any part of the last
// batch may be missing, but no part of an earlier one.
type record struct {
	Batch uint64 `json:"batch"`
	// Remaining is the number of records of the batch that follow.
	Remaining int             `json:"left,omitempty"`
	Hard      *raft.HardState `json:"hard,omitempty"`
	Entry     *raft.Entry     `json:"entry,omitempty"`
}

// encodeBatch encodes the hard state and entries as the next batch.
func (s *Storage) encodeBatch(hard *raft.HardState, entries []raft.Entry) []byte {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	var lines []byte
	s.batches++
	remaining := len(entries)
	if hard != nil {
		lines = appendLine(lines, record{Batch: s.batches, Remaining: remaining, Hard: hard})
	}
	for i := range entries {
		remaining--
		lines = appendLine(lines, record{Batch: s.batches, Remaining: remaining, Entry: &entries[i]})
	}
	return lines
}

// Storage is an open data directory. It is not safe for concurrent use.
type Storage struct {
	fs     vfs.FS
	dir    string
	log    vfs.File
	failed error
	// batches is the number of the last batch in the log file.
	batches uint64
	// size is that of the log file, and replacedSize was that when it was last replaced, 0 if it
	// has not been since the start.
	size, replacedSize int64
	// attemptedSize was the size after the last replacement or failure to replace the file.
	attemptedSize int64
	// Syncs and Bytes count the file syncs and the bytes written, for metrics.
	Syncs uint64
	Bytes uint64
}

// Open opens a data directory, creating it if needed, and returns the state stored in it. It needs no
// space for another copy of the log.
func Open(fs vfs.FS, dir string) (*Storage, raft.StoredState, error) {
	s := &Storage{fs: fs, dir: dir}
	if err := makeDir(fs, dir); err != nil {
		return nil, raft.StoredState{}, err
	}
	if err := s.removeTemporary(); err != nil {
		return nil, raft.StoredState{}, err
	}
	c, err := read(fs, dir)
	if err != nil {
		return nil, raft.StoredState{}, err
	}
	if len(c.stored.Entries) == 0 {
		// What the file has precedes the snapshot or conflicts with it.
		err = s.rewrite(c.stored.HardState, nil)
	} else {
		err = s.resume(c)
	}
	if err != nil {
		return nil, raft.StoredState{}, errors.CombineErrors(err, s.Close())
	}
	return s, c.stored, nil
}

// removeTemporary removes the files that interrupted replacements left.
func (s *Storage) removeTemporary() error {
	for _, name := range []string{logName, snapshotName} {
		err := s.fs.Remove(s.fs.PathJoin(s.dir, name+tempSuffix))
		if err != nil && !oserror.IsNotExist(err) {
			return errors.Wrap(err, "remove temporary file")
		}
	}
	return nil
}

// truncater is implemented by the files of the operating system.
type truncater interface{ Truncate(size int64) error }

// resume continues the log file behind its last complete batch.
func (s *Storage) resume(c contents) error {
	file, err := s.fs.OpenReadWrite(s.fs.PathJoin(s.dir, logName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	s.log, s.size, s.batches = file, c.size, c.batches
	if c.torn > 0 {
		t, ok := file.(truncater)
		if !ok {
			return s.rewrite(c.stored.HardState, c.stored.Entries)
		}
		if err := t.Truncate(c.size); err != nil {
			return errors.Wrap(err, "truncate log")
		}
	}
	// A process that was killed may have left records that are not synced. After a sync that failed the system
	// may hold the last batch for written, which another sync alone does not write.
	if _, err := file.WriteAt(c.last, c.size-int64(len(c.last))); err != nil {
		return errors.Wrap(err, "write last batch")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	s.Syncs++
	s.Bytes += uint64(len(c.last))
	return syncDir(s.fs, s.dir)
}

// contents is what a data directory holds.
type contents struct {
	stored raft.StoredState
	// size is that of the complete batches of the log, batches the number of the last one, and
	// torn the number of bytes that follow.
	size    int64
	batches uint64
	torn    int
	// last are the lines of the last complete batch.
	last []byte
}

// Read returns the state stored in a data directory without changing it. Torn is the number of
// bytes at the end of the log that are not of a complete batch.
func Read(fs vfs.FS, dir string) (stored raft.StoredState, torn int, err error) {
	c, err := read(fs, dir)
	return c.stored, c.torn, err
}

func read(fs vfs.FS, dir string) (c contents, err error) {
	if c.stored.Snapshot, err = readSnapshot(fs, fs.PathJoin(dir, snapshotName)); err != nil {
		return c, err
	}
	data, err := readFile(fs, fs.PathJoin(dir, logName))
	if err != nil {
		return c, err
	}
	records, torn, err := decodeLog(data)
	c.torn, c.size = torn, int64(len(data)-torn)
	if err != nil {
		return c, errors.Wrap(err, logName)
	}
	if count := len(records); count > 0 {
		c.batches = records[count-1].Batch
		c.last = lastBatch(data[:c.size], records)
	}
	return c, replay(&c.stored, records)
}

// replay builds the stored state from the log's records.
func replay(stored *raft.StoredState, records []record) error {
	offset := uint64(0)
	if stored.Snapshot != nil {
		offset = stored.Snapshot.Index
	}
	var entries []raft.Entry
	for _, r := range records {
		if r.Hard != nil {
			stored.HardState = *r.Hard
		}
		if r.Entry != nil {
			entries = placeEntry(entries, *r.Entry)
		}
	}
	entries = entriesAfter(entries, stored.Snapshot)
	for i := range entries {
		if entries[i].Index != offset+1+uint64(i) {
			return errors.Wrapf(ErrCorrupt, "found entry %d, want entry %d", entries[i].Index, offset+1+uint64(i))
		}
	}
	last := offset + uint64(len(entries))
	if stored.HardState.Commit > last {
		return errors.Wrapf(ErrCorrupt, "entry %d was committed but the log ends at %d", stored.HardState.Commit, last)
	}
	stored.Entries = entries
	return nil
}

// entriesAfter returns the entries that follow the snapshot. If the log has an entry of another
// term at the snapshot's index, the whole log predates the received snapshot and is dropped.
func entriesAfter(entries []raft.Entry, snapshot *raft.Snapshot) []raft.Entry {
	if snapshot == nil {
		return entries
	}
	kept := make([]raft.Entry, 0, len(entries))
	for _, e := range entries {
		if e.Index == snapshot.Index && e.Term != snapshot.Term {
			return nil
		}
		if e.Index > snapshot.Index {
			kept = append(kept, e)
		}
	}
	return kept
}

// placeEntry puts an entry at its index, and drops the entry that was there and all later ones.
func placeEntry(entries []raft.Entry, e raft.Entry) []raft.Entry {
	if len(entries) == 0 {
		return append(entries, e)
	}
	first := entries[0].Index
	if e.Index < first {
		return append(entries[:0], e)
	}
	return append(entries[:min(e.Index-first, uint64(len(entries)))], e)
}

// Save makes the HardState, Snapshot and Entries of r durable. After an error all further writes
// fail with the same error, since the content of the disk is unknown.
func (s *Storage) Save(r raft.Ready) error {
	if s.failed != nil {
		return s.failed
	}
	s.failed = s.save(r)
	return s.failed
}

func (s *Storage) save(r raft.Ready) error {
	if r.Snapshot != nil {
		// A received snapshot replaces the whole log. If a crash between the two writes
		// leaves old entries behind, replay drops them.
		if err := s.writeSnapshot(r.Snapshot); err != nil {
			return err
		}
		return s.rewrite(*r.HardState, r.Entries)
	}
	lines := s.encodeBatch(r.HardState, r.Entries)
	if len(lines) == 0 {
		return nil
	}
	return s.appendSynced(lines)
}

func (s *Storage) appendSynced(lines []byte) error {
	if _, err := s.log.WriteAt(lines, s.size); err != nil {
		return errors.Wrap(err, "write log")
	}
	s.size += int64(len(lines))
	if err := s.log.SyncData(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	s.Syncs++
	s.Bytes += uint64(len(lines))
	return nil
}

// SaveSnapshot makes a snapshot durable and then replaces the log with the given entries, which
// follow the snapshot or overlap it. After an error with the mark ErrNoSpace the log is unchanged and
// further writes are possible.
func (s *Storage) SaveSnapshot(snapshot *raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	err := s.writeSnapshot(snapshot)
	if err == nil {
		err = s.rewrite(hard, entries)
	}
	if errors.Is(err, ErrNoSpace) {
		s.attemptedSize = s.size
		return err
	}
	s.failed = err
	return err
}

// LogGrowth returns the bytes by which the log has grown since SaveSnapshot or the start, and the
// size of the log when it was last replaced, 0 if it has not been since the start.
func (s *Storage) LogGrowth() (grown, replaced int64) {
	return s.size - s.attemptedSize, s.replacedSize
}

// rewrite replaces the log file with one that has only these records.
func (s *Storage) rewrite(hard raft.HardState, entries []raft.Entry) error {
	batches := s.batches
	s.batches = 0
	lines := s.encodeBatch(&hard, entries)
	size := int64(len(lines))
	file, err := s.replace(logName, lines)
	if err != nil {
		s.batches = batches
		return err
	}
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return errors.Wrap(err, "close old log")
		}
	}
	s.log, s.size, s.replacedSize, s.attemptedSize = file, size, size, size
	return nil
}

func (s *Storage) writeSnapshot(snapshot *raft.Snapshot) error {
	file, err := s.replace(snapshotName, appendLine(nil, snapshot))
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close snapshot")
}

// replace replaces a file of the data directory and counts the syncs and bytes.
func (s *Storage) replace(name string, data []byte) (vfs.File, error) {
	file, err := replaceFile(s.fs, s.dir, name, data)
	if err != nil {
		return nil, err
	}
	s.Syncs += 2
	s.Bytes += uint64(len(data))
	return file, nil
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames it and
// syncs the directory. It returns the file, open for writing.
func replaceFile(fs vfs.FS, dir, name string, data []byte) (vfs.File, error) {
	path := fs.PathJoin(dir, name)
	file, err := createFile(fs, path+tempSuffix, data)
	if err != nil {
		// What was written takes space that others need. Open removes it if this fails.
		_ = fs.Remove(path + tempSuffix)
		err = errors.Wrapf(err, "replace %s", name)
		if vfs.IsNoSpaceError(err) {
			err = errors.Mark(err, ErrNoSpace)
		}
		return nil, err
	}
	if err := fs.Rename(path+tempSuffix, path); err != nil {
		return nil, errors.Wrapf(err, "rename %s", name)
	}
	return file, syncDir(fs, dir)
}

// createFile writes and syncs a new file, which it closes on an error.
func createFile(fs vfs.FS, path string, data []byte) (vfs.File, error) {
	file, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return nil, errors.Wrap(err, "create")
	}
	if _, err = file.Write(data); err != nil {
		err = errors.Wrap(err, "write")
	} else if err = file.Sync(); err != nil {
		err = errors.Wrap(err, "sync")
	}
	if err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return file, nil
}

// makeDir creates the data directory if needed. It syncs the parent, since a crash could
// otherwise lose the directory with the files in it.
func makeDir(fs vfs.FS, dir string) error {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create data directory")
	}
	return syncDir(fs, fs.PathDir(dir))
}

func syncDir(fs vfs.FS, path string) error {
	dir, err := fs.OpenDir(path)
	if err != nil {
		return errors.Wrap(err, "open data directory")
	}
	if err := dir.Sync(); err != nil {
		return errors.Wrap(err, "sync data directory")
	}
	return errors.Wrap(dir.Close(), "close data directory")
}

// Close closes the log file.
func (s *Storage) Close() error {
	if s.log == nil {
		return nil
	}
	return errors.Wrap(s.log.Close(), "close log")
}

func readSnapshot(fs vfs.FS, path string) (*raft.Snapshot, error) {
	data, err := readFile(fs, path)
	if err != nil || len(data) == 0 {
		return nil, err
	}
	var snapshot raft.Snapshot
	if !decodeLine(bytes.TrimSuffix(data, []byte{'\n'}), &snapshot) {
		return nil, errors.Wrapf(ErrCorrupt, "%s", snapshotName)
	}
	return &snapshot, nil
}

func readFile(fs vfs.FS, path string) ([]byte, error) {
	file, err := fs.Open(path)
	if oserror.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open stored file")
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "stat stored file")
	}
	data := make([]byte, info.Size())
	if len(data) == 0 {
		return data, nil
	}
	_, err = file.ReadAt(data, 0)
	return data, errors.Wrap(err, "read stored file")
}

// Describe returns a summary of a stored state as a line of JSON. Torn is the value that Read
// returned.
func Describe(stored raft.StoredState, torn int) string {
	first, last, snapshotAt := uint64(0), uint64(0), uint64(0)
	if len(stored.Entries) > 0 {
		first, last = stored.Entries[0].Index, stored.Entries[len(stored.Entries)-1].Index
	}
	if stored.Snapshot != nil {
		snapshotAt = stored.Snapshot.Index
	}
	text, _ := json.Marshal(struct {
		Hard       raft.HardState `json:"hard_state"`
		SnapshotAt uint64         `json:"snapshot_index"`
		First      uint64         `json:"first_entry"`
		Last       uint64         `json:"last_entry"`
		Torn       int            `json:"torn_bytes"`
	}{stored.HardState, snapshotAt, first, last, torn})
	return string(text)
}
