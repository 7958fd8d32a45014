package weights

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func config() Config {
	return Config{Deadline: 8 * time.Second, Guard: 1400 * time.Millisecond, CancelLead: 250 * time.Millisecond, Divisor: 4}
}

// loadTime is the duration of a load in these tests.
const loadTime = 800 * time.Millisecond

func engines(count, version int) []Engine {
	out := make([]Engine, count)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprintf("e%02d", i), Version: version}
	}
	return out
}

// Guards against loads that are deferred to the deadline while answers of older weights lose value.
func TestLoadsStartAtOnceWithBoundedParallelism(t *testing.T) {
	c := config()
	versions := []Version{{Number: 2, Start: 0}}
	pool := engines(12, 1)
	first := c.Next(0, versions, pool, false).Load
	assert.DeepEqual(t, first, []string{"e00", "e01", "e02"})
	for i := range first {
		pool[i].Loading = true
	}
	assert.Equal(t, len(c.Next(0, versions, pool, false).Load), 0)
	pool[0] = Engine{ID: "e00", Version: 2}
	assert.DeepEqual(t, c.Next(0, versions, pool, false).Load, []string{"e03"})
}

// Guards against load slots that stay unused while the end of a load is reported and the next one
// is announced.
func TestFinishingLoadsMakeRoomForTheNext(t *testing.T) {
	pool := engines(12, 1)
	for i := range 3 {
		pool[i].Loading = true
	}
	pool[0].Finishing = true
	assert.DeepEqual(t, config().Next(0, []Version{{Number: 2}}, pool, false).Load, []string{"e03"})
}

// Guards against loads that overlap in a small pool until no engine serves.
func TestFinishingLoadsLeaveHalfOfSmallPoolInService(t *testing.T) {
	c, versions := config(), []Version{{Number: 2}}
	c.LoadTime, c.Margin = 800*time.Millisecond, 700*time.Millisecond
	pool := engines(6, 1)
	for i := range 2 {
		pool[i].Loading, pool[i].Finishing = true, true
	}
	assert.Equal(t, len(c.Next(0, versions, pool, false).Load), 1)
	pool[2].Loading, pool[2].Finishing = true, true
	assert.Equal(t, len(c.Next(0, versions, pool, false).Load), 0)
	// An engine that never ends its load must not keep the others from their deadline.
	assert.Equal(t, len(c.Next(6*time.Second, versions, pool, false).Load), 2)
}

// A load clears an engine's cache, so loads wait while the engines lack capacity.
func TestLoadsAreDeferredWhileEnginesAreCrowded(t *testing.T) {
	c := config()
	c.LoadTime, c.Margin = 800*time.Millisecond, 700*time.Millisecond
	versions := []Version{{Number: 2, Start: 0}}
	assert.Equal(t, len(c.Next(0, versions, engines(12, 1), true).Load), 0)
	// 12 engines, three at a time, need 4 loads of 0.8 s: due at 8 - 1.4 - 0.7 - 3.2.
	assert.Equal(t, len(c.Next(2600*time.Millisecond, versions, engines(12, 1), true).Load), 0)
	assert.Equal(t, len(c.Next(2700*time.Millisecond, versions, engines(12, 1), true).Load), 3)
	assert.Equal(t, len(c.Next(2600*time.Millisecond, versions, engines(12, 1), false).Load), 3)
}

func TestOldestVersionIsLoadedFirst(t *testing.T) {
	pool := engines(3, 2)
	pool[2].Version = 1
	versions := []Version{{Number: 2}, {Number: 3}}
	assert.DeepEqual(t, config().Next(0, versions, pool, false).Load, []string{"e02", "e00"})
}

func TestIntermediateVersionsAreSkipped(t *testing.T) {
	plan := config().Next(5*time.Second, []Version{{Number: 2}, {Number: 3, Start: 3 * time.Second}}, engines(12, 1), false)
	assert.Equal(t, plan.Target, 3)
}

func TestMinimumRisesBeforeExpiry(t *testing.T) {
	versions := []Version{{Number: 2}}
	before := config().Next(6500*time.Millisecond, versions, nil, false)
	guarded := config().Next(6600*time.Millisecond, versions, nil, false)
	cut := config().Next(7750*time.Millisecond, versions, nil, false)
	assert.Equal(t, before.Minimum, 0)
	assert.Equal(t, guarded.Minimum, 2)
	assert.Equal(t, guarded.Expired, 0)
	assert.Equal(t, cut.Expired, 2)
}

func TestVersionIsPreferredAfterGrace(t *testing.T) {
	c := config()
	c.Grace = 1300 * time.Millisecond
	versions := []Version{{Number: 2}, {Number: 3, Start: time.Second}}
	assert.Equal(t, c.Next(1200*time.Millisecond, versions, nil, false).Preferred, 0)
	assert.Equal(t, c.Next(1300*time.Millisecond, versions, nil, false).Preferred, 2)
	assert.Equal(t, c.Next(2300*time.Millisecond, versions, nil, false).Preferred, 3)
}

// An election after the deadline must not extend it.
func TestLeaderChangeAfterDeadlineDoesNotExtendIt(t *testing.T) {
	deadline := 8 * time.Second
	assert.Equal(t, EffectiveStart(3*time.Second, 11500*time.Millisecond, deadline), 3*time.Second)
	assert.Equal(t, EffectiveStart(3*time.Second, 9*time.Second, deadline), 9*time.Second)
	assert.Equal(t, EffectiveStart(3*time.Second, time.Second, deadline), 3*time.Second)
}

// TestRolloutMeetsDeadline simulates rollouts in which there is
// time to finish the loads in progress and then load all engines.
// Without that condition no order of loads can meet the deadline.
func TestRolloutMeetsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Divisor = rapid.IntRange(2, 6).Draw(t, "divisor")
		count := rapid.IntRange(1, 60).Draw(t, "engines")
		parallel := max(minParallel, count/c.Divisor)
		if rounds := (count+parallel-1)/parallel + 1; time.Duration(rounds)*loadTime > c.Deadline-c.Guard {
			t.Skip("not enough time")
		}
		var versions []Version
		at := time.Duration(0)
		for i := range rapid.IntRange(1, 4).Draw(t, "versions") {
			versions = append(versions, Version{Number: i + 2, Start: at})
			at += time.Duration(rapid.IntRange(1000, 6000).Draw(t, "gap")) * time.Millisecond
		}
		simulateRollout(t, c, versions, engines(count, 1))
	})
}

// simulateRollout steps through time and checks that no engine
// in service is older than the minimum.
func simulateRollout(t *rapid.T, c Config, versions []Version, pool []Engine) {
	const step = 20 * time.Millisecond
	until := map[string]time.Duration{}
	target := map[string]int{}
	for now := time.Duration(0); now < versions[len(versions)-1].Start+c.Deadline; now += step {
		named := 0
		for named < len(versions) && versions[named].Start <= now {
			named++
		}
		for i := range pool {
			if end, loading := until[pool[i].ID]; loading && now >= end {
				pool[i].Loading, pool[i].Version = false, target[pool[i].ID]
				delete(until, pool[i].ID)
			}
		}
		plan := c.Next(now, versions[:named], pool, false)
		for _, id := range plan.Load {
			for i := range pool {
				if pool[i].ID == id {
					pool[i].Loading = true
					until[id], target[id] = now+loadTime, plan.Target
				}
			}
		}
		for _, e := range pool {
			assert.Assert(t, e.Loading || e.Version >= plan.Minimum, "at %v engine %s has %d, minimum %d", now, e.ID, e.Version, plan.Minimum)
		}
	}
}
