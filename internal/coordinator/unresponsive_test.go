package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/state"
)

// stalls returns the update of a router with three streams at an engine.
func stalls(router, id string, overdue int, age time.Duration) coordapi.Request {
	return coordapi.Request{Update: &coordapi.Update{Router: router, Reports: coordapi.Reports{
		Stalls: []liveness.Stall{{Engine: id, Streams: 3, Overdue: overdue, Active: 3 - overdue, Age: age}}}}}
}

// Guards against routers that do not receive the list, or its changes, or the list of a former
// leader, and against an old router whose updates without stalls change the list.
func TestRoutersReceiveUnresponsiveEngines(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	var view *coordapi.View
	var listed []string
	watch := func(wait time.Duration) error {
		w := &coordapi.Watch{Router: "w", Wait: wait}
		if view != nil {
			w.Since, w.Leader, w.Announced = view.Revision, view.Leader, view.Announced
		}
		reply, err := g.servers[g.leader()].Call(context.Background(), coordapi.Request{Watch: w})
		if err != nil {
			return err
		}
		if view == nil || reply.View.Leader != view.Leader {
			listed = reply.View.Unresponsive
		}
		view = reply.View
		return nil
	}
	// await repeats a report, as routers do, until the list is the wanted one.
	await := func(report coordapi.Request, wanted ...string) {
		t.Helper()
		waitOn(t, func(poll.LogT) poll.Result {
			g.call(0, report)
			if err := watch(100 * time.Millisecond); err != nil || !slices.Equal(listed, wanted) {
				return poll.Continue("listed are %v, %v", listed, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	}
	old := coordapi.Request{Update: &coordapi.Update{Router: "old", Loads: []coordapi.Load{{ID: "x", Running: 1, Engine: true}}}}
	await(old)
	await(stalls("r", "x", 3, 700*time.Millisecond), "x")
	await(old, "x")
	await(stalls("s", "x", 0, time.Millisecond))

	time.Sleep(liveness.EventWindow)
	await(stalls("r", "x", 3, 700*time.Millisecond), "x")
	for i := range g.servers {
		g.kill(i)
		g.start(i)
	}
	g.awaitPlaced("x")
	view = nil
	await(old)
}

// Guards against routers that never learn that the heartbeats of an unresponsive engine of another
// shard are overdue.
func TestSilentUnresponsiveEnginesConcernAllShards(t *testing.T) {
	r := newTestMachine(t)
	d := r.enrolEngines(0, 2000)
	var s softState
	s.reset(0)
	var ids []string
	for i := range 4 {
		ids = append(ids, engineRow(i).ID)
	}
	slices.Sort(ids)
	s.setSilent(ids)
	s.unresponsive = ids[:1]
	for index := range 4 {
		shard := coordapi.Shard{Index: index, Count: 4}
		silent, unresponsive := s.silentAndUnresponsive(d, shard)
		assert.DeepEqual(t, unresponsive, ids[:1])
		for _, id := range ids {
			assert.Equal(t, slices.Contains(silent, id), id == ids[0] || shard.Holds(coordapi.BackendID(id)), "%s in shard %d", id, index)
		}
		assert.DeepEqual(t, s.silentOf(d, shard), s.silentShards[shard])
	}
}

// Guards against a list whose size is a burden for each of many routers.
func TestUnresponsiveListSizeIsBounded(t *testing.T) {
	var ids []string
	for i := range liveness.MaxListed {
		ids = append(ids, fmt.Sprintf("i-%010x", i*7919))
	}
	s := softState{unresponsive: ids}
	_, unresponsive := s.silentAndUnresponsive(&state.Deployment{}, coordapi.Shard{})
	size := 0
	for _, id := range unresponsive {
		size += len(id) + len(`"",`)
	}
	assert.Assert(t, size < 4<<10, "%d bytes", size)
}
