package coordapi

import "github.com/cespare/xxhash/v2"

// Shard is the part of a deployment's engines that a router is told of. The leader
// places what engines get; a router needs some of its own only for as long as it gets no
// answer. The zero value holds all engines.
type Shard struct {
	Index int `json:"index,omitempty"`
	// Count is a power of two, so that a shard among twice as many lies in one of those
	// before; 0 means 1.
	Count int `json:"count,omitempty"`
}

// ShardOf returns a router's shard among a number of them.
func ShardOf(router string, count int) Shard {
	return Shard{Index: shardIndex(router, count), Count: count}
}

// ShardIndex returns the index of the shard among count that holds an engine.
func ShardIndex(engine BackendID, count int) int { return shardIndex(string(engine), count) }

// Holds tells whether an engine is in the shard.
func (s Shard) Holds(engine BackendID) bool {
	return ShardIndex(engine, s.Count) == s.Index
}

func shardIndex(name string, count int) int {
	if count <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(count))
}
