package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
)

// noEngines is a deployment without model engines.
type noEngines struct{}

func (noEngines) Load(context.Context, LoadOrder) error { return ErrHeld }

func (noEngines) Report(context.Context, string, string) (EngineReport, error) {
	return EngineReport{}, nil
}

// group is a set of coordinators on loopback.
type group struct {
	t       *testing.T
	config  []settings.Coordinator
	servers []*Server
}

// newGroup starts coordinators of which the first three are the seeds.
func newGroup(t *testing.T, size int) *group {
	t.Helper()
	g := &group{t: t}
	var addresses []string
	for range size {
		addresses = append(addresses, freeAddress(t))
	}
	for i, address := range addresses {
		g.config = append(g.config, settings.Coordinator{Name: fmt.Sprintf("node-%d", i), Zone: "a", PeerListen: address,
			Seeds: addresses[:min(3, size)], Bootstrap: true, DataDirectory: t.TempDir(), BackendHeartbeat: time.Second,
			WeightsDeadline: 8 * time.Second, OrderLease: time.Second})
		g.config[i].SetDefaults()
		g.servers = append(g.servers, nil)
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.servers {
			g.kill(i)
		}
	})
	return g
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func (g *group) start(i int) {
	g.t.Helper()
	server, err := New(g.config[i], noEngines{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(g.t, err)
	assert.NilError(g.t, server.Start())
	g.servers[i] = server
}

// kill ends a node without a word to the others.
func (g *group) kill(i int) {
	if g.servers[i] == nil {
		return
	}
	g.servers[i].abort()
	g.servers[i] = nil
}

// call sends a request to a node until it is answered.
func (g *group) call(i int, request coordapi.Request) coordapi.Reply {
	g.t.Helper()
	var reply coordapi.Reply
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		var err error
		if reply, err = g.servers[i].Call(context.Background(), request); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return reply
}

// voters returns how many voters a node knows of.
func (g *group) voters(i int) int {
	count := 0
	g.servers[i].do(context.Background(), func(time.Duration) {
		if g.servers[i].core != nil {
			count = len(g.servers[i].core.Status().Membership.Voters)
		}
	})
	return count
}

func (g *group) waitVoters(i, wanted int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if have := g.voters(i); have != wanted {
			return poll.Continue("%d voters, wanted %d", have, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

func configure(version uint64) coordapi.Request {
	return coordapi.Request{Configure: &state.Configure{Version: version, Document: []byte(fmt.Sprintf(`{"version":%d}`, version))}}
}

// A node that joined knew no address to answer the leader at: it never caught
// up, and the group stayed at three voters.
func TestThreeSeedsGrowToFiveVoters(t *testing.T) {
	g := newGroup(t, 5)
	for i := range g.servers {
		g.waitVoters(i, 5)
	}
	g.call(4, configure(7))
	assert.Equal(t, string(g.call(3, coordapi.Request{Read: &coordapi.Read{}}).Document), `{"version":7}`)
}

func TestWhatWasAcknowledgedOutlivesTwoLostDisks(t *testing.T) {
	g := newGroup(t, 5)
	for i := range g.servers {
		g.waitVoters(i, 5)
	}
	g.call(0, configure(3))
	for i := range g.servers {
		g.kill(i)
	}
	for i := range g.servers {
		g.config[i].Bootstrap = false
		if i < 2 {
			g.config[i].DataDirectory = t.TempDir()
		}
		g.start(i)
	}
	assert.Equal(t, string(g.call(4, coordapi.Request{Read: &coordapi.Read{}}).Document), `{"version":3}`)
	for i := range g.servers {
		g.waitVoters(i, 5)
	}
}
