package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// engines are rows of like engines with weights version 1.
func engines(n int) []state.Backend {
	var out []state.Backend
	for i := range n {
		id := fmt.Sprintf("e%03d", i)
		out = append(out, state.Backend{ID: id, Pool: "llm", Address: id + ":1", Zone: "a", Slots: 16, Weights: map[string]int{"m": 1}})
	}
	return out
}

func newTestPlacer(n int) *Placer {
	p := New(nil)
	p.Apply(engines(n), nil, true)
	return p
}

// long is a question for a long prompt of which two parts are shared.
func long(router string, number uint64, key string) *coordapi.Place {
	return &coordapi.Place{Router: router, Number: number, Zone: "a", Pool: "llm", Model: "m", Key: key, Target: 800 * time.Millisecond,
		Shared: 6300, Own: 2900, Most: 9300, Slots: 16, Capacity: 90000, Store: "s:1",
		Parts: []coordapi.Part{{Hash: 1, Tokens: 2500}, {Hash: partHash(key), Tokens: 3800}}}
}

func partHash(key string) coordapi.PartHash {
	hash := coordapi.PartHash(0)
	for _, c := range key {
		hash = hash*31 + coordapi.PartHash(c)
	}
	return hash + 1000
}

// mostAtOne is the largest number of requests at one engine when as many routers
// as engines send one each in the same moment.
func mostAtOne(count int, choose func(i int, key string) string) int {
	most, at := 0, map[string]int{}
	for i := range count {
		id := choose(i, fmt.Sprintf("key-%d", i))
		at[id]++
		most = max(most, at[id])
	}
	return most
}

// With 295 routers that knew each other's loads a second late, engines read five
// and six long prompts one behind the other while others were idle: half of the
// streams beside them paused for too long.
func TestOneThatPlacesForAllSeesWhatAllHaveSent(t *testing.T) {
	const count = 240
	alone := mostAtOne(count, func(_ int, key string) string {
		pool := backends.NewPool("a")
		pool.Apply(engines(count), nil, true)
		ask := long("", 0, key)
		choice, found := pool.Choose(0, New(nil).query(0, ask))
		assert.Assert(t, found)
		return choice.ID
	})
	p := newTestPlacer(count)
	together := mostAtOne(count, func(i int, key string) string {
		return p.Place(time.Second, long(fmt.Sprint("r", i), 1, key)).ID
	})
	t.Logf("most at one engine: %d when each router chooses alone, %d when one chooses for all", alone, together)
	assert.Assert(t, alone >= 4)
	assert.Assert(t, together <= 3)
}

// unread is how many tokens the only engine has still to read.
func unread(p *Placer, now time.Duration) int {
	choice, _ := p.pool.Choose(now, p.query(now, long("probe", 0, "k")))
	return choice.Ahead
}

func TestEngineReadsAtItsSpeedWithoutAWord(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, long("r", 1, "k"))
	before := unread(p, 0)
	assert.Equal(t, before, 9200)
	// 40 tokens a millisecond are assumed at first.
	assert.Equal(t, unread(p, 100*time.Millisecond), 5200)
	assert.Equal(t, unread(p, time.Second), 0)
}

func open(p *Placer) int {
	placements, _ := p.OpenPlacements()
	return placements
}

func TestAnEndIsCountedOnceWheneverItComes(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, long("r", 1, "k"))
	p.Place(0, long("r", 2, "k"))
	ended := &coordapi.Reports{Begun: []coordapi.Begun{{Number: 1, First: 300 * time.Millisecond}, {Number: 9}}, Ended: []uint64{1, 7, 1}}
	p.ApplyReports(time.Second, "r", ended)
	p.ApplyReports(time.Second, "r", ended)
	p.ApplyReports(time.Second, "another", ended)
	assert.Equal(t, open(p), 1)
}

// A router whose clock stood still must not teach a speed that no engine has.
func TestAnAbsurdWaitTeachesNothing(t *testing.T) {
	p := newTestPlacer(1)
	for number := range uint64(200) {
		ask := long("r", number, "k")
		ask.Own += int(number) * 100
		p.Place(time.Second, ask)
		p.ApplyReports(time.Second, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: time.Duration(number%2) * time.Hour}}, Ended: []uint64{number}})
	}
	last := long("r", 1000, "k")
	last.Own = 20_000
	p.Place(time.Second, last)
	before := unread(p, time.Second)
	assert.Equal(t, before-unread(p, 1100*time.Millisecond), 4000, "40 tokens a millisecond, as assumed at first")
}

func TestPlacementsOfARouterThatIsGoneEnd(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, long("gone", 1, "k"))
	p.Place(0, long("here", 1, "k"))
	p.ApplyReports(routerKept, "here", &coordapi.Reports{})
	p.ApplyReports(routerKept+routerKept/2, "here", &coordapi.Reports{})
	assert.Equal(t, open(p), 1)
}

// Each of 295 routers used to find out by a request of its own that an engine was
// down.
func TestAnEngineThatOneRouterCannotReachIsAvoidedForAll(t *testing.T) {
	p := newTestPlacer(3)
	first := p.Place(0, long("a", 1, "k"))
	p.ApplyReports(0, "a", &coordapi.Reports{Troubles: []coordapi.Trouble{{ID: first.ID, Kind: coordapi.Unreachable}, {ID: "unheard of", Kind: coordapi.Failed}}})
	assert.Assert(t, p.Place(0, long("b", 1, "k")).ID != first.ID)
}

