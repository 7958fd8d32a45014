package coordinator

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
)

// waits returns a request that may wait, at an engine of four slots.
func waits(number uint64) coordapi.Request {
	r := place(number)
	r.Place.Own, r.Place.Most, r.Place.Target, r.Place.Patience = 10, 20, time.Second, 10*time.Second
	r.Place.Queueing = coordapi.Queueing{Wait: true, Deadline: 20 * time.Second}
	return r
}

// newFullGroup returns a group whose leader has placed requests 1001 to 1004 at its only engine.
func newFullGroup(t *testing.T) (*group, *Server) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	s := g.servers[g.leader()]
	var ended []uint64
	for number := range uint64(1000) {
		ended = append(ended, number)
	}
	s.placer.ApplyReports(s.now(), "r", &coordapi.Reports{Ended: ended})
	for number := uint64(1001); number <= 1004; number++ {
		assert.Equal(t, s.place(waits(number).Place).Placed.ID, "x")
	}
	return g, s
}

// A held Await must return as soon as a report frees capacity, and not only when its time is over.
func TestAwaitReturnsGrantAtOnce(t *testing.T) {
	_, s := newFullGroup(t)
	placed := s.place(waits(1).Place).Placed
	assert.Assert(t, placed.Queued, "%+v", placed)
	begun := time.Now()
	time.AfterFunc(50*time.Millisecond, func() {
		s.placer.ApplyReports(s.now(), "r", &coordapi.Reports{Ended: []uint64{1002}})
	})
	reply, err := s.await(context.Background(), &coordapi.Await{Router: "r", Session: placed.Session})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Awaited.Outcomes), 1)
	assert.Equal(t, reply.Awaited.Outcomes[0].Placed.ID, "x")
	took := time.Since(begun)
	assert.Assert(t, took >= 50*time.Millisecond && took < coordapi.AwaitHold-50*time.Millisecond, "%v", took)
	again, err := s.await(context.Background(), &coordapi.Await{Router: "r", Session: placed.Session})
	assert.NilError(t, err)
	assert.DeepEqual(t, again, reply)
	begun = time.Now()
	none, err := s.await(context.Background(), &coordapi.Await{Router: "r", Session: placed.Session, Acknowledged: reply.Awaited.Sequence})
	assert.NilError(t, err)
	assert.Equal(t, len(none.Awaited.Outcomes), 0)
	assert.Assert(t, time.Since(begun) >= coordapi.AwaitHold)
}

// A node that no longer leads must say so to the routers whose Await it holds, and a node that never
// led must not hold one.
func TestAwaitEndsWithLeadership(t *testing.T) {
	g, s := newFullGroup(t)
	placed := s.place(waits(1).Place).Placed
	follower := g.servers[(g.leader()+1)%3]
	reply, err := follower.await(context.Background(), &coordapi.Await{Router: "r"})
	assert.NilError(t, err)
	assert.Assert(t, reply.NotLeader)
	begun := time.Now()
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.loop.StepDown(context.Background(), func() *control.Core { return s.core }, tickInterval)
	}()
	reply, err = s.await(context.Background(), &coordapi.Await{Router: "r", Session: placed.Session})
	assert.NilError(t, err)
	assert.Assert(t, reply.NotLeader || reply.Awaited != nil && reply.Awaited.Session != placed.Session, "%+v", reply)
	assert.Assert(t, time.Since(begun) < 5*time.Second)
}

// A queued request must count once against its tenant's limit, and not at all if it leaves without a
// placement.
func TestQueuedRequestCountsOnceAgainstTenantLimit(t *testing.T) {
	g, s := newFullGroup(t)
	g.configure(1, unlimited)
	g.configure(2, limitedTo200)
	waitOn(t, func(poll.LogT) poll.Result {
		if len(s.tenantLimits.list(s.now())) == 0 {
			return poll.Continue("no limits yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	limited := func(number uint64, amount quota.Amount) *coordapi.Placed {
		r := waits(number)
		r.Place.Tenant, r.Place.Amount = "a", amount
		return s.place(r.Place).Placed
	}
	for i := range 3 {
		placed := limited(1, 150)
		assert.Assert(t, placed.Queued, "time %d: %+v", i, placed)
	}
	assert.Assert(t, limited(2, 150).OverLimit)
	s.placer.ApplyReports(s.now(), "r", &coordapi.Reports{Ended: []uint64{1}})
	s.tenantLimits.settle(s.now(), s.placer.TakeSettlements())
	assert.Assert(t, limited(3, 150).Queued)
}

// Routers need the capacity of the pools before they lose the leader.
func TestViewContainsCapacityOfPools(t *testing.T) {
	g, _ := newFullGroup(t)
	g.awaitRooms(coordapi.Room{Limit: 4, Running: 4})
}

// Guards against a new leader that does not count the requests which routers report, or counts them
// for a second only although the routes allow longer ones.
func TestNewLeaderCountsReportedRequests(t *testing.T) {
	g := newGroup(t, 1)
	g.configure(1, strings.Replace(unlimited, `"1s"`, `"12s"`, 1))
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	s := g.servers[0]
	var ended []uint64
	for number := range uint64(1000) {
		ended = append(ended, number)
	}
	s.placer.ApplyReports(s.now(), "r", &coordapi.Reports{Ended: ended})
	assert.Equal(t, s.place(waits(1001).Place).Placed.ID, "x")
	update := coordapi.Request{Update: &coordapi.Update{Router: "q", Loads: []coordapi.Load{{ID: "x", Running: 3, Memory: 60, Engine: true}}}}
	for range 6 {
		g.call(0, update)
		g.awaitRooms(coordapi.Room{Limit: 4, Running: 4})
		time.Sleep(200 * time.Millisecond)
	}
	assert.Assert(t, s.place(waits(1002).Place).Placed.Queued)
	update.Update.Loads = nil
	g.call(0, update)
	g.awaitRooms(coordapi.Room{Limit: 4, Running: 2})
}

// awaitRooms waits until the leader announces a capacity.
func (g *group) awaitRooms(wanted coordapi.Room) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r"}})
		reply := g.call(g.leader(), coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
		if got := reply.View.Rooms["llm"]; got != wanted {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}
