package follower

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// lateRouter returns a router whose leader grants each permit after a delay.
func lateRouter(t *testing.T, delay time.Duration) *Follower {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.Serve(listener, &peer.Counters{}, func(context.Context, string, json.RawMessage) (any, error) {
		time.Sleep(delay)
		return coordapi.Reply{Placed: &coordapi.Placed{ID: "e", Address: "a:1", Permit: ratelimit.PermitTTL}, Claimed: &coordapi.Claimed{Permit: ratelimit.PermitTTL}}, nil
	})
	t.Cleanup(server.Close)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := New(Config{Name: "router", Seeds: []string{"127.0.0.1:1"}, Pool: discardPool{}, Limits: ratelimit.New(vocabulary.Default(), logger),
		Peers: peer.NewClient(&peer.Counters{}), Logger: logger})
	t.Cleanup(f.config.Peers.Close)
	address := listener.Addr().String()
	f.following.Store(&address)
	return f
}

// A permit that arrives after the router has decided without it must serve another request, and one that
// does not arrive must go back.
func TestLatePermitServesAnotherRequest(t *testing.T) {
	ask := map[string]func(f *Follower) (granted bool){
		"placement": func(f *Follower) bool {
			_, _, answered := f.Place(t.Context(), &backends.Query{Pool: "llm"})
			return answered
		},
		"claim": func(f *Follower) bool {
			permit, _, _ := f.Claim(t.Context(), &backends.Query{Pool: "app"}, "e")
			return permit != nil
		},
	}
	for name, request := range ask {
		for delay, spare := range map[time.Duration]bool{2 * placeTimeout: true, lateReplyTimeout + placeTimeout: false} {
			t.Run(name+" after "+delay.String(), func(t *testing.T) {
				f := lateRouter(t, delay)
				assert.Assert(t, !request(f))
				assert.Equal(t, len(f.config.Limits.Unused()), 0)
				var released int
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					released += len(f.config.Limits.Unused())
					if len(f.config.Limits.Spares())+released == 0 {
						return poll.Continue("nothing arrived")
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
				assert.Equal(t, f.config.Limits.TakeSpare("e") != nil, spare)
				assert.Equal(t, released == 0, spare)
			})
		}
	}
}
