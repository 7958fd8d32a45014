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

// configure sends a configuration.
func (g *group) configure(version uint64, document string) {
	g.t.Helper()
	text := []byte(replaceVersion(document, version))
	g.call(0, coordapi.Request{Configure: &state.Configure{Version: version, Document: text}})
}

// placeFor asks the leader for an engine for a tenant's request.
func (g *group) placeFor(number uint64, amount quota.Amount, spent ...quota.Spent) *coordapi.Placed {
	g.t.Helper()
	ask := place(number)
	ask.Place.Tenant, ask.Place.Amount, ask.Place.Spent = "a", amount, spent
	reply, err := g.servers[g.leader()].Call(context.Background(), ask)
	assert.NilError(g.t, err)
	assert.Assert(g.t, reply.Placed != nil)
	return reply.Placed
}

func TestTheLeaderKeepsTenantsWithinTheirLimits(t *testing.T) {
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
	// What a router gives back may be used.
	assert.Equal(t, g.placeFor(1003, 200, quota.Spent{Tenant: "a", Amount: -150}).ID, "x")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.call(0, coordapi.Request{Tell: &coordapi.Tell{Router: "r"}})
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

// A request for which no engine is found does not count.
func TestARequestThatIsNotPlacedDoesNotCount(t *testing.T) {
	g := newGroup(t, 1)
	g.configure(1, unlimited)
	g.configure(2, limitedTo200)
	for number := range uint64(5) {
		placed := g.placeFor(number+1, 200)
		assert.Assert(t, !placed.OverLimit && placed.ID == "")
	}
}

// A node that does not hold the lease may have a successor that counts already.
func TestALeaderWithoutItsLeaseDoesNotCount(t *testing.T) {
	l := newLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	leasedUntil := time.Second
	l.follow(0, leasedUntil, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(limitedTo200, 1))})
	ask := place(1).Place
	ask.Tenant, ask.Amount = "a", 1e9
	_, admitted, counted := l.take(leasedUntil-1, ask)
	assert.Assert(t, !admitted && counted)
	_, admitted, counted = l.take(leasedUntil, ask)
	assert.Assert(t, admitted && !counted)
	l.reset(false)
	_, admitted, counted = l.take(0, ask)
	assert.Assert(t, admitted && !counted)
}

// A new leader that had an older configuration, without limits, took those of the newest
// for limits that nobody had used.
func TestLimitsCountFromTheFirstLeaseOn(t *testing.T) {
	l := newLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	l.follow(0, 0, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(unlimited, 1))})
	l.follow(0, time.Minute, &state.Deployment{ConfigurationRevision: 2, Document: []byte(replaceVersion(limitedTo200, 2))})
	ask := place(1).Place
	ask.Tenant, ask.Amount = "a", 150
	_, admitted, counted := l.take(0, ask)
	assert.Assert(t, counted && !admitted, "the bucket starts almost empty")
}

// A configuration was checked before it was committed; if it can't be read all the
// same, the limits before it stay.
func TestLimitsThatCannotBeReadChangeNothing(t *testing.T) {
	l := newLimits(settings.Coordinator{}, traffic.Parse, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.reset(true)
	l.follow(0, time.Minute, &state.Deployment{ConfigurationRevision: 1, Document: []byte(replaceVersion(limitedTo200, 1))})
	l.follow(0, time.Minute, &state.Deployment{ConfigurationRevision: 2, Document: []byte("torn")})
	ask := place(1).Place
	ask.Tenant, ask.Amount = "a", 1e9
	_, admitted, _ := l.take(time.Second, ask)
	assert.Assert(t, !admitted)
}

func replaceVersion(document string, version uint64) string {
	return strings.Replace(document, "%V", strconv.FormatUint(version, 10), 1)
}
