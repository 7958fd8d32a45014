package coordinator

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	limitedTo200 = `{"version":%V,"pools":[{"name":"llm","slots":4}],"routes":[{"name":"r","host":"h","prefix":"/","kind":"stream",
 "timeout":"1s","split":{"llm":1}}],"tenants":[{"name":"a","keys":["k"],"rate":1,"burst":200,"unit":"tokens"}]}`
	unlimited = `{"version":%V,"pools":[{"name":"llm","slots":4}],"routes":[{"name":"r","host":"h","prefix":"/","kind":"stream",
 "timeout":"1s","split":{"llm":1}}],"tenants":[{"name":"a","keys":["k"]}]}`
)

// configure submits a configuration.
func (g *group) configure(version uint64, document string) {
	g.t.Helper()
	text := []byte(replaceVersion(document, version))
	g.call(0, coordapi.Request{Configure: &state.Configure{Version: version, Document: text}})
}

// placeFor requests a placement from the leader for a tenant's request.
func (g *group) placeFor(number uint64, amount quota.Amount, spent ...quota.Spent) *coordapi.Placed {
	g.t.Helper()
	req := place(number)
	req.Place.Tenant, req.Place.Amount, req.Place.Spent = "a", amount, spent
	reply, err := g.servers[g.leader()].Call(context.Background(), req)
	assert.NilError(g.t, err)
	assert.Assert(g.t, reply.Placed != nil)
	return reply.Placed
}

func TestTenantLimitIsEnforced(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.configure(1, unlimited)
	g.awaitPlaced("x")
	assert.Equal(t, g.placeFor(1000, 1e9).ID, "x")
	g.configure(2, limitedTo200)
	assert.Equal(t, g.placeFor(1001, 150).ID, "x")
	over := g.placeFor(1002, 200)
	assert.Assert(t, over.OverLimit && over.ID == "")
	assert.Assert(t, over.Wait > time.Second)
	// What a router gives back is available again.
	assert.Equal(t, g.placeFor(1003, 200, quota.Spent{Tenant: "a", Amount: -150}).ID, "x")
	waitOn(t, func(poll.LogT) poll.Result {
		g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r"}})
		g.placeFor(1004, 200)
		reply := g.call(g.leader(), coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
		if len(reply.View.Shares) == 0 {
			return poll.Continue("no tenant is announced")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	g.configure(3, unlimited)
	assert.Equal(t, g.placeFor(1005, 1e9).ID, "x")
}

// A request for which no engine is found is not charged to its tenant.
func TestUnplacedRequestIsNotCharged(t *testing.T) {
	g := newGroup(t, 1)
	g.configure(1, unlimited)
	g.configure(2, limitedTo200)
	for number := range uint64(5) {
		placed := g.placeFor(number+1, 200)
		assert.Assert(t, !placed.OverLimit && placed.ID == "")
	}
}

// Without the lease there may be another leader that counts already.
func TestLeaderWithoutLeaseDoesNotCount(t *testing.T) {
	l := newTenantLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	leasedUntil := time.Second
	l.update(0, leasedUntil, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(limitedTo200, 1))})
	req := place(1).Place
	req.Tenant, req.Amount = "a", 1e9
	_, admitted, counted := l.admit(leasedUntil-1, req)
	assert.Assert(t, !admitted && counted)
	_, admitted, counted = l.admit(leasedUntil, req)
	assert.Assert(t, admitted && !counted)
	l.reset(false)
	_, admitted, counted = l.admit(0, req)
	assert.Assert(t, admitted && !counted)
}

// Guards against full buckets when a new leader applies the committed configuration after its
// election.
func TestLimitsAreSetFromFirstLease(t *testing.T) {
	l := newTenantLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	l.update(0, 0, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(unlimited, 1))})
	l.update(0, time.Minute, &state.Deployment{ConfigurationRevision: 2, Document: []byte(replaceVersion(limitedTo200, 2))})
	req := place(1).Place
	req.Tenant, req.Amount = "a", 150
	_, admitted, counted := l.admit(0, req)
	assert.Assert(t, counted && !admitted, "the bucket starts almost empty")
}

// A committed configuration that cannot be decoded leaves the previous limits in force.
func TestUnreadableConfigurationKeepsLimits(t *testing.T) {
	l := newTenantLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	l.update(0, time.Minute, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(limitedTo200, 1))})
	l.update(0, time.Minute, &state.Deployment{ConfigurationRevision: 2, Document: []byte("torn")})
	req := place(1).Place
	req.Tenant, req.Amount = "a", 1e9
	_, admitted, _ := l.admit(time.Second, req)
	assert.Assert(t, !admitted)
}

func replaceVersion(document string, version uint64) string {
	return strings.Replace(document, "%V", strconv.FormatUint(version, 10), 1)
}

// Guards against refusals of tenants within their limits after a loss of all coordinators, when a new
// leader knows nothing of the last window; and against more than the limit.
func TestTenantLimitContinuesAfterLossOfAllCoordinators(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.configure(1, unlimited)
	g.awaitPlaced("x")
	// The refill within the test is small beside the burst.
	g.configure(2, strings.Replace(limitedTo200, `"rate":1,"burst":200`, `"rate":1000,"burst":100000`, 1))
	waitOn(t, func(poll.LogT) poll.Result {
		if g.recordedLevel("a") > 80_000 {
			return poll.Success()
		}
		return poll.Continue("the level of a full bucket is not recorded")
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, !g.placeFor(1, 60_000).OverLimit)
	waitOn(t, func(poll.LogT) poll.Result {
		if level := g.recordedLevel("a"); level > 20_000 && level < 60_000 {
			return poll.Success()
		}
		return poll.Continue("the level after 60,000 of 100,000 is not recorded")
	}, poll.WithTimeout(10*time.Second))
	g.restart()
	g.call(0, beat("x", 2, false))
	assert.Assert(t, !g.placeFor(2, 20_000).OverLimit, "a tenant within its limit is refused")
	assert.Assert(t, g.placeFor(3, 60_000).OverLimit, "a tenant beyond its limit is admitted")
}

// recordedLevel returns the recorded level of a tenant's limit.
func (g *group) recordedLevel(tenant string) float64 {
	s, level := g.servers[g.leader()], 0.0
	s.loop.Do(context.Background(), func(time.Duration) { level = s.core.Machine().Deployment().TenantLevels[tenant] })
	return level
}
