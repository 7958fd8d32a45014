package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
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
