package coordinator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// replicated is a state machine to which tests apply commands.
type replicated struct {
	t       testing.TB
	machine *state.Machine
}

func (r *replicated) apply(command state.Command) *state.Deployment {
	r.t.Helper()
	text, err := json.Marshal(command)
	assert.NilError(r.t, err)
	_, err = r.machine.Apply(r.machine.Applied()+1, 1, text)
	assert.NilError(r.t, err)
	return r.machine.Deployment()
}

// enrolled applies rows of engines with these numbers.
func (r *replicated) enrolled(from, to int) *state.Deployment {
	var rows []state.Backend
	for i := from; i < to; i++ {
		rows = append(rows, engineRow(i))
	}
	return r.apply(state.Command{Enrol: &state.Enrol{Backends: rows}})
}

func engineRow(i int) state.Backend {
	return state.Backend{ID: fmt.Sprintf("i-%010x", i*7919), Pool: "llm", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Zone: "east",
		Slots: 16, Weights: map[string]int{"m": 1}}
}

func newReplicated(t testing.TB) *replicated { return &replicated{t, state.New()} }

// rowsOf unpacks the rows of a view.
func rowsOf(t *testing.T, v *coordapi.View) []state.Backend {
	t.Helper()
	rows := v.Backends
	if len(v.PackedBackends) > 0 {
		assert.NilError(t, coordapi.Unpack(v.PackedBackends, &rows))
	}
	if len(v.Packed) > 0 {
		var whole coordapi.FullView
		assert.NilError(t, coordapi.Unpack(v.Packed, &whole))
		rows = whole.Backends
	}
	return rows
}

// Every row went to every router: 10 million copies among 1,000 routers and 10,000 back
// ends, and 400 KB for each router that started. A deployment twice as large doubles the
// shards, not what a router hears.
func TestWhatARouterIsToldDoesNotGrowWithTheEngines(t *testing.T) {
	for _, engines := range []int{400, 10000, 20000} {
		r := newReplicated(t)
		r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: "plain", Pool: "api"}}}})
		d := r.enrolled(0, engines)
		var s step
		s.next(0, r.machine.Applied(), d)
		heard := map[string]bool{}
		for i := range s.shards() {
			v := &coordapi.View{Shard: coordapi.Shard{Index: i, Count: s.shards()}}
			s.fillWhole(v, d)
			rows := rowsOf(t, v)
			assert.Assert(t, len(rows) <= enginesPerShard*5/4, "%d of %d", len(rows), engines)
			assert.Assert(t, len(v.Packed) < 40*enginesPerShard, "%d bytes", len(v.Packed))
			for _, b := range rows {
				assert.Assert(t, b.ID == "plain" || v.Shard.Holds(coordapi.BackendID(b.ID)))
				heard[b.ID] = true
			}
			assert.Assert(t, rows[0].ID == "plain")
		}
		assert.Equal(t, len(heard), engines+1, "some router hears of each")
	}
}

func TestShardsFollowTheNumberOfEngines(t *testing.T) {
	assert.Equal(t, shardCount(0, 0), 1)
	assert.Equal(t, shardCount(enginesPerShard, 1), 1)
	assert.Equal(t, shardCount(enginesPerShard+1, 1), 2)
	assert.Equal(t, shardCount(9675, 1), 32)
	assert.Equal(t, shardCount(enginesPerShard-1, 2), 2, "a few that leave change nothing")
	assert.Equal(t, shardCount(enginesPerShard*3/4, 2), 1)
}

// A router's shard lies in the one that it had among fewer: it has all rows of the new one
// and asks for none.
func TestAShardAmongMoreLiesInTheOneBefore(t *testing.T) {
	for i := range 200 {
		router := fmt.Sprint("r", i)
		few, many := coordapi.ShardOf(router, 4), coordapi.ShardOf(router, 8)
		for j := range 200 {
			engine := coordapi.BackendID(fmt.Sprint("b", j))
			assert.Assert(t, !many.Holds(engine) || few.Holds(engine))
		}
	}
}

