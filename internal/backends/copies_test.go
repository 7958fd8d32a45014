package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

// newCopiesPool returns a central pool of 12 engines that each hold the part of their number, and
// the query of a request with a part that none holds.
func newCopiesPool() (*Pool, Query) {
	var rows []state.Backend
	for i := range 12 {
		rows = append(rows, engine(fmt.Sprint("e", i), 1))
	}
	p := newCentralPoolOf(rows...)
	q := roomQuery()
	q.Contended = true
	for i := range 12 {
		start(p, rows[i].ID, withPart(q, 100+i))
	}
	return p, q
}

func withPart(q Query, hash int) Query {
	q.Parts = []coordapi.Part{{Hash: coordapi.PartHash(hash), Tokens: 5000}}
	q.Key = fmt.Sprint("part ", hash)
	return q
}

// Guards against copies of shared parts at further engines during contention, which take memory and
// prefill time from requests that wait.
func TestContendedChoicePrefersEngineThatHoldsParts(t *testing.T) {
	for i := range 12 {
		p, q := newCopiesPool()
		q = withPart(q, 100+i)
		id := fmt.Sprint("e", i)
		for p.rows[id].usage.requests < q.Slots {
			choice := mustChoose(t, p, 0, q)
			assert.Equal(t, choice.ID, id)
			assert.Equal(t, choice.Work.Prompt, 1000)
			start(p, id, q)
		}
		choice := mustChoose(t, p, 0, q)
		r := p.rows[choice.ID]
		assert.Assert(t, choice.ID != id)
		assert.Assert(t, p.rows[choice.ID].usage.parts[q.Parts[0].Hash] == nil)
		assert.Equal(t, choice.Work.Prompt, 1000+5000, "the copy is work of %s", r.ID)
	}
}

// Guards against copies at engines that already have a prefill backlog, while requests without a
// copy could use them. A part that no engine holds is not restricted.
func TestContendedCopyMustFitIntoPatience(t *testing.T) {
	p, q := newCopiesPool()
	q.Patience = 200 * time.Millisecond
	// The initial estimate is 40 tokens per millisecond.
	backlog := func(id string, tokens int) *Attempt {
		other := withPart(q, 200)
		return p.Begin(0, &Choice{ID: id, Work: Work{Prompt: tokens}, Version: 1, Versioned: true}, &other, func(error) {})
	}
	for i := range 12 {
		backlog(fmt.Sprint("e", i), 6000)
	}
	held, unknown := withPart(q, 103), withPart(q, 1)
	assert.Equal(t, mustChoose(t, p, 0, held).ID, "e3")
	mustChoose(t, p, 0, unknown)
	full := backlog("e3", 6000)
	choice, found := chooseRoom(p, 0, held)
	assert.Assert(t, !found && choice.NoRoom)
	mustChoose(t, p, 0, unknown)
	choice = mustChoose(t, p, 75*time.Millisecond, held)
	assert.Assert(t, choice.ID != "e3")
	assert.Equal(t, choice.Work.Prompt, 1000+5000)
	full.End(0)
	assert.Equal(t, mustChoose(t, p, 0, held).ID, "e3")
}

// Without requests that wait, the load decides.
func TestUncontendedChoiceIgnoresHeldParts(t *testing.T) {
	p, q := newCopiesPool()
	q = withPart(q, 103)
	for range q.Slots - 2 {
		start(p, "e3", q)
	}
	assert.Equal(t, mustChoose(t, p, 0, q).ID, "e3")
	q.Contended = false
	without := q
	without.Room = false
	assert.DeepEqual(t, mustChoose(t, p, 0, q), mustChoose(t, p, 0, without))
}

// Guards against copies outside the first engines in the order of the key, which no later request
// would use.
func TestContendedCopiesGoToFirstRanks(t *testing.T) {
	p, q := newCopiesPool()
	q = withPart(q, 1)
	used := map[string]bool{}
	for range rankLimit * (q.Slots - 1) {
		choice := mustChoose(t, p, 0, q)
		used[choice.ID] = true
		start(p, choice.ID, q)
	}
	assert.Equal(t, len(used), rankLimit)
	assert.Assert(t, !used[mustChoose(t, p, 0, q).ID])
}

// Guards against moving the small prompts of a route to a few engines for the sake of a part that
// takes little time.
func TestContendedChoiceCopiesSmallParts(t *testing.T) {
	p, q := newCopiesPool()
	q.Parts = []coordapi.Part{{Hash: 103, Tokens: 198}}
	q.Shared, q.Work = 198, Work{Prompt: 628, Most: 1100}
	without := q
	without.Contended, without.Room = false, false
	assert.DeepEqual(t, mustChoose(t, p, 0, q), mustChoose(t, p, 0, without))
}

