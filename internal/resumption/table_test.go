package resumption

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quinceridge.example/quinceridge/internal/state"
)

func writer(backend string, version state.SoftwareVersion) Writer {
	return Writer{Pool: "llm", Backend: backend, Software: version}
}

func TestKeysOfTenantsDiffer(t *testing.T) {
	assert.Assert(t, KeyOf("alice", "1") != KeyOf("bob", "1"))
	assert.Assert(t, KeyOf("alice", "1") != KeyOf("alice1", ""))
	assert.Assert(t, KeyOf("", "alice1") != KeyOf("alice", "1"))
	assert.Assert(t, KeyOf("", string(make([]byte, 4096))) != KeyOf("", string(make([]byte, 4095))))
}

func TestKeyRejectsDamagedText(t *testing.T) {
	key := KeyOf("alice", "1")
	text, err := json.Marshal(key)
	assert.NilError(t, err)
	var got Key
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got, key)
	for _, damaged := range []string{`""`, `"00"`, `"zz2d2d2d2d2d2d2d2d2d2d2d2d2d2d2d"`} {
		assert.Assert(t, json.Unmarshal([]byte(damaged), &got) != nil, damaged)
	}
}

func TestStreamWithTwoWritersIsNotKnown(t *testing.T) {
	key := KeyOf("alice", "1")
	for name, second := range map[string]Writer{"version": writer("b", "v2"), "pool": {Pool: "other", Backend: "b", Software: "v1"}, "unreported": writer("b", "")} {
		table := NewTable()
		table.Add(0, Record{Key: key, Writer: writer("a", "v1"), Left: time.Second})
		table.Add(0, Record{Key: key, Writer: second, Left: time.Second})
		// A late copy of a record must not make the stream known again.
		table.Add(0, Record{Key: key, Writer: writer("a", "v1"), Left: time.Second})
		got, recorded := table.Find(0, key)
		assert.Assert(t, recorded && !got.Known(), name)
	}
}

func TestResumedStreamIsKeptLonger(t *testing.T) {
	table, key := NewTable(), KeyOf("alice", "1")
	table.Add(0, Record{Key: key, Writer: writer("a", "v1"), Left: 2 * time.Second})
	table.Add(time.Second, Record{Key: key, Writer: writer("b", "v1"), Left: 3 * time.Second})
	table.Add(time.Second, Record{Key: key, Writer: writer("b", "v1"), Left: time.Second})
	got, recorded := table.Find(3900*time.Millisecond, key)
	assert.Assert(t, recorded)
	assert.Equal(t, got, writer("b", "v1"))
	_, recorded = table.Find(4*time.Second, key)
	assert.Assert(t, !recorded)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxRecords + 100 {
		table.Add(0, Record{Key: KeyOf("alice", fmt.Sprint(i)), Writer: writer("a", "v1"), Left: time.Second})
	}
	records, dropped := table.Len()
	assert.Equal(t, records, maxRecords)
	assert.Equal(t, dropped, uint64(100))
	table.Add(sweepInterval, Record{Key: KeyOf("alice", "new"), Writer: writer("a", "v1"), Left: time.Second})
	records, _ = table.Len()
	assert.Equal(t, records, 1)
}

func TestWithdrawnStreamIsNotKnown(t *testing.T) {
	table := NewTable()
	early, late, other, identified, mixed := KeyOf("", "early"), KeyOf("", "late"), KeyOf("", "other"), KeyOf("", "identified"), KeyOf("", "mixed")
	table.Add(time.Second, Record{Key: early, Writer: writer("a", "v1"), Left: time.Minute})
	table.Add(3*time.Second, Record{Key: late, Writer: writer("a", "v1"), Left: time.Minute})
	table.Add(3*time.Second, Record{Key: other, Writer: writer("b", "v1"), Left: time.Minute})
	for _, key := range []Key{identified, mixed} {
		table.Add(3*time.Second, Record{Key: key, Writer: writer("a", "v1"), Left: time.Minute, Identified: true})
	}
	table.Add(3*time.Second, Record{Key: mixed, Writer: writer("a", "v1"), Left: time.Minute})
	withdrawn := table.Withdraw(4*time.Second, "a", 2*time.Second)
	assert.Equal(t, len(withdrawn), 2)
	for key, known := range map[Key]bool{early: true, late: false, other: true, identified: true, mixed: false} {
		got, recorded := table.Find(4*time.Second, key)
		assert.Assert(t, recorded && got.Known() == known)
	}
}

// A record must survive the loss of any two coordinators, and routers must choose the same ones.
func TestKeepersAreThree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coordinators := rapid.SliceOfNDistinct(rapid.StringMatching(`10\.0\.0\.[0-9]{1,3}:1`), 0, 12, rapid.ID).Draw(t, "coordinators")
		key := KeyOf("", rapid.String().Draw(t, "attempt"))
		got := Keepers(key, coordinators)
		assert.Equal(t, len(got), min(keepersPerStream, len(coordinators)))
		shuffled := rapid.Permutation(coordinators).Draw(t, "order")
		assert.DeepEqual(t, Keepers(key, shuffled), got)
		for _, address := range got {
			assert.Assert(t, slices.Contains(coordinators, address))
		}
	})
}

// BenchmarkTable measures a record and a lookup, and the memory of a record.
func BenchmarkTable(b *testing.B) {
	table := NewTable()
	b.ReportAllocs()
	for i := range b.N {
		key := KeyOf("tenant", fmt.Sprint("attempt", i))
		now := time.Duration(i) * time.Millisecond
		table.Add(now, Record{Key: key, Writer: writer("i-c2b0beae05", "v1.1"), Left: 15 * time.Second})
		table.Find(now, key)
	}
}
