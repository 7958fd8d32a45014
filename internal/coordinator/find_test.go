package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Guards against routers that poll the nodes without pause during an election.
func TestFindWaitsForLeader(t *testing.T) {
	g := newGroup(t, 3)
	old := g.leader()
	g.kill(old)
	queried := (old + 1) % 3
	calls := 0
	for found := false; !found; calls++ {
		reply, err := g.servers[queried].serve(context.Background(), coordapi.Request{Find: &coordapi.Find{}})
		assert.NilError(t, err)
		found = !reply.NotLeader || (reply.Leader != "" && reply.Leader != g.config[old].PeerListen)
		if reply.Leader == g.config[old].PeerListen {
			// The old leader has not timed out yet.
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, calls < 500, "no leader")
	}
	t.Logf("%d calls", calls)
}

// Routers that have lost all state use the number of back ends that a follower returns.
func TestFindReturnsBackendCount(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.call(0, beat("y", 1, false))
	follower := (g.leader() + 1) % 3
	for range 500 {
		reply, err := g.servers[follower].serve(context.Background(), coordapi.Request{Find: &coordapi.Find{}})
		assert.NilError(t, err)
		if reply.NotLeader && reply.Backends == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the follower returned no back ends")
}
