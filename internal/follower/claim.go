package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

// Claim asks the leader for a permit to send a request to a back end with a limit. Without a
// permit, wait is when the back end takes another request, 0 if its next permit is kept for
// others, and retryAfter is when some back end of the pool takes the request, 0 if the leader
// did not answer.
func (f *Follower) Claim(ctx context.Context, q *backends.Query, id coordapi.BackendID) (permit *ratelimit.Permit, wait, retryAfter time.Duration) {
	leader := f.reachableLeader()
	if leader == nil {
		return nil, placeBackoff, 0
	}
	call := &coordapi.Claim{Router: f.name, Number: f.placements.number.Add(1), Backend: id, Pool: q.Pool, Claimant: q.Claimant, Finishes: true, Reports: f.pendingReports()}
	requested := clock.Now()
	granted := func(reply *coordapi.Reply) *ratelimit.Permit {
		return permitOf(reply.Claimed, id, call.Number, requested)
	}
	reply, err := f.callForPermit(ctx, *leader, coordapi.Request{Claim: call}, call.Number, granted)
	if err != nil || reply.Claimed == nil {
		// The reports may be lost.
		f.requeueReports(&call.Reports)
		f.backOff(ctx, err)
		return nil, placeBackoff, 0
	}
	if reply.Claimed.Unlimited {
		return ratelimit.Unlimited(id), 0, 0
	}
	if permit = granted(&reply); permit != nil {
		return permit, 0, 0
	}
	return nil, reply.Claimed.Wait, reply.Claimed.RetryAfter
}

// permitOf returns the permit in the reply to a claim, nil for none.
func permitOf(claimed *coordapi.Claimed, id coordapi.BackendID, number uint64, requested time.Duration) *ratelimit.Permit {
	switch {
	case claimed == nil || claimed.Permit == 0:
		return nil
	case claimed.Running:
		return ratelimit.Running(id, number, requested, claimed.Permit)
	}
	return ratelimit.Granted(id, number, requested, claimed.Permit)
}

// reachableLeader returns the leader that may be called now, nil for none. A leader that did not
// answer is left out for a moment, since each request would wait for the timeout.
func (f *Follower) reachableLeader() *string {
	if int64(f.now()) < f.placements.backoffUntil.Load() {
		return nil
	}
	return f.following.Load()
}

// backOff delays the next request to the leader, unless the caller has left or the leader
// returned an error: a leader of an earlier build rejects requests that it does not support, and
// still places.
func (f *Follower) backOff(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, peer.ErrRemote) {
		f.placements.backoffUntil.Store(int64(f.now() + placeBackoff))
	}
}
