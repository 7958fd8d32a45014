package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

// What is acknowledged as replicated must not be lost with the leader: registrations, named
// weights, the holder of the order lease, blocked requests and the end of a block.
func TestAcknowledgedChangesSurviveLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, heartbeatOf("x", 100, 1, false, 1))
	g.call(0, coordapi.Request{NameWeights: &state.NameWeights{Model: "other", Version: 7}})
	submit := func(command state.Command) {
		_, err := g.servers[g.leader()].submit(t.Context(), command)
		assert.NilError(t, err)
	}
	submit(state.Command{Hold: &state.Hold{Holder: "elsewhere"}})
	blocked, unblocked := poison.Digest(1), poison.Digest(2)
	for _, request := range []poison.Digest{blocked, unblocked} {
		submit(state.Command{Block: &state.Block{Request: request, Backends: []string{"a", "b", "c"}}})
	}
	g.call(0, coordapi.Request{Unblock: &state.Unblock{Request: unblocked}})
	g.restart()

	assert.Equal(t, g.currentRow(g.leader(), "x").Born, state.UnixMilli(100))
	var d state.Deployment
	s := g.servers[g.leader()]
	s.loop.Do(t.Context(), func(_ time.Duration) { d = *s.core.Machine().Deployment() })
	assert.Equal(t, d.LatestWeights("other"), 7)
	assert.Equal(t, d.Holder, "elsewhere")
	assert.Equal(t, len(d.Blocked), 1)
	assert.Equal(t, d.Blocked[0].Request, blocked)
}

// A request to join is kept by the leader only, so the joining node repeats it to the next one.
func TestJoinIsRepeatedToNewLeader(t *testing.T) {
	g := newGroup(t, 4)
	first := g.leader()
	g.kill(first)
	g.start(first)
	for i := range g.servers {
		g.awaitVoters(i, 4)
	}
}

// Heartbeats that changed nothing are kept by the leader only. The next leader counts the silence
// of a back end from the beginning of its leadership.
func TestNewLeaderDoesNotRemoveBackendsItHasNotReceived(t *testing.T) {
	g := newFastGroup(t)
	g.register("x", 100)
	g.restart()
	s := g.servers[0]
	waitOn(t, func(poll.LogT) poll.Result {
		silent := false
		s.loop.Do(t.Context(), func(time.Duration) { silent = s.soft.isSilent("x") })
		if !silent {
			return poll.Continue("not silent yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	assert.Equal(t, g.currentRow(0, "x").Born, state.UnixMilli(100), "it is silent and still listed")
}
