package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// A store was taken to hold for 30 s what it had dropped after six: engines waited for
// a move that brought nothing and read all of it.
func TestAStoreHoldsWhatItHasRoomFor(t *testing.T) {
	s := newStore()
	s.capacity = 100
	first, second := partKey{1, 1}, partKey{2, 1}
	save := func(key partKey) {
		s.grow(40)
		s.put(0, key)
	}
	save(first)
	save(second)
	assert.Assert(t, s.holds(0, first) && s.holds(0, second))
	s.take(first)
	save(partKey{3, 1})
	save(partKey{4, 1})
	assert.Assert(t, s.holds(0, first), "used since")
	s.grow(20)
	assert.Assert(t, !s.holds(0, second), "a hundred tokens have come in since")
	assert.Assert(t, s.holds(0, partKey{4, 1}))
	assert.Assert(t, !s.holds(time.Hour, partKey{4, 1}), "it may have restarted")
	s.capacity = 0
	assert.Assert(t, s.holds(0, second), "its room is not known")
}

// What the store has dropped is saved again with the next request for it.
func TestADroppedPartIsSavedAgain(t *testing.T) {
	p := newTestPlacer(4)
	ask := func(number uint64, key string) bool {
		a := long("r", number, key)
		a.Store, a.StoreTokens = "s:1", 20_000
		return p.Place(time.Second, a).Save
	}
	assert.Assert(t, ask(1, "k"))
	assert.Assert(t, !ask(2, "k"))
	assert.Assert(t, ask(3, "l"))
	assert.Assert(t, ask(4, "m"))
	assert.Assert(t, ask(5, "n"))
	assert.Assert(t, ask(6, "k"))
}

// After a loss of all machines engines waited 1 to 3 s for a store whose link was full,
// to the end of the day: each router alone saw too few of them to notice.
func TestASlowStoreIsLeftAloneUntilItHasCaughtUp(t *testing.T) {
	p := newTestPlacer(4)
	number := uint64(0)
	// Who takes parts from the store waits for it, all others read at once.
	delay := time.Duration(0)
	play := func(now time.Duration, key string, tried ...string) (source string, save bool) {
		number++
		a := long("r", number, key)
		a.Store, a.StoreTokens, a.Tried = "s:1", 1<<30, tried
		placed := p.Place(now, a)
		first := 200 * time.Millisecond
		if placed.Source == a.Store {
			first += delay
		}
		p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: first}}, Ended: []uint64{number}})
		return placed.Source, placed.Save
	}
	now := time.Second
	away := func() string {
		source, _ := play(now, "k", p.parts.holder(now, partHash("k"), 1))
		return source
	}
	play(now, "k")
	assert.Equal(t, away(), "s:1")
	delay = 2 * time.Second
	taken, saved := 0, 0
	for i := range 200 {
		now += 10 * time.Millisecond
		if away() == "s:1" {
			taken++
		}
		if _, save := play(now, fmt.Sprint("own-", i)); save {
			saved++
		}
	}
	// Some try it again and again, since nothing else tells when it has caught up.
	assert.Assert(t, taken < 60, "%d of 200 took parts from it", taken)
	assert.Assert(t, saved < 60, "%d of 200 were saved to it", saved)
	now += 6 * time.Second
	_, save := play(now, "new")
	assert.Assert(t, save, "it is tried again")
}
