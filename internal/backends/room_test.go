package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

func newCentralPoolOf(rows ...state.Backend) *Pool {
	p := NewCentralPool()
	p.Apply(rows, nil, true)
	return p
}

// roomQuery returns a query with a shared part of 5,000 tokens that counts 2,000 tokens of its own:
// 1,000 of the prompt and half of an output of at most 2,000.
func roomQuery() Query {
	q := query()
	q.Room = true
	q.Work = Work{Prompt: 1000, Most: 8000}
	q.Parts = []coordapi.Part{{Hash: 1, Tokens: 5000}}
	return q
}

// start sends a request of the query to an engine, wherever Choose would send it.
func start(p *Pool, id string, q Query) *Attempt {
	return p.Begin(0, &Choice{ID: id, Work: Work{Most: q.Work.Most}, Versioned: true, Version: 1}, &q, func(error) {})
}

func chooseRoom(p *Pool, now time.Duration, q Query) (Choice, bool) { return p.Choose(now, &q) }

// Guards against sending an engine more requests than it has slots, which it would queue or reject.
func TestRoomEndsWithSlots(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1))
	var attempts []*Attempt
	q := roomQuery()
	q.Work.Most = 5100
	for range 2 * q.Slots {
		choice := mustChoose(t, p, 0, q)
		attempts = append(attempts, start(p, choice.ID, q))
	}
	assert.Equal(t, p.rows["x"].usage.requests, q.Slots)
	choice, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found)
	assert.DeepEqual(t, choice, Choice{NoRoom: true, Considered: 2})
	attempts[3].End(0)
	choice = mustChoose(t, p, 0, q)
	assert.Equal(t, choice.ID, attempts[3].backendID)
	assert.Assert(t, !choice.NoRoom)
}

// Guards against counting shared parts once per request, which would leave most of an engine's
// memory unused, and against counting them after their last request has ended.
func TestRoomCountsSharedPartsOnce(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	used := func() int { return p.rows["x"].usage.tokens }
	q := roomQuery()
	first, second := start(p, "x", q), start(p, "x", q)
	assert.Equal(t, used(), 5000+2*2000)
	other := q
	other.Parts = []coordapi.Part{{Hash: 1, Tokens: 5000}, {Hash: 2, Tokens: 1000}}
	third := start(p, "x", other)
	assert.Equal(t, used(), 5000+2*2000+1000+1500)
	first.End(0)
	first.End(0)
	assert.Equal(t, used(), 5000+2000+1000+1500, "an attempt releases once")
	third.End(0)
	assert.Equal(t, used(), 5000+2000)
	second.End(0)
	assert.Equal(t, used(), 0)
	assert.Equal(t, p.rows["x"].usage.cachedTokens, 6000)
}

// Guards against reserving memory for outputs that most requests never reach.
func TestRoomCountsHalfOfTheMaximumOutput(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	q.Work = Work{Prompt: 500, Most: 5000 + 500 + 900}
	start(p, "x", q)
	assert.Equal(t, p.rows["x"].usage.tokens, 5000+500+450)
}

// Guards against exceeding an engine's memory, and against counting shared parts that it has in use
// as additional memory.
func TestRoomEndsWithMemory(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	q.Slots = 64
	limit := int(memoryShare * float64(q.Capacity))
	for used := 5000 + 2000; used <= limit; used += 2000 {
		assert.Equal(t, mustChoose(t, p, 0, q).ID, "x")
		start(p, "x", q)
	}
	assert.Assert(t, p.rows["x"].usage.tokens <= limit)
	choice, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found && choice.NoRoom)
	small := q
	small.Work.Most = 5000 + limit - p.rows["x"].usage.tokens
	mustChoose(t, p, 0, small)
	small.Parts = []coordapi.Part{{Hash: 2, Tokens: 5000}}
	_, found = chooseRoom(p, 0, small)
	assert.Assert(t, !found, "another shared part takes memory")
}