// Guards against taking an engine for one that holds a part long after its last use, with other
// weights, or after its memory was used for other requests.
func TestUnusedPartsAreEvicted(t *testing.T) {
	q := roomQuery()
	p := newCentralPoolOf(engine("x", 1))
	u := &p.rows["x"].usage
	hold := func(now time.Duration, q Query) { start(p, "x", q).End(now) }
	hold(time.Second, q)
	assert.Assert(t, u.holds(time.Second, 1, 1))
	assert.Assert(t, !u.holds(time.Second, 1, 2))
	assert.Assert(t, !u.holds(time.Second+cachedPartTime, 1, 1))
	large := withPart(q, 2)
	large.Work = Work{Prompt: q.Capacity - 10_000, Most: q.Capacity - 5000}
	a := start(p, "x", large)
	assert.Assert(t, u.holds(time.Second, 1, 1))
	b := start(p, "x", withPart(q, 3))
	assert.Assert(t, !u.holds(time.Second, 1, 1))
	a.End(0)
	b.End(0)
	for i := range 2 * maxCachedParts {
		q.Parts = []coordapi.Part{{Hash: coordapi.PartHash(10 + i), Tokens: 10}}
		hold(time.Second, q)
	}
	assert.Equal(t, len(u.parts), maxCachedParts)
	assert.Equal(t, u.cachedTokens, maxCachedParts*10)
	assert.Equal(t, u.tokens, 0)
}

// While requests wait, a choice by the index must equal one that examines each engine, and an engine
// that lacks the shared parts must only be chosen if none that holds them has room.
func TestContendedChoiceByIndexMatchesFullScan(t *testing.T) {
	held, copied, waits := 0, 0, 0
	for seed := range uint64(15) {
		w := newPoolPair(seed, 1+int(seed*seed)/4)
		for range 600 {
			w.now += time.Duration(w.random.IntN(5)) * time.Millisecond
			if w.random.IntN(5) == 0 {
				w.mutate()
			}
			// The random first events would make prefill so fast that there is no backlog.
			w.both(func(p *Pool) { p.prefill = map[string]*speed.Estimator{} })
			q := w.query()
			q.Capacity, q.Parts, q.Room, q.Contended = 30_000, drawParts(w.random), true, true
			if w.random.IntN(2) == 0 {
				// Copies of these parts take most of the patience.
				q.Patience, q.Shared, q.Work, q.Capacity = 300*time.Millisecond, 10_000, Work{Prompt: 4000, Most: 14_500}, 200_000
				q.Parts = []coordapi.Part{{Hash: coordapi.PartHash(100 + w.random.IntN(20)), Tokens: 10_000}}
			}
			again := *q
			choice, found := w.indexed.Choose(w.now, q)
			choiceAgain, foundAgain := w.unindexed.Choose(w.now, &again)
			assert.Equal(t, found, foundAgain)
			assert.DeepEqual(t, choice, choiceAgain)
			if !found {
				again.Contended = false
				if _, found := w.unindexed.Choose(w.now, &again); found {
					waits++
				}
				w.end()
				w.end()
				continue
			}
			if q.avoidsCopies() {
				copies := newCopyPreference(w.now, q, 0)
				if copies.holdsLast(w.indexed.rows[choice.ID]) {
					held++
				} else {
					copied++
					assertNoHolderWithRoom(t, w, q, copies)
				}
			}
			pair := [2]*Attempt{w.indexed.Begin(w.now, &choice, q, func(error) {}), w.unindexed.Begin(w.now, &choiceAgain, &again, func(error) {})}
			w.open = append(w.open, pair)
		}
	}
	t.Logf("%d choices of an engine that holds the parts, %d of others; %d that wait for one", held, copied, waits)
	assert.Assert(t, held > 300 && copied > 300 && waits > 30)
}

// assertNoHolderWithRoom asserts that no engine that would be eligible by itself holds the last
// shared part and has room.
func assertNoHolderWithRoom(t *testing.T, w *poolPair, q *Query, copies *copyPreference) {
	t.Helper()
	h := newHolding(q)
	rate := w.unindexed.prefill[q.Pool].Rate()
	q.uncached = map[int]int{}
	for _, c := range w.unindexed.candidates(w.now, q, rate) {
		room := w.unindexed.canBegin(w.now, q, &c, rate) && w.unindexed.hasMemory(q, &h, &c)
		assert.Assert(t, !copies.holdsLast(c.row) || !room, c.ID)
	}
}
