package state

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A snapshot of a build that knew no starts is read: its rows are first starts, and who
// departed there stays gone.
func TestASnapshotOfTheLevelBeforeStartsIsRead(t *testing.T) {
	text, err := os.ReadFile("testdata/snapshot-level-1.json")
	assert.NilError(t, err)
	m := New()
	assert.NilError(t, m.Restore(text))
	d := m.Deployment()
	assert.Equal(t, d.Version, uint64(4))
	row, known := d.Current("e")
	assert.Assert(t, known && row.Draining)
	assert.Equal(t, row.Start(), Start{Name: "e"})
	assert.Equal(t, d.RowID(Start{Name: "e", Born: 5}), "e", "it learns when it started")
	assert.Assert(t, d.HasDeparted(Start{Name: "gone"}))
	assert.Assert(t, !d.HasDeparted(Start{Name: "gone", Born: 5}), "which start is gone is not known")
	assert.Assert(t, d.RowID(Start{Name: "gone", Born: 5}) != "gone")
	assert.Equal(t, len(d.Blocked), 1)
}

// Starts come back from a snapshot as they were, whatever order their rows stand in.
func TestStartsOutliveASnapshot(t *testing.T) {
	m := New()
	applied(t, m, enrol(Backend{ID: "x", Born: 1}))
	d := m.Deployment()
	second := Start{Name: "x", Born: 5}
	applied(t, m, enrol(Backend{ID: d.RowID(second), Instance: "x", Born: 5}))
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
	applied(t, m, Command{Depart: &Depart{IDs: []string{"x"}}})
	d = m.Deployment()
	assert.Equal(t, len(d.Superseded()), 0)
	assert.Assert(t, d.HasDeparted(Start{Name: "x", Born: 1}))
	assert.Assert(t, !d.HasDeparted(second))
	// A clock that was set back: the start that enrolled last is the present one.
	third := Start{Name: "x", Born: 3}
	applied(t, m, enrol(Backend{ID: d.RowID(third), Instance: "x", Born: 3}))
	row, _ := d.Current("x")
	assert.Equal(t, row.Born, UnixMilli(3))
}

// A command of a later build must not be passed over: this replica would differ from
// those that know it, without a sign.
func TestACommandOfALaterBuildStopsTheReplica(t *testing.T) {
	m := New()
	_, err := m.Apply(1, 1, []byte(`{"at":5,"migrate":{"to":3}}`))
	assert.Assert(t, errors.Is(err, ErrUnsupportedCommand))
	assert.ErrorContains(t, err, "migrate")
	// It stands before the entry still.
	assert.Equal(t, m.Applied(), uint64(0))
	result, err := m.Apply(1, 1, []byte(`{"at":5}`))
	assert.NilError(t, err)
	assert.Equal(t, result.Code, CodeRefused)
}