func TestAChangeOfAnEngineConcernsTheRoutersOfItsShard(t *testing.T) {
	r := newReplicated(t)
	d := r.enrolled(0, 5000)
	var s step
	_, all := s.next(0, r.machine.Applied(), d)
	assert.Assert(t, all)
	since := s.revision
	row := engineRow(17)
	row.Draining = true
	d = r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}})
	changed, all := s.next(0, r.machine.Applied(), d)
	assert.Assert(t, !all)
	mine := coordapi.ShardIndex(coordapi.BackendID(row.ID), s.shards())
	assert.DeepEqual(t, changed, []int{mine})
	for i := range s.shards() {
		shard := coordapi.Shard{Index: i, Count: s.shards()}
		assert.Equal(t, s.changedFor(d, shard) > since, i == mine)
		v := &coordapi.View{Shard: shard}
		s.fill(v, d, since)
		assert.Equal(t, len(v.Backends) == 1, i == mine)
	}
	d = r.apply(state.Command{Depart: &state.Depart{IDs: []string{row.ID}}})
	changed, _ = s.next(0, r.machine.Applied(), d)
	assert.DeepEqual(t, changed, []int{mine})
	v := &coordapi.View{Shard: coordapi.Shard{Index: mine, Count: s.shards()}}
	s.fill(v, d, since)
	assert.DeepEqual(t, v.Departed, []string{row.ID})
	// A plain back end concerns all.
	d = r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: "plain"}}}})
	_, all = s.next(0, r.machine.Applied(), d)
	assert.Assert(t, all)
}

// Rows that change while a step lasts reach a router with that step or the next, none is
// left out.
func TestRowsThatChangeBetweenStepsAreNotLost(t *testing.T) {
	r := newReplicated(t)
	r.enrolled(0, 10)
	var s step
	held := map[string]bool{}
	since := uint64(0)
	ask := func() {
		d := r.machine.Deployment()
		v := &coordapi.View{}
		if since == 0 {
			s.fillWhole(v, d)
		} else {
			s.fill(v, d, since)
		}
		for _, b := range rowsOf(t, v) {
			held[b.ID] = true
		}
		since = s.revision
	}
	for i := range 20 {
		s.next(0, r.machine.Applied(), r.enrolled(10+20*i, 20+20*i))
		r.enrolled(20+20*i, 25+20*i)
		ask()
		r.enrolled(25+20*i, 30+20*i)
	}
	s.next(0, r.machine.Applied(), r.machine.Deployment())
	ask()
	assert.Equal(t, len(held), 10+20*20)
}

// Rows that changed were written out for each router: 3,000 back ends that start
// took 700 KB each.
func TestRowsThatManyWatchersLackArePackedOnce(t *testing.T) {
	r := newReplicated(t)
	r.enrolled(0, 1)
	since := r.machine.Applied()
	d := r.enrolled(1, 101)
	var s step
	s.next(0, r.machine.Applied(), d)
	first, second := &coordapi.View{}, &coordapi.View{}
	s.fill(first, d, since)
	s.fill(second, d, since)
	assert.Equal(t, len(rowsOf(t, first)), 100)
	assert.Assert(t, &first.PackedBackends[0] == &second.PackedBackends[0])
	other := &coordapi.View{}
	s.fill(other, d, r.machine.Applied())
	assert.Equal(t, len(rowsOf(t, other)), 0)
}

// The configuration and blocked requests wait for no step; rows wait the longer the more
// routers there are, so that the leader makes no more views a second.
func TestOnlyRowsWaitForAStep(t *testing.T) {
	r := newReplicated(t)
	d := r.enrolled(0, 1)
	var s step
	s.next(time.Second, r.machine.Applied(), d)
	d = r.enrolled(1, 2)
	for _, routers := range []int{1, 100, 1000, 2000} {
		wait := time.Duration(routers) * stepPerRouter
		assert.Assert(t, !s.due(time.Second+wait-1, d, routers))
		assert.Assert(t, s.due(time.Second+wait, d, routers))
		assert.Assert(t, float64(routers)/wait.Seconds() <= 2000)
	}
	d = r.apply(state.Command{Configure: &state.Configure{Version: 1, Document: []byte(`{}`)}})
	assert.Assert(t, s.due(time.Second, d, 2000))
}

