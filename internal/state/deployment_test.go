package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// applied runs commands on a machine, one entry each.
func applied(t *testing.T, m *Machine, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		text, err := json.Marshal(c)
		assert.NilError(t, err)
		_, err = m.Apply(m.Applied()+1, 1, text)
		assert.NilError(t, err)
	}
}

func enrol(rows ...Backend) Command { return Command{Enrol: &Enrol{Backends: rows}} }

func TestTheHighestVersionHoldsAndItsFirstContentStays(t *testing.T) {
	m := New()
	for _, c := range []Configure{{7, []byte(`"a"`)}, {7, []byte(`"b"`)}, {5, []byte(`"c"`)}} {
		applied(t, m, Command{Configure: &c})
	}
	assert.Equal(t, m.Deployment().Version, uint64(7))
	assert.Equal(t, string(m.Deployment().Document), `"a"`)
}

func TestADrainIsNeverTakenBackAndADepartedIDNeverReturns(t *testing.T) {
	m := New()
	applied(t, m, enrol(Backend{ID: "x", Draining: true}), enrol(Backend{ID: "x"}))
	assert.Assert(t, m.Deployment().Backends["x"].Draining)
	applied(t, m, Command{Depart: &Depart{IDs: []string{"x"}}}, enrol(Backend{ID: "x"}))
	_, known := m.Deployment().Backends["x"]
	assert.Assert(t, !known)
}

func TestChangesSinceARevision(t *testing.T) {
	m := New()
	applied(t, m, enrol(Backend{ID: "x"}, Backend{ID: "y"}))
	since := m.Applied()
	applied(t, m, enrol(Backend{ID: "y", Draining: true}), Command{Depart: &Depart{IDs: []string{"x"}}})
	assert.Assert(t, m.Deployment().Remembers(since))
	rows, gone := m.Deployment().Changed(since)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].ID, "y")
	assert.DeepEqual(t, gone, []string{"x"})
}

func TestAWatcherThatIsTooFarBehindGetsEverything(t *testing.T) {
	m := New()
	applied(t, m, enrol(Backend{ID: "stays"}))
	since := m.Applied()
	var ids []string
	for i := range rememberedDepartures + 1 {
		ids = append(ids, fmt.Sprint(i))
	}
	applied(t, m, Command{Depart: &Depart{IDs: ids[:1]}}, Command{Depart: &Depart{IDs: ids[1:]}})
	assert.Assert(t, !m.Deployment().Remembers(since))
	assert.Assert(t, !m.Deployment().Remembers(0))
	rows, gone := m.Deployment().Changed(0)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, len(gone), 0)
}
