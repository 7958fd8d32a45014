package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/state"
)

// Guards against one log entry for each row when many back ends register together.
func TestRowsArrivingDuringCommitShareNextEntry(t *testing.T) {
	var e rowBatcher
	answered := map[string]error{}
	add := func(id string) { e.add(state.Backend{ID: id}, func(err error) { answered[id] = err }) }
	add("first")
	assert.Equal(t, len(e.nextBatch()), 1, "an idle group commits a row at once")
	for i := range 1000 {
		add(fmt.Sprint(i))
	}
	assert.Assert(t, !e.ready())
	e.finishBatch(nil)
	assert.Equal(t, len(answered), 1)
	entries := 0
	for ; e.ready(); entries++ {
		assert.Assert(t, len(e.nextBatch()) <= maxBatchRows)
		e.finishBatch(nil)
	}
	assert.Equal(t, entries, 4)
	assert.Equal(t, len(answered), 1001)
}

func TestLatestRowIncludesUncommittedChanges(t *testing.T) {
	var e rowBatcher
	d := &state.Deployment{Backends: map[string]state.Backend{"x": {ID: "x", Slots: 1}}}
	slots := func() int {
		row, known := e.row(d, "x")
		assert.Assert(t, known)
		return row.Slots
	}
	assert.Equal(t, slots(), 1)
	assert.Assert(t, e.uncommitted("x") == nil)
	done := 0
	e.add(state.Backend{ID: "x", Slots: 2}, func(error) { done++ })
	assert.Equal(t, slots(), 2)
	e.nextBatch()
	assert.Equal(t, slots(), 2)
	e.add(state.Backend{ID: "x", Slots: 3}, func(error) { done++ })
	e.add(state.Backend{ID: "x", Slots: 4}, func(error) { done++ })
	assert.Equal(t, slots(), 4)
	e.finishBatch(nil)
	assert.Equal(t, done, 1)
	assert.Equal(t, len(e.nextBatch()), 1)
	e.finishBatch(nil)
	assert.Equal(t, done, 3)
}

// Callers must not get success for rows whose outcome is unknown when the leadership ends.
func TestPendingRowsFailWhenLeadershipEnds(t *testing.T) {
	var e rowBatcher
	var results []error
	e.add(state.Backend{ID: "under"}, func(err error) { results = append(results, err) })
	e.nextBatch()
	e.add(state.Backend{ID: "waits"}, func(err error) { results = append(results, err) })
	e.failPending()
	assert.Equal(t, len(results), 2)
	for _, err := range results {
		assert.Assert(t, errors.Is(err, control.ErrLeadershipChanged))
	}
	assert.Assert(t, !e.ready())
	assert.Assert(t, e.uncommitted("under") == nil)
}

// Waiting rows are proposed one entry after the other, without another event in between.
func TestManyRowsAreCommittedInFewEntries(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("first", 1, false))
	leader := g.servers[g.leader()]
	applied := func() (at uint64, rows int) {
		leader.loop.Do(context.Background(), func(time.Duration) {
			at, rows = leader.core.Machine().Applied(), len(leader.core.Machine().Deployment().Backends)
		})
		return at, rows
	}
	before, _ := applied()
	const count = 2000
	done := make(chan error, count)
	leader.loop.Do(context.Background(), func(time.Duration) {
		for i := range count {
			leader.rowBatcher.add(state.Backend{ID: fmt.Sprint("b", i), Pool: "llm"}, func(err error) { done <- err })
		}
	})
	for range count {
		select {
		case err := <-done:
			assert.NilError(t, err)
		case <-time.After(20 * time.Second):
			t.Fatal("rows are not committed")
		}
	}
	after, rows := applied()
	assert.Equal(t, rows, count+1)
	assert.Equal(t, after-before, uint64((count+maxBatchRows-1)/maxBatchRows))
}
