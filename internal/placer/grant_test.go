package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Guards against engines that get more requests than their slots because the leader withdraws a grant whose
// request runs, or is about to.
func TestCollectedGrantIsHeld(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		// deliveries is the number of replies with the grant, and reports is set if the router reports.
		deliveries int
		reports    bool
		// acknowledged is the time from the grant to its acknowledgement, and ended to the request's end.
		acknowledged, ended time.Duration
		// freed is the time from the grant after which the slot is granted to the next request.
		freed time.Duration
	}{
		"router is suspended":                    {deliveries: 1, acknowledged: 2500 * time.Millisecond, ended: 8 * time.Second, freed: 8 * time.Second},
		"router is suspended after a lost reply": {deliveries: 2, acknowledged: 900 * time.Millisecond, ended: 8 * time.Second, freed: 8 * time.Second},
		"router has nothing more to wait for":    {deliveries: 1, reports: true, acknowledged: never, ended: 8 * time.Second, freed: 8 * time.Second},
		"router is lost":                         {deliveries: 1, acknowledged: never, ended: never, freed: routerTimeout},
		"grant is not collected":                 {deliveries: 0, reports: true, acknowledged: never, ended: never, freed: uncollectedTime},
		"replies are lost":                       {deliveries: 2, reports: true, acknowledged: never, ended: never, freed: uncollectedTime},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlacer(1)
			begun := time.Second
			fill(t, p, begun)
			session := p.Place(begun, patient("b", 1)).Session
			next := patient("c", 1)
			next.Abandon, next.Deadline = time.Minute, time.Minute
			assert.Assert(t, p.Place(begun, next).Queued)
			end(p, begun, "a", 1)
			granted := begun + passInterval
			p.Step(granted)
			await := func(now time.Duration, acknowledged uint64) coordapi.Awaited {
				reply, _, _ := p.Await(now, now, &coordapi.Await{Router: "b", Session: session, Acknowledged: acknowledged})
				return reply
			}
			var sequence uint64
			for range c.deliveries {
				reply := await(granted, 0)
				assert.Equal(t, reply.Outcomes[0].Placed.ID, "e000")
				sequence = reply.Sequence
			}
			acknowledged, ended := false, false
			for elapsed := time.Duration(0); ; elapsed += passInterval {
				now := granted + elapsed
				if elapsed%(500*time.Millisecond) == 0 {
					end(p, now, "a")
					end(p, now, "c")
					if c.reports || acknowledged {
						end(p, now, "b")
					}
				}
				if !acknowledged && elapsed >= c.acknowledged {
					acknowledged = true
					await(now, sequence)
				}
				if !ended && elapsed >= c.ended {
					ended = true
					end(p, now, "b", 1)
				}
				p.Step(now)
				assert.Equal(t, openCount(p), 2)
				if !p.Holds("c", 1) || len(p.routers["c"].waiting) == 0 {
					assert.Assert(t, elapsed >= c.freed && elapsed <= c.freed+routerTimeout/4+2*passInterval, "granted to the next request after %v instead of %v", elapsed, c.freed)
					return
				}
			}
		})
	}
}

// Guards against a placement that remains after its router asked for the same request again.
func TestRequestAskedForAgainHasOnePlacement(t *testing.T) {
	p := newTestPlacer(1)
	now := time.Second
	fill(t, p, now)
	session := p.Place(now, patient("b", 1)).Session
	end(p, now, "a", 1, 2)
	now += passInterval
	p.Step(now)
	reply, _, _ := p.Await(now, now, &coordapi.Await{Router: "b", Session: session})
	assert.Equal(t, len(reply.Outcomes), 1)
	for range 8 {
		now += routerTimeout / 4
		end(p, now, "b")
	}
	ask := patient("b", 1)
	ask.Again = true
	assert.Equal(t, p.Place(now, ask).ID, "e000")
	assert.Equal(t, p.pool.Room("llm").Requests, 1)
	end(p, now, "b", 1)
	assert.Equal(t, p.pool.Room("llm").Requests, 0)
}
