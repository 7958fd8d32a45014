package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/settings"
)

// tellLoads brings a router's load at a number of back ends.
func tellLoads(t *told, router string, backends int) {
	news := &coordapi.Tell{Router: router}
	for i := range backends {
		news.Loads = append(news.Loads, coordapi.Load{ID: fmt.Sprintf("i-%010x", i*7919), Running: 1, Memory: 900 + i, Prompt: 40})
	}
	t.take(time.Second, news)
}

func TestLoadsOfAllRoutersAreSummed(t *testing.T) {
	var sums told
	tellLoads(&sums, "a", 2)
	tellLoads(&sums, "b", 1)
	assert.Assert(t, sums.announce(2*time.Second, 2))
	assert.DeepEqual(t, sums.since(0, true).loads, []coordapi.Load{
		{ID: "i-0000000000", Running: 2, Memory: 1800, Prompt: 80}, {ID: "i-0000001eef", Running: 1, Memory: 901, Prompt: 40}})
	assert.Assert(t, !sums.announce(3*time.Second, 2), "nothing new was told")
}

func TestSharedLoadsSayHowOldTheyAre(t *testing.T) {
	var sums told
	sums.take(time.Second, &coordapi.Tell{Router: "a"})
	sums.take(2*time.Second, &coordapi.Tell{Router: "b"})
	assert.Assert(t, sums.announce(2200*time.Millisecond, 2))
	assert.Equal(t, sums.toldAt, 1500*time.Millisecond)
}

func TestARefusalCountsForAWhile(t *testing.T) {
	var news told
	assert.Assert(t, !news.crowded(time.Second))
	news.take(time.Second, &coordapi.Tell{Router: "a", Refused: 1})
	news.take(1500*time.Millisecond, &coordapi.Tell{Router: "b"})
	assert.Assert(t, news.crowded(1900*time.Millisecond))
	assert.Assert(t, !news.crowded(2*time.Second))
}

func TestTheTimeOfALoadIsLearned(t *testing.T) {
	var r rollout
	assert.Equal(t, r.planConfig(settings.Coordinator{}).LoadTime, assumedLoad)
	for range 20 {
		r.learn(3 * time.Second)
	}
	assert.Equal(t, r.planConfig(settings.Coordinator{}).LoadTime.Round(100*time.Millisecond), 3*time.Second)
}

func TestManyLoadsArePacked(t *testing.T) {
	var sums told
	tellLoads(&sums, "a", 300)
	assert.Assert(t, sums.announce(2*time.Second, 2))
	all := sums.since(0, true).of(coordapi.Shard{})
	packed := all.packed
	assert.Equal(t, len(all.loads), 0)
	assert.Assert(t, len(packed) < 300*15, "%d bytes", len(packed))
	var loads []coordapi.Load
	assert.NilError(t, coordapi.Unpack(packed, &loads))
	assert.Equal(t, len(loads), 300)
}

// The leader sent each of 295 routers what 2,400 engines had to do once a second,
// 6 MB/s in all, though it places what engines get.
func TestWhatEnginesHaveToDoIsAnnouncedSeldom(t *testing.T) {
	var sums told
	tell := func(now time.Duration) {
		sums.take(now, &coordapi.Tell{Router: "a", Loads: []coordapi.Load{{ID: "engine", Running: 1, Engine: true}, {ID: "plain", Running: 1}}})
		assert.Assert(t, sums.announce(now, 1))
	}
	tell(time.Second)
	first := sums.since(0, true)
	assert.Assert(t, first.engines)
	assert.Equal(t, len(first.loads), 2)
	tell(2 * time.Second)
	assert.DeepEqual(t, sums.since(1, true).loads, []coordapi.Load{{ID: "plain", Running: 1}})
	assert.Assert(t, sums.since(1, false).engines, "a watcher that comes from another leader")
	tell(time.Second + enginesEvery)
	tell(2*time.Second + enginesEvery)
	assert.Assert(t, sums.since(2, true).engines, "a watcher that missed the announcement with engines")
	assert.Assert(t, !sums.since(3, true).engines)
}

// What one router has told of itself counts once, and for a while, however often it does.
func TestARoutersLastWordCounts(t *testing.T) {
	var sums told
	word := func(now time.Duration, router string, loads ...coordapi.Load) {
		sums.take(now, &coordapi.Tell{Router: router, Loads: loads})
	}
	word(time.Second, "a", coordapi.Load{ID: "x", Running: 2, Prompt: 70}, coordapi.Load{ID: "y", Running: 1, Prompt: 5})
	word(time.Second, "b", coordapi.Load{ID: "x", Running: 1, Prompt: 30})
	assert.Equal(t, sums.unread("x"), 100)
	word(1100*time.Millisecond, "a", coordapi.Load{ID: "x", Running: 1, Prompt: 10})
	assert.Equal(t, sums.unread("x"), 40)
	assert.Equal(t, sums.unread("y"), 0)
	word(time.Second+loadKept, "a")
	assert.Assert(t, sums.announce(2*time.Second+loadKept, 2))
	assert.Equal(t, len(sums.work), 0, "b was not heard of for long")
}
