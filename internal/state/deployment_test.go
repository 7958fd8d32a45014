package state

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"gotest.tools/v3/assert"
)

// applyCommands applies each command as a log entry of its own.
func applyCommands(t *testing.T, m *Machine, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		text, err := json.Marshal(c)
		assert.NilError(t, err)
		_, err = m.Apply(m.Applied()+1, 1, text)
		assert.NilError(t, err)
	}
}

func enrol(rows ...Backend) Command { return Command{Enrol: &Enrol{Backends: rows}} }

func TestConfigureKeepsHighestVersionAndFirstDocument(t *testing.T) {
	m := New()
	for _, c := range []Configure{{Version: 7, Document: []byte(`"a"`)}, {Version: 7, Document: []byte(`"b"`)}, {Version: 5, Document: []byte(`"c"`)}} {
		applyCommands(t, m, Command{Configure: &c})
	}
	assert.Equal(t, m.Deployment().Version, uint64(7))
	assert.Equal(t, string(m.Deployment().Document), `"a"`)
}

func TestDrainingAndDepartureArePermanent(t *testing.T) {
	m := New()
	applyCommands(t, m, enrol(Backend{ID: "x", Draining: true}), enrol(Backend{ID: "x"}))
	assert.Assert(t, m.Deployment().Backends["x"].Draining)
	applyCommands(t, m, Command{Depart: &Depart{IDs: []string{"x"}}}, enrol(Backend{ID: "x"}))
	_, known := m.Deployment().Backends["x"]
	assert.Assert(t, !known)
}

func TestChangedSince(t *testing.T) {
	m := New()
	applyCommands(t, m, enrol(Backend{ID: "x"}, Backend{ID: "y"}))
	since := m.Applied()
	applyCommands(t, m, enrol(Backend{ID: "y", Draining: true}), Command{Depart: &Depart{IDs: []string{"x"}}})
	assert.Assert(t, m.Deployment().HasChangesSince(since))
	rows, departed := m.Deployment().ChangedSince(since)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].ID, "y")
	assert.Equal(t, len(departed), 1)
	assert.Equal(t, departed[0].ID, "x")
}

func TestWatcherBehindCompactionGetsAllRows(t *testing.T) {
	m := New()
	applyCommands(t, m, enrol(Backend{ID: "stays"}))
	since := m.Applied()
	var ids []string
	for i := range minRetainedDepartures + 1 {
		ids = append(ids, fmt.Sprint(i))
	}
	applyCommands(t, m, Command{Depart: &Depart{IDs: ids[:1]}}, Command{Depart: &Depart{IDs: ids[1:]}})
	assert.Assert(t, !m.Deployment().HasChangesSince(since))
	assert.Assert(t, !m.Deployment().HasChangesSince(0))
	rows, departed := m.Deployment().ChangedSince(0)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, len(departed), 0)
}

// ChangedSince gives the same rows for every revision after the list of changes was compacted
// and after a snapshot was restored.
func TestChangedSinceEveryRevision(t *testing.T) {
	random := rand.New(rand.NewPCG(41, 1))
	m := New()
	for range 3 * staleChangesSlack {
		id := fmt.Sprint(random.IntN(50))
		command := enrol(Backend{ID: id, Slots: random.IntN(9)}, Backend{ID: id, Slots: 9})
		if random.IntN(20) == 0 {
			command = Command{Depart: &Depart{IDs: []string{fmt.Sprint(random.IntN(200))}}}
		}
		applyCommands(t, m, command)
	}
	text, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(text))
	for since := range m.Applied() + 1 {
		want := map[string]uint64{}
		for id, b := range m.Deployment().Backends {
			if b.Revision > since {
				want[id] = b.Revision
			}
		}
		for _, machine := range []*Machine{m, restored} {
			rows, _ := machine.Deployment().ChangedSince(since)
			got := map[string]uint64{}
			for _, b := range rows {
				got[b.ID] = b.Revision
			}
			assert.DeepEqual(t, got, want)
			assert.Equal(t, len(rows), len(want))
		}
	}
}

// The cost of ChangedSince for a recent revision must not grow with the number of rows.
func TestChangedSinceVisitsOnlyChangedRows(t *testing.T) {
	m := New()
	var rows []Backend
	for i := range 20000 {
		rows = append(rows, Backend{ID: fmt.Sprint("b", i)})
	}
	applyCommands(t, m, enrol(rows...))
	since := m.Applied()
	applyCommands(t, m, enrol(Backend{ID: "b7"}))
	visited := len(m.Deployment().indexes.changes) - sort.Search(len(m.Deployment().indexes.changes), func(i int) bool {
		return m.Deployment().indexes.changes[i].revision > since
	})
	assert.Equal(t, visited, 1)
}

// Guards against discarding departures too early when many back ends depart at once: late
// heartbeats would add them again, and all routers would need the full list.
func TestDepartureRetentionGrowsWithRows(t *testing.T) {
	m := New()
	var rows []Backend
	var ids []string
	for i := range 5 * minRetainedDepartures {
		rows = append(rows, Backend{ID: fmt.Sprint("b", i)})
	}
	for i := range 2 * minRetainedDepartures {
		ids = append(ids, fmt.Sprint("b", i))
	}
	applyCommands(t, m, enrol(rows...))
	since := m.Applied()
	applyCommands(t, m, Command{Depart: &Depart{IDs: ids}}, enrol(Backend{ID: ids[0]}))
	_, back := m.Deployment().Backends[ids[0]]
	assert.Assert(t, !back)
	assert.Assert(t, m.Deployment().HasChangesSince(since))
}
