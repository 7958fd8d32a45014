package enginemodel

import (
	"container/list"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/prefix"
)

// CacheEvent is the cache event of the engine protocol.
type CacheEvent = engineapi.CacheEvent

// cache is a set of blocks with LRU eviction. Touching a chain makes its first block the most
// recently used one, so that a block is evicted before its prefix.
type cache struct {
	capacity int
	lru      *list.List // of cached
	blocks   map[uint64]*list.Element
	events   []CacheEvent
}

type cached struct {
	block uint64
	depth int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks of the chain that are cached.
func (c *cache) match(chain prefix.Chain) int {
	for i, block := range chain {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(chain)
}

// touch marks the first n blocks of the chain as most recently used.
func (c *cache) touch(chain prefix.Chain, n int) {
	for i := n - 1; i >= 0; i-- {
		if element, ok := c.blocks[chain[i]]; ok {
			c.lru.MoveToFront(element)
		}
	}
}

// insert adds a block, or marks it as most recently used if it is cached.
func (c *cache) insert(block uint64, depth int) {
	if element, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[block] = c.lru.PushFront(cached{block, depth})
	c.events = append(c.events, CacheEvent{Block: block, Depth: depth, Stored: true})
	for c.lru.Len() > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	last := c.lru.Back()
	evicted := last.Value.(cached)
	c.lru.Remove(last)
	delete(c.blocks, evicted.block)
	c.events = append(c.events, CacheEvent{Block: evicted.block, Depth: evicted.depth})
}

// drainEvents returns the events since the last call.
func (c *cache) drainEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}
