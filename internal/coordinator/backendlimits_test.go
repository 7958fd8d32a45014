package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

func limitReport(id string, rate float64) coordapi.LimitReport {
	return coordapi.LimitReport{ID: coordapi.BackendID(id), Pool: "llm", Limited: true, Rate: rate}
}

// claimFor requests a permit from the leader and returns the answer.
func (g *group) claimFor(router string, number uint64, id string, words ...coordapi.LimitReport) *coordapi.Claimed {
	g.t.Helper()
	req := &coordapi.Claim{Router: router, Number: number, Backend: coordapi.BackendID(id), Pool: "llm", Reports: coordapi.Reports{Limits: words}}
	reply, err := g.servers[g.leader()].Call(context.Background(), coordapi.Request{Claim: req})
	assert.NilError(g.t, err)
	assert.Assert(g.t, reply.Claimed != nil)
	return reply.Claimed
}

// awaitLimited waits until the leader's views name the given back ends as limited.
func (g *group) awaitLimited(wanted ...coordapi.BackendID) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		reply, err := g.servers[g.leader()].Call(context.Background(), coordapi.Request{Watch: &coordapi.Watch{Router: "w"}})
		if err != nil || reply.View == nil || len(reply.View.Limited) != len(wanted) {
			return poll.Continue("%+v, %v", reply.View, err)
		}
		assert.DeepEqual(g.t, append([]coordapi.BackendID{}, reply.View.Limited...), append([]coordapi.BackendID{}, wanted...))
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// All routers share one permit, which placements at the engine use as well. All routers receive
// the limit from the leader, and a new leader receives it from them.
func TestBackendLimitIsSharedByRouters(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	free := g.claimFor("r1", 1, "x")
	assert.Assert(t, free.Unlimited && free.Permit == 0)
	g.awaitLimited()
	granted := g.claimFor("r1", 2, "x", limitReport("x", 1))
	assert.Assert(t, granted.Permit > 0)
	g.awaitLimited("x")
	denied := g.claimFor("r2", 1, "x")
	assert.Assert(t, denied.Permit == 0 && !denied.Unlimited && denied.Wait > 0 && denied.RetryAfter > 0, "%+v", denied)
	reply, err := g.servers[g.leader()].Call(context.Background(), place(2000))
	assert.NilError(t, err)
	assert.Equal(t, reply.Placed.ID, "")
	assert.Assert(t, reply.Placed.RetryAfter > 0)
	// A permit that was not used is available to another router.
	back := coordapi.Reports{Unused: []uint64{2}}
	_, err = g.servers[g.leader()].Call(context.Background(), coordapi.Request{Update: &coordapi.Update{Router: "r1", Reports: back}})
	assert.NilError(t, err)
	reply, err = g.servers[g.leader()].Call(context.Background(), place(2001))
	assert.NilError(t, err)
	assert.Equal(t, reply.Placed.ID, "x")
	assert.Assert(t, reply.Placed.Permit > 0)

	lost := g.leader()
	g.kill(lost)
	g.start(lost)
	g.awaitLimited()
	assert.Assert(t, g.claimFor("r2", 2, "x", limitReport("x", 1)).Permit > 0)
	assert.Assert(t, g.claimFor("r2", 3, "x").Permit == 0)
	g.awaitLimited("x")
}

// Orders and reports need permits, which they get before requests, and the rollout still
// completes.
func TestOrdersObeyBackendLimit(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	g.engines.mu.Lock()
	g.engines.limits = []coordapi.LimitReport{limitReport("x", 1)}
	g.engines.mu.Unlock()
	g.awaitLimited("x")
	begun := time.Now()
	g.call(0, coordapi.Request{NameWeights: &state.NameWeights{Model: "m", Version: 2}})
	g.awaitVersion("x", 2)
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	assert.Assert(t, len(g.engines.calls) > 0)
	for _, call := range g.engines.calls {
		assert.Assert(t, call.permit, "sent without a permit after %v", call.at.Sub(begun))
	}
	length := time.Since(begun).Seconds()
	assert.Assert(t, float64(len(g.engines.calls)) <= 1.4*length+3, "%d calls in %.1f s", len(g.engines.calls), length)
}

// Every node serves the leader's limits to operators.
func TestEveryNodeListsLimits(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.configure(1, limitedTo200)
	g.awaitPlaced("x")
	g.claimFor("r1", 1, "x", limitReport("x", 2))
	g.claimFor("r1", 2, "x")
	for _, node := range g.servers {
		server := httptest.NewServer(node.Handler())
		defer server.Close()
		response, err := http.Get(server.URL + "/v1/limits")
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		var limits coordapi.LimitsInForce
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&limits))
		assert.Equal(t, len(limits.Backends), 1)
		b := limits.Backends[0]
		assert.Assert(t, b.ID == "x" && b.Rate == 2 && b.Granted > 0 && b.Denied > 0, "%+v", b)
		assert.Equal(t, limits.Tenants[0].Burst, 200.0)
	}
}
