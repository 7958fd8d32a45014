package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

func place(number uint64) coordapi.Request {
	return coordapi.Request{Place: &coordapi.Place{Router: "r", Number: number, Pool: "llm", Model: "m", Slots: 4, Capacity: 10000}}
}

// awaitPlaced requests placements from the leader until it chooses the given engine.
func (g *group) awaitPlaced(id string) {
	g.t.Helper()
	number := uint64(0)
	waitOn(g.t, func(poll.LogT) poll.Result {
		number++
		reply, err := g.servers[g.leader()].Call(context.Background(), place(number))
		if err != nil || reply.Placed == nil || reply.Placed.ID != id {
			return poll.Continue("placed %+v, %v", reply.Placed, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestLeaderPlacesAtRegisteredEngines(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	g.call(1, beat("y", 1, false))
	g.call(2, beat("x", 2, true))
	g.awaitPlaced("y")
}

// A new leader has no placements, but the registered engines are replicated.
func TestNewLeaderPlacesAtRegisteredEngines(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	for i := range g.servers {
		g.kill(i)
		g.start(i)
	}
	g.awaitPlaced("x")
}

// Loads are deferred while engines spend most of their time on prefill, since a load empties
// their caches.
func TestLoadsWaitWhileEnginesAreSaturated(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	s := g.servers[g.leader()]
	assert.Assert(t, !s.saturated(s.now()))
	req := place(1)
	req.Place.Own = 200_000
	s.place(req.Place)
	s.loop.Do(context.Background(), func(now time.Duration) {
		assert.Assert(t, s.saturated(now))
		assert.Assert(t, !s.saturated(now+10*time.Second))
	})
}

// downEngines fails every call as engines do that refuse connections.
type downEngines struct{ ordered chan string }

func (d downEngines) Load(_ context.Context, o LoadOrder) error {
	d.ordered <- o.Instance
	return ErrUnreachable
}

func (downEngines) Report(context.Context, Target) (EngineReport, error) {
	return EngineReport{}, errors.New("down")
}

func (downEngines) Draining() []coordapi.BackendID { return nil }

func (downEngines) Limits(bool) []coordapi.LimitReport { return nil }

// Guards against a crashed engine that holds a load slot until the load times out.
func TestOrderToUnreachableEngineFailsAtOnce(t *testing.T) {
	ordered := make(chan string, 10)
	g := newGroup(t, 1)
	g.kill(0)
	g.calls = downEngines{ordered}
	g.start(0)
	s := g.servers[g.leader()]
	g.call(0, beat("x", 1, false))
	var term uint64
	s.loop.Do(context.Background(), func(time.Duration) { term = s.core.Status().Term })
	err := s.order(context.Background(), state.Backend{ID: "x", Address: "x"}, "m", 2, term)
	assert.Assert(t, errors.Is(err, ErrUnreachable))
	assert.Equal(t, len(ordered), 1)
}
