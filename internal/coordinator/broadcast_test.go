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

// testMachine is a state machine to which tests apply commands.
type testMachine struct {
	t       testing.TB
	machine *state.Machine
}

func (r *testMachine) apply(command state.Command) *state.Deployment {
	r.t.Helper()
	text, err := json.Marshal(command)
	assert.NilError(r.t, err)
	_, err = r.machine.Apply(r.machine.Applied()+1, 1, text)
	assert.NilError(r.t, err)
	return r.machine.Deployment()
}

// enrolEngines enrols the engines with the given range of numbers.
func (r *testMachine) enrolEngines(from, to int) *state.Deployment {
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

func newTestMachine(t testing.TB) *testMachine { return &testMachine{t, state.New()} }

// rowsOf returns the rows of a view, unpacked.
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

// Guards against views that grow with the number of engines in the deployment.
func TestViewSizeIsBounded(t *testing.T) {
	for _, engines := range []int{400, 10000, 20000} {
		r := newTestMachine(t)
		r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: "plain", Pool: "api"}}}})
		d := r.enrolEngines(0, engines)
		var s broadcast
		s.advance(0, r.machine.Applied(), d)
		received := map[string]bool{}
		for i := range s.shards() {
			v := &coordapi.View{Shard: coordapi.Shard{Index: i, Count: s.shards()}}
			s.fillFull(v, d)
			rows := rowsOf(t, v)
			assert.Assert(t, len(rows) <= enginesPerShard*5/4, "%d of %d", len(rows), engines)
			assert.Assert(t, len(v.Packed) < 40*enginesPerShard, "%d bytes", len(v.Packed))
			for _, b := range rows {
				assert.Assert(t, b.ID == "plain" || v.Shard.Holds(coordapi.BackendID(b.ID)))
				received[b.ID] = true
			}
			assert.Assert(t, rows[0].ID == "plain")
		}
		assert.Equal(t, len(received), engines+1, "each row is in some view")
	}
}

func TestShardCountFollowsEngineCount(t *testing.T) {
	assert.Equal(t, shardCount(0, 0), 1)
	assert.Equal(t, shardCount(enginesPerShard, 1), 1)
	assert.Equal(t, shardCount(enginesPerShard+1, 1), 2)
	assert.Equal(t, shardCount(9675, 1), 32)
	assert.Equal(t, shardCount(enginesPerShard-1, 2), 2, "a few removed engines do not change the count")
	assert.Equal(t, shardCount(enginesPerShard*3/4, 2), 1)
}

// When the number of shards grows, a router has all rows of its new shard already.
func TestSplitShardIsSubsetOfFormer(t *testing.T) {
	for i := range 200 {
		router := fmt.Sprint("r", i)
		few, many := coordapi.ShardOf(router, 4), coordapi.ShardOf(router, 8)
		for j := range 200 {
			engine := coordapi.BackendID(fmt.Sprint("b", j))
			assert.Assert(t, !many.Holds(engine) || few.Holds(engine))
		}
	}
}

func TestEngineChangeConcernsItsShardOnly(t *testing.T) {
	r := newTestMachine(t)
	d := r.enrolEngines(0, 5000)
	var s broadcast
	_, all := s.advance(0, r.machine.Applied(), d)
	assert.Assert(t, all)
	since := s.revision
	row := engineRow(17)
	row.Draining = true
	d = r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}})
	changed, all := s.advance(0, r.machine.Applied(), d)
	assert.Assert(t, !all)
	mine := coordapi.ShardIndex(coordapi.BackendID(row.ID), s.shards())
	assert.DeepEqual(t, changed, []int{mine})
	for i := range s.shards() {
		shard := coordapi.Shard{Index: i, Count: s.shards()}
		assert.Equal(t, s.lastChange(d, shard) > since, i == mine)
		v := &coordapi.View{Shard: shard}
		s.fillChanges(v, d, since)
		assert.Equal(t, len(v.Backends) == 1, i == mine)
	}
	d = r.apply(state.Command{Depart: &state.Depart{IDs: []string{row.ID}}})
	changed, _ = s.advance(0, r.machine.Applied(), d)
	assert.DeepEqual(t, changed, []int{mine})
	v := &coordapi.View{Shard: coordapi.Shard{Index: mine, Count: s.shards()}}
	s.fillChanges(v, d, since)
	assert.DeepEqual(t, v.Departed, []string{row.ID})
	// A plain back end concerns all routers.
	d = r.apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: "plain"}}}})
	_, all = s.advance(0, r.machine.Applied(), d)
	assert.Assert(t, all)
}

// Rows that change between two broadcast revisions are in the view of the next one.
func TestRowsChangedBetweenRevisionsAreNotLost(t *testing.T) {
	r := newTestMachine(t)
	r.enrolEngines(0, 10)
	var s broadcast
	held := map[string]bool{}
	since := uint64(0)
	fetch := func() {
		d := r.machine.Deployment()
		v := &coordapi.View{}
		if since == 0 {
			s.fillFull(v, d)
		} else {
			s.fillChanges(v, d, since)
		}
		for _, b := range rowsOf(t, v) {
			held[b.ID] = true
		}
		since = s.revision
	}
	for i := range 20 {
		s.advance(0, r.machine.Applied(), r.enrolEngines(10+20*i, 20+20*i))
		r.enrolEngines(20+20*i, 25+20*i)
		fetch()
		r.enrolEngines(25+20*i, 30+20*i)
	}
	s.advance(0, r.machine.Applied(), r.machine.Deployment())
	fetch()
	assert.Equal(t, len(held), 10+20*20)
}

