package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// heartbeatOf returns a heartbeat of one start of a back end.
func heartbeatOf(name string, born state.UnixMilli, sequence coordapi.Sequence, draining bool, version int) coordapi.Request {
	return coordapi.Request{Heartbeat: &coordapi.Heartbeat{Sequence: sequence, Backend: state.Backend{ID: name, Born: born, Pool: "llm", Address: name,
		Weights: map[string]int{"m": version}, Draining: draining}}}
}

func leaveOf(name string, born state.UnixMilli) coordapi.Request {
	return coordapi.Request{Leave: &coordapi.Leave{ID: name, Born: born}}
}

// currentRow returns the row of a back end's current start in a node's replica.
func (g *group) currentRow(i int, name string) state.Backend {
	var row state.Backend
	g.servers[i].loop.Do(context.Background(), func(time.Duration) { row, _ = g.servers[i].core.Machine().Deployment().Current(name) })
	return row
}

// awaitSingleStart waits until a node's replica has a single start of a back end.
func (g *group) awaitSingleStart(i int, name string, born state.UnixMilli) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		var starts []state.UnixMilli
		g.servers[i].loop.Do(context.Background(), func(time.Duration) {
			for _, b := range g.servers[i].core.Machine().Deployment().Backends {
				if b.Name() == name {
					starts = append(starts, b.Born)
				}
			}
		})
		if len(starts) != 1 || starts[0] != born {
			return poll.Continue("starts of %v", starts)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a restarted back end that inherits sequence, drain and weights of its previous
// start.
func TestRestartedBackendGetsNewRow(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, heartbeatOf("x", 100, 50, false, 7))
	g.call(1, heartbeatOf("x", 100, 51, true, 7))
	first := g.currentRow(g.leader(), "x")
	assert.Equal(t, first.ID, "x")
	assert.Assert(t, first.Draining)
	g.call(2, heartbeatOf("x", 200, 1, false, 3))
	g.awaitSingleStart(g.leader(), "x", 200)
	row := g.currentRow(g.leader(), "x")
	assert.Assert(t, row.ID != "x" && row.Name() == "x" && !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 3})

	// Late messages of the previous start change nothing, on any node and under any leader.
	late := []coordapi.Request{heartbeatOf("x", 100, 52, true, 9), leaveOf("x", 100), heartbeatOf("x", 100, 1, false, 1)}
	for i := range g.servers {
		for _, w := range late {
			g.call(i, w)
		}
	}
	formerLeader := g.leader()
	g.kill(formerLeader)
	g.start(formerLeader)
	for i := range g.servers {
		for _, w := range late {
			g.call(i, w)
		}
	}
	assert.DeepEqual(t, g.currentRow(g.leader(), "x"), row)
	// Messages of the current start count.
	alive := g.leader()
	g.call(alive, heartbeatOf("x", 200, 2, false, 4))
	assert.DeepEqual(t, g.currentRow(alive, "x").Weights, map[string]int{"m": 4})
	g.call(alive, leaveOf("x", 200))
	assert.Assert(t, g.currentRow(alive, "x").Draining)
	g.call(alive, heartbeatOf("x", 300, 1, false, 4))
	g.awaitSingleStart(alive, "x", 300)
	assert.Assert(t, !g.currentRow(alive, "x").Draining)
}

// A late heartbeat does not register a departed start again, but its successor is registered.
func TestDepartedStartIsReplacedBySuccessor(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 100, 9, false, 1))
	depart := func(id string) {
		_, err := g.servers[0].submit(context.Background(), state.Command{Depart: &state.Depart{IDs: []string{id}}})
		assert.NilError(t, err)
	}
	depart("x")
	g.call(0, heartbeatOf("x", 100, 10, false, 1))
	assert.Equal(t, g.currentRow(0, "x").ID, "")
	g.call(0, heartbeatOf("x", 200, 1, false, 1))
	row := g.currentRow(0, "x")
	assert.Equal(t, row.Born, state.UnixMilli(200))
	depart(row.ID)
	g.call(0, heartbeatOf("x", 200, 2, false, 1))
	g.call(0, heartbeatOf("x", 100, 11, false, 1))
	assert.Equal(t, g.currentRow(0, "x").ID, "")
	// A heartbeat without a start time counts as one of the departed start.
	g.call(0, heartbeatOf("x", 0, 12, false, 1))
	assert.Equal(t, g.currentRow(0, "x").ID, "")
}