// Guards against a request that can never run because it exceeds the limit of any engine.
func TestRoomAdmitsLargeRequestToEmptyEngine(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	q.Work.Most = 2 * q.Capacity
	mustChoose(t, p, 0, q)
	a := start(p, "x", roomQuery())
	_, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found)
	a.End(0)
	mustChoose(t, p, 0, q)
}

// Guards against sending prompts to an engine that could only begin them beyond the patience.
func TestRoomEndsWithPrefillBacklog(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	q.Patience = 500 * time.Millisecond
	begin := func(tokens int) {
		p.Begin(0, &Choice{ID: "x", Work: Work{Prompt: tokens}}, &q, func(error) {})
	}
	// The initial estimate is 40 tokens per millisecond.
	begin(20_000)
	mustChoose(t, p, 0, q)
	begin(400)
	choice, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found && choice.NoRoom && !choice.Late)
	assert.Equal(t, p.Refused(), 0, "a request that may wait is not refused")
	mustChoose(t, p, 10*time.Millisecond, q)
}

// Guards against reporting a lack of room where waiting cannot help.
func TestNoRoomRequiresEligibleEngine(t *testing.T) {
	draining := engine("x", 1)
	draining.Draining = true
	choice, found := chooseRoom(newCentralPoolOf(draining), 0, roomQuery())
	assert.Assert(t, !found)
	assert.DeepEqual(t, choice, Choice{})
}

// Guards against charging a restarted engine for requests that ran before, and against releasing
// them there.
func TestRestartedEngineHasFullRoom(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	before := start(p, "x", q)
	p.Apply(nil, []string{"x"}, false)
	p.Apply([]state.Backend{engine("x", 1)}, nil, false)
	assert.DeepEqual(t, p.Room("llm"), Room{MaxRequests: 8, Limit: 85_000})
	after := start(p, "x", q)
	before.End(0)
	assert.Equal(t, p.Room("llm").Used, 7000)
	assert.Equal(t, p.Room("llm").Requests, 1)
	after.End(0)
	assert.Equal(t, p.Room("llm").Used, 0)
}

// Guards against offering the capacity of engines that serve no requests.
func TestRoomCountsServingEngines(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1), engine("z", 1))
	assert.DeepEqual(t, p.Room("llm"), Room{})
	q := roomQuery()
	q.Slots = 64
	start(p, "x", q)
	assert.DeepEqual(t, p.Room("llm"), Room{Requests: 1, MaxRequests: 3 * 12, Used: 7000, Limit: 3 * 85_000})
	draining := engine("y", 1)
	draining.Draining = true
	p.Apply([]state.Backend{draining}, nil, false)
	p.ApplyNotes(coordapi.Notes{Silent: []string{"z"}})
	assert.DeepEqual(t, p.Room("llm"), Room{Requests: 1, MaxRequests: 12, Used: 7000, Limit: 85_000})
	assert.DeepEqual(t, p.Room("other"), Room{})
}

// Guards against a new leader that takes all engines for empty while the requests that its
// predecessor placed still run, or that counts its own placements in their place.
func TestRoomCountsInheritedLoad(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	const at = 10 * time.Second
	p.SetInheritedLoad("x", 8, 20_000)
	choice, found := chooseRoom(p, at, q)
	assert.Assert(t, !found && choice.NoRoom)
	p.SetInheritedLoad("x", 7, 20_000)
	mustChoose(t, p, at, q)
	start(p, "x", q)
	assert.DeepEqual(t, p.Room("llm"), Room{Requests: 8, MaxRequests: 8, Used: 27_000, Limit: 85_000})
	_, found = chooseRoom(p, at, q)
	assert.Assert(t, !found, "seven requests of before and one that the pool placed take all slots")
	p.SetInheritedLoad("x", 2, 80_000)
	_, found = chooseRoom(p, at, q)
	assert.Assert(t, !found, "no memory is left")
	p.SetInheritedLoad("x", 0, 0)
	mustChoose(t, p, at, q)
}

