// Package storage keeps a consensus node's hard state, log and snapshots under
// one data folder.
//
// The log is a file of JSON lines, each preceded by its CRC. A record counts
// only once the file was synced. At start, a damaged record at the very end is
// a write that a crash cut short: it was never acknowledged and is dropped. A
// damaged record with sound ones after it is a fault of the disk, and the node
// refuses to start.
package storage

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/raft"
)

// File names in the data folder.
const (
	logName      = "log.jsonl"
	snapshotName = "snapshot.jsonl"
	newSuffix    = ".new"
)

// ErrCorrupt is returned when a file holds a record that was synced and cannot
// be read any more. The node must be replaced, not restarted.
var ErrCorrupt = errors.New("stored state is damaged")

// record is one line of the log file. Exactly one of Hard and Entry is set.
//
// Records that are written and synced together are a batch. A crash may keep
// any part of the last batch, so its holes are no damage; a hole that a later
// batch follows is.
type record struct {
	Batch uint64 `json:"batch"`
	// Left is how many records of the batch follow.
	Left  int             `json:"left,omitempty"`
	Hard  *raft.HardState `json:"hard,omitempty"`
	Entry *raft.Entry     `json:"entry,omitempty"`
}

// batch encodes the records of one write.
func (s *Storage) batch(hard *raft.HardState, entries []raft.Entry) []byte {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	var lines []byte
	s.batches++
	left := len(entries)
	if hard != nil {
		lines = encode(lines, record{Batch: s.batches, Left: left, Hard: hard})
	}
	for i := range entries {
		left--
		lines = encode(lines, record{Batch: s.batches, Left: left, Entry: &entries[i]})
	}
	return lines
}

// Storage is an open data folder. It is not safe for concurrent use.
type Storage struct {
	fs     vfs.FS
	dir    string
	log    vfs.File
	failed error
	// batches counts the batches of the present log file.
	batches uint64
	// Syncs and Bytes count what was made durable, for metrics.
	Syncs uint64
	Bytes uint64
}

// Open reads the folder, creating it if needed, and returns what it held.
func Open(fs vfs.FS, dir string) (*Storage, raft.StoredState, error) {
	s := &Storage{fs: fs, dir: dir}
	if err := makeFolder(fs, dir); err != nil {
		return nil, raft.StoredState{}, err
	}
	stored, _, err := Read(fs, dir)
	if err != nil {
		return nil, raft.StoredState{}, err
	}
	// The log is rewritten at each start: it drops a torn tail, and leaves a
	// file whose every record is synced.
	if err := s.rewrite(stored.HardState, stored.Entries); err != nil {
		return nil, raft.StoredState{}, err
	}
	return s, stored, nil
}

// Read returns what a data folder holds, without changing it. Torn is the
// number of bytes of an unfinished last record.
func Read(fs vfs.FS, dir string) (stored raft.StoredState, torn int, err error) {
	snapshot, err := readSnapshot(fs, fs.PathJoin(dir, snapshotName))
	if err != nil {
		return stored, 0, err
	}
	stored.Snapshot = snapshot
	data, err := readFile(fs, fs.PathJoin(dir, logName))
	if err != nil {
		return stored, 0, err
	}
	records, torn, err := decodeLog(data)
	if err != nil {
		return stored, torn, errors.Wrap(err, logName)
	}
	if err := replay(&stored, records); err != nil {
		return stored, torn, err
	}
	return stored, torn, nil
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
			entries = place(entries, *r.Entry)
		}
	}
	entries = after(entries, stored.Snapshot)
	for i := range entries {
		if entries[i].Index != offset+1+uint64(i) {
			return errors.Wrapf(ErrCorrupt, "entry %d stands where entry %d should", entries[i].Index, offset+1+uint64(i))
		}
	}
	last := offset + uint64(len(entries))
	if stored.HardState.Commit > last {
		return errors.Wrapf(ErrCorrupt, "entry %d was committed and the log ends at %d", stored.HardState.Commit, last)
	}
	stored.Entries = entries
	return nil
}

