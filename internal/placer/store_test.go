package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Guards against fetching parts that the store has evicted.
func TestStoreEvictsLeastRecentlyUsed(t *testing.T) {
	s := newStore()
	s.capacity = 100
	first, second := partKey{1, 1}, partKey{2, 1}
	save := func(key partKey) {
		s.addTokens(40)
		s.add(0, key)
	}
	save(first)
	save(second)
	assert.Assert(t, s.holds(0, first) && s.holds(0, second))
	s.touch(first)
	save(partKey{3, 1})
	save(partKey{4, 1})
	assert.Assert(t, s.holds(0, first), "used recently")
	s.addTokens(20)
	assert.Assert(t, !s.holds(0, second), "100 tokens were added since")
	assert.Assert(t, s.holds(0, partKey{4, 1}))
	assert.Assert(t, !s.holds(time.Hour, partKey{4, 1}), "it may have restarted")
	s.capacity = 0
	assert.Assert(t, s.holds(0, second), "its capacity is unknown")
}

// The next request saves a part that the store has evicted.
func TestEvictedPartIsSavedAgain(t *testing.T) {
	p := newTestPlacer(4)
	ask := func(number uint64, key string) bool {
		a := longPrompt("r", number, key)
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

// Guards against engines that all wait for a store whose link is saturated.
func TestSlowStoreIsAvoidedThenRetried(t *testing.T) {
	p := newTestPlacer(4)
	number := uint64(0)
	// Requests that fetch parts from the store wait for it; all others start at once.
	delay := time.Duration(0)
	play := func(now time.Duration, key string, tried ...string) (source string, save bool) {
		number++
		a := longPrompt("r", number, key)
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
	placeAway := func() string {
		source, _ := play(now, "k", p.parts.holder(now, partHash("k"), 1))
		return source
	}
	play(now, "k")
	assert.Equal(t, placeAway(), "s:1")
	delay = 2 * time.Second
	fetched, saved := 0, 0
	for i := range 200 {
		now += 10 * time.Millisecond
		if placeAway() == "s:1" {
			fetched++
		}
		if _, save := play(now, fmt.Sprint("own-", i)); save {
			saved++
		}
	}
	// Some requests retry it, since nothing else shows when it has recovered.
	assert.Assert(t, fetched < 60, "%d of 200 fetched parts from it", fetched)
	assert.Assert(t, saved < 60, "%d of 200 were saved to it", saved)
	now += 6 * time.Second
	_, save := play(now, "new")
	assert.Assert(t, save, "the store is retried")
}