// Guards against an engine with an inherited load that is grouped with the idle ones.
func TestEngineWithInheritedLoadIsNotIdle(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1))
	q := roomQuery()
	mustChoose(t, p, 0, q)
	p.SetInheritedLoad("x", 8, 20_000)
	p.SetInheritedLoad("y", 8, 20_000)
	_, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found)
	p.SetInheritedLoad("y", 0, 0)
	assert.Equal(t, mustChoose(t, p, 0, q).ID, "y")
	assert.Assert(t, p.rows["y"].group != nil && p.rows["x"].group == nil)
}

// A query without the hard limits must not be affected by inherited loads.
func TestInheritedLoadAffectsOnlyHardLimits(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1))
	q := roomQuery()
	q.Room = false
	before := mustChoose(t, p, 0, q)
	p.SetInheritedLoad(before.ID, 8, 20_000)
	assert.DeepEqual(t, mustChoose(t, p, 0, q), before)
}

// laterQuery returns the query of a later attempt, and of a pool of two engines the one that a query
// without limits takes, and the other one.
func laterQuery(t *testing.T) (p *Pool, q Query, first, second string) {
	t.Helper()
	p = newCentralPoolOf(engine("x", 1), engine("y", 1))
	q = roomQuery()
	q.Room = false
	first, second = "x", "y"
	if mustChoose(t, p, 0, q).ID == "y" {
		first, second = second, first
	}
	q.Later, q.Patience = true, 100*time.Millisecond
	return p, q, first, second
}

// Guards against a later attempt at an engine without room beside one with room, where it is rejected
// again.
func TestLaterAttemptTakesEngineWithRoom(t *testing.T) {
	p, q, first, second := laterQuery(t)
	assert.Equal(t, mustChoose(t, p, 0, q).ID, first, "the choice does not change while there is room")
	p.SetInheritedLoad(first, 8, 20_000)
	choice := mustChoose(t, p, 0, q)
	assert.Assert(t, choice.ID == second && !choice.Late, "%+v", choice)
	p.SetInheritedLoad(first, 1, 80_000)
	assert.Equal(t, mustChoose(t, p, 0, q).ID, second)
}

// Guards against a later attempt without room that is sent where it waits longer than necessary, or
// although it could only begin beyond its patience. A request takes 40 ms before the first answer.
func TestLaterAttemptWithoutRoomTakesShortestWait(t *testing.T) {
	for _, c := range []struct {
		name                  string
		firstLoad, secondLoad inheritedLoad
		takesFirst            bool
		shortest              time.Duration
	}{
		{"slots of the first end earlier", inheritedLoad{8, 20_000}, inheritedLoad{16, 20_000}, true, 5 * time.Millisecond},
		{"slots of the second end earlier", inheritedLoad{16, 20_000}, inheritedLoad{8, 20_000}, false, 5 * time.Millisecond},
		{"memory of the second ends earlier", inheritedLoad{2, 170_000}, inheritedLoad{2, 85_000}, false, 3294 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, q, first, second := laterQuery(t)
			p.SetInheritedLoad(first, c.firstLoad.requests, c.firstLoad.tokens)
			p.SetInheritedLoad(second, c.secondLoad.requests, c.secondLoad.tokens)
			wanted := second
			if c.takesFirst {
				wanted = first
			}
			choice := mustChoose(t, p, 0, q)
			assert.Assert(t, choice.ID == wanted && !choice.Late, "%+v", choice)
			assert.Equal(t, choice.Wait.Truncate(time.Microsecond), c.shortest)
			q.Patience = c.shortest - time.Millisecond
			assert.Assert(t, mustChoose(t, p, 0, q).Late)
			assert.Equal(t, p.Refused(), 1)
			q.Patience = 0
			assert.Assert(t, !mustChoose(t, p, 0, q).Late, "a request without a target has no limit")
		})
	}
	t.Run("all have just rejected", func(t *testing.T) {
		p, q, first, second := laterQuery(t)
		p.Busy(0, first)
		p.Busy(0, second)
		q.Patience = p.rows[first].busyUntil - time.Millisecond
		assert.Assert(t, mustChoose(t, p, 0, q).Late)
		q.Patience = p.rows[first].busyUntil
		assert.Assert(t, !mustChoose(t, p, 0, q).Late)
	})
}

