package inventory

import (
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
)

func page(incarnation string, first uint64, events ...engineapi.CacheEvent) *engineapi.CachePage {
	return &engineapi.CachePage{Incarnation: incarnation, First: first, Events: events}
}

func stored(block uint64, depth int) engineapi.CacheEvent {
	return engineapi.CacheEvent{Block: block, Depth: depth, Stored: true}
}

func TestHeadTableReportsOnlyHeadChanges(t *testing.T) {
	table := newHeadTable()
	table.apply("e", page("one", 1, stored(1, 15), stored(2, 16), stored(3, 17), stored(4, 32)))
	changes, whole := table.since(0)
	assert.Assert(t, whole)
	assert.Equal(t, len(changes), 2)
	after := table.last()
	changes, whole = table.since(after)
	assert.Assert(t, !whole)
	assert.Equal(t, len(changes), 0)
	table.apply("e", page("one", 5, engineapi.CacheEvent{Block: 4, Depth: 32}))
	changes, _ = table.since(after)
	assert.DeepEqual(t, changes, []controlapi.HeadChange{{Engine: "e", Kind: controlapi.HeadRemoved, Head: 4}})
	assert.Equal(t, table.feeds["e"].after, uint64(5))
}

func TestEngineRestartClearsHeads(t *testing.T) {
	table := newHeadTable()
	table.apply("e", page("one", 1, stored(1, 16)))
	after := table.last()
	table.apply("e", page("two", 1, stored(2, 16)))
	changes, _ := table.since(after)
	assert.Equal(t, changes[0].Kind, controlapi.HeadsCleared)
	assert.Equal(t, changes[1].Head, uint64(2))
	changes, _ = table.since(0)
	assert.Equal(t, len(changes), 1)
}

func TestOutdatedRouterGetsAllHeads(t *testing.T) {
	table := newHeadTable()
	for i := range uint64(maxHeadChanges + 10) {
		table.apply("e", page("one", i+1, stored(i%100, 16)))
	}
	_, whole := table.since(5)
	assert.Assert(t, whole)
	_, whole = table.since(table.last() - 1)
	assert.Assert(t, !whole)
	_, whole = table.since(table.last() + 1) // from another control node
	assert.Assert(t, whole)
}
