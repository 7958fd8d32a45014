package backends

import "iter"

// roomBuckets is the number of buckets of a roomIndex. A bucket spans about 100 tokens of an engine
// with 100,000: few engines without room for a request of some hundred tokens are in the last bucket
// that a search examines.
const roomBuckets = 1024

// roomIndex orders the active engines of a pool that may have a free slot by the memory that their
// requests take. A search for room then examines only engines that may have some. It uses bounds that
// hold for any patience, limiter and inherited load; what it returns is examined exactly.
type roomIndex struct {
	// slots and capacity are the engine's size in the queries that the index serves.
	slots    int
	capacity int
	buckets  [][]*row
}

// roomPosition is the position of an engine in a roomIndex.
type roomPosition struct {
	listed bool
	bucket int
	index  int
}

// update moves an engine to the bucket of its present usage.
func (x *roomIndex) update(r *row) {
	bucket, listed := x.bucketOf(r.usage.tokens), x.mayHaveSlot(&r.usage)
	if r.room.listed == listed && (!listed || r.room.bucket == bucket) {
		return
	}
	x.remove(r)
	if listed {
		r.room = roomPosition{listed: true, bucket: bucket, index: len(x.buckets[bucket])}
		x.buckets[bucket] = append(x.buckets[bucket], r)
	}
}

// remove removes an engine, which need not be listed.
func (x *roomIndex) remove(r *row) {
	if !r.room.listed {
		return
	}
	rows := x.buckets[r.room.bucket]
	last := len(rows) - 1
	rows[r.room.index] = rows[last]
	rows[r.room.index].room.index = r.room.index
	rows[last] = nil
	x.buckets[r.room.bucket] = rows[:last]
	r.room = roomPosition{}
}

// mayHaveSlot reports whether an engine with this usage may have a free slot. An engine that runs
// nothing has one in any case.
func (x *roomIndex) mayHaveSlot(u *usage) bool {
	return u.requests < max(x.slots, 1)+x.slots/maxAheadDivisor
}

// bucketOf returns the bucket of engines whose requests take a number of tokens. It does not fall
// as tokens rise.
func (x *roomIndex) bucketOf(tokens int) int {
	if x.capacity <= 0 {
		return 0
	}
	return min(max(tokens, 0)*roomBuckets/x.capacity, roomBuckets-1)
}

// mayHaveRoom returns the active engines of a pool that may have the slots and the memory for the
// request of a query, which takes at least ownTokens. Engines that run nothing are among them
// whatever the request takes.
func (p *poolIndex) mayHaveRoom(q *Query, ownTokens int) iter.Seq[*row] {
	x := &p.room
	if x.buckets == nil || x.slots != q.Slots || x.capacity != q.Capacity {
		p.rebuildRoom(q.Slots, q.Capacity)
	}
	last := x.bucketOf(int(memoryShare*float64(q.Capacity)) - ownTokens)
	return func(yield func(*row) bool) {
		for _, bucket := range x.buckets[:last+1] {
			for _, r := range bucket {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// rebuildRoom builds the room index for a size of the engines.
func (p *poolIndex) rebuildRoom(slots, capacity int) {
	for _, r := range p.active {
		r.room = roomPosition{}
	}
	p.room = roomIndex{slots: slots, capacity: capacity, buckets: make([][]*row, roomBuckets)}
	for _, r := range p.active {
		p.room.update(r)
	}
}

// updateRoom adapts the room index to the usage of an engine.
func (r *row) updateRoom() {
	if r.indexed != nil && r.group == nil && r.indexed.room.buckets != nil {
		r.indexed.room.update(r)
	}
}
