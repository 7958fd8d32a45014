package follower

import (
	"context"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
)

// The time between two updates is updateInterval plus updateIntervalPerRouter for each router of
// the deployment, up to maxUpdateInterval. The leader relies on first events being reported
// within about a second, and expires the work of a router without updates. Without the bound, 985
// routers sent an update every 3 s, and none was in force when the next one was sent.
const (
	updateInterval          = 50 * time.Millisecond
	updateIntervalPerRouter = 3 * time.Millisecond
	maxUpdateInterval       = time.Second
)

// updatePeriod returns the time between two updates of one of many routers. A router with
// nothing to report skips its turn.
func updatePeriod(routers int) time.Duration {
	return min(updateInterval+updateIntervalPerRouter*time.Duration(routers), maxUpdateInterval)
}

// Update sends the leader updates of the router's load, newly saved prompt parts and reports
// until the context ends.
func (f *Follower) Update(ctx context.Context) {
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(updatePeriod(f.Routers())):
		case <-f.evidence.updateNow:
		case <-f.config.Streams.Urgent():
		case <-f.config.Limits.Urgent():
		}
		leader := f.following.Load()
		if leader == nil {
			continue
		}
		update := &coordapi.Update{Router: f.name, Saved: f.config.Saved.TakeNew(), Loads: f.config.Pool.OwnLoads(), Refused: f.config.Pool.Refused(),
			Reports: f.pendingReports()}
		update.Stalls = slices.DeleteFunc(f.config.Streams.Stalls(f.clock()), func(s liveness.Stall) bool { return !f.config.Pool.PathKnown(s.Engine) })
		if f.config.FairShares != nil {
			update.Demands = f.config.FairShares.Demands(f.clock())
		}
		empty := update.Empty() && len(update.Demands) == 0 && len(update.Saved) == 0 && len(update.Loads) == 0 && update.Refused == 0
		if empty && idle {
			continue
		}
		idle = empty
		call, cancel := context.WithTimeout(ctx, updateTimeout)
		var reply coordapi.Reply
		err := f.config.Peers.Call(call, *leader, coordapi.KindCall, coordapi.Request{Update: update}, &reply)
		if err != nil || reply.NotLeader {
			// Reports must arrive; everything else is sent anew with each update.
			f.requeueReports(&update.Reports)
		}
		cancel()
	}
}
