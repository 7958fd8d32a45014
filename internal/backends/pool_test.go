package backends

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
	"quinceridge.example/quinceridge/internal/state"
)

func engine(id string, version int) state.Backend {
	return state.Backend{ID: id, Pool: "llm", Address: "127.0.0.1:1/" + id, Zone: "a", Slots: 8, Weights: map[string]int{"m": version}}
}

func query() Query {
	return Query{Pool: "llm", Model: "m", Key: "k", Shared: 5000, Slots: 8, Capacity: 100000, Routers: 2,
		Work: Work{Prompt: 1000, Most: 7000}}
}

func newTestPool(rows ...state.Backend) *Pool {
	p := NewPool("a")
	p.Apply(rows, nil, true)
	return p
}

func mustChoose(t *testing.T, p *Pool, now time.Duration, q Query) Choice {
	t.Helper()
	choice, found := p.Choose(now, &q)
	assert.Assert(t, found)
	return choice
}

func TestHomeIsIndependentOfRowOrder(t *testing.T) {
	rows := []state.Backend{engine("x", 1), engine("y", 1), engine("z", 1)}
	first := mustChoose(t, newTestPool(rows...), 0, query())
	rows[0], rows[2] = rows[2], rows[0]
	again := mustChoose(t, newTestPool(rows...), 0, query())
	assert.Equal(t, first.ID, again.ID)
	assert.Assert(t, first.Home)
}

// Guards against assuming that an engine makes progress although its first events are overdue.
func TestPrefillProgressIsCappedWithoutReports(t *testing.T) {
	p := NewCentralPool()
	p.Apply([]state.Backend{engine("x", 1)}, nil, true)
	ahead := func(now time.Duration) int { return mustChoose(t, p, now, query()).Ahead }
	var attempts []*Attempt
	for range 3 {
		choice := Choice{ID: "x", Work: Work{Prompt: 20_000}}
		q := query()
		attempts = append(attempts, p.Begin(0, &choice, &q, func(error) {}))
	}
	assert.Equal(t, ahead(0), 60_000)
	assert.Equal(t, ahead(100*time.Millisecond), 56_000, "at the initial estimate of 40 tokens per millisecond")
	assert.Equal(t, ahead(3*time.Second), 60_000-16_000, "progress is assumed for two mean report delays only")
	attempts[0].FirstEventReported(3*time.Second, 2900*time.Millisecond)
	assert.Equal(t, ahead(3*time.Second), 40_000-4_000, "progress resumes at the last first event")
	attempts[1].End(3 * time.Second)
	attempts[2].End(3 * time.Second)
	assert.Equal(t, ahead(3*time.Second), 0)
}

// Guards against moving keys when an engine restarts with a new ID at its address.
func TestRestartedEngineKeepsItsKeys(t *testing.T) {
	again := engine("y", 1)
	again.ID = "y2"
	before, after := newTestPool(engine("x", 1), engine("y", 1), engine("z", 1)), newTestPool(engine("x", 1), again, engine("z", 1))
	q := query()
	for i := range 100 {
		q.Key = strconv.Itoa(i)
		assert.Equal(t, mustChoose(t, before, 0, q).Address, mustChoose(t, after, 0, q).Address)
	}
}

// Guards against fetching cached prompts from a home that no longer responds.
func TestHomeExcludesEngineWithoutHeartbeat(t *testing.T) {
	p := newTestPool(engine("x", 1), engine("y", 1), engine("z", 1))
	home := mustChoose(t, p, 0, query())
	p.ApplyNotes(coordapi.Notes{Silent: []string{home.ID}})
	next := mustChoose(t, p, 0, query())
	assert.Assert(t, next.ID != home.ID && next.Home)
	assert.Equal(t, next.HomeAddress, next.Address)
}

func TestBusyHomeSpillsOverAndReturnsHomeAddress(t *testing.T) {
	p := newTestPool(engine("x", 1), engine("y", 1), engine("z", 1))
	q := query()
	home := mustChoose(t, p, 0, q)
	for range 20 {
		p.Begin(0, &home, &q, func(error) {})
	}
	spilled := mustChoose(t, p, 0, q)
	assert.Assert(t, spilled.ID != home.ID)
	assert.Assert(t, !spilled.Home)
	assert.Equal(t, spilled.HomeAddress, home.Address)
}

func TestChooseReturnsNoIneligibleEngine(t *testing.T) {
	draining, loading := engine("d", 2), engine("l", 2)
	draining.Draining = true
	loading.Loading = &state.Loading{Model: "m", Version: 3}
	p := newTestPool(draining, loading, engine("old", 1))
	p.ApplyNotes(coordapi.Notes{Minimum: map[string]int{"m": 2}})
	q := query()
	_, found := p.Choose(0, &q)
	assert.Assert(t, !found)
}

func TestChooseFallsBackToFailingEngines(t *testing.T) {
	p := newTestPool(engine("x", 1), engine("y", 1))
	p.ApplyNotes(coordapi.Notes{Silent: []string{"x", "y"}})
	for range 10 {
		p.Failed(0, "x")
		p.Failed(0, "y")
		p.Busy(0, "x")
		p.Busy(0, "y")
	}
	mustChoose(t, p, 0, query())
}

