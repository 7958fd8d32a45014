package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
)

// Guards against a suspended leader that still considers its lease valid, beside the leader
// elected meanwhile.
func TestSuspendedLeaderLosesLease(t *testing.T) {
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
		g.suspendedFor[leader].Store(int64(3 * time.Second))
		// The lease must have expired before anything else runs.
		assert.Assert(t, !s.core.HoldsLease(s.now()))
		_, _, counted := s.tenantLimits.admit(s.now(), &coordapi.Place{Tenant: "t", Amount: quota.Amount(1)})
		assert.Assert(t, !counted)
	})
	assert.Assert(t, suspended)
	// Back ends are not removed because of the time of the suspension.
	g.call(0, configure(4))
	g.awaitPlaced("x")
}
