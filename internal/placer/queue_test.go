package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
)

// patient returns a request that may wait, of a size of which an engine runs slots.
func patient(router string, number uint64) *coordapi.Place {
	return &coordapi.Place{Router: router, Number: number, Zone: "a", Pool: "llm", Model: "m", Target: time.Second, Patience: time.Second,
		Own: 100, Most: 200, Slots: 2, Capacity: 90000, Queueing: coordapi.Queueing{Wait: true, Account: "t", Abandon: 4 * time.Second, Deadline: 4 * time.Second}}
}

// collect returns the outcomes of a router and acknowledges them.
func collect(t *testing.T, p *Placer, now time.Duration, router string) []coordapi.Outcome {
	t.Helper()
	hello, _, _ := p.Await(now, now, &coordapi.Await{Router: router})
	reply, _, _ := p.Await(now, now, &coordapi.Await{Router: router, Session: hello.Session})
	p.Await(now, now, &coordapi.Await{Router: router, Session: hello.Session, Acknowledged: reply.Sequence})
	return reply.Outcomes
}

func end(p *Placer, now time.Duration, router string, numbers ...uint64) {
	p.ApplyReports(now, router, &coordapi.Reports{Ended: numbers})
}

// A request that finds no capacity waits, and is granted what the next one frees.
func TestRequestWaitsForCapacity(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	assert.Equal(t, p.Place(now, patient("a", 1)).ID, "e000")
	assert.Equal(t, p.Place(now, patient("a", 2)).ID, "e000")
	placed := p.Place(now, patient("b", 1))
	assert.Assert(t, placed.Queued && placed.ID == "" && placed.Session != 0, "%+v", placed)
	_, more := p.Step(now)
	assert.Assert(t, more)
	assert.Equal(t, len(collect(t, p, now, "b")), 0)
	now += 5 * time.Millisecond
	end(p, now, "a", 2)
	_, more = p.Step(now)
	assert.Assert(t, !more)
	outcomes := collect(t, p, now, "b")
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].Number, uint64(1))
	assert.Equal(t, outcomes[0].Placed.ID, "e000")
	assert.Equal(t, openCount(p), 2)
	assert.Equal(t, len(collect(t, p, now, "b")), 0, "acknowledged")
}

// A pass that was due when the queue became empty must not keep later requests from being granted.
func TestQueueIsServedAgainAfterItEmptied(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	assert.Assert(t, p.Place(now, patient("b", 1)).Queued)
	p.Step(now)
	<-p.Wake()
	now += time.Millisecond
	// The first end makes a pass due, the second removes the request that the pass was for.
	end(p, now, "a", 1)
	<-p.Wake()
	end(p, now, "b", 1)
	now += 5 * time.Millisecond
	_, more := p.Step(now)
	assert.Assert(t, !more)
	assert.Equal(t, p.Place(now, patient("a", 3)).ID, "e000")
	assert.Assert(t, p.Place(now, patient("b", 2)).Queued)
	select {
	case <-p.Wake():
	default:
		t.Fatal("no pass is due for a request that waits")
	}
}

// fill occupies both slots of the only engine with requests of router "a".
func fill(t *testing.T, p *Placer, now time.Duration) {
	t.Helper()
	for number := range uint64(2) {
		assert.Equal(t, p.Place(now, patient("a", number+1)).ID, "e000")
	}
}

// A request of a router that does not support waiting must be answered as before, and a later attempt
// without waiting.
func TestRequestsWithoutWaitAreNotQueued(t *testing.T) {
	p := newTestPlacer(1)
	fill(t, p, time.Second)
	old := patient("b", 1)
	old.Queueing = coordapi.Queueing{}
	later := patient("b", 2)
	later.Started = 1
	for _, ask := range []*coordapi.Place{old, later} {
		placed := p.Place(time.Second, ask)
		assert.Assert(t, !placed.Queued && placed.Reason == "" && placed.ID == "e000", "%+v", placed)
	}
}

// Guards against a later attempt that is placed at a full engine although another has room, or although
// no engine begins it within its patience.
func TestLaterAttemptIsPlacedByRoom(t *testing.T) {
	p := newTestPlacer(2)
	now := time.Second
	later := func(number uint64, patience time.Duration) coordapi.Placed {
		ask := patient("b", number)
		ask.Started, ask.Wait, ask.Patience = 1, false, patience
		return p.Place(now, ask)
	}
	p.ApplyLoads(now, "c", loadOf(2))
	assert.Equal(t, later(1, time.Second).ID, "e001")
	assert.Equal(t, later(2, time.Second).ID, "e001")
	p.ApplyLoads(now, "c", loadOf(3))
	placed := later(3, 10*time.Millisecond)
	assert.Assert(t, placed.Late && !placed.Queued, "%+v", placed)
	assert.Equal(t, openCount(p), 2)
	placed = later(4, time.Second)
	assert.Assert(t, placed.ID == "e001" && !placed.Late, "%+v", placed)
	assert.Equal(t, openCount(p), 3)
}