// Guards against packing the same rows for each router.
func TestRowsArePackedOnceForAllWatchers(t *testing.T) {
	r := newTestMachine(t)
	r.enrolEngines(0, 1)
	since := r.machine.Applied()
	d := r.enrolEngines(1, 101)
	var s broadcast
	s.advance(0, r.machine.Applied(), d)
	first, second := &coordapi.View{}, &coordapi.View{}
	s.fillChanges(first, d, since)
	s.fillChanges(second, d, since)
	assert.Equal(t, len(rowsOf(t, first)), 100)
	assert.Assert(t, &first.PackedBackends[0] == &second.PackedBackends[0])
	other := &coordapi.View{}
	s.fillChanges(other, d, r.machine.Applied())
	assert.Equal(t, len(rowsOf(t, other)), 0)
}

// The configuration and blocked requests are broadcast at once; changes of rows wait longer the
// more routers there are, which bounds the rate of views.
func TestOnlyRowChangesAreDelayed(t *testing.T) {
	r := newTestMachine(t)
	d := r.enrolEngines(0, 1)
	var s broadcast
	s.advance(time.Second, r.machine.Applied(), d)
	d = r.enrolEngines(1, 2)
	for _, routers := range []int{1, 100, 1000, 2000} {
		wait := time.Duration(routers) * broadcastIntervalPerRouter
		assert.Assert(t, !s.due(time.Second+wait-1, d, routers))
		assert.Assert(t, s.due(time.Second+wait, d, routers))
		assert.Assert(t, float64(routers)/wait.Seconds() <= 2000)
	}
	d = r.apply(state.Command{Configure: &state.Configure{Version: 1, Document: []byte(`{}`)}})
	assert.Assert(t, s.due(time.Second, d, 2000))
}

// Guards against encoding a large configuration for each router.
func TestLargeConfigurationIsPackedOnce(t *testing.T) {
	r := newTestMachine(t)
	text := `{"routes":"` + strings.Repeat("some route ", minPackedDocument) + `"}`
	d := r.apply(state.Command{Configure: &state.Configure{Version: 1, Document: []byte(text)}})
	var s broadcast
	s.advance(0, r.machine.Applied(), d)
	first, second := &coordapi.View{}, &coordapi.View{}
	s.fillChanges(first, d, 0)
	s.fillChanges(second, d, 0)
	assert.Assert(t, len(first.Document) == 0)
	assert.Assert(t, &first.PackedDocument[0] == &second.PackedDocument[0])
	var document json.RawMessage
	assert.NilError(t, coordapi.Unpack(first.PackedDocument, &document))
	assert.Equal(t, string(document), text)
	d = r.apply(state.Command{Configure: &state.Configure{Version: 2, Document: []byte(`{"small":1}`)}})
	s.advance(0, r.machine.Applied(), d)
	third := &coordapi.View{}
	s.fillChanges(third, d, 0)
	assert.Equal(t, string(third.Document), `{"small":1}`)
}

// Between two checks of all back ends, a new back end at the address of another is found by its
// changed row.
func TestSuccessorIsFoundByChangedRow(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1", EnrolledRevision: 4}, "other": {ID: "other", Address: "b:1", EnrolledRevision: 5}}
	soft.heartbeat(time.Second, "old", 1)
	soft.heartbeat(time.Second, "other", 1)
	soft.checkAll(1100*time.Millisecond, time.Second, rows)
	next := state.Backend{ID: "new", Address: "a:1", EnrolledRevision: 9}
	rows["new"] = next
	soft.heartbeat(1200*time.Millisecond, "new", 1)
	assert.Assert(t, soft.checkChanged(1200*time.Millisecond, time.Second, []state.Backend{next}, rows))
	assert.DeepEqual(t, soft.silent, []string{"old"})
	// A change of the superseded row does not make it the successor.
	assert.Assert(t, !soft.checkChanged(1200*time.Millisecond, time.Second, []state.Backend{rows["old"], next}, rows))
	soft.checkAll(1300*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
}

func TestSilentBackendsAreFilteredByShard(t *testing.T) {
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
	received := 0
	for i := range 4 {
		shard := coordapi.Shard{Index: i, Count: 4}
		for _, id := range soft.silentOf(d, shard) {
			assert.Assert(t, id == "plain" || shard.Holds(coordapi.BackendID(id)))
			received++
		}
	}
	assert.Equal(t, received, 40+4)
	assert.Equal(t, len(soft.silentOf(d, coordapi.Shard{})), 41)
	soft.addSilent("z")
	assert.Assert(t, soft.isSilent("z"))
}

// Guards against a panic of a new leader that serves a view before its first silence check.
func TestNoBackendIsSilentBeforeFirstCheck(t *testing.T) {
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