// after returns the entries that follow the snapshot. When the log holds
// another entry at the snapshot's index, all of it is from before the snapshot
// was received, and none of it counts.
func after(entries []raft.Entry, snapshot *raft.Snapshot) []raft.Entry {
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

// place puts an entry at its index, replacing that entry and all after it.
func place(entries []raft.Entry, e raft.Entry) []raft.Entry {
	if len(entries) == 0 {
		return append(entries, e)
	}
	first := entries[0].Index
	if e.Index < first {
		return append(entries[:0], e)
	}
	return append(entries[:min(e.Index-first, uint64(len(entries)))], e)
}

// Save makes the durable part of r durable. After an error the storage takes
// no more writes: what reached the disk is unknown until the next start.
func (s *Storage) Save(r raft.Ready) error {
	if s.failed != nil {
		return s.failed
	}
	s.failed = s.save(r)
	return s.failed
}

func (s *Storage) save(r raft.Ready) error {
	if r.Snapshot != nil {
		// A received snapshot replaces the whole log. A crash between the two
		// writes leaves old entries behind; replay drops them.
		if err := s.writeSnapshot(r.Snapshot); err != nil {
			return err
		}
		return s.rewrite(*r.HardState, r.Entries)
	}
	lines := s.batch(r.HardState, r.Entries)
	if len(lines) == 0 {
		return nil
	}
	return s.appendSynced(lines)
}

func (s *Storage) appendSynced(lines []byte) error {
	if _, err := s.log.Write(lines); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := s.log.SyncData(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	s.Syncs++
	s.Bytes += uint64(len(lines))
	return nil
}

// SaveSnapshot makes a snapshot durable and then shortens the log to the given
// entries, which follow the snapshot or overlap it.
func (s *Storage) SaveSnapshot(snapshot *raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if s.failed = s.writeSnapshot(snapshot); s.failed != nil {
		return s.failed
	}
	s.failed = s.rewrite(hard, entries)
	return s.failed
}

// rewrite replaces the log file by one that holds just these records.
func (s *Storage) rewrite(hard raft.HardState, entries []raft.Entry) error {
	s.batches = 0
	file, err := s.replace(logName, s.batch(&hard, entries))
	if err != nil {
		return err
	}
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return errors.Wrap(err, "close old log")
		}
	}
	s.log = file
	return nil
}

func (s *Storage) writeSnapshot(snapshot *raft.Snapshot) error {
	file, err := s.replace(snapshotName, encode(nil, snapshot))
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close snapshot")
}

// replace writes a file of the folder anew.
func (s *Storage) replace(name string, data []byte) (vfs.File, error) {
	file, err := replaceFile(s.fs, s.dir, name, data)
	if err != nil {
		return nil, err
	}
	s.Syncs += 2
	s.Bytes += uint64(len(data))
	return file, nil
}

// replaceFile writes a new file, syncs it, gives it its name and syncs the
// folder. The returned file is open at its end.
func replaceFile(fs vfs.FS, dir, name string, data []byte) (vfs.File, error) {
	path := fs.PathJoin(dir, name)
	file, err := fs.Create(path+newSuffix, vfs.WriteCategoryUnspecified)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if _, err := file.Write(data); err != nil {
		return nil, errors.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		return nil, errors.Wrapf(err, "sync %s", name)
	}
	if err := fs.Rename(path+newSuffix, path); err != nil {
		return nil, errors.Wrapf(err, "rename %s", name)
	}
	return file, syncFolder(fs, dir)
}

// makeFolder creates the data folder if needed. The parent is synced, or a
// crash could lose the folder with all that was synced in it.
func makeFolder(fs vfs.FS, dir string) error {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	return syncFolder(fs, fs.PathDir(dir))
}

func syncFolder(fs vfs.FS, path string) error {
	dir, err := fs.OpenDir(path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	if err := dir.Sync(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return errors.Wrap(dir.Close(), "close data folder")
}

// Close closes the log file.
func (s *Storage) Close() error { return errors.Wrap(s.log.Close(), "close log") }

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

// Describe says in one line what a stored state holds.
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