// A request that may wait must be placed at the engine at which it was placed before there was a
// queue, for as long as there is room and nobody waits.
func TestChoiceIsUnchangedWhileThereIsRoom(t *testing.T) {
	before, now := newTestPlacer(20), newTestPlacer(20)
	at := time.Second
	for number := range uint64(200) {
		at += 20 * time.Millisecond
		ask := func() *coordapi.Place {
			ask := longPrompt("r", number, fmt.Sprint("key-", number%7))
			ask.Patience = 400 * time.Millisecond
			if number >= 30 {
				ask.Ended = []uint64{number - 30}
			}
			return ask
		}
		waits := ask()
		waits.Queueing = coordapi.Queueing{Wait: true, Deadline: 4 * time.Second}
		assert.DeepEqual(t, now.Place(at, waits), before.Place(at, ask()))
	}
}

// The places of a router that has crashed must go to others.
func TestWaitingRequestsOfLostRouterAreRemoved(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	assert.Assert(t, p.Place(now, patient("gone", 1)).Queued)
	assert.Assert(t, p.Place(now, patient("here", 1)).Queued)
	for range 4 {
		now += time.Second
		end(p, now, "here")
		end(p, now, "a")
		p.Step(now)
	}
	assert.Assert(t, !p.Holds("gone", 1))
	// The deadline of the other one has passed by now.
	assert.Assert(t, p.Place(now, patient("here", 2)).Queued)
	end(p, now, "a", 1)
	p.Step(now + passInterval)
	outcomes := collect(t, p, now, "here")
	assert.Equal(t, outcomes[len(outcomes)-1].Placed.ID, "e000")
	assert.Equal(t, openCount(p), 2)
}

// A caller that leaves must free its place in the queue, or what was granted to it.
func TestEndOfWaitingRequestFreesItsPlace(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	for number := range uint64(3) {
		assert.Assert(t, p.Place(now, patient("b", number+1)).Queued)
	}
	end(p, now, "b", 1)
	assert.Assert(t, !p.Holds("b", 1) && p.Holds("b", 2))
	end(p, now, "a", 1)
	now += passInterval
	p.Step(now)
	assert.Assert(t, p.Holds("b", 2), "granted and not collected")
	end(p, now, "b", 2)
	now += passInterval
	p.Step(now)
	outcomes := collect(t, p, now, "b")
	assert.Equal(t, outcomes[len(outcomes)-1].Number, uint64(3))
	assert.Equal(t, openCount(p), 2)
}

// A router that has missed a reply asks again. Its request must neither get a second place nor run
// twice.
func TestRepeatedPlaceHasOnePlace(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	for range 3 {
		assert.Assert(t, p.Place(now, patient("b", 1)).Queued)
	}
	end(p, now, "a", 1, 2)
	now += passInterval
	p.Step(now)
	assert.Assert(t, p.Place(now, patient("b", 1)).Queued, "its outcome waits to be collected")
	outcomes := collect(t, p, now, "b")
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, openCount(p), 1)
}

// Outcomes must be repeated until they are acknowledged, and a grant that is not collected must not
// occupy its engine.
func TestUncollectedGrantIsWithdrawn(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	session := p.Place(now, patient("b", 1)).Session
	end(p, now, "a", 1, 2)
	now += passInterval
	p.Step(now)
	call := &coordapi.Await{Router: "b", Session: session}
	for range 2 {
		reply, ready, _ := p.Await(now, now, call)
		assert.Assert(t, ready && len(reply.Outcomes) == 1 && reply.Outcomes[0].Placed.ID == "e000", "%+v", reply)
	}
	now += uncollectedTime + routerTimeout/4
	end(p, now, "b")
	assert.Equal(t, openCount(p), 0)
	reply, _, _ := p.Await(now, now, call)
	assert.Equal(t, reply.Outcomes[0].Placed.ID, "")
	assert.Equal(t, reply.Outcomes[0].Placed.Reason, "", "the router must ask again")
	ask := patient("b", 1)
	ask.Again = true
	assert.Equal(t, p.Place(now, ask).ID, "e000")
}

func TestPoolWithoutEnginesRefusesWaitingRequests(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	for number := range uint64(3) {
		assert.Assert(t, p.Place(now, patient("b", number+1)).Queued)
	}
	p.Apply(nil, []string{"e000"}, false)
	now += passInterval
	p.Step(now)
	outcomes := collect(t, p, now, "b")
	assert.Equal(t, len(outcomes), 3)
	for _, o := range outcomes {
		assert.Equal(t, o.Placed.Reason, string(admission.PoolGone))
		assert.Assert(t, o.Placed.RetryAfter > 0)
	}
}

