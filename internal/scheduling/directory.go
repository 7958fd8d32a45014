package scheduling

import (
	"sync"

	"quinceridge.example/quinceridge/internal/prefix"
)

// HeadInterval is the distance, in blocks, between heads: the blocks of a chain whose digests are
// stored in the directory and sent to routers.
const HeadInterval = 16

// IsHead reports whether the block at the given depth, counted from 1, is a head.
func IsHead(depth int) bool { return depth > 0 && depth%HeadInterval == 0 }

// Directory records which engines cache which heads, according to their cache events. It may be
// stale and incomplete, so it is used only to estimate costs. It is safe for concurrent use.
type Directory struct {
	mu    sync.RWMutex
	heads map[uint64]map[uint64]struct{} // by endpoint key
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{heads: map[uint64]map[uint64]struct{}{}} }

// Add records that the endpoint caches the head.
func (d *Directory) Add(endpoint, head uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	held := d.heads[endpoint]
	if held == nil {
		held = map[uint64]struct{}{}
		d.heads[endpoint] = held
	}
	held[head] = struct{}{}
}

// Remove records that the endpoint has evicted the head.
func (d *Directory) Remove(endpoint, head uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heads[endpoint], head)
}

// RemoveEndpoint removes all heads of an endpoint, for example after a restart.
func (d *Directory) RemoveEndpoint(endpoint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heads, endpoint)
}

// Clear removes all entries.
func (d *Directory) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.heads)
}

// Size returns the number of entries, counting a head once for each endpoint that caches it.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, held := range d.heads {
		n += len(held)
	}
	return n
}

// depth returns the depth of the deepest head of the chain that the endpoint caches, or 0. Engines
// evict chains from the end, so a head implies all blocks before it even if their events were lost.
func (d *Directory) depth(endpoint uint64, chain prefix.Chain) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	held := d.heads[endpoint]
	if len(held) == 0 {
		return 0
	}
	for depth := len(chain) / HeadInterval * HeadInterval; depth > 0; depth -= HeadInterval {
		if _, ok := held[chain[depth-1]]; ok {
			return depth
		}
	}
	return 0
}

// DirectoryUser is implemented by policies that use a directory.
type DirectoryUser interface {
	// UseDirectory sets the directory that the policy reads.
	UseDirectory(d *Directory)
}
