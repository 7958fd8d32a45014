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

// engines returns the rows of n equal engines with weights version 1.
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

// longPrompt returns a request with a long prompt that has two shared parts.
func longPrompt(router string, number uint64, key string) *coordapi.Place {
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

// maxPerEngine returns the greatest number of requests at one engine when count routers send one
// request each at the same time.
func maxPerEngine(count int, choose func(i int, key string) string) int {
	most, at := 0, map[string]int{}
	for i := range count {
		id := choose(i, fmt.Sprintf("key-%d", i))
		at[id]++
		most = max(most, at[id])
	}
	return most
}

// Guards against routers that each choose by outdated loads and send several long prompts to the
// same engine while others are idle.
func TestCentralPlacementSpreadsConcurrentRequests(t *testing.T) {
	const count = 240
	alone := maxPerEngine(count, func(_ int, key string) string {
		pool := backends.NewPool("a")
		pool.Apply(engines(count), nil, true)
		ask := longPrompt("", 0, key)
		choice, found := pool.Choose(0, New(nil).query(0, ask))
		assert.Assert(t, found)
		return choice.ID
	})
	p := newTestPlacer(count)
	together := maxPerEngine(count, func(i int, key string) string {
		return p.Place(time.Second, longPrompt(fmt.Sprint("r", i), 1, key)).ID
	})
	t.Logf("most requests at one engine: %d with a choice per router, %d with a central one", alone, together)
	assert.Assert(t, alone >= 4)
	assert.Assert(t, together <= 3)
}

// remainingTokens returns how many tokens the only engine has yet to process.
func remainingTokens(p *Placer, now time.Duration) int {
	choice, _ := p.pool.Choose(now, p.query(now, longPrompt("probe", 0, "k")))
	return choice.Ahead
}

func TestPrefillProgressIsEstimatedBetweenReports(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, longPrompt("r", 1, "k"))
	before := remainingTokens(p, 0)
	assert.Equal(t, before, 9200)
	// The initial estimate is 40 tokens per millisecond.
	assert.Equal(t, remainingTokens(p, 100*time.Millisecond), 5200)
	assert.Equal(t, remainingTokens(p, time.Second), 0)
}

func openCount(p *Placer) int {
	placements, _ := p.OpenPlacements()
	return placements
}

func TestRepeatedEndReportsCountOnce(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, longPrompt("r", 1, "k"))
	p.Place(0, longPrompt("r", 2, "k"))
	ended := &coordapi.Reports{Begun: []coordapi.Begun{{Number: 1, First: 300 * time.Millisecond}, {Number: 9}}, Ended: []uint64{1, 7, 1}}
	p.ApplyReports(time.Second, "r", ended)
	p.ApplyReports(time.Second, "r", ended)
	p.ApplyReports(time.Second, "another", ended)
	assert.Equal(t, openCount(p), 1)
}

// Waits from a router with a broken clock must not change the estimate.
func TestImplausibleWaitsAreIgnored(t *testing.T) {
	p := newTestPlacer(1)
	for number := range uint64(200) {
		ask := longPrompt("r", number, "k")
		ask.Own += int(number) * 100
		p.Place(time.Second, ask)
		p.ApplyReports(time.Second, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: time.Duration(number%2) * time.Hour}}, Ended: []uint64{number}})
	}
	last := longPrompt("r", 1000, "k")
	last.Own = 20_000
	p.Place(time.Second, last)
	before := remainingTokens(p, time.Second)
	assert.Equal(t, before-remainingTokens(p, 1100*time.Millisecond), 4000, "at the initial estimate of 40 tokens per millisecond")
}

func TestPlacementsOfLostRouterEnd(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, longPrompt("gone", 1, "k"))
	p.Place(0, longPrompt("here", 1, "k"))
	p.ApplyReports(routerTimeout, "here", &coordapi.Reports{})
	p.ApplyReports(routerTimeout+routerTimeout/2, "here", &coordapi.Reports{})
	assert.Equal(t, openCount(p), 1)
}

// A router must avoid an engine that another router has found unreachable.
func TestUnreachableEngineIsAvoidedForAllRouters(t *testing.T) {
	p := newTestPlacer(3)
	first := p.Place(0, longPrompt("a", 1, "k"))
	p.ApplyReports(0, "a", &coordapi.Reports{Troubles: []coordapi.Trouble{{ID: first.ID, Kind: coordapi.Unreachable}, {ID: "unheard of", Kind: coordapi.Failed}}})
	assert.Assert(t, p.Place(0, longPrompt("b", 1, "k")).ID != first.ID)
}

// An engine that crashed without closing its connections must
// be avoided before its heartbeats are missed.
func TestUnresponsiveEngineIsAvoided(t *testing.T) {
	p := newTestPlacer(2)
	at := map[uint64]string{}
	for number := range uint64(12) {
		at[number] = p.Place(0, longPrompt("r", number, "k")).ID
	}
	crashed := at[0]
	answered := func(now time.Duration) {
		for number, id := range at {
			if id != crashed {
				p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: 200 * time.Millisecond}}})
			}
		}
	}
	answered(500 * time.Millisecond)
	assert.Equal(t, p.UnresponsiveEngines(500*time.Millisecond), 0)
	now := 3400 * time.Millisecond
	answered(now)
	assert.Equal(t, p.UnresponsiveEngines(now), 1)
	assert.Assert(t, p.Place(now, longPrompt("r", 20, "k")).ID != crashed)
	p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: 0, First: now}}})
	assert.Equal(t, p.UnresponsiveEngines(now), 0, "one first event is enough")
}

