package enginemodel

import (
	"container/list"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/prefix"
)

// CacheEvent is the engine protocol's.
type CacheEvent = engineapi.CacheEvent

// cache is a set of blocks of limited size that evicts the least recently used
// block. Touching a chain leaves its first block the most recent one, so that
// leaves are evicted before the blocks they build on.
type cache struct {
	capacity int
	order    *list.List // of cached
	blocks   map[uint64]*list.Element
	events   []CacheEvent
}

type cached struct {
	block uint64
	depth int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks of the chain are cached.
func (c *cache) match(chain prefix.Chain) int {
	for i, block := range chain {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(chain)
}

// touch makes the first n blocks of the chain the most recently used ones.
func (c *cache) touch(chain prefix.Chain, n int) {
	for i := n - 1; i >= 0; i-- {
		if element, ok := c.blocks[chain[i]]; ok {
			c.order.MoveToFront(element)
		}
	}
}

func (c *cache) insert(block uint64, depth int) {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[block] = c.order.PushFront(cached{block, depth})
	c.events = append(c.events, CacheEvent{Block: block, Depth: depth, Stored: true})
	for c.order.Len() > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	last := c.order.Back()
	evicted := last.Value.(cached)
	c.order.Remove(last)
	delete(c.blocks, evicted.block)
	c.events = append(c.events, CacheEvent{Block: evicted.block, Depth: evicted.depth})
}

func (c *cache) drainEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}
