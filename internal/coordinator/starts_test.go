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

// word is a heartbeat of one start of a back end.
func word(name string, born state.UnixMilli, sequence coordapi.Sequence, draining bool, version int) coordapi.Request {
	return coordapi.Request{Heartbeat: &coordapi.Heartbeat{Sequence: sequence, Backend: state.Backend{ID: name, Born: born, Pool: "llm", Address: name,
		Weights: map[string]int{"m": version}, Draining: draining}}}
}

func goodbye(name string, born state.UnixMilli) coordapi.Request {
	return coordapi.Request{Leave: &coordapi.Leave{ID: name, Born: born}}
}

// present is the row of a back end's present start as a node knows it.
func (g *group) present(i int, name string) state.Backend {
	var row state.Backend
	g.servers[i].loop.Do(context.Background(), func(time.Duration) { row, _ = g.servers[i].core.Machine().Deployment().Current(name) })
	return row
}

// awaitOnly waits until a node knows a back end by one start only.
func (g *group) awaitOnly(i int, name string, born state.UnixMilli) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
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

// A back end had drained, ended and started again under its name. Its heartbeats were taken
// for late ones until they passed the count of the start before, its drain stayed for
// good, and it was held for loaded with weights that it had lost.
func TestABackEndThatStartsAgainUnderItsNameIsANewOne(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, word("x", 100, 50, false, 7))
	g.call(1, word("x", 100, 51, true, 7))
	first := g.present(g.leader(), "x")
	assert.Equal(t, first.ID, "x")
	assert.Assert(t, first.Draining)
	g.call(2, word("x", 200, 1, false, 3))
	g.awaitOnly(g.leader(), "x", 200)
	row := g.present(g.leader(), "x")
	assert.Assert(t, row.ID != "x" && row.Name() == "x" && !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 3})

	// Late words of the start before change nothing, at whichever node they arrive, and
	// whoever leads.
	late := []coordapi.Request{word("x", 100, 52, true, 9), goodbye("x", 100), word("x", 100, 1, false, 1)}
	for i := range g.servers {
		for _, w := range late {
			g.call(i, w)
		}
	}
	led := g.leader()
	g.kill(led)
	g.start(led)
	for i := range g.servers {
		for _, w := range late {
			g.call(i, w)
		}
	}
	assert.DeepEqual(t, g.present(g.leader(), "x"), row)
	// The words of the present one count.
	alive := g.leader()
	g.call(alive, word("x", 200, 2, false, 4))
	assert.DeepEqual(t, g.present(alive, "x").Weights, map[string]int{"m": 4})
	g.call(alive, goodbye("x", 200))
	assert.Assert(t, g.present(alive, "x").Draining)
	g.call(alive, word("x", 300, 1, false, 4))
	g.awaitOnly(alive, "x", 300)
	assert.Assert(t, !g.present(alive, "x").Draining)
}

// A start that is gone does not come back by a heartbeat that was held up, and its
// successor is let in.
func TestADepartedStartStaysGoneAndItsSuccessorComes(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 100, 9, false, 1))
	depart := func(id string) {
		_, err := g.servers[0].submit(context.Background(), state.Command{Depart: &state.Depart{IDs: []string{id}}})
		assert.NilError(t, err)
	}
	depart("x")
	g.call(0, word("x", 100, 10, false, 1))
	assert.Equal(t, g.present(0, "x").ID, "")
	g.call(0, word("x", 200, 1, false, 1))
	row := g.present(0, "x")
	assert.Equal(t, row.Born, state.UnixMilli(200))
	depart(row.ID)
	g.call(0, word("x", 200, 2, false, 1))
	g.call(0, word("x", 100, 11, false, 1))
	assert.Equal(t, g.present(0, "x").ID, "")
	// One that does not say when it started is the one that is gone.
	g.call(0, word("x", 0, 12, false, 1))
	assert.Equal(t, g.present(0, "x").ID, "")
}

// A back end's clock was set back between its starts: the new one says that it is older. It
// is taken as soon as the one before is silent.
func TestAStartWhoseClockWasSetBackComesBackOnceTheOneBeforeIsSilent(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 200, 9, false, 1))
	g.call(0, word("x", 100, 1, false, 1))
	assert.Equal(t, g.present(0, "x").Born, state.UnixMilli(200))
	limit := silentLimit(g.config[0].BackendHeartbeat)
	g.slept[0].Add(int64(limit + time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.call(0, word("x", 100, 2, false, 1))
		if g.present(0, "x").Born != 100 {
			return poll.Continue("not taken")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(100*time.Millisecond))
	g.awaitOnly(0, "x", 100)
}

// Of two processes under one name the later start has it, and the other changes nothing
// however often it speaks.
func TestTwoProcessesUnderOneName(t *testing.T) {
	g := newGroup(t, 1)
	for n := range coordapi.Sequence(10) {
		g.call(0, word("x", 200, n+1, false, 2))
		g.call(0, word("x", 100, 50+n, n == 5, 9))
	}
	row := g.present(0, "x")
	assert.Equal(t, row.Born, state.UnixMilli(200))
	assert.Assert(t, !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 2})
}

// That a start leaves overtakes its first heartbeat.
func TestAStartThatLeavesBeforeItIsKnownIsNotTakenForReady(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 100, 1, false, 1))
	g.call(0, goodbye("x", 200))
	g.call(0, word("x", 200, 1, false, 1))
	g.awaitOnly(0, "x", 200)
	assert.Assert(t, g.present(0, "x").Draining)
}

