package scheduling

import (
	"sync"

	"quinceridge.example/quinceridge/internal/prefix"
)

// HeadInterval is the distance, in blocks, between the chain depths whose
// digests are published. Only they are kept and sent: one block in sixteen.
const HeadInterval = 16

// IsHead tells whether the block at a depth, counted from 1, is published.
func IsHead(depth int) bool { return depth > 0 && depth%HeadInterval == 0 }

// Directory is what engines' cache events say about where chain heads are. It
// is late and has gaps, and is never trusted for more than a cost. It is safe
// for concurrent use.
type Directory struct {
	mu    sync.RWMutex
	heads map[uint64]map[uint64]struct{} // by endpoint key
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{heads: map[uint64]map[uint64]struct{}{}} }

// Add notes that the endpoint holds a head.
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

// Remove notes that the endpoint has dropped a head.
func (d *Directory) Remove(endpoint, head uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heads[endpoint], head)
}

// RemoveEndpoint drops everything about an endpoint, such as after its restart.
func (d *Directory) RemoveEndpoint(endpoint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heads, endpoint)
}

// Clear drops everything.
func (d *Directory) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.heads)
}

// Size returns how many heads are known.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, held := range d.heads {
		n += len(held)
	}
	return n
}

// depth returns the deepest published block of the chain that the endpoint
// holds, 0 for none. Engines drop the ends of chains first, so a deep head
// stands for all before it even when their events were lost.
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

// DirectoryUser is a policy that takes a directory.
type DirectoryUser interface {
	// UseDirectory gives the policy the directory that its router keeps.
	UseDirectory(d *Directory)
}
