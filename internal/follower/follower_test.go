package follower

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// nobody takes what is said of back ends.
type nobody struct{}

func (nobody) Apply([]state.Backend, []string, bool)                      {}
func (nobody) Refused() int                                               { return 0 }
func (nobody) Note(coordapi.Notes)                                        {}
func (nobody) Narrow(coordapi.Shard)                                      {}
func (nobody) Troubles() []coordapi.Trouble                               { return nil }
func (nobody) Others(time.Duration, []coordapi.Load, time.Duration, bool) {}
func (nobody) Own() []coordapi.Load                                       { return nil }

// script is a coordinator that answers as it is told.
type script struct {
	mu      sync.Mutex
	reply   coordapi.Reply
	told    int
	address string
	// asked are the questions for an engine.
	asked []coordapi.Place
}

func (s *script) say(r coordapi.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = r
}

func newScript(t *testing.T) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &script{address: listener.Addr().String()}
	server := peer.Serve(listener, &peer.Counters{}, func(_ context.Context, _ string, body json.RawMessage) (any, error) {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		var request coordapi.Request
		if json.Unmarshal(body, &request) == nil && request.Tell != nil {
			s.told++
		}
		if request.Place != nil {
			s.asked = append(s.asked, *request.Place)
		}
		return s.reply, nil
	})
	t.Cleanup(server.Close)
	return s
}

func view(version uint64) coordapi.Reply {
	return coordapi.Reply{View: &coordapi.View{Revision: version, Version: version, Document: []byte(strconv.FormatUint(version, 10))}}
}

func decode(document []byte) (*traffic.Table, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	return &traffic.Table{Version: version}, err
}

func follow(t *testing.T, right time.Duration, seeds ...string) *Follower {
	return followWith(t, nobody{}, right, seeds...)
}

func followWith(t *testing.T, pool Pool, right time.Duration, seeds ...string) *Follower {
	f := New(Config{Name: "r", Seeds: seeds, Right: right, Decode: decode, Pool: pool, Saved: noParts{}, Peers: peer.NewClient(&peer.Counters{}),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *Follower) await(t *testing.T, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table := f.Table(); table == nil || table.Version != version {
			return poll.Continue("table is %+v", table)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestWithoutAConfigurationThereIsNoRight(t *testing.T) {
	s := newScript(t)
	s.say(coordapi.Reply{View: &coordapi.View{Revision: 1}})
	f := follow(t, time.Minute, s.address)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, f.Table() == nil)
	assert.Assert(t, !f.Fresh())
	s.say(view(3))
	f.await(t, 3)
	// A view's configuration is in force before the right that it brings.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.Fresh() {
			return poll.Continue("no right yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func TestTheRightEndsWhenNoLeaderVouches(t *testing.T) {
	s := newScript(t)
	s.say(view(3))
	f := follow(t, 150*time.Millisecond, s.address)
	f.await(t, 3)
	s.say(coordapi.Reply{NotLeader: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Fresh() {
			return poll.Continue("still fresh")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, f.Table().Version, uint64(3))
}

func TestAnOlderConfigurationIsNeverTaken(t *testing.T) {
	s := newScript(t)
	s.say(view(5))
	f := follow(t, time.Minute, s.address)
	f.await(t, 5)
	s.say(view(4))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.Table().Version, uint64(5))
	s.say(view(6))
	f.await(t, 6)
}

func TestAFollowerIsSentOnToTheLeader(t *testing.T) {
	leader, other := newScript(t), newScript(t)
	leader.say(view(2))
	other.say(coordapi.Reply{NotLeader: true, Leader: leader.address})
	follow(t, time.Minute, other.address).await(t, 2)
}

// busy has work under way.
type busy struct{ nobody }

func (busy) Own() []coordapi.Load { return []coordapi.Load{{ID: "x", Running: 1}} }

// noParts saves nothing.
type noParts struct{}

func (noParts) Add([]uint64)      {}
func (noParts) TakeNew() []uint64 { return nil }

// A router that was sent on to the leader told its load to nobody: only a
// leader that it had found by itself was noted for that.
func TestARouterThatIsSentOnTellsTheLeader(t *testing.T) {
	leader, other := newScript(t), newScript(t)
	leader.say(view(2))
	other.say(coordapi.Reply{NotLeader: true, Leader: leader.address})
	f := followWith(t, busy{}, time.Minute, other.address)
	f.await(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Tell(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		if leader.told == 0 {
			return poll.Continue("the leader was told nothing")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestAChangeWithoutItsDocumentIsAskedForWhole(t *testing.T) {
	s := newScript(t)
	s.say(view(2))
	f := follow(t, time.Minute, s.address)
	f.await(t, 2)
	s.say(coordapi.Reply{View: &coordapi.View{Revision: 9, Version: 9}})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.Table().Version, uint64(2))
	s.say(view(9))
	f.await(t, 9)
}

func TestPackedRowsAreTaken(t *testing.T) {
	packed, err := coordapi.Pack([]state.Backend{{ID: "a"}, {ID: "b"}})
	assert.NilError(t, err)
	pool := &rowsOf{}
	f := New(Config{Name: "r", Decode: decode, Pool: pool, Saved: noParts{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	first := view(3).View
	first.PackedBackends = packed
	assert.Assert(t, f.take(0, first))
	assert.DeepEqual(t, pool.ids, []string{"a", "b"})
	assert.Assert(t, !f.take(0, &coordapi.View{Version: 3, PackedBackends: []byte("torn")}))
}

// rowsOf keeps the IDs of the rows that it gets.
type rowsOf struct {
	nobody
	ids []string
}

func (r *rowsOf) Apply(rows []state.Backend, _ []string, _ bool) {
	for _, b := range rows {
		r.ids = append(r.ids, b.ID)
	}
}
