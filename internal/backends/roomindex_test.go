package backends

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/concurrency"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// isFullByScan is IsFull by examining each engine of the pool.
func isFullByScan(p *Pool, now time.Duration, q *Query) bool {
	h, rate, eligible := newHolding(q), entry(p.prefill, q.Pool).Rate(), false
	for _, r := range p.rows {
		if r.group != nil {
			return false
		}
		if now < r.limitedUntil || !p.mayServe(r, q) || slices.Contains(q.Tried, r.ID) {
			continue
		}
		eligible = true
		if c := (candidate{row: r}); p.canBegin(now, q, &c, rate) && p.hasMemory(q, &h, &c) {
			return false
		}
	}
	return eligible
}

// roomQuery returns a query with hard limits, of different sizes. Shared parts make the memory that
// it takes depend on the engine.
func (w *poolPair) roomQuery(slots, capacity int) *Query {
	q := w.query()
	q.Room, q.Contended = true, w.random.IntN(2) == 0
	q.Slots, q.Capacity = slots, capacity
	q.Work.Most = q.Work.Prompt + 500*w.random.IntN(12)
	for part := range w.random.IntN(3) {
		tokens := 1000 * (1 + w.random.IntN(4))
		q.Parts = append(q.Parts, coordapi.Part{Hash: coordapi.PartHash(tokens + part), Tokens: tokens})
		q.Work.Most += tokens
	}
	return q
}

// mutateRoom changes something that the room of an engine depends on.
func (w *poolPair) mutateRoom() {
	id := w.randomID()
	switch w.random.IntN(24) {
	case 0:
		wait := time.Duration(w.random.IntN(300)) * time.Millisecond
		w.both(func(p *Pool) { p.SetLimited(w.now, id, wait) })
	case 1:
		requests, tokens := w.random.IntN(6), w.random.IntN(20_000)
		w.both(func(p *Pool) { p.SetInheritedLoad(id, requests, tokens) })
	case 2:
		row := &w.rows[w.random.IntN(len(w.rows))]
		row.Draining, row.Loading = false, nil
		w.both(func(p *Pool) { p.Apply([]state.Backend{*row}, nil, false) })
	case 3, 4, 5, 6:
		w.end()
	case 7:
		w.mutate()
	}
}

// checkRoomIndex checks that the room index lists exactly the active engines that may have a slot, in
// the bucket of their usage.
func checkRoomIndex(t *testing.T, p *Pool) {
	t.Helper()
	index, listed := p.index.pool("llm"), 0
	for bucket, rows := range index.room.buckets {
		for i, r := range rows {
			listed++
			assert.Equal(t, r.room, roomPosition{listed: true, bucket: bucket, index: i})
			assert.Equal(t, bucket, index.room.bucketOf(r.usage.tokens))
		}
	}
	for _, r := range index.active {
		assert.Equal(t, r.room.listed, index.room.buckets != nil && index.room.mayHaveSlot(&r.usage))
		if r.room.listed {
			listed--
		}
	}
	assert.Equal(t, listed, 0, "listed engines that are not active")
}

// Guards against a room index that misses an engine with room, so that requests wait beside free
// capacity, and against a choice among engines with hard limits that depends on the index.
func TestRoomIndexMatchesScan(t *testing.T) {
	for seed := range uint64(40) {
		w := newPoolPair(seed, 1+int(seed)%12)
		if seed%2 == 1 {
			w.both(func(p *Pool) {
				for _, r := range p.rows {
					r.limiter = concurrency.NewAdaptive()
				}
				p.newLimiter = concurrency.NewAdaptive
			})
		}
		slots, capacity, results := 4, 30_000, map[bool]int{}
		for step := range 1500 {
			w.now += time.Duration(w.random.IntN(20)) * time.Millisecond
			w.mutateRoom()
			if step%500 == 400 {
				// The operator changes the size of the engines.
				slots, capacity = 1+w.random.IntN(30), 10_000*w.random.IntN(5)
			}
			q := w.roomQuery(slots, capacity)
			full := w.indexed.IsFull(w.now, q)
			assert.Equal(t, full, isFullByScan(w.indexed, w.now, q), "seed %d step %d", seed, step)
			results[full]++
			if step%10 == 0 {
				checkRoomIndex(t, w.indexed)
			}
			again := *q
			first, found := w.indexed.Choose(w.now, q)
			second, secondFound := w.unindexed.Choose(w.now, &again)
			assert.DeepEqual(t, []any{first, found}, []any{second, secondFound})
			assert.Assert(t, !full || (!found && first.NoRoom))
			if found && !first.Late {
				w.open = append(w.open, [2]*Attempt{w.indexed.Begin(w.now, &first, q, func(error) {}), w.unindexed.Begin(w.now, &second, &again, func(error) {})})
			}
		}
		assert.Assert(t, results[true] > 20 && results[false] > 20, "seed %d: %v", seed, results)
	}
}

// Guards against a pass over a full pool that takes time for each engine: neither engines without a
// slot nor those without memory may be examined.
func TestSearchForRoomSkipsFullEngines(t *testing.T) {
	const count = 2000
	p := newBusyPool(count, 0)
	q := busyQuery(0)
	q.Room, q.Parts = true, nil
	examined := func(capacity int) int {
		q.Capacity = capacity
		n := 0
		for range p.index.pool(q.Pool).mayHaveRoom(&q, newHolding(&q).ownTokens) {
			n++
		}
		return n
	}
	assert.Equal(t, examined(20_000), 0, "at least five requests of 2,900 own tokens run at each")
	assert.Equal(t, examined(1<<20), count)
	for _, r := range p.rows {
		for r.running < q.Slots+q.Slots/maxAheadDivisor {
			start(p, r.ID, q)
		}
	}
	assert.Equal(t, examined(1<<20), 0)
	assert.Assert(t, p.IsFull(time.Second, &q))
}
