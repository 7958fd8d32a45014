package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// A node that knew of no leader said so at once, and 985 routers that had lost theirs
// asked again every 60 ms: 15,000 questions a second for the nodes that had one to elect.
func TestTheQuestionForALeaderWaitsForOne(t *testing.T) {
	g := newGroup(t, 3)
	old := g.leader()
	g.kill(old)
	asked := (old + 1) % 3
	questions := 0
	for found := false; !found; questions++ {
		reply, err := g.servers[asked].serve(context.Background(), coordapi.Request{Find: &coordapi.Find{}})
		assert.NilError(t, err)
		found = !reply.NotLeader || (reply.Leader != "" && reply.Leader != g.config[old].PeerListen)
		if reply.Leader == g.config[old].PeerListen {
			// Not missed yet.
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, questions < 500, "no leader")
	}
	t.Logf("%d questions", questions)
}

// What a node that does not lead says of the deployment's size, a router that has lost all
// goes by.
func TestTheQuestionForALeaderTellsHowManyBackEndsThereAre(t *testing.T) {
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
	t.Fatal("the follower knows of no back ends")
}
