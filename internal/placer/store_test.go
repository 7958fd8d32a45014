package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