func TestPlaceFallsBackToFailingEngines(t *testing.T) {
	p := newTestPlacer(2)
	for _, id := range []string{"e000", "e001"} {
		p.ApplyReports(0, "a", &coordapi.Reports{Troubles: []coordapi.Trouble{{ID: id, Kind: coordapi.Unreachable}, {ID: id, Kind: coordapi.Failed}}})
	}
	assert.Assert(t, p.Place(0, longPrompt("b", 1, "k")).ID != "")
}

func TestKeyStaysWithHolderWhenEnginesAreAdded(t *testing.T) {
	p := New(nil)
	p.Apply(engines(2), nil, true)
	homes := map[string]string{}
	for i := range 50 {
		key := fmt.Sprint("key-", i)
		homes[key] = p.Place(time.Duration(i)*time.Second, longPrompt("r", uint64(i), key)).ID
		p.ApplyReports(time.Duration(i)*time.Second, "r", &coordapi.Reports{Ended: []uint64{uint64(i)}})
	}
	// The new engines would otherwise be the homes of half of the last keys.
	p.Apply(engines(4), nil, false)
	for i := 45; i < 50; i++ {
		key := fmt.Sprint("key-", i)
		assert.Equal(t, p.Place(51*time.Second, longPrompt("r", uint64(100+i), key)).ID, homes[key])
	}
}

func TestPartIsSavedOnceThenFetchedFromStore(t *testing.T) {
	p := newTestPlacer(4)
	first := p.Place(time.Second, longPrompt("a", 1, "k"))
	assert.Assert(t, first.Save)
	assert.Equal(t, first.Prompt, 9200)
	again := p.Place(2*time.Second, longPrompt("b", 1, "k"))
	assert.Assert(t, !again.Save)
	assert.Equal(t, again.Prompt, 2900)
	assert.Equal(t, again.Source, "s:1")
	late := p.Place(coordapi.SavedTime+3*time.Second, longPrompt("b", 2, "k"))
	assert.Assert(t, late.Save)
}

// Without a store, parts are fetched from the engine that processed them.
func TestPartsComeFromHolderWithoutStore(t *testing.T) {
	p := newTestPlacer(2)
	place := func(number uint64) *coordapi.Place {
		a := longPrompt("a", number, "k")
		a.Store = ""
		return a
	}
	first := p.Place(0, place(1))
	assert.Assert(t, !first.Save)
	ask := place(2)
	ask.Tried = []string{first.ID}
	other := p.Place(0, ask)
	assert.Equal(t, other.Source, first.ID+":1")
	assert.Equal(t, other.Prompt, 9200, "as far as the placer can tell")
}

// Parts that are not saved to the store are fetched from the engine that processed them.
func TestUnsavedPartComesFromHolder(t *testing.T) {
	p := newTestPlacer(2)
	short := func(number uint64) *coordapi.Place {
		ask := longPrompt("r", number, "k")
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

func TestLateRequestIsNotPlaced(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, longPrompt("r", 1, "k"))
	ask := longPrompt("r", 2, "k")
	ask.Patience = 100 * time.Millisecond
	placed := p.Place(0, ask)
	assert.Assert(t, placed.Late)
	assert.Equal(t, openCount(p), 1)
}

func TestDirectoryIsBounded(t *testing.T) {
	d := newDirectory()
	for i := range maxParts + 10 {
		ask := &coordapi.Place{Store: "s", Parts: []coordapi.Part{{Hash: coordapi.PartHash(i), Tokens: 1}}}
		d.recordPrefill(0, ask, &backends.Choice{ID: "e", Version: 1, Home: true}, true)
	}
	assert.Assert(t, len(d.cached) <= maxParts)
	assert.Assert(t, len(d.stores["s"].parts) <= maxParts)
}

func TestLateReplyContainsWait(t *testing.T) {
	p := newTestPlacer(1)
	p.Place(0, longPrompt("r", 1, "k"))
	ask := longPrompt("r", 2, "k")
	ask.Patience = 100 * time.Millisecond
	placed := p.Place(0, ask)
	assert.Assert(t, placed.Late)
	// The router derives the caller's retry time from the wait.
	assert.Assert(t, placed.Wait > ask.Patience, "%v", placed.Wait)
	choice, _ := Choice(ask, &placed)
	assert.Equal(t, choice.Wait, placed.Wait)
}

// A trial may end its engine, so that it goes to one that runs little else, even away from its cached parts.
func TestTrialGoesToEngineWithFewestRequests(t *testing.T) {
	p := newTestPlacer(4)
	counts := map[string]int{}
	for i := range 13 {
		counts[p.Place(time.Second, longPrompt("r", uint64(i+1), "key")).ID]++
	}
	trial := longPrompt("r", 100, "key")
	trial.Trial = 7
	chosen := p.Place(time.Second, trial).ID
	for _, row := range engines(4) {
		assert.Assert(t, counts[chosen] <= counts[row.ID], "%v, chosen %s", counts, chosen)
	}
}