// A new start whose clock was set back, and thus appears older, is accepted once the previous one
// is silent.
func TestStartWithEarlierClockIsAcceptedOncePreviousIsSilent(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 200, 9, false, 1))
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	assert.Equal(t, g.currentRow(0, "x").Born, state.UnixMilli(200))
	limit := silentLimit(g.config[0].BackendHeartbeat)
	g.suspendedFor[0].Add(int64(limit + time.Millisecond))
	waitOn(t, func(poll.LogT) poll.Result {
		g.call(0, heartbeatOf("x", 100, 2, false, 1))
		if g.currentRow(0, "x").Born != 100 {
			return poll.Continue("not taken")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(100*time.Millisecond))
	g.awaitSingleStart(0, "x", 100)
}

// Of two processes with one name the one that started later wins, and the other changes nothing.
func TestLaterProcessWinsOverEarlierWithSameName(t *testing.T) {
	g := newGroup(t, 1)
	for n := range coordapi.Sequence(10) {
		g.call(0, heartbeatOf("x", 200, n+1, false, 2))
		g.call(0, heartbeatOf("x", 100, 50+n, n == 5, 9))
	}
	row := g.currentRow(0, "x")
	assert.Equal(t, row.Born, state.UnixMilli(200))
	assert.Assert(t, !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 2})
}

// The message that a start leaves may overtake its first heartbeat.
func TestStartThatLeftEarlyIsRegisteredAsDraining(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	g.call(0, leaveOf("x", 200))
	g.call(0, heartbeatOf("x", 200, 1, false, 1))
	g.awaitSingleStart(0, "x", 200)
	assert.Assert(t, g.currentRow(0, "x").Draining)
}

// A row of a build without start times gets its start time from the next heartbeat, and stays the
// same row.
func TestRowGetsStartTimeFromNextHeartbeat(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 0, 8, false, 1))
	g.call(0, heartbeatOf("x", 100, 9, false, 1))
	row := g.currentRow(0, "x")
	assert.Equal(t, row.ID, "x")
	assert.Equal(t, row.Born, state.UnixMilli(100))
	g.call(0, heartbeatOf("x", 0, 10, true, 1))
	assert.Assert(t, g.currentRow(0, "x").Draining)
}

// Placements at a later start contain the back end's own name, and orders are valid for the
// current start only.
func TestPlacementsAndOrdersNameBackendOfLaterStart(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	g.call(0, heartbeatOf("x", 200, 1, false, 1))
	g.awaitSingleStart(0, "x", 200)
	id := g.currentRow(0, "x").ID
	g.awaitPlaced(id)
	reply := g.call(0, place(1000))
	assert.Equal(t, reply.Placed.Instance, "x")
	s := g.servers[0]
	term := uint64(0)
	s.loop.Do(context.Background(), func(time.Duration) { term = s.core.Status().Term })
	assert.Assert(t, s.orderStillValid(context.Background(), term, id))
	assert.Assert(t, !s.orderStillValid(context.Background(), term, "x"))
	assert.Equal(t, targetOf(g.currentRow(0, "x")).Instance, "x")
}

