package follower

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// tellEvery is the time between two words to the leader, and tellStep what
// each router of the deployment adds to it, up to tellLimit: the leader takes it that
// first events are reported within a second, and forgets what a router has under way
// when it hears nothing of it for some. With 985 routers and no limit a router told
// every 3 s, and nothing that it told was in force when it told next.
const (
	tellEvery = 50 * time.Millisecond
	tellStep  = 3 * time.Millisecond
	tellLimit = time.Second
)

// tellPeriod is the time between two words of one router among many. A router that has
// nothing to say skips its turn.
func tellPeriod(routers int) time.Duration {
	return min(tellEvery+tellStep*time.Duration(routers), tellLimit)
}

// Tell brings the leader the router's load and newly saved prompt parts until
// the context ends.
func (f *Follower) Tell(ctx context.Context) {
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tellPeriod(f.Routers())):
		case <-f.evidence.urgent:
		}
		leader := f.following.Load()
		if leader == nil {
			continue
		}
		news := &coordapi.Tell{Router: f.name, Saved: f.config.Saved.TakeNew(), Loads: f.config.Pool.Own(), Refused: f.config.Pool.Refused(),
			Reports: f.reports()}
		quiet := news.Empty() && len(news.Saved) == 0 && len(news.Loads) == 0 && news.Refused == 0
		if quiet && idle {
			continue
		}
		idle = quiet
		call, cancel := context.WithTimeout(ctx, tellTimeout)
		var reply coordapi.Reply
		err := f.config.Peers.Call(call, *leader, coordapi.KindCall, coordapi.Request{Tell: news}, &reply)
		if err != nil || reply.NotLeader {
			// Reports must arrive, all else is told anew.
			f.keep(&news.Reports)
		}
		cancel()
	}
}
