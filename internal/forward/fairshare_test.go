package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/fairshare"
)

var aliceAtApp = fairshare.Class{Pool: "app", Tenant: "alice"}

func (r *rig) metricsText() string {
	var text strings.Builder
	_, _ = r.handler.WriteTo(&text)
	return text.String()
}

// Guards against requests beyond a share that run, that wait before they are refused, or whose
// refusal has no reason or Retry-After; and against other classes and pools that are refused too.
func TestRequestBeyondShareIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	gate := fairshare.NewGate()
	r.handler.config.FairShares = gate
	r.add("app", "x", good)
	for _, over := range []bool{false, true} {
		gate.SetShares(clock.Now(), []fairshare.Share{{Class: aliceAtApp, Part: 0, Over: over}})
		begun := time.Now()
		got := r.ask(http.MethodPost, "/unsafe/", nil)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(begun) < 2*time.Second)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= 0.25 && after <= 7.5)
	}
	assert.Equal(t, r.ran("x"), 0)
	assert.Assert(t, strings.Contains(r.metricsText(), "quinceridge_refused_share_total 2\n"))
	assert.Assert(t, strings.Contains(r.metricsText(), "quinceridge_refused_no_room_total 0\n"))
	// The public route has no tenant, and so another class.
	assert.Equal(t, r.ask(http.MethodPost, "/safe/public/", nil).status, http.StatusOK)
	demands := gate.Demands(clock.Now())
	assert.Equal(t, len(demands), 0, "the first report is dropped as too old")
	r.ask(http.MethodPost, "/unsafe/", nil)
	demands = gate.Demands(clock.Now())
	assert.Equal(t, len(demands), 1)
	assert.DeepEqual(t, demands[0], fairshare.Demand{Class: aliceAtApp, Asked: 1})
}

// Guards against a change for requests while no share is announced, after shares have expired, and
// for engine pools, whose requests the leader orders itself.
func TestRequestsGoAsBeforeWithoutShares(t *testing.T) {
	r := newRig(t)
	gate := fairshare.NewGate()
	r.handler.config.FairShares = gate
	r.add("app", "x", good)
	gate.Demands(clock.Now())
	assert.Equal(t, r.ask(http.MethodPost, "/unsafe/", nil).status, http.StatusOK)
	gate.SetShares(clock.Now()-3*time.Second, []fairshare.Share{{Class: aliceAtApp}})
	assert.Equal(t, r.ask(http.MethodPost, "/unsafe/", nil).status, http.StatusOK)
	demands := gate.Demands(clock.Now())
	assert.Equal(t, len(demands), 1)
	assert.Equal(t, demands[0].Asked, 2)
	assert.Equal(t, demands[0].Runs, 2)
	assert.Assert(t, demands[0].Work > 0)
	j := &job{pool: r.source.table.Pool("llm"), route: r.source.table.Route("h", "/chat/")}
	gate.SetShares(clock.Now(), []fairshare.Share{{Class: fairshare.Class{Pool: "llm"}}})
	_, refused := r.handler.refuseBeyondFairShare(j)
	assert.Assert(t, !refused)
	assert.Equal(t, len(gate.Demands(clock.Now())), 0)
}

// Guards against a second draw for the later attempts of an admitted request, and against the failed
// attempts of a broken back end that count as short runs.
func TestShareIsConsideredOnceAndFailuresAreNoRuns(t *testing.T) {
	r := newRig(t)
	gate := fairshare.NewGate()
	r.handler.config.FairShares = gate
	r.add("app", "x", failing)
	r.add("app", "y", failing)
	gate.Demands(clock.Now())
	r.ask(http.MethodPost, "/safe/", nil)
	assert.Assert(t, r.ran("x", "y") > 1)
	demands := gate.Demands(clock.Now())
	assert.Equal(t, len(demands), 1)
	assert.Equal(t, demands[0].Asked, 1)
	assert.Equal(t, demands[0].Runs, 0)
}
