package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/settings"
)

// reportLoads records a report of a router with loads at a number of back ends.
func reportLoads(t *routerReports, router string, backends int) {
	news := &coordapi.Update{Router: router}
	for i := range backends {
		news.Loads = append(news.Loads, coordapi.Load{ID: fmt.Sprintf("i-%010x", i*7919), Running: 1, Memory: 900 + i, Prompt: 40})
	}
	t.record(time.Second, news)
}

func TestLoadsOfAllRoutersAreSummed(t *testing.T) {
	var sums routerReports
	reportLoads(&sums, "a", 2)
	reportLoads(&sums, "b", 1)
	assert.Assert(t, sums.announce(2*time.Second, 2))
	assert.DeepEqual(t, sums.sumsSince(0, true).loads, []coordapi.Load{
		{ID: "i-0000000000", Running: 2, Memory: 1800, Prompt: 80}, {ID: "i-0000001eef", Running: 1, Memory: 901, Prompt: 40}})
	assert.Assert(t, !sums.announce(3*time.Second, 2), "nothing new was reported")
}

func TestAnnounceComputesMeanReportTime(t *testing.T) {
	var sums routerReports
	sums.record(time.Second, &coordapi.Update{Router: "a"})
	sums.record(2*time.Second, &coordapi.Update{Router: "b"})
	assert.Assert(t, sums.announce(2200*time.Millisecond, 2))
	assert.Equal(t, sums.meanReportTime, 1500*time.Millisecond)
}

func TestSaturationExpires(t *testing.T) {
	var news routerReports
	assert.Assert(t, !news.saturated(time.Second))
	news.record(time.Second, &coordapi.Update{Router: "a", Refused: 1})
	news.record(1500*time.Millisecond, &coordapi.Update{Router: "b"})
	assert.Assert(t, news.saturated(1900*time.Millisecond))
	assert.Assert(t, !news.saturated(2*time.Second))
}

func TestMeanLoadTimeConverges(t *testing.T) {
	var r rollout
	assert.Equal(t, r.planConfig(settings.Coordinator{}).LoadTime, minLoadTime)
	for range 20 {
		r.recordLoadTime(3*time.Second, 0, "a")
	}
	assert.Equal(t, r.planConfig(settings.Coordinator{}).LoadTime.Round(100*time.Millisecond), 3*time.Second)
}

func TestManyLoadsArePacked(t *testing.T) {
	var sums routerReports
	reportLoads(&sums, "a", 300)
	assert.Assert(t, sums.announce(2*time.Second, 2))
	all := sums.sumsSince(0, true).forShard(coordapi.Shard{})
	packed := all.packed
	assert.Equal(t, len(all.loads), 0)
	assert.Assert(t, len(packed) < 300*15, "%d bytes", len(packed))
	var loads []coordapi.Load
	assert.NilError(t, coordapi.Unpack(packed, &loads))
	assert.Equal(t, len(loads), 300)
}

// Guards against sending the loads of all engines to all routers with each announcement.
func TestEngineLoadsAreAnnouncedRarely(t *testing.T) {
	var sums routerReports
	update := func(now time.Duration) {
		sums.record(now, &coordapi.Update{Router: "a", Loads: []coordapi.Load{{ID: "engine", Running: 1, Engine: true}, {ID: "plain", Running: 1}}})
		assert.Assert(t, sums.announce(now, 1))
	}
	update(time.Second)
	first := sums.sumsSince(0, true)
	assert.Assert(t, first.engines)
	assert.Equal(t, len(first.loads), 2)
	update(2 * time.Second)
	assert.DeepEqual(t, sums.sumsSince(1, true).loads, []coordapi.Load{{ID: "plain", Running: 1}})
	assert.Assert(t, sums.sumsSince(1, false).engines, "a watcher of another leader")
	update(time.Second + engineLoadsInterval)
	update(2*time.Second + engineLoadsInterval)
	assert.Assert(t, sums.sumsSince(2, true).engines, "a watcher that missed the announcement with engines")
	assert.Assert(t, !sums.sumsSince(3, true).engines)
}

// Only the latest report of a router counts, and only until it times out.
func TestLatestReportOfRouterCounts(t *testing.T) {
	var sums routerReports
	report := func(now time.Duration, router string, loads ...coordapi.Load) {
		sums.record(now, &coordapi.Update{Router: router, Loads: loads})
	}
	report(time.Second, "a", coordapi.Load{ID: "x", Running: 2, Prompt: 70}, coordapi.Load{ID: "y", Running: 1, Prompt: 5})
	report(time.Second, "b", coordapi.Load{ID: "x", Running: 1, Prompt: 30})
	assert.Equal(t, sums.unreadPrompt("x"), 100)
	report(1100*time.Millisecond, "a", coordapi.Load{ID: "x", Running: 1, Prompt: 10})
	assert.Equal(t, sums.unreadPrompt("x"), 40)
	assert.Equal(t, sums.unreadPrompt("y"), 0)
	report(time.Second+routerLoadTimeout, "a")
	assert.Assert(t, sums.announce(2*time.Second+routerLoadTimeout, 2))
	assert.Equal(t, len(sums.totals), 0, "the reports have timed out")
}
