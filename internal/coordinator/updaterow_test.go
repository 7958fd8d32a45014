package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// Guards against loads whose results are lost because the lease of the leader lapses for a moment.
func TestRowsAreChangedWhileLeaseHasLapsed(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	g.call(leader, heartbeatOf("e", 100, 1, false, 1))
	// No majority has replied yet to what the leader sends from now on, and it goes on to lead.
	g.suspendedFor[leader].Store(int64((leaseDuration + electionTimeout) / 2))
	g.servers[leader].updateRow(t.Context(), "e", func(b *state.Backend) { b.Orders = 7 })
	assert.Equal(t, g.currentRow(leader, "e").Orders, 7)
}

// Guards against acknowledged rows that a new leader overwrites by rows of its state before it has applied what
// was committed.
func TestNewLeaderKeepsAcknowledgedRows(t *testing.T) {
	for range 3 {
		g := newGroup(t, 3)
		leader := g.leader()
		g.call(leader, heartbeatOf("e", 100, 1, false, 1))
		g.call(leader, heartbeatOf("e", 100, 2, false, 2))
		for i := range g.servers {
			g.kill(i)
		}
		for i := range g.servers {
			g.start(i)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for _, s := range g.servers {
			group.Go(func() {
				for ctx.Err() == nil {
					s.updateRow(ctx, "e", func(b *state.Backend) { b.Loading = nil })
				}
			})
		}
		leader = g.leader()
		time.Sleep(200 * time.Millisecond)
		cancel()
		group.Wait()
		assert.Equal(t, g.currentRow(leader, "e").Weights["m"], 2)
	}
}
