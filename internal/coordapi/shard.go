package coordapi

import "github.com/cespare/xxhash/v2"

// Shard is the subset of a deployment's engines that a router receives. A subset suffices, since
// the leader places the requests for engines and a router does so only while the leader does not
// reply. The zero value contains all engines.
type Shard struct {
	Index int `json:"index,omitempty"`
	// Count is a power of two, so that doubling it splits each shard into two; 0 means 1.
	Count int `json:"count,omitempty"`
}

// ShardOf returns the shard of a router, among count shards.
func ShardOf(router string, count int) Shard {
	return Shard{Index: shardIndex(router, count), Count: count}
}

// ShardIndex returns the index of the shard, among count, that contains an engine.
func ShardIndex(engine BackendID, count int) int { return shardIndex(string(engine), count) }

// Holds reports whether the shard contains an engine.
func (s Shard) Holds(engine BackendID) bool {
	return ShardIndex(engine, s.Count) == s.Index
}

func shardIndex(name string, count int) int {
	if count <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(count))
}
