package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func class(tenant string, tenantPriority, routePriority int) Class {
	return Class{Pool: "p", Tenant: tenant, Urgency: Urgency{Tenant: tenantPriority, Route: routePriority}}
}

// Guards against an allocation that exceeds the capacity or leaves a part of it unused, that gives a
// tenant more than one that asks for more, or that serves less urgent classes beyond their floor
// before more urgent ones.
func TestAllocationIsMaxMinFairByUrgency(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var claims []claim
		total := 0.0
		for u := range 1 + random.IntN(3) {
			for i := range 1 + random.IntN(5) {
				c := claim{class: class(fmt.Sprint(i), u/2, u%2), asked: random.ExpFloat64() * 100}
				claims, total = append(claims, c), total+c.asked
			}
		}
		capacity := total * 2 * random.Float64()
		allocate(capacity, claims)
		granted, first, firstAsked := 0.0, 0.0, 0.0
		for _, c := range claims {
			assert.Assert(t, c.granted <= c.asked+1e-9 && c.granted >= 0)
			granted += c.granted
			if c.class.Urgency == claims[0].class.Urgency {
				first, firstAsked = first+c.granted, firstAsked+c.asked
			}
			for _, d := range claims {
				if c.class.Urgency == d.class.Urgency && c.granted < c.asked-1e-9 {
					assert.Assert(t, d.granted <= c.granted+1e-9, "%v gets less than it asks for, and %v more", c, d)
				}
			}
		}
		assert.Assert(t, math.Abs(granted-min(capacity, total)) < 1e-6, "%f of %f granted, %f asked", granted, capacity, total)
		assert.Assert(t, first >= min(firstAsked, (1-floor)*capacity)-1e-6)
	}
}

// Guards against less urgent requests that get nothing while urgent ones exceed the capacity.
func TestLessUrgentLevelsKeepFloor(t *testing.T) {
	claims := []claim{{class: class("a", 0, 0), asked: 300}, {class: class("a", 0, 1), asked: 50}, {class: class("b", 1, 0), asked: 50}}
	allocate(100, claims)
	assert.Assert(t, math.Abs(claims[0].granted-90) < 1e-9)
	assert.Assert(t, math.Abs(claims[1].granted+claims[2].granted-10) < 1e-9)
	assert.Assert(t, math.Abs(claims[1].granted-9) < 1e-9)
}

// Guards against shares that hold while the leader is gone or announces nothing, and against a
// Retry-After without jitter or out of bounds.
func TestGateSharesExpire(t *testing.T) {
	g := NewGate()
	c := class("a", 0, 0)
	admitted := func(now time.Duration, draw float64) bool {
		_, _, ok := g.Admit(now, c, draw, 0.5)
		return ok
	}
	assert.Assert(t, admitted(0, 0.99))
	g.SetShares(time.Second, []Share{{Class: c, Part: 0.25, Over: true}})
	assert.Assert(t, admitted(time.Second, 0.24) && !admitted(3*time.Second, 0.26))
	after, over, _ := g.Admit(time.Second, c, 0.5, 0)
	assert.Assert(t, after == time.Second && over)
	after, _, _ = g.Admit(time.Second, c, 0.5, 1)
	assert.Equal(t, after, 1500*time.Millisecond)
	_, _, other := g.Admit(time.Second, class("b", 0, 0), 0.99, 0)
	assert.Assert(t, other)
	assert.Assert(t, admitted(3*time.Second+1, 0.99))
	g.SetShares(4*time.Second, nil)
	assert.Assert(t, admitted(4*time.Second, 0.99))
}

// Guards against reports that grow without bound, repeat demand, or contain demand from the time
// without a leader.
func TestGateReportsRecentDemandOnce(t *testing.T) {
	g := NewGate()
	for i := range 2 * maxDemands {
		g.Admit(0, class(fmt.Sprint(i), 0, 0), 0, 0)
	}
	g.Admit(0, class("0", 0, 0), 0, 0)
	g.Ran(class("0", 0, 0), 60*time.Millisecond)
	demands := g.Demands(time.Second)
	assert.Equal(t, len(demands), maxDemands)
	assert.DeepEqual(t, demands[0], Demand{Class: class("0", 0, 0), Asked: 2, Runs: 1, Work: 60})
	assert.Equal(t, len(g.Demands(time.Second)), 0)
	g.Admit(time.Second, class("a", 0, 0), 0, 0)
	assert.Equal(t, len(g.Demands(time.Second+maxReportAge+1)), 0)
	g.Admit(4*time.Second, class("a", 0, 0), 0, 0)
	assert.Equal(t, len(g.Demands(4*time.Second)), 1)
}

// Guards against shares without known slots, before a second of reports, or from invalid reports.
func TestNoSharesWithoutSlotsOrReports(t *testing.T) {
	for _, slots := range []int{0, 36} {
		var a Allocator
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			a.Report(now, []Demand{{Class: class("a", 0, 0), Asked: 200, Runs: 60, Work: 3600}, {Class: class("b", 0, 0), Work: math.NaN(), Runs: 1},
				{Class: class("c", 0, 0), Asked: -1}})
			shares := a.Shares(now, func(string) Use { return Use{Slots: slots, Running: slots} })
			assert.Equal(t, len(shares) > 0, slots > 0 && now >= minReportTime, "at %s", now)
		}
		assert.Equal(t, a.classes, 1)
		a.Shares(20*time.Second, func(string) Use { return Use{Slots: slots} })
		assert.Equal(t, len(a.pools)+a.classes, 0)
	}
}

// Guards against demand of routers that have stopped, which would refuse requests for good, and
// against shares that begin and end with each announcement.
func TestRoutersThatStopReportingFallOut(t *testing.T) {
	var a Allocator
	use := func(string) Use { return Use{Slots: 36, Running: 20} }
	report := func(now time.Duration, router string, asked int) {
		a.Report(now, []Demand{{Class: class(router, 0, 0), Asked: asked, Runs: min(asked, 25), Work: 60 * float64(min(asked, 25))}})
	}
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 100 * time.Millisecond {
		report(now, "stops", 100)
		report(now, "stays", 25)
	}
	assert.Equal(t, len(a.Shares(now, use)), 1)
	assert.DeepEqual(t, a.Limited(), []string{"p"})
	assert.Equal(t, len(a.TenantParts()), 2)
	ended := now
	for ; len(a.Shares(now, use)) > 0; now += 100 * time.Millisecond {
		report(now, "stays", 25)
	}
	assert.Assert(t, now-ended <= time.Second, "%s", now-ended)
	assert.DeepEqual(t, a.Limited(), []string{"p"})
	a.Shares(now+limitedHold, use)
	assert.Equal(t, len(a.Limited()), 0)
}