// For heartbeats of several starts in any order, the row reflects the newest start, and a drain
// of that start persists.
func TestRowReflectsNewestStart(t *testing.T) {
	g := newGroup(t, 1)
	run := 0
	rapid.Check(t, func(r *rapid.T) {
		run++
		name := fmt.Sprint("b", run)
		newest, drained := state.UnixMilli(0), false
		sequences := map[state.UnixMilli]coordapi.Sequence{}
		for range rapid.IntRange(1, 12).Draw(r, "words") {
			born := state.UnixMilli(100 * rapid.IntRange(1, 4).Draw(r, "born"))
			sequences[born]++
			sequence := sequences[born]
			if rapid.IntRange(0, 3).Draw(r, "late") == 0 {
				sequence = max(sequence/2, 1)
			}
			drains := rapid.IntRange(0, 4).Draw(r, "drains") == 0
			g.call(0, heartbeatOf(name, born, sequence, drains, int(born)))
			if born > newest {
				newest, drained = born, false
			}
			if born == newest {
				drained = drained || drains
			}
			row := g.currentRow(0, name)
			if row.Born != newest || row.Draining != drained || row.Weights["m"] != int(newest) {
				r.Fatalf("row is %+v, newest %d, drained %v", row, newest, drained)
			}
		}
	})
}

// A heartbeat with a pool that is not configured registers nothing and neither moves a back end
// nor takes its address, whatever its start time. Once the pool is configured it is accepted.
func TestHeartbeatWithUnknownPoolChangesNothing(t *testing.T) {
	g := newGroup(t, 1)
	document := func(version uint64, more string) coordapi.Request {
		return coordapi.Request{Configure: &state.Configure{Version: version, Document: []byte(fmt.Sprintf(`{"version":%d,"pools":[{"name":"llm"}%s]}`, version, more))}}
	}
	g.call(0, document(1, ""))
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	send := func(name string, born state.UnixMilli, draining bool) error {
		w := heartbeatOf(name, born, 90, draining, 1)
		w.Heartbeat.Backend.Pool, w.Heartbeat.Backend.Address = "later", "x"
		_, err := g.servers[0].Call(context.Background(), w)
		return err
	}
	stray := func(name string, born state.UnixMilli) error { return send(name, born, true) }
	for _, draining := range []bool{true, false} {
		assert.ErrorIs(t, send("x", 100, draining), ErrUnknownPool)
		assert.ErrorIs(t, send("x", 0, draining), ErrUnknownPool)
	}
	assert.NilError(t, send("x", 900, false))
	assert.NilError(t, send("y", 900, false))
	// A drain that is not recorded is not acknowledged.
	assert.ErrorIs(t, stray("x", 900), ErrUnknownPool)
	assert.ErrorIs(t, stray("y", 900), ErrUnknownPool)
	g.call(0, heartbeatOf("x", 100, 2, false, 2))
	row := g.currentRow(0, "x")
	assert.Equal(t, row.Pool, "llm")
	assert.Equal(t, row.Born, state.UnixMilli(100))
	assert.Assert(t, !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 2})
	assert.Equal(t, g.currentRow(0, "y").ID, "")
	g.awaitPlaced("x")
	g.call(0, document(2, `,{"name":"later"}`))
	assert.NilError(t, stray("y", 900))
	assert.Equal(t, g.currentRow(0, "y").Pool, "later")
	// A back end stays registered when its pool is removed.
	g.call(0, document(3, ""))
	g.call(0, heartbeatOf("x", 100, 3, false, 2))
	assert.NilError(t, stray("y", 900))
	assert.Equal(t, g.currentRow(0, "y").Pool, "later")
}

// Guards against a later start's row that lost its instance in a replica of an older build, so
// that requests name the row instead of the back end.
func TestRowGetsLostInstanceFromNextHeartbeat(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	g.call(0, heartbeatOf("x", 200, 1, false, 1))
	g.awaitSingleStart(0, "x", 200)
	row := g.currentRow(0, "x")
	row.Instance, row.Born = "", 0
	_, err := g.servers[0].submit(context.Background(), state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}})
	assert.NilError(t, err)
	lost := g.row(0, row.ID)
	assert.Equal(t, lost.Name(), row.ID)
	g.call(0, heartbeatOf("x", 200, 2, false, 1))
	again := g.row(0, row.ID)
	assert.Equal(t, again.Name(), "x")
	assert.Equal(t, again.Born, state.UnixMilli(200))
}
