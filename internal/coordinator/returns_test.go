package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// depart removes a row, as after a long silence.
func (g *group) depart(id string) {
	g.t.Helper()
	_, err := g.servers[0].submit(context.Background(), state.Command{Depart: &state.Depart{IDs: []string{id}}})
	assert.NilError(g.t, err)
}

// newQuickGroup is one coordinator to which back ends speak often.
func newQuickGroup(t *testing.T) *group {
	g := newGroup(t, 1)
	g.kill(0)
	g.config[0].BackendHeartbeat = 100 * time.Millisecond
	g.start(0)
	return g
}

// speak sends heartbeats an interval apart.
func (g *group) speak(from, count coordapi.Sequence, name string, born state.UnixMilli, draining bool) {
	for n := range count {
		time.Sleep(g.config[0].BackendHeartbeat)
		g.call(0, word(name, born, from+n, draining, 1))
	}
}

// A back end that was cut off for longer than it takes to be taken for gone was never sent to
// again, for as long as it ran: its row had departed, and heartbeats of departed starts
// were taken for late ones. It comes back once it has spoken for a while.
func TestABackEndThatWasCutOffForLongComesBack(t *testing.T) {
	g := newQuickGroup(t)
	g.call(0, word("x", 100, 9, false, 1))
	g.depart("x")
	g.speak(10, returnBeats-1, "x", 100, false)
	assert.Equal(t, g.present(0, "x").ID, "")
	g.speak(20, 1, "x", 100, false)
	row := g.present(0, "x")
	assert.Assert(t, row.ID != "x" && row.Name() == "x" && row.Born == 100 && !row.Draining, "%+v", row)
	g.speak(21, 3, "x", 100, false)
	assert.Equal(t, g.present(0, "x").ID, row.ID, "its later heartbeats are of that row")
	// It drains, and comes back no more.
	g.speak(30, 1, "x", 100, true)
	assert.Assert(t, g.present(0, "x").Draining)
	g.depart(row.ID)
	g.speak(40, 2*returnBeats, "x", 100, true)
	assert.Equal(t, g.present(0, "x").ID, "")
	// Its successor is let in at once.
	g.call(0, word("x", 200, 1, false, 1))
	assert.Equal(t, g.present(0, "x").Born, state.UnixMilli(200))
	g.speak(50, 2*returnBeats, "x", 100, false)
	assert.Equal(t, g.present(0, "x").Born, state.UnixMilli(200), "the start before stays gone")
}

// Heartbeats that were held up by a cut come together, or without rising: their sender may
// have ended since.
func TestHeartbeatsThatWereHeldUpBringNobodyBack(t *testing.T) {
	g := newQuickGroup(t)
	g.call(0, word("x", 100, 9, false, 1))
	g.depart("x")
	for n := range coordapi.Sequence(20) {
		g.call(0, word("x", 100, 10+n, false, 1))
	}
	for range 20 {
		g.speak(12, 1, "x", 100, false)
	}
	assert.Equal(t, g.present(0, "x").ID, "")
	// Another has its address by now.
	other := word("y", 100, 1, false, 1)
	other.Heartbeat.Backend.Address = "x"
	g.call(0, other)
	for n := range coordapi.Sequence(2 * returnBeats) {
		other.Heartbeat.Sequence++
		g.call(0, other)
		g.speak(100+n, 1, "x", 100, false)
	}
	assert.Equal(t, g.present(0, "x").ID, "")
}

// One that drained has left, whatever its row was called: it does not come back.
func TestOneThatDrainedUnderAnotherRowHasLeft(t *testing.T) {
	var soft softState
	soft.reset(0)
	gone := soft.look(time.Minute, time.Second, map[string]state.Backend{
		"x~~1": {ID: "x~~1", Instance: "x", Address: "x", Draining: true}, "y~~1": {ID: "y~~1", Instance: "y", Address: "y"}})
	assert.Equal(t, len(gone), 2)
	assert.Assert(t, soft.left["x"] && !soft.left["y"])
}