// Requests go to the preferred weights, and to older ones only when those engines are overloaded.
func TestPreferredWeightsWinUntilOverloaded(t *testing.T) {
	p := newTestPool(engine("a", 1), engine("b", 2))
	p.ApplyNotes(coordapi.Notes{Preferred: map[string]int{"m": 2}})
	q := query()
	q.Target = 600 * time.Millisecond
	for i := range 30 {
		// Half of the keys would otherwise have their home at a, which also wins ties.
		q.Key = strconv.Itoa(i)
		choice := mustChoose(t, p, 0, q)
		assert.Equal(t, choice.ID, "b")
		assert.Assert(t, choice.Home, "each version has its own home")
	}
	busy := mustChoose(t, p, 0, q)
	for range 10 {
		p.Begin(0, &busy, &q, func(error) {})
	}
	assert.Equal(t, mustChoose(t, p, 0, q).ID, "a")
}

// Guards against overload of the first engines with new weights.
func TestPreferredWeightsTakeBoundedShareOfKeys(t *testing.T) {
	rows := []state.Backend{engine("new", 2)}
	for i := range 9 {
		rows = append(rows, engine("old"+strconv.Itoa(i), 1))
	}
	p := newTestPool(rows...)
	p.ApplyNotes(coordapi.Notes{Preferred: map[string]int{"m": 2}})
	q := query()
	q.Target = 10 * time.Second
	taken := 0
	for i := range 1000 {
		q.Key = strconv.Itoa(i)
		if mustChoose(t, p, 0, q).ID == "new" {
			taken++
		}
	}
	// Twice its share of the keys, and its share of the others.
	assert.Assert(t, taken > 230 && taken < 330, "%d", taken)
}

// Guards against answers of replaced weights while engines with new ones have capacity: a central
// pool moves to other engines when the first ones are busy, not by a share of the keys.
func TestCentralPoolPrefersNewWeightsForAllKeys(t *testing.T) {
	p := NewCentralPool()
	p.Apply([]state.Backend{engine("new", 2), engine("old", 1)}, nil, true)
	p.ApplyNotes(coordapi.Notes{Preferred: map[string]int{"m": 2}})
	q := query()
	q.Target = time.Second
	for i := range 100 {
		q.Key = strconv.Itoa(i)
		assert.Equal(t, mustChoose(t, p, 0, q).ID, "new")
	}
	taken := map[string]int{}
	for i := range 40 {
		q.Key = strconv.Itoa(i)
		choice := mustChoose(t, p, 0, q)
		taken[choice.ID]++
		p.Begin(0, &choice, &q, func(error) {})
	}
	assert.Assert(t, taken["new"] > 0 && taken["old"] > 0, "%v", taken)
}

// Guards against queues that grow without bound when all engines are slow.
func TestChoiceIsLateWhenNoEngineMeetsPatience(t *testing.T) {
	p := newTestPool(engine("x", 1), engine("y", 1))
	q := query()
	q.Patience = 200 * time.Millisecond
	fill := func(id string, tokens int) {
		p.Begin(0, &Choice{ID: id, Version: 1, Versioned: true, Work: Work{Prompt: tokens}}, &q, func(error) {})
	}
	home := mustChoose(t, p, 0, q)
	assert.Assert(t, !home.Late)
	// The initial estimate is 40 tokens per millisecond.
	fill(home.ID, 8100)
	other := mustChoose(t, p, 0, q)
	assert.Assert(t, other.ID != home.ID && !other.Late, "the engine that is not behind is chosen")
	fill(other.ID, 12000)
	late := mustChoose(t, p, 0, q)
	assert.Assert(t, late.Late)
	assert.Equal(t, late.ID, home.ID)
	assert.Equal(t, p.Refused(), 1)
	assert.Equal(t, p.Refused(), 0, "each request is counted once")
	assert.Equal(t, late.Wait.Round(time.Millisecond), 203*time.Millisecond)
	q.Patience = 0
	assert.Assert(t, !mustChoose(t, p, 0, q).Late, "no patience means no limit")
}

// Guards against requests that begin on expired weights after a long wait in an engine's queue.
func TestExpiryCancelsUnstartedAttempts(t *testing.T) {
	p := newTestPool(engine("x", 1))
	q := query()
	choice := mustChoose(t, p, 0, q)
	var waiting, begun error
	p.Begin(0, &choice, &q, func(err error) { waiting = err })
	p.Begin(0, &choice, &q, func(err error) { begun = err }).Begun(0, true)
	p.ApplyNotes(coordapi.Notes{Minimum: map[string]int{"m": 2}, Expired: map[string]int{"m": 1}})
	assert.NilError(t, waiting)
	p.ApplyNotes(coordapi.Notes{Minimum: map[string]int{"m": 2}, Expired: map[string]int{"m": 2}})
	assert.Assert(t, errors.Is(waiting, ErrExpired))
	assert.NilError(t, begun)
}

