package follower

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Repeat asks the leader for a retry of the burst that all routers share within a window.
// Answered is false when there was no answer or the leader does not lend yet.
func (f *Follower) Repeat(ctx context.Context, pool string, burst float64, window time.Duration) (granted, answered bool) {
	leader := f.reachableLeader()
	if leader == nil {
		return false, false
	}
	reply, err := f.call(ctx, *leader, coordapi.Request{Repeat: &coordapi.Repeat{Pool: pool, Burst: burst, Window: window}})
	if err != nil || reply.Repeated == nil {
		f.backOff(ctx, err)
		return false, false
	}
	return reply.Repeated.Granted, true
}