// runningQueries lists the queries of the requests that run at each row, to check the pool's
// accounting against.
type runningQueries map[*row]map[*Attempt]Query

// memory returns the tokens that the requests of a row take, with those of one more if it is not
// nil.
func (m runningQueries) memory(r *row, more *Query) int {
	total, seen := 0, map[coordapi.PartHash]bool{}
	add := func(q *Query) {
		own := q.Work.Most
		for _, part := range q.Parts {
			own -= part.Tokens
			if !seen[part.Hash] {
				seen[part.Hash] = true
				total += part.Tokens
			}
		}
		output := max(own-q.Work.Prompt, 0)
		total += max(own, 0) - output + output/2
	}
	for _, q := range m[r] {
		add(&q)
	}
	if more != nil {
		add(more)
	}
	return total
}

// excluded reports whether an engine has just rejected a request, or sends no heartbeats while another
// eligible one does.
func excluded(p *Pool, now time.Duration, r *row, q *Query) bool {
	alive := false
	for _, other := range p.rows {
		alive = alive || (other.Pool == q.Pool && p.mayServe(other, q) && !slices.Contains(q.Tried, other.ID) && !p.pushbackState(other.ID).Unavailable() &&
			now >= other.limitedUntil && !other.noHeartbeat)
	}
	return now < r.busyUntil || (alive && r.noHeartbeat)
}

// admits reports whether a row has room for a request.
func (m runningQueries) admits(r *row, q *Query, choice *Choice) bool {
	n := len(m[r])
	fits := n == 0 || m.memory(r, q) <= int(memoryShare*float64(q.Capacity))
	return fits && n < q.Slots && (q.Patience == 0 || choice.Wait <= q.Patience)
}

// drawParts returns up to two shared parts of a prompt.
func drawParts(random *rand.Rand) []coordapi.Part {
	var out []coordapi.Part
	for i := range random.IntN(3) {
		hash := 10*i + random.IntN(4)
		out = append(out, coordapi.Part{Hash: coordapi.PartHash(hash), Tokens: 1000 + 100*hash})
	}
	return out
}

// With room at the engine that would be chosen without the limits, the choice must be the same with
// them. Otherwise it must be an engine with room. The index must not matter.
func TestChoiceWithRoomMatchesChoiceWithout(t *testing.T) {
	same, others, none := 0, 0, 0
	for seed := range uint64(15) {
		w := newPoolPair(seed, 1+int(seed)*4)
		running := runningQueries{}
		for range 600 {
			w.now += time.Duration(w.random.IntN(20)) * time.Millisecond
			if w.random.IntN(5) == 0 {
				w.mutate()
				running.forgetEnded()
			}
			q := w.query()
			q.Capacity, q.Parts = 30_000, drawParts(w.random)
			withRoom, unindexed := *q, *q
			withRoom.Room, unindexed.Room = true, true
			without, found := w.indexed.Choose(w.now, q)
			choice, foundRoom := w.indexed.Choose(w.now, &withRoom)
			again, foundAgain := w.unindexed.Choose(w.now, &unindexed)
			assert.Equal(t, foundRoom, foundAgain)
			assert.DeepEqual(t, choice, again)
			assert.Equal(t, choice.NoRoom, found && !foundRoom)
			switch {
			case !found:
				continue
			case !excluded(w.indexed, w.now, w.indexed.rows[without.ID], q) && running.admits(w.indexed.rows[without.ID], q, &without):
				assert.DeepEqual(t, choice, without)
				same++
			case foundRoom:
				assert.Assert(t, running.admits(w.indexed.rows[choice.ID], q, &choice))
				assert.Assert(t, !excluded(w.indexed, w.now, w.indexed.rows[choice.ID], q))
				others++
			default:
				none++
				w.end()
				w.end()
				running.forgetEnded()
				continue
			}
			pair := [2]*Attempt{w.indexed.Begin(w.now, &choice, &withRoom, func(error) {}), w.unindexed.Begin(w.now, &again, &unindexed, func(error) {})}
			w.open = append(w.open, pair)
			r := pair[0].row
			if running[r] == nil {
				running[r] = map[*Attempt]Query{}
			}
			running[r][pair[0]] = *q
			assert.Equal(t, r.usage.requests, len(running[r]))
			assert.Equal(t, r.usage.tokens, running.memory(r, nil))
		}
		for r := range running {
			assert.Equal(t, r.usage.requests, len(running[r]))
			assert.Equal(t, r.usage.tokens, running.memory(r, nil))
		}
	}
	t.Logf("%d choices as without limits, %d others, %d without room", same, others, none)
	assert.Assert(t, same > 1000 && others > 300 && none > 300)
}

