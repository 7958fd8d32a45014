package resumption

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxRecords bounds the records of a Table, which take some 140 bytes each: 1,000 routers begin some
	// 3,000 streams a second, and each coordinator of ten keeps a third of them.
	maxRecords = 1 << 16
	// sweepInterval is the time between two removals of the expired records.
	sweepInterval = 5 * time.Second
)

// Table holds records until their streams can no longer be resumed. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Key]entry
	sweptAt time.Duration
	// dropped counts the records that were removed for lack of space.
	dropped uint64
}

type entry struct {
	writer Writer
	// addedAt is when the writer was recorded, and until the end of the record.
	addedAt, until time.Duration
	identified     bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}} }

// Add records the writer of a stream and returns the record that the table then has. A stream with two
// writers that do not fit together, as when a client uses an ID twice, has none that is known. A later
// record prolongs an earlier one.
func (t *Table) Add(now time.Duration, r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := entry{writer: r.Writer, addedAt: now, until: now + r.Left, identified: r.Identified}
	if old, recorded := t.find(now, r.Key); recorded {
		e.identified = e.identified && old.identified
		e.until = max(e.until, old.until)
		if !old.writer.fits(&r.Writer) {
			e.writer.Software = ""
		}
	} else {
		t.makeRoom(now)
	}
	t.entries[r.Key] = e
	return Record{Key: r.Key, Writer: e.writer, Left: e.until - now}
}

// makeRoom removes expired records at intervals, and any record if there is no space for another one.
func (t *Table) makeRoom(now time.Duration) {
	if now-t.sweptAt >= sweepInterval {
		t.sweptAt = now
		maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return e.until <= now })
	}
	for key := range t.entries {
		if len(t.entries) < maxRecords {
			return
		}
		delete(t.entries, key)
		t.dropped++
	}
}

func (t *Table) find(now time.Duration, key Key) (entry, bool) {
	e, recorded := t.entries[key]
	return e, recorded && e.until > now
}

// Find returns the writer of a stream. It is not Known if nothing may be assumed of the stream, and
// recorded is false if there is no record.
func (t *Table) Find(now time.Duration, key Key) (writer Writer, recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, recorded := t.find(now, key)
	return e.writer, recorded
}

// Records returns the records of the streams of a pool.
func (t *Table) Records(now time.Duration, pool string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for key, e := range t.entries {
		if e.writer.Pool == pool && e.until > now {
			out = append(out, Record{Key: key, Writer: e.writer, Left: e.until - now})
		}
	}
	return out
}

// Withdraw removes the software version from the records of a back end that were added after a time, unless
// the back end was identified, and returns them: another process may have written the events.
func (t *Table) Withdraw(now time.Duration, backend string, after time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for key, e := range t.entries {
		if e.writer.Backend == backend && !e.identified && e.addedAt > after && e.until > now {
			e.writer.Software = ""
			t.entries[key] = e
			out = append(out, Record{Key: key, Writer: e.writer, Left: e.until - now})
		}
	}
	return out
}

// Len returns the number of records, including expired ones, and the number that were removed for lack of
// space.
func (t *Table) Len() (records int, dropped uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.dropped
}