// A configuration of a large deployment was written out for each router.
func TestALargeConfigurationIsPackedOnce(t *testing.T) {
	r := newReplicated(t)
	text := `{"routes":"` + strings.Repeat("some route ", packDocumentFrom) + `"}`
	d := r.apply(state.Command{Configure: &state.Configure{Version: 1, Document: []byte(text)}})
	var s step
	s.next(0, r.machine.Applied(), d)
	first, second := &coordapi.View{}, &coordapi.View{}
	s.fill(first, d, 0)
	s.fill(second, d, 0)
	assert.Assert(t, len(first.Document) == 0)
	assert.Assert(t, &first.PackedDocument[0] == &second.PackedDocument[0])
	var document json.RawMessage
	assert.NilError(t, coordapi.Unpack(first.PackedDocument, &document))
	assert.Equal(t, string(document), text)
	d = r.apply(state.Command{Configure: &state.Configure{Version: 2, Document: []byte(`{"small":1}`)}})
	s.next(0, r.machine.Applied(), d)
	third := &coordapi.View{}
	s.fill(third, d, 0)
	assert.Equal(t, string(third.Document), `{"small":1}`)
}

// Between two looks at all, a start at another's address is found by its row alone.
func TestASuccessorIsFoundByItsRow(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1", EnrolledRevision: 4}, "other": {ID: "other", Address: "b:1", EnrolledRevision: 5}}
	soft.heard(time.Second, "old", 1)
	soft.heard(time.Second, "other", 1)
	soft.look(1100*time.Millisecond, time.Second, rows)
	next := state.Backend{ID: "new", Address: "a:1", EnrolledRevision: 9}
	rows["new"] = next
	soft.heard(1200*time.Millisecond, "new", 1)
	assert.Assert(t, soft.lookAt(1200*time.Millisecond, time.Second, []state.Backend{next}, rows))
	assert.DeepEqual(t, soft.silent, []string{"old"})
	// The one before changes once more, and is still the one before.
	assert.Assert(t, !soft.lookAt(1200*time.Millisecond, time.Second, []state.Backend{rows["old"], next}, rows))
	soft.look(1300*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
}

func TestARouterHearsOfTheSilentOnesOfItsShard(t *testing.T) {
	var soft softState
	soft.reset(0)
	d := &state.Deployment{Backends: map[string]state.Backend{"plain": {ID: "plain"}}}
	silent := []string{"plain"}
	for i := range 40 {
		row := engineRow(i)
		d.Backends[row.ID] = row
		silent = append(silent, row.ID)
	}
	soft.setSilent(silent)
	heard := 0
	for i := range 4 {
		shard := coordapi.Shard{Index: i, Count: 4}
		for _, id := range soft.silentOf(d, shard) {
			assert.Assert(t, id == "plain" || shard.Holds(coordapi.BackendID(id)))
			heard++
		}
	}
	assert.Equal(t, heard, 40+4)
	assert.Equal(t, len(soft.silentOf(d, coordapi.Shard{})), 41)
	soft.addSilent("z")
	assert.Assert(t, soft.isSilent("z"))
}

// The leader of 10,000 back ends ended itself when a router asked it for a view before its
// first look for silence, 80 ms after it had been elected.
func TestAViewBeforeTheFirstLook(t *testing.T) {
	var soft softState
	soft.reset(0)
	row := engineRow(1)
	d := &state.Deployment{Backends: map[string]state.Backend{row.ID: row}}
	for i := range 4 {
		assert.Equal(t, len(soft.silentOf(d, coordapi.Shard{Index: i, Count: 4})), 0)
	}
	soft.addSilent(row.ID)
	assert.Equal(t, len(soft.silentOf(d, coordapi.ShardOf("r", 1))), 1)
}