// A row of a build that knew no starts learns its own from the next heartbeat, without
// another row.
func TestARowLearnsWhenItsBackEndStarted(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 0, 8, false, 1))
	g.call(0, word("x", 100, 9, false, 1))
	row := g.present(0, "x")
	assert.Equal(t, row.ID, "x")
	assert.Equal(t, row.Born, state.UnixMilli(100))
	g.call(0, word("x", 0, 10, true, 1))
	assert.Assert(t, g.present(0, "x").Draining)
}

// Placements name a later start by the back end's own name, and orders go to the start
// that they were meant for or to none.
func TestWhatIsSentToALaterStartNamesTheBackEnd(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 100, 1, false, 1))
	g.call(0, word("x", 200, 1, false, 1))
	g.awaitOnly(0, "x", 200)
	id := g.present(0, "x").ID
	g.awaitPlaced(id)
	reply := g.call(0, place(1000))
	assert.Equal(t, reply.Placed.Instance, "x")
	s := g.servers[0]
	term := uint64(0)
	s.loop.Do(context.Background(), func(time.Duration) { term = s.core.Status().Term })
	assert.Assert(t, s.mayOrderStart(context.Background(), term, id))
	assert.Assert(t, !s.mayOrderStart(context.Background(), term, "x"))
	assert.Equal(t, targetOf(g.present(0, "x")).Instance, "x")
}

// Whatever order words of several starts arrive in, what is believed of a back end was said
// by the newest start that has spoken, and a drain of that one stays.
func TestWhatIsBelievedWasSaidByTheNewestStart(t *testing.T) {
	g := newGroup(t, 1)
	run := 0
	rapid.Check(t, func(r *rapid.T) {
		run++
		name := fmt.Sprint("b", run)
		newest, drained := state.UnixMilli(0), false
		sequences := map[state.UnixMilli]coordapi.Sequence{}
		highest := map[state.UnixMilli]coordapi.Sequence{}
		for range rapid.IntRange(1, 12).Draw(r, "words") {
			born := state.UnixMilli(100 * rapid.IntRange(1, 4).Draw(r, "born"))
			sequences[born]++
			sequence := sequences[born]
			if rapid.IntRange(0, 3).Draw(r, "late") == 0 {
				sequence = max(sequence/2, 1)
			}
			drains := rapid.IntRange(0, 4).Draw(r, "drains") == 0
			g.call(0, word(name, born, sequence, drains, int(born)))
			if born > newest {
				newest, drained = born, false
			}
			if born == newest && sequence > highest[born] {
				drained = drained || drains
			}
			highest[born] = max(highest[born], sequence)
			row := g.present(0, name)
			if row.Born != newest || row.Draining != drained || row.Weights["m"] != int(newest) {
				r.Fatalf("believed %+v, newest %d, drained %v", row, newest, drained)
			}
		}
	})
}

// A heartbeat in a back end's name that names no pool of the configuration enrols nobody,
// takes the back end out of no pool and its address from no other, however late a start it
// claims; once the pool is named, its sender is there.
func TestAHeartbeatOfAPoolThatIsNotNamedChangesNothing(t *testing.T) {
	g := newGroup(t, 1)
	document := func(version uint64, more string) coordapi.Request {
		return coordapi.Request{Configure: &state.Configure{Version: version, Document: []byte(fmt.Sprintf(`{"version":%d,"pools":[{"name":"llm"}%s]}`, version, more))}}
	}
	g.call(0, document(1, ""))
	g.call(0, word("x", 100, 1, false, 1))
	stray := func(name string, born state.UnixMilli) error {
		w := word(name, born, 90, true, 1)
		w.Heartbeat.Backend.Pool, w.Heartbeat.Backend.Address = "later", "x"
		_, err := g.servers[0].Call(context.Background(), w)
		return err
	}
	assert.ErrorIs(t, stray("x", 100), ErrUnknownPool)
	assert.ErrorIs(t, stray("x", 0), ErrUnknownPool)
	assert.NilError(t, stray("x", 900))
	assert.NilError(t, stray("y", 900))
	g.call(0, word("x", 100, 2, false, 2))
	row := g.present(0, "x")
	assert.Equal(t, row.Pool, "llm")
	assert.Equal(t, row.Born, state.UnixMilli(100))
	assert.Assert(t, !row.Draining)
	assert.DeepEqual(t, row.Weights, map[string]int{"m": 2})
	assert.Equal(t, g.present(0, "y").ID, "")
	g.awaitPlaced("x")
	g.call(0, document(2, `,{"name":"later"}`))
	assert.NilError(t, stray("y", 900))
	assert.Equal(t, g.present(0, "y").Pool, "later")
	// One whose pool has gone from the configuration stays known.
	g.call(0, document(3, ""))
	g.call(0, word("x", 100, 3, false, 2))
	assert.NilError(t, stray("y", 900))
	assert.Equal(t, g.present(0, "y").Pool, "later")
}

// A replica of a build that knew no starts has dropped from a later start's row how the back
// end names itself, and led. Requests then named the row, which no back end answers to, for
// good: heartbeats brought only the time of the start back.
func TestARowThatLostItsBackEndsNameHasItAgainWithTheNextHeartbeat(t *testing.T) {
	g := newGroup(t, 1)
	g.call(0, word("x", 100, 1, false, 1))
	g.call(0, word("x", 200, 1, false, 1))
	g.awaitOnly(0, "x", 200)
	row := g.present(0, "x")
	row.Instance, row.Born = "", 0
	_, err := g.servers[0].submit(context.Background(), state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}})
	assert.NilError(t, err)
	lost := g.row(0, row.ID)
	assert.Equal(t, lost.Name(), row.ID)
	g.call(0, word("x", 200, 2, false, 1))
	again := g.row(0, row.ID)
	assert.Equal(t, again.Name(), "x")
	assert.Equal(t, again.Born, state.UnixMilli(200))
}
