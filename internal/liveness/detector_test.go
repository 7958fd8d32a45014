package liveness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// present is the leader's knowledge of an engine with a row, heartbeats and no placements.
func present(string) (Engine, bool) { return Engine{}, true }

const ms = time.Millisecond

// overdue reports overdue streams at engine "e" whose newest event has the given age.
func overdue(d *Detector, now time.Duration, router string, streams, overdue int, age time.Duration) {
	d.Report(now, router, []Stall{{Engine: "e", Streams: streams, Overdue: overdue, Age: age}})
}

// Guards against listing an engine by too few streams, and against not listing one by enough.
func TestEngineIsListedByThreeStreamsOrBothOfTwo(t *testing.T) {
	cases := map[string]struct {
		streams, overdue, placed int
		listed                   bool
	}{
		"one of one":              {1, 1, 1, false},
		"both of two":             {2, 2, 2, true},
		"two of three":            {3, 2, 2, false},
		"two, others not overdue": {2, 2, 5, false},
		"three of three":          {3, 3, 3, true},
		"three of sixty":          {60, 3, 60, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d Detector
			overdue(&d, 10*time.Second, "a", c.streams, c.overdue, 700*ms)
			d.Check(10*time.Second, func(string) (Engine, bool) { return Engine{Streams: c.placed}, true })
			assert.Equal(t, len(d.Listed()) == 1, c.listed)
		})
	}
}

// Guards against listing an engine that only some routers get no events from.
func TestEventAtAnyRouterPreventsListing(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	overdue(&d, now, "a", 5, 5, 900*ms)
	overdue(&d, now, "b", 5, 1, 500*ms)
	d.Check(now, present)
	assert.Equal(t, len(d.Listed()), 0)
	overdue(&d, now+150*ms, "a", 5, 5, 1050*ms)
	d.Check(now+150*ms, present)
	assert.DeepEqual(t, d.Listed(), []string{"e"})
}

// Guards against listing an engine by an old report whose streams may have had events since.
func TestOldReportDoesNotGrowOlderEvidence(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	overdue(&d, now, "a", 5, 5, 450*ms)
	for wait := time.Duration(0); wait < 3*time.Second; wait += 20 * ms {
		d.Check(now+wait, present)
		assert.Equal(t, len(d.Listed()), 0, "%v later", wait)
	}
	assert.Equal(t, len(d.engines), 0, "expired")
}

// Guards against a report of a first event that does not count as an event of the engine.
func TestReportedFirstEventIsEvidence(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	overdue(&d, now, "a", 5, 5, 650*ms)
	d.Event(now-300*ms, "e")
	d.Event(now-300*ms, "other")
	d.Check(now, present)
	assert.Equal(t, len(d.Listed()), 0)
	assert.Equal(t, len(d.engines), 1)
}

// listEngine returns a Detector that has listed engine "e" at the returned time.
func listEngine(t *testing.T) (*Detector, time.Duration) {
	t.Helper()
	d, now := &Detector{}, 10*time.Second
	overdue(d, now, "a", 4, 4, 650*ms)
	changes := d.Check(now, present)
	assert.DeepEqual(t, changes, []Change{{Engine: "e", Listed: true, Streams: 4, Overdue: 4, Age: 650 * ms}})
	return d, now
}

// Guards against an engine that stays listed after it has recovered.
func TestEngineLeavesListWithItsFirstEvent(t *testing.T) {
	d, now := listEngine(t)
	overdue(d, now+300*ms, "a", 4, 4, 950*ms)
	assert.Equal(t, len(d.Check(now+300*ms, present)), 0)
	d.Report(now+400*ms, "b", []Stall{{Engine: "e", Streams: 1, Active: 1, Age: 5 * ms}})
	changes := d.Check(now+400*ms, present)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Listed)
	assert.Equal(t, len(d.Listed()), 0)
}

