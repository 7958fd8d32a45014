package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/relay"
)

const (
	// relayInterval is the time between two exchanges with the leader about routers that accept
	// requests of others, scarceRelayInterval while few are known, and lostRelayInterval while this
	// router has lost the path to a pool.
	relayInterval       = 20 * time.Second
	scarceRelayInterval = 3 * time.Second
	lostRelayInterval   = 500 * time.Millisecond
	// firstRelayInterval is the interval after the first exchange with a leader that leaves few known.
	// It doubles up to scarceRelayInterval: other routers register within moments of this one.
	firstRelayInterval = 200 * time.Millisecond
	// relayPoll is the interval at which changes are looked for. It costs no message.
	relayPoll = 100 * time.Millisecond
	// relaySpread is the time per router over which routers register with a new leader.
	relaySpread = 2 * time.Millisecond
)

// Relays is a router's part in passing requests on to other routers.
type Relays struct {
	// Address is where this router accepts requests of others.
	Address string
	// Selector receives the routers that the leader names.
	Selector *relay.Selector
	// Lost returns the pools of which this router reaches no back end.
	Lost func() []string
}

// relayExchange is what the last exchange depended on.
type relayExchange struct {
	leadership string
	lost       []string
	// due is the time of the next exchange unless something changes, and scarce the last interval for
	// which few routers were known; 0 if there was none with this leader.
	due, scarce time.Duration
}

// UpdateRelays registers this router with each leader and keeps the routers to which it may pass
// requests on, until the context ends.
func (f *Follower) UpdateRelays(ctx context.Context) {
	var last relayExchange
	poll := time.NewTicker(relayPoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		leader, leadership := f.following.Load(), f.leadership.Load()
		if leader == nil || leadership == nil {
			continue
		}
		now, lost := f.now(), f.config.Relays.Lost()
		switch {
		case !slices.Equal(lost, last.lost):
			last.lost, last.due = lost, now
		case *leadership != last.leadership:
			last.due = now + rand.N(relaySpread*time.Duration(f.Routers())+1)
		}
		if *leadership != last.leadership {
			last.leadership, last.scarce = *leadership, 0
		}
		if now < last.due {
			continue
		}
		f.exchangeRelays(ctx, *leader, lost)
		last.due = f.now() + last.next(f.config.Relays.Selector.Known())
	}
}

// next returns the time until the next exchange, with some jitter. Known is the number of routers known.
func (e *relayExchange) next(known int) time.Duration {
	interval := relayInterval
	switch {
	case len(e.lost) > 0:
		return lostRelayInterval
	case known < relay.MaxRelays:
		e.scarce = min(max(2*e.scarce, firstRelayInterval), scarceRelayInterval)
		interval = e.scarce
	}
	return interval + rand.N(interval/4)
}

// exchangeRelays makes one exchange. Without an answer the last routers named remain.
func (f *Follower) exchangeRelays(ctx context.Context, leader string, lost []string) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	relays := &coordapi.Relays{Router: f.name, Zone: f.config.Zone, Address: f.config.Relays.Address, Lost: lost}
	if len(lost) > 0 {
		relays.Known = f.config.Relays.Selector.Addresses()
	}
	request := coordapi.Request{Relays: relays}
	var reply coordapi.Reply
	err := f.config.Peers.Call(ctx, leader, coordapi.KindCall, request, &reply)
	if err != nil || reply.Relays == nil {
		// A leader of an older build does not support the call.
		f.config.Logger.Debug("no exchange of relays", "part", "follower", "address", leader, "not_leader", reply.NotLeader, "error", err)
		return
	}
	f.config.Relays.Selector.Set(f.clock(), reply.Relays.Relays)
}
