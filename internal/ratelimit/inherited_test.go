package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a brittle back end that gets a request beyond its slots while one that a former leader has
// permitted runs for long.
func TestNewLeaderCountsLongRequestOfFormerOne(t *testing.T) {
	for _, period := range []time.Duration{53 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			l := brittleLimiter()
			l.SetLeading(0, true)
			l.SetLease(time.Hour)
			l.Observe(0, brittleReport("b", true, 1))
			const end = 20 * time.Second
			reported, now := -period, time.Duration(0)
			for ; now < end; now += 10 * time.Millisecond {
				if now-reported >= period {
					reported = now
					l.ReportLoads(now, "r1", running(1))
					l.ReportLoads(now, "r2", nil)
				}
				assert.Assert(t, !take(l, now, "r2", uint64(now), 1), "%v", now)
			}
			l.ReportLoads(now, "r1", nil)
			assert.Assert(t, take(l, now, "r2", 1, 1))
		})
	}
}

// Guards against slots that a new leader keeps for requests of before which have ended.
func TestInheritedRequestsEnd(t *testing.T) {
	l := brittleLimiter()
	l.SetLeading(0, true)
	l.SetLease(time.Hour)
	l.Observe(0, brittleReport("b", true, 1))
	var freed time.Duration
	for now := time.Duration(0); freed == 0; now += 100 * time.Millisecond {
		l.ReportLoads(now, "r1", running(1))
		if take(l, now, "r2", uint64(now), 1) {
			freed = now
		}
	}
	assert.Equal(t, freed, routeTimeout)
}

// Guards against requests of before that are counted no more, or requests of the new leader that are counted
// twice, while both run. One of four slots has a request of before; the others get requests of 1 s.
func TestInheritedRequestRunsBesideNewOnes(t *testing.T) {
	const (
		slots = 4
		end   = 12 * time.Second
		tick  = 10 * time.Millisecond
	)
	l := brittleLimiter()
	l.SetLeading(0, true)
	l.SetLease(time.Hour)
	l.Observe(0, brittleReport("b", true, 1))
	ends := map[uint64]time.Duration{}
	most := map[bool]int{}
	for now := time.Duration(0); now < 2*end; now += tick {
		inherited := 0
		if now < end {
			inherited = 1
		}
		for number, at := range ends {
			if now >= at {
				delete(ends, number)
				l.Finished("r1", []uint64{number})
			}
		}
		if now%(5*tick) == 0 {
			l.ReportLoads(now, "r1", running(inherited+len(ends)))
		}
		// The next report does not include what is permitted now.
		for i := range 2 {
			if number := uint64(now) + uint64(i) + 1; take(l, now, "r1", number, slots) {
				ends[number] = now + time.Second
			}
		}
		assert.Assert(t, inherited+len(ends) <= slots, "%v", now)
		most[now < end] = max(most[now < end], len(ends))
	}
	assert.DeepEqual(t, most, map[bool]int{true: slots - 1, false: slots})
}