// forgetEnded removes the attempts that have ended.
func (m runningQueries) forgetEnded() {
	for _, attempts := range m {
		for a := range attempts {
			if !a.holds {
				delete(attempts, a)
			}
		}
	}
}

// Pools of plain back ends have no such limits.
func TestRoomDoesNotAffectPlainBackends(t *testing.T) {
	p := NewCentralPool()
	p.Apply([]state.Backend{{ID: "b", Pool: "api", Address: "a:1", Slots: 1}}, nil, true)
	q := Query{Pool: "api", Room: true}
	for i := range 5 {
		choice, found := p.Choose(0, &q)
		assert.Assert(t, found, fmt.Sprint(i))
		p.Begin(0, &choice, &q, func(error) {})
	}
}

// Guards against slots that stay empty until the end of a request is reported, which costs a tenth of
// the capacity where runs of a second fill all slots.
func TestRoomCountsSlotsThatAreAboutToBeFree(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	q := roomQuery()
	q.Slots, q.Work, q.Patience = 16, Work{Prompt: 10, Most: 5020}, 200*time.Millisecond
	for range 200 {
		entry(p.flows, "llm").ended(time.Second)
	}
	for range 16 + 1 {
		mustChoose(t, p, 0, q)
		start(p, "x", q)
	}
	_, found := chooseRoom(p, 0, q)
	assert.Assert(t, !found)
}

// Guards against sending an engine that rejects requests the next ones of the queue, since each
// rejection seems to free a slot.
func TestEngineThatJustRejectedHasNoRoom(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1))
	p.Busy(0, "x")
	choice, found := chooseRoom(p, 0, roomQuery())
	assert.Assert(t, !found && choice.NoRoom)
	mustChoose(t, p, busyPause, roomQuery())
}

// Guards against sending engines without heartbeats all requests for which the others have no room.
func TestSilentEngineHasNoRoomBesideOthers(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("silent", 1))
	p.ApplyNotes(coordapi.Notes{Silent: []string{"silent"}})
	p.Busy(0, "x")
	choice, found := chooseRoom(p, 0, roomQuery())
	assert.Assert(t, !found && choice.NoRoom, "%v", choice.ID)
	p.Apply(nil, []string{"x"}, false)
	assert.Equal(t, mustChoose(t, p, 0, roomQuery()).ID, "silent")
}

// A brittle engine may let fewer requests wait, so that it gets none beyond its slots.
func TestBrittleEngineGetsNoRequestBeyondItsSlots(t *testing.T) {
	const slots = 48
	p := NewPool("a")
	p.Apply([]state.Backend{{ID: "e", Pool: "llm", Slots: slots, Weights: map[string]int{"m": 1}}}, nil, true)
	q := &Query{Pool: "llm", Model: "m", Slots: slots, Patience: time.Second}
	assert.Equal(t, p.Slots("e"), slots)
	for _, brittle := range []bool{false, true, false} {
		ids := []string{}
		if brittle {
			ids = append(ids, "e", "unknown")
		}
		p.SetBrittle(ids)
		p.rows["e"].running = slots
		c := &candidate{row: p.rows["e"]}
		entry(p.flows, "llm").ended(100 * time.Millisecond)
		assert.Equal(t, p.canBegin(0, q, c, 40), !brittle)
	}
}
