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

// Claim asks the leader for the right to send a request to a back end that takes only so
// much from all machines. Without one, wait is when the back end takes another, 0 if it
// keeps its next place for others, and room when there is room for the request at some back
// end of the pool, 0 if there was no answer: then nobody grants anything.
func (f *Follower) Claim(ctx context.Context, q *backends.Query, id coordapi.BackendID) (right *ratelimit.Permit, wait, room time.Duration) {
	leader := f.askable()
	if leader == nil {
		return nil, placePause, 0
	}
	ask := &coordapi.Claim{Router: f.name, Number: f.placements.number.Add(1), Backend: id, Pool: q.Pool, Claimant: q.Claimant, Reports: f.reports()}
	asked := clock.Now()
	reply, err := f.ask(ctx, *leader, coordapi.Request{Claim: ask})
	if err != nil || reply.Claimed == nil {
		// It may have been granted, and the reports may not have arrived.
		f.keep(&ask.Reports)
		f.config.Limits.ReleaseNumbers(ask.Number)
		f.unanswered(ctx, err)
		return nil, placePause, 0
	}
	switch {
	case reply.Claimed.Free:
		return ratelimit.UnlimitedPermit(id), 0, 0
	case reply.Claimed.Right > 0:
		return ratelimit.NewPermit(id, ask.Number, asked, reply.Claimed.Right), 0, 0
	}
	return nil, reply.Claimed.Wait, reply.Claimed.Room
}

// askable is the leader that may be asked now, nil for none: one that gave no answer a moment
// ago would hold each request for as long as an answer is waited for.
func (f *Follower) askable() *string {
	if int64(f.now()) < f.placements.askAfter.Load() {
		return nil
	}
	return f.following.Load()
}

// unanswered puts the next question off, unless its caller left. A leader of an earlier build
// answers at once that it does not know the question, and goes on to place.
func (f *Follower) unanswered(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, peer.ErrRemote) {
		f.placements.askAfter.Store(int64(f.now() + placePause))
	}
}