// A new leader knows of no running request. It must not grant their capacity again to requests that
// the former leader had queued.
func TestNewLeaderCountsAnnouncedLoads(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	for number := range uint64(4) {
		ask := patient("b", number+1)
		ask.Again, ask.Waited = true, time.Second
		assert.Assert(t, p.Place(now, ask).Queued)
	}
	p.Step(now + 200*time.Millisecond)
	assert.Equal(t, openCount(p), 0, "the leader has not settled")
	p.ApplyLoads(now+250*time.Millisecond, "c", []coordapi.Load{{ID: "e000", Running: 1, Memory: 200, Engine: true}})
	p.Step(now + 400*time.Millisecond)
	assert.Equal(t, openCount(p), 1)
}

// A request that waited at another leader must keep the position of its arrival.
func TestWaitedTimeCountsAtNextLeader(t *testing.T) {
	p := newTestPlacer(1)
	now := 10 * time.Second
	fill(t, p, now)
	assert.Assert(t, p.Place(now, patient("b", 1)).Queued)
	older := patient("b", 2)
	older.Waited = 500 * time.Millisecond
	assert.Assert(t, p.Place(now, older).Queued)
	end(p, now, "a", 1)
	now += passInterval
	p.Step(now)
	assert.Equal(t, collect(t, p, now, "b")[0].Number, uint64(2))
}

// A leader that loses its leadership must answer the Awaits that it holds.
func TestResetWakesAwaits(t *testing.T) {
	p := newTestPlacer(1)
	fill(t, p, time.Second)
	placed := p.Place(time.Second, patient("b", 1))
	call := &coordapi.Await{Router: "b", Session: placed.Session}
	_, ready, changed := p.Await(time.Second, time.Second, call)
	assert.Assert(t, !ready)
	p.Reset()
	<-changed
	reply, ready, _ := p.Await(time.Second, time.Second, call)
	assert.Assert(t, ready && reply.Session != placed.Session, "the router must ask again")
	_, more := p.Step(2 * time.Second)
	assert.Assert(t, !more)
}

// The amount of a request's limit that was counted when it was queued must be given back when it is
// refused or leaves.
func TestRefusedWaitGivesTenantLimitBack(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	for number := range uint64(2) {
		ask := patient("b", number+1)
		ask.Tenant, ask.Amount = "t", 7
		assert.Assert(t, p.Place(now, ask).Queued)
	}
	end(p, now, "b", 1)
	assert.DeepEqual(t, p.TakeSettlements(), []quota.Settlement{{Tenant: "t", Amount: 7}})
	for range 2 {
		now += 2 * time.Second
		end(p, now, "b")
	}
	p.Step(now)
	assert.DeepEqual(t, p.TakeSettlements(), []quota.Settlement{{Tenant: "t", Amount: 7}})
	outcomes := collect(t, p, now, "b")
	assert.Equal(t, outcomes[0].Placed.Reason, string(admission.NoRoom))
}

// Reports that free capacity must not make the leader choose again for each waiting request.
func TestPassEndsAfterFewMisses(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	for number := range uint64(1000) {
		assert.Assert(t, p.Place(now, patient("b", number+1)).Queued)
	}
	begun := p.tried
	now += passInterval
	p.Step(now)
	assert.Equal(t, p.tried-begun, maxMisses)
	end(p, now, "a", 1, 2)
	next, _ := p.Step(now + minPassInterval/2)
	assert.Equal(t, next, now+minPassInterval, "too early for the next pass")
	assert.Equal(t, openCount(p), 0)
	p.Step(next)
	assert.Equal(t, openCount(p), 2)
}

// Permits count from the time that the request for them was sent. A grant that is collected late
// must not extend its permit.
func TestPermitOfCollectedGrantIsShortened(t *testing.T) {
	p := newTestPlacer(1)
	fill(t, p, time.Second)
	session := p.Place(time.Second, patient("b", 1)).Session
	p.routers["b"].finish(time.Second, p.routers["b"].waiting[1], coordapi.Placed{ID: "e000", Permit: time.Second})
	reply, _, _ := p.Await(1300*time.Millisecond, 1300*time.Millisecond, &coordapi.Await{Router: "b", Session: session})
	assert.Equal(t, reply.Outcomes[0].Placed.Permit, 700*time.Millisecond)
}

func TestQueueMetrics(t *testing.T) {
	p := newTestPlacer(1)
	fill(t, p, time.Second)
	ask := patient("b", 1)
	ask.Urgency = coordapi.Urgency{Tenant: 1, Route: 2}
	assert.Assert(t, p.Place(time.Second, ask).Queued)
	var text strings.Builder
	p.WriteMetrics(&text, time.Second)
	for _, line := range []string{`quinceridge_queue_waiting{pool="llm",urgency="1.2"} 1`, `quinceridge_room_used{pool="llm"} `, `quinceridge_queue_wait_seconds_count 0`,
		`quinceridge_engine_limit{pool="llm",engine="e000"} 2`} {
		assert.Assert(t, strings.Contains(text.String(), line), "%s lacks %s", text.String(), line)
	}
	rooms := p.Rooms()
	assert.DeepEqual(t, rooms, map[string]coordapi.Room{"llm": {Limit: 2, Running: 2}})
}
