package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// depart removes a row, as happens after a long silence.
func (g *group) depart(id string) {
	g.t.Helper()
	_, err := g.servers[g.leader()].submit(context.Background(), state.Command{Depart: &state.Depart{IDs: []string{id}}})
	assert.NilError(g.t, err)
}

// newFastGroup returns a group of one coordinator with a short heartbeat interval.
func newFastGroup(t *testing.T) *group {
	g := newGroup(t, 1)
	g.kill(0)
	g.config[0].BackendHeartbeat = 100 * time.Millisecond
	g.start(0)
	return g
}

// sendHeartbeats sends heartbeats at the heartbeat interval.
func (g *group) sendHeartbeats(from, count coordapi.Sequence, name string, born state.UnixMilli, draining bool) {
	for n := range count {
		time.Sleep(g.config[0].BackendHeartbeat)
		g.call(0, heartbeatOf(name, born, from+n, draining, 1))
	}
}

// Guards against a back end that stays unregistered for as long as it runs after its row was
// removed during a partition.
func TestPartitionedBackendIsRegisteredAgain(t *testing.T) {
	g := newFastGroup(t)
	g.call(0, heartbeatOf("x", 100, 9, false, 1))
	g.depart("x")
	g.sendHeartbeats(10, rejoinHeartbeats-1, "x", 100, false)
	assert.Equal(t, g.currentRow(0, "x").ID, "")
	g.sendHeartbeats(20, 1, "x", 100, false)
	row := g.currentRow(0, "x")
	assert.Assert(t, row.ID != "x" && row.Name() == "x" && row.Born == 100 && !row.Draining, "%+v", row)
	g.sendHeartbeats(21, 3, "x", 100, false)
	assert.Equal(t, g.currentRow(0, "x").ID, row.ID, "later heartbeats update that row")
	// Once it drains it is not registered again.
	g.sendHeartbeats(30, 1, "x", 100, true)
	assert.Assert(t, g.currentRow(0, "x").Draining)
	g.depart(row.ID)
	g.sendHeartbeats(40, 2*rejoinHeartbeats, "x", 100, true)
	assert.Equal(t, g.currentRow(0, "x").ID, "")
	// A later start is registered at once.
	g.call(0, heartbeatOf("x", 200, 1, false, 1))
	assert.Equal(t, g.currentRow(0, "x").Born, state.UnixMilli(200))
	g.sendHeartbeats(50, 2*rejoinHeartbeats, "x", 100, false)
	assert.Equal(t, g.currentRow(0, "x").Born, state.UnixMilli(200), "the earlier start stays departed")
}

// Heartbeats that arrive in a burst, or without rising sequences, may have been delayed in the
// network.
func TestDelayedHeartbeatsDoNotRegisterDepartedBackend(t *testing.T) {
	g := newFastGroup(t)
	g.call(0, heartbeatOf("x", 100, 9, false, 1))
	g.depart("x")
	for n := range coordapi.Sequence(20) {
		g.call(0, heartbeatOf("x", 100, 10+n, false, 1))
	}
	for range 20 {
		g.sendHeartbeats(12, 1, "x", 100, false)
	}
	assert.Equal(t, g.currentRow(0, "x").ID, "")
	// Another back end has the address now.
	other := heartbeatOf("y", 100, 1, false, 1)
	other.Heartbeat.Backend.Address = "x"
	g.call(0, other)
	for n := range coordapi.Sequence(2 * rejoinHeartbeats) {
		other.Heartbeat.Sequence++
		g.call(0, other)
		g.sendHeartbeats(100+n, 1, "x", 100, false)
	}
	assert.Equal(t, g.currentRow(0, "x").ID, "")
}
