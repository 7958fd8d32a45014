package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
)

// A leader that was suspended and took its lease for as young as before answered reads,
// renewed the rights of routers and counted limits, beside the leader that the others
// had elected.
func TestASuspendedLeaderHoldsItsLeaseNoMore(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("x")
	g.awaitPlaced("x")
	g.call(0, configure(3))
	leader := g.leader()
	s := g.servers[leader]
	suspended := false
	s.loop.Do(context.Background(), func(now time.Duration) {
		if suspended = s.core.HoldsLease(now); !suspended {
			return
		}
		g.slept[leader].Store(int64(3 * time.Second))
		// The first thing that it does when it is back.
		assert.Assert(t, !s.core.HoldsLease(s.now()))
		_, _, counted := s.limits.take(s.now(), &coordapi.Place{Tenant: "t", Amount: quota.Amount(1)})
		assert.Assert(t, !counted)
	})
	assert.Assert(t, suspended)
	// Back ends that it has not heard of for that time are not taken for gone.
	g.call(0, configure(4))
	g.awaitPlaced("x")
}