// Guards against the last streams being held because a router reports late an event from before the
// engine was listed.
func TestEarlierEventKeepsEngineListed(t *testing.T) {
	d, now := listEngine(t)
	d.Report(now+20*ms, "a", nil)
	d.Report(now+50*ms, "b", []Stall{{Engine: "e", Streams: 1, Overdue: 1, Age: 450 * ms}})
	assert.Equal(t, len(d.Check(now+50*ms, present)), 0)
	assert.DeepEqual(t, d.Listed(), []string{"e"})
}

// Guards against a list that keeps engines without a row.
func TestDepartedEngineLeavesList(t *testing.T) {
	d, now := listEngine(t)
	changes := d.Check(now+20*ms, func(string) (Engine, bool) { return Engine{}, false })
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, len(d.Listed()), 0)
	assert.Equal(t, len(d.engines), 0)
	overdue(d, now+50*ms, "a", 0, 0, 0)
	d.Report(now+100*ms, "a", nil)
}

// Guards against an engine that is never used again because nothing runs there by which it could
// show that it responds, and against using one whose heartbeats are overdue.
func TestIdleEngineLeavesListOnceItsHeartbeatsArrive(t *testing.T) {
	d, now := listEngine(t)
	d.Report(now+100*ms, "a", nil)
	later := now + 100*ms + idleTime
	silent := func(string) (Engine, bool) { return Engine{Silent: true}, true }
	assert.Equal(t, len(d.Check(later, silent)), 0)
	assert.Equal(t, len(d.Check(later, present)), 1)
	assert.Equal(t, len(d.Listed()), 0)
}

// Guards against listing an engine by a router that is gone.
func TestReportsOfSilentRouterExpire(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	overdue(&d, now, "a", 2, 2, 700*ms)
	overdue(&d, now+reportTTL+ms, "b", 1, 1, 2*time.Second)
	d.Check(now+reportTTL+ms, func(string) (Engine, bool) { return Engine{Streams: 3}, true })
	assert.Equal(t, len(d.Listed()), 0)
}

// A lost report delays the detection until the next one and lists nothing else.
func TestLostReportDelaysDetectionByOneInterval(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	overdue(&d, now, "a", 3, 3, 500*ms)
	// The report of now + 250 ms is lost.
	for wait := time.Duration(0); wait < 500*ms; wait += 20 * ms {
		d.Check(now+wait, present)
		assert.Equal(t, len(d.Listed()), 0)
	}
	overdue(&d, now+500*ms, "a", 3, 3, time.Second)
	d.Check(now+500*ms, present)
	assert.DeepEqual(t, d.Listed(), []string{"e"})
}

// Guards against state and lists that grow with what routers report.
func TestDetectorIsBounded(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	many := make([]Stall, 10*MaxStalls)
	for r := range 10 {
		for i := range many {
			many[i] = Stall{Engine: fmt.Sprintf("e%d-%d", r, i), Streams: 3, Overdue: 3, Age: time.Second}
		}
		d.Report(now, fmt.Sprint("r", r), many)
	}
	assert.Equal(t, len(d.engines), 10*MaxStalls)
	d.Check(now, present)
	assert.Equal(t, len(d.Listed()), MaxListed)
	for r := range 10 {
		d.Report(now, fmt.Sprint("r", r), nil)
	}
	d.Check(now, func(string) (Engine, bool) { return Engine{}, false })
	assert.Equal(t, len(d.engines)+len(d.reported)+len(d.Listed()), 0)
}

// Guards against a record that stays for each router that has ever reported: a restarted router has
// another name.
func TestReportsOfRestartedRoutersAreDropped(t *testing.T) {
	d, now := &Detector{}, time.Second
	for i := range 100 {
		now += 200 * ms
		overdue(d, now, fmt.Sprint("router-", i), 1, 1, time.Second)
		d.Check(now, present)
		if i%10 == 9 {
			// All engines depart, and with them what was reported on them.
			d.Check(now, func(string) (Engine, bool) { return Engine{}, false })
		}
		assert.Assert(t, len(d.reported) <= int(reportTTL/(200*ms))+1, "%d reports", len(d.reported))
	}
	d.Check(now+2*reportTTL, present)
	assert.Equal(t, len(d.reported), 0)
}