// A rejection returns at once, so its latency is no sample of the prefill rate.
func TestPrefillRateIgnoresFailedResponses(t *testing.T) {
	p := newTestPool(engine("x", 1))
	q := query()
	q.Work.Prompt = 8000
	teach := func(ran bool) speed.TokensPerMs {
		for i := range 100 {
			choice := mustChoose(t, p, 0, q)
			choice.Work.Prompt += 100 * i
			a := p.Begin(0, &choice, &q, func(error) {})
			a.Begun(time.Duration(choice.Work.Prompt)*time.Millisecond/10, ran)
			a.End(0)
		}
		return p.PrefillRates()["llm"].Speed
	}
	assert.Equal(t, teach(false), speed.TokensPerMs(40))
	rate := teach(true)
	assert.Assert(t, rate > 9 && rate < 14, "%v", rate)
}

func TestEndReleasesLoad(t *testing.T) {
	p := newTestPool(engine("x", 1))
	q := query()
	choice := mustChoose(t, p, 0, q)
	a := p.Begin(0, &choice, &q, func(error) {})
	a.Begun(0, true)
	a.End(0)
	row := p.rows["x"]
	assert.Equal(t, row.running+row.memory+row.prefillTokens+len(p.waiting), 0)
}

// UncachedTokens is called once per version and choice, not once per candidate.
func TestUncachedTokensIsCalledOncePerVersion(t *testing.T) {
	p := newTestPool(engine("w", 1), engine("x", 1), engine("y", 2), engine("z", 2))
	q := query()
	calls := map[int]int{}
	q.UncachedTokens = func(version int) int {
		calls[version]++
		return 100 * version * calls[version]
	}
	for round := 1; round <= 2; round++ {
		choice, found := p.Choose(0, &q)
		assert.Assert(t, found)
		assert.DeepEqual(t, calls, map[int]int{1: round, 2: round})
		assert.Equal(t, choice.Work.Prompt, 1000+100*choice.Version*round)
	}
}

// Guards against sending more requests to engines than they have slots for.
func TestPatienceIncludesSlotWait(t *testing.T) {
	p := NewCentralPool()
	p.Apply([]state.Backend{engine("x", 1), engine("y", 1)}, nil, true)
	begin := func(id string, at time.Duration) *Attempt {
		q := query()
		choice := Choice{ID: id}
		a := p.Begin(at, &choice, &q, func(error) {})
		a.FirstEventReported(at, time.Millisecond)
		return a
	}
	// Runs take two seconds.
	for range 400 {
		begin("x", 0).End(2 * time.Second)
	}
	var running []*Attempt
	for range query().Slots {
		running = append(running, begin("x", 0))
	}
	ask := func(patience time.Duration) Choice {
		q := query()
		q.Patience = patience
		return mustChoose(t, p, time.Second, q)
	}
	assert.Equal(t, ask(100*time.Millisecond).ID, "y")
	for range query().Slots {
		begin("y", 0)
	}
	// With eight slots, one becomes free every quarter of a second.
	late := ask(200 * time.Millisecond)
	assert.Assert(t, late.Late)
	assert.Assert(t, late.Wait > 240*time.Millisecond && late.Wait <= 250*time.Millisecond, "%v", late.Wait)
	assert.Assert(t, !ask(300*time.Millisecond).Late)
	running[0].End(time.Second)
	assert.Equal(t, ask(100*time.Millisecond).ID, "x")
}

// A prompt whose prefill exceeds the gap target of streams goes to the engine with the fewest
// streams, even if that is not its home.
func TestLargePromptAvoidsEngineWithStreams(t *testing.T) {
	p := NewCentralPool()
	p.Apply([]state.Backend{engine("x", 1), engine("y", 1)}, nil, true)
	q := query()
	q.GapTarget = 500 * time.Millisecond
	home := mustChoose(t, p, 0, q).ID
	for range 4 {
		stream := query()
		a := p.Begin(0, &Choice{ID: home}, &stream, func(error) {})
		a.FirstEventReported(0, time.Millisecond)
	}
	assert.Equal(t, mustChoose(t, p, 0, q).ID, home, "a short prompt stays at its home")
	q.Work.Prompt = 20_000
	assert.Assert(t, mustChoose(t, p, 0, q).ID != home)
	q.GapTarget = 0
	assert.Equal(t, mustChoose(t, p, 0, q).ID, home, "without a gap target")
}

// Guards against routers that choose engines without the leader and all send requests without a key to
// the same engines: with the lowest ID among equals, one of six would get all of these requests.
func TestRoutersSpreadRequestsWithoutKey(t *testing.T) {
	var rows []state.Backend
	for i := range 6 {
		rows = append(rows, engine(strconv.Itoa(i), 1))
	}
	random, got := rand.New(rand.NewPCG(1, 1)), map[string]int{}
	for range 600 {
		q := query()
		q.Key, q.Draw = "", random.Float64()
		got[mustChoose(t, newTestPool(rows...), 0, q).ID]++
	}
	for _, row := range rows {
		assert.Assert(t, got[row.ID] >= 70 && got[row.ID] <= 130, "%v", got)
	}
}
