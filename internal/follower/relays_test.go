package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/relay"
)

// relayLeader is a leader that names the routers that have registered with it.
type relayLeader struct {
	mu         sync.Mutex
	registered map[string]bool
	exchanges  int
}

func (l *relayLeader) handle(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var request coordapi.Request
	if err := json.Unmarshal(body, &request); err != nil || request.Relays == nil {
		return coordapi.Reply{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges++
	l.registered[request.Relays.Address] = true
	list := &coordapi.RelayList{}
	for address := range l.registered {
		if address != request.Relays.Address && len(list.Relays) < relay.MaxRelays {
			list.Relays = append(list.Relays, coordapi.Relay{Address: address})
		}
	}
	return coordapi.Reply{Relays: list}, nil
}

func (l *relayLeader) start(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.registered = map[string]bool{}
	server := peer.Serve(listener, &peer.Counters{}, l.handle)
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// registerRouter starts a router that registers with a leader, and returns what it knows of others.
func registerRouter(t *testing.T, leader, name string) *relay.Selector {
	return registerLosing(t, leader, name, func() []string { return nil })
}

// registerLosing is registerRouter for a router that has lost pools.
func registerLosing(t *testing.T, leader, name string, lost func() []string) *relay.Selector {
	selector := relay.NewSelector("z")
	f := New(Config{Name: name, Pool: discardPool{}, Peers: peer.NewClient(&peer.Counters{}), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Relays: Relays{Address: name, Selector: selector, Lost: lost}})
	leadership := "1"
	f.following.Store(&leader)
	f.leadership.Store(&leadership)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.UpdateRelays(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		f.config.Peers.Close()
	})
	return selector
}

// A router that registers before all others must learn of them soon after they have registered.
func TestRouterThatRegistersFirstKnowsOthersSoon(t *testing.T) {
	l := &relayLeader{}
	address := l.start(t)
	first := registerRouter(t, address, "first")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.exchanges == 0 {
			return poll.Continue("not registered")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for i := range relay.MaxRelays - 1 {
		registerRouter(t, address, fmt.Sprintf("router-%d", i))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if known := first.Known(); known < relay.MaxRelays-1 {
			return poll.Continue("knows %d of %d", known, relay.MaxRelays-1)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Few other routers must not make a router ask the leader for more at a high rate.
func TestExchangesOfRoutersThatKnowFewBecomeRare(t *testing.T) {
	var e relayExchange
	var last time.Duration
	for range 8 {
		last = e.next(2)
	}
	assert.Assert(t, last >= scarceRelayInterval)
	assert.Assert(t, e.next(relay.MaxRelays) >= relayInterval)
}

// A router may lose a path before it has followed any leader.
func TestRouterThatStartsWithLostPathRegisters(t *testing.T) {
	l := &relayLeader{}
	address := l.start(t)
	var calls atomic.Int64
	lost := func() []string {
		if calls.Add(1) < 3 {
			return []string{"llm"}
		}
		return nil
	}
	registerLosing(t, address, "first", lost)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.exchanges < 3 {
			return poll.Continue("%d exchanges", l.exchanges)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
}
