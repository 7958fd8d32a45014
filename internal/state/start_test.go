package state

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A snapshot without start times can be restored: its rows become first starts, and its
// departures are retained.
func TestRestoreLevel1Snapshot(t *testing.T) {
	text, err := os.ReadFile("testdata/snapshot-level-1.json")
	assert.NilError(t, err)
	m := New()
	assert.NilError(t, m.Restore(text))
	d := m.Deployment()
	assert.Equal(t, d.Version, uint64(4))
	row, known := d.Current("e")
	assert.Assert(t, known && row.Draining)
	assert.Equal(t, row.Start(), Start{Name: "e"})
	assert.Equal(t, d.RowID(Start{Name: "e", Born: 5}), "e", "a row without a start time matches any start")
	assert.Assert(t, d.HasDeparted(Start{Name: "gone"}))
	assert.Assert(t, !d.HasDeparted(Start{Name: "gone", Born: 5}), "the start time of the departure is unknown")
	assert.Assert(t, d.RowID(Start{Name: "gone", Born: 5}) != "gone")
	assert.Equal(t, len(d.Blocked), 1)
}

// The current start and the superseded rows are the same after a snapshot is restored,
// whatever the order of the rows.
func TestStartsSurviveSnapshot(t *testing.T) {
	m := New()
	applyCommands(t, m, enrol(Backend{ID: "x", Born: 1}))
	d := m.Deployment()
	second := Start{Name: "x", Born: 5}
	applyCommands(t, m, enrol(Backend{ID: d.RowID(second), Instance: "x", Born: 5}))
	assert.DeepEqual(t, d.Superseded(), []string{"x"})
	for range 2 {
		row, known := m.Deployment().Current("x")
		assert.Assert(t, known)
		assert.Equal(t, row.Born, UnixMilli(5))
		assert.DeepEqual(t, m.Deployment().Superseded(), []string{"x"})
		text, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, m.Restore(text))
	}
	applyCommands(t, m, Command{Depart: &Depart{IDs: []string{"x"}}})
	d = m.Deployment()
	assert.Equal(t, len(d.Superseded()), 0)
	assert.Assert(t, d.HasDeparted(Start{Name: "x", Born: 1}))
	assert.Assert(t, !d.HasDeparted(second))
	// With a clock that was set back, the start that enrolled last is the current one.
	third := Start{Name: "x", Born: 3}
	applyCommands(t, m, enrol(Backend{ID: d.RowID(third), Instance: "x", Born: 3}))
	row, _ := d.Current("x")
	assert.Equal(t, row.Born, UnixMilli(3))
}

// A command that this build does not support must not be skipped: the replica would silently
// diverge.
func TestUnsupportedCommandIsNotApplied(t *testing.T) {
	m := New()
	_, err := m.Apply(1, 1, []byte(`{"at":5,"migrate":{"to":3}}`))
	assert.Assert(t, errors.Is(err, ErrUnsupportedCommand))
	assert.ErrorContains(t, err, "migrate")
	// The entry was not applied.
	assert.Equal(t, m.Applied(), uint64(0))
	result, err := m.Apply(1, 1, []byte(`{"at":5}`))
	assert.NilError(t, err)
	assert.Equal(t, result.Code, CodeRefused)
}

// A start that left, before or after its row was removed or without a row, is distinguished from one that
// was silent, also after a snapshot is restored.
func TestDeparturesRecordWhichStartsLeft(t *testing.T) {
	m := New()
	applyCommands(t, m, enrol(Backend{ID: "drained", Born: 1, Draining: true}, Backend{ID: "silent", Born: 1}, Backend{ID: "later~2", Instance: "later", Born: 2}))
	d := m.Deployment()
	early := Start{Name: "early", Born: 7}
	applyCommands(t, m, Command{Depart: &Depart{IDs: []string{"drained", "silent", "later~2", LaterRowID(early)}}})
	returned := d.ReturnedRowID(Start{Name: "silent", Born: 1})
	assert.Equal(t, FormerRowID(returned), "silent")
	assert.Equal(t, FormerRowID("silent"), "silent")
	check := func(name string, born UnixMilli, left bool) {
		t.Helper()
		for range 2 {
			s := Start{Name: name, Born: born}
			assert.Assert(t, m.Deployment().HasDeparted(s))
			assert.Equal(t, m.Deployment().HasLeft(s), left, "%v", s)
			text, err := m.Snapshot()
			assert.NilError(t, err)
			assert.NilError(t, m.Restore(text))
		}
	}
	check("drained", 1, true)
	check("silent", 1, false)
	check("later", 2, false)
	check("early", 7, true)
	assert.Assert(t, !m.Deployment().HasDeparted(Start{Name: "early", Born: 8}))
	// A leave after the departure, and one of a row with which a start returned.
	applyCommands(t, m, enrol(Backend{ID: "later~2", Draining: true}, Backend{ID: returned, Instance: "silent", Born: 1}))
	check("later", 2, true)
	applyCommands(t, m, enrol(Backend{ID: returned, Instance: "silent", Born: 1, Draining: true}), Command{Depart: &Depart{IDs: []string{returned}}})
	check("silent", 1, true)
	names := []string{}
	for _, departure := range m.Deployment().Departures("later") {
		names = append(names, departure.ID)
	}
	assert.DeepEqual(t, names, []string{"later~2"})
}
