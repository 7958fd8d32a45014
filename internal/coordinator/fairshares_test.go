package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/state"
)

// reportDemand sends heartbeats of back ends of a plain pool and an update with demand for it, and
// returns the announced shares.
func (g *group) reportDemand(sequence coordapi.Sequence, asked int) []fairshare.Share {
	g.t.Helper()
	for i, row := range []state.Backend{{ID: "x", Slots: 6}, {ID: "drains", Slots: 1000, Draining: true}, {ID: "engine", Slots: 1000, Weights: map[string]int{"m": 1}}} {
		row.Pool, row.Address = "app", row.ID
		g.call(i, coordapi.Request{Heartbeat: &coordapi.Heartbeat{Backend: row, Sequence: sequence}})
	}
	demands := []fairshare.Demand{{Class: fairshare.Class{Pool: "app", Tenant: "a"}, Asked: asked, Runs: min(asked, 10), Work: float64(min(asked, 10)) * 60}}
	g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Demands: demands}})
	view := g.call(g.leader(), coordapi.Request{Watch: &coordapi.Watch{Router: "r"}}).View
	return view.FairShares
}

// Guards against demand above the slots that is not announced, shares that do not end with it, shares
// that count draining back ends or engines as capacity, and a new leader that announces shares before
// it has reports of a second.
func TestLeaderAnnouncesSharesWhileDemandExceedsSlots(t *testing.T) {
	g := newGroup(t, 3)
	sequence := coordapi.Sequence(0)
	report := func(asked int) []fairshare.Share {
		sequence++
		return g.reportDemand(sequence, asked)
	}
	begun := time.Now()
	await := func(asked int, done func([]fairshare.Share) bool) {
		t.Helper()
		waitOn(t, func(poll.LogT) poll.Result {
			if got := report(asked); !done(got) {
				return poll.Continue("%+v", got)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	}
	limited := func(shares []fairshare.Share) bool {
		return len(shares) == 1 && shares[0].Pool == "app" && shares[0].Tenant == "a" && shares[0].Part < 1
	}
	none := func(shares []fairshare.Share) bool { return len(shares) == 0 }
	await(60, limited)
	assert.Assert(t, time.Since(begun) > 900*time.Millisecond)
	await(1, none)
	await(60, limited)
	g.restart()
	begun = time.Now()
	assert.Assert(t, none(report(60)))
	await(60, limited)
	assert.Assert(t, time.Since(begun) > 900*time.Millisecond)
}

// Guards against shares that end because all back ends of a pool are silent for a moment, while
// routers still send to them, and against silent back ends that count as capacity beside others.
func TestSilentBackendsCountOnlyInPoolsWithoutOthers(t *testing.T) {
	var s Server
	s.soft.reset(0)
	s.soft.routerReports.record(0, &coordapi.Update{Router: "r", Loads: []coordapi.Load{
		{ID: "silent", Running: 3}, {ID: "heard", Running: 2}, {ID: "alone", Running: 5}}})
	s.soft.setSilent([]string{"alone", "silent"})
	d := &state.Deployment{Backends: map[string]state.Backend{
		"silent": {ID: "silent", Pool: "mixed", Slots: 6}, "heard": {ID: "heard", Pool: "mixed", Slots: 4},
		"alone": {ID: "alone", Pool: "silent", Slots: 8}, "drains": {ID: "drains", Pool: "silent", Slots: 8, Draining: true}}}
	assert.DeepEqual(t, s.plainUses(d), map[string]fairshare.Use{"mixed": {Slots: 4, Running: 2}, "silent": {Slots: 8, Running: 5}})
}
