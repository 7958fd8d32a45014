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

// Each back end that registered took an entry of the log of its own, and 10,000 that
// started together were not through when traffic began.
func TestRowsThatComeWhileAnEntryIsUnderWayShareTheNext(t *testing.T) {
	var e enrolment
	answered := map[string]error{}
	add := func(id string) { e.add(state.Backend{ID: id}, func(err error) { answered[id] = err }) }
	add("first")
	assert.Equal(t, len(e.next()), 1, "an idle group commits a row at once")
	for i := range 1000 {
		add(fmt.Sprint(i))
	}
	assert.Assert(t, !e.due())
	e.finished(nil)
	assert.Equal(t, len(answered), 1)
	entries := 0
	for ; e.due(); entries++ {
		assert.Assert(t, len(e.next()) <= maxEnrolled)
		e.finished(nil)
	}
	assert.Equal(t, entries, 4)
	assert.Equal(t, len(answered), 1001)
}

func TestAChangeBuildsOnTheOneBeforeIt(t *testing.T) {
	var e enrolment
	d := &state.Deployment{Backends: map[string]state.Backend{"x": {ID: "x", Slots: 1}}}
	slots := func() int {
		row, known := e.row(d, "x")
		assert.Assert(t, known)
		return row.Slots
	}
	assert.Equal(t, slots(), 1)
	assert.Assert(t, e.ahead("x") == nil)
	done := 0
	e.add(state.Backend{ID: "x", Slots: 2}, func(error) { done++ })
	assert.Equal(t, slots(), 2)
	e.next()
	assert.Equal(t, slots(), 2)
	e.add(state.Backend{ID: "x", Slots: 3}, func(error) { done++ })
	e.add(state.Backend{ID: "x", Slots: 4}, func(error) { done++ })
	assert.Equal(t, slots(), 4)
	e.finished(nil)
	assert.Equal(t, done, 1)
	assert.Equal(t, len(e.next()), 1)
	e.finished(nil)
	assert.Equal(t, done, 3)
}

// Nobody is told that a row is in force when the leadership ended before that was known.
func TestWhoWaitsForARowHearsThatItsOutcomeIsNotKnown(t *testing.T) {
	var e enrolment
	var heard []error
	e.add(state.Backend{ID: "under"}, func(err error) { heard = append(heard, err) })
	e.next()
	e.add(state.Backend{ID: "waits"}, func(err error) { heard = append(heard, err) })
	e.lose()
	assert.Equal(t, len(heard), 2)
	for _, err := range heard {
		assert.Assert(t, errors.Is(err, control.ErrLeadershipChanged))
	}
	assert.Assert(t, !e.due())
	assert.Assert(t, e.ahead("under") == nil)
}

// Rows that wait follow one entry after the other, without another event in between.
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
			leader.enrolment.add(state.Backend{ID: fmt.Sprint("b", i), Pool: "llm"}, func(err error) { done <- err })
		}
	})
	for range count {
		select {
		case err := <-done:
			assert.NilError(t, err)
		case <-time.After(20 * time.Second):
			t.Fatal("rows are not answered")
		}
	}
	after, rows := applied()
	assert.Equal(t, rows, count+1)
	assert.Equal(t, after-before, uint64((count+maxEnrolled-1)/maxEnrolled))
}