// An engine that crashed without closing its connections got a part of all
// requests until three of its heartbeats were missed.
func TestAnEngineThatStopsToAnswerIsAvoided(t *testing.T) {
	p := newTestPlacer(2)
	at := map[uint64]string{}
	for number := range uint64(12) {
		at[number] = p.Place(0, long("r", number, "k")).ID
	}
	dark := at[0]
	answered := func(now time.Duration) {
		for number, id := range at {
			if id != dark {
				p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: 200 * time.Millisecond}}})
			}
		}
	}
	answered(500 * time.Millisecond)
	assert.Equal(t, p.UnresponsiveEngines(500*time.Millisecond), 0)
	now := 3400 * time.Millisecond
	answered(now)
	assert.Equal(t, p.UnresponsiveEngines(now), 1)
	assert.Assert(t, p.Place(now, long("r", 20, "k")).ID != dark)
	p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: 0, First: now}}})
	assert.Equal(t, p.UnresponsiveEngines(now), 0, "one sign of life is enough")
}

func TestTroublesNeverEmptyAPool(t *testing.T) {
	p := newTestPlacer(2)
	for _, id := range []string{"e000", "e001"} {
		p.ApplyReports(0, "a", &coordapi.Reports{Troubles: []coordapi.Trouble{{ID: id, Kind: coordapi.Unreachable}, {ID: id, Kind: coordapi.Failed}}})
	}
	assert.Assert(t, p.Place(0, long("b", 1, "k")).ID != "")
}

func TestAKeyStaysWithTheEngineThatHoldsIt(t *testing.T) {
	p := New(nil)
	p.Apply(engines(2), nil, true)
	homes := map[string]string{}
	for i := range 50 {
		key := fmt.Sprint("key-", i)
		homes[key] = p.Place(time.Duration(i)*time.Second, long("r", uint64(i), key)).ID
		p.ApplyReports(time.Duration(i)*time.Second, "r", &coordapi.Reports{Ended: []uint64{uint64(i)}})
	}
	// Half of the last keys would have their homes among the new engines.
	p.Apply(engines(4), nil, false)
	for i := 45; i < 50; i++ {
		key := fmt.Sprint("key-", i)
		assert.Equal(t, p.Place(51*time.Second, long("r", uint64(100+i), key)).ID, homes[key])
	}
}

func TestAPartIsSavedOnceAndThenTakenFromTheStore(t *testing.T) {
	p := newTestPlacer(4)
	first := p.Place(time.Second, long("a", 1, "k"))
	assert.Assert(t, first.Save)
	assert.Equal(t, first.Prompt, 9200)
	again := p.Place(2*time.Second, long("b", 1, "k"))
	assert.Assert(t, !again.Save)
	assert.Equal(t, again.Prompt, 2900)
	assert.Equal(t, again.Source, "s:1")
	late := p.Place(coordapi.SavedTime+3*time.Second, long("b", 2, "k"))
	assert.Assert(t, late.Save)
}

// Without a store the engine that read a part is the only source, and keeps being it.
func TestWithoutAStorePartsComeFromTheirHolder(t *testing.T) {
	p := newTestPlacer(2)
	place := func(number uint64) *coordapi.Place {
		a := long("a", number, "k")
		a.Store = ""
		return a
	}
	first := p.Place(0, place(1))
	assert.Assert(t, !first.Save)
	ask := place(2)
	ask.Tried = []string{first.ID}
	other := p.Place(0, ask)
	assert.Equal(t, other.Source, first.ID+":1")
	assert.Equal(t, other.Prompt, 9200, "for all that is known of what is read there")
}

// What is not worth a save is taken from the engine that read it.
func TestAPartThatIsNotSavedComesFromItsHolder(t *testing.T) {
	p := newTestPlacer(2)
	short := func(number uint64) *coordapi.Place {
		ask := long("r", number, "k")
		ask.Own = 20000
		return ask
	}
	first := p.Place(0, short(1))
	assert.Assert(t, !first.Save)
	ask := short(2)
	ask.Tried = []string{first.ID}
	other := p.Place(0, ask)
	assert.Assert(t, other.ID != first.ID)
	assert.Equal(t, other.Source, first.ID+":1")
	rows := engines(2)
	for i := range rows {
		if rows[i].ID == first.ID {
			rows[i].Weights = map[string]int{"m": 2}
		}
	}
	p.Apply(rows, nil, true)
	ask.Number = 3
	assert.Equal(t, p.Place(0, ask).Source, "s:1", "the engine holds other weights now")
}

func TestNothingIsPlacedWhenAllAreBehind(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, long("r", 1, "k"))
	ask := long("r", 2, "k")
	ask.Patience = 100 * time.Millisecond
	placed := p.Place(0, ask)
	assert.Assert(t, placed.Late)
	assert.Equal(t, open(p), 1)
}

func TestTheDirectoryIsBounded(t *testing.T) {
	d := newDirectory()
	for i := range maxParts + 10 {
		ask := &coordapi.Place{Store: "s", Parts: []coordapi.Part{{Hash: coordapi.PartHash(i), Tokens: 1}}}
		d.read(0, ask, &backends.Choice{ID: "e", Version: 1, Home: true}, true)
	}
	assert.Assert(t, len(d.kept) <= maxParts)
	assert.Assert(t, len(d.stores["s"].parts) <= maxParts)
}

func TestALateRequestIsToldHowFarEnginesAreBehind(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, long("r", 1, "k"))
	ask := long("r", 2, "k")
	ask.Patience = 100 * time.Millisecond
	placed := p.Place(0, ask)
	assert.Assert(t, placed.Late)
	// The router tells the caller, by how far engines are behind.
	assert.Assert(t, placed.Wait > ask.Patience, "%v", placed.Wait)
	choice, _ := Choice(ask, &placed)
	assert.Equal(t, choice.Wait, placed.Wait)
}
