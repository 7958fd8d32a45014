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
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// discardPool is a Pool that discards everything.
type discardPool struct{}

func (discardPool) Apply([]state.Backend, []string, bool)                             {}
func (discardPool) PathKnown(string) bool                                             { return true }
func (discardPool) Refused() int                                                      { return 0 }
func (discardPool) OnSuperseded(func(string))                                         {}
func (discardPool) ApplyNotes(coordapi.Notes)                                         {}
func (discardPool) RestrictToShard(coordapi.Shard)                                    {}
func (discardPool) Troubles() []coordapi.Trouble                                      { return nil }
func (discardPool) SetTotalLoads(time.Duration, []coordapi.Load, time.Duration, bool) {}
func (discardPool) OwnLoads() []coordapi.Load                                         { return nil }

// fakeLeader is a coordinator with scripted replies.
type fakeLeader struct {
	mu      sync.Mutex
	reply   coordapi.Reply
	updates int
	address string
	// stalls are those of all updates.
	stalls []liveness.Stall
	// placeRequests are the placements requested.
	placeRequests []coordapi.Place
}

func (s *fakeLeader) setReply(r coordapi.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = r
}

func newFakeLeader(t *testing.T) *fakeLeader {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeLeader{address: listener.Addr().String()}
	server := peer.Serve(listener, &peer.Counters{}, func(_ context.Context, _ string, body json.RawMessage) (any, error) {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		var request coordapi.Request
		if json.Unmarshal(body, &request) == nil && request.Update != nil {
			s.updates++
			s.stalls = append(s.stalls, request.Update.Stalls...)
		}
		if request.Place != nil {
			s.placeRequests = append(s.placeRequests, *request.Place)
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

func follow(t *testing.T, lease time.Duration, seeds ...string) *Follower {
	return followWith(t, discardPool{}, lease, seeds...)
}

func followWith(t *testing.T, pool Pool, lease time.Duration, seeds ...string) *Follower {
	f := New(Config{Name: "r", Seeds: seeds, Lease: lease, Decode: decode, Pool: pool, Saved: discardSaved{}, Peers: peer.NewClient(&peer.Counters{}),
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

func TestFollowerHasNoLeaseWithoutConfiguration(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(coordapi.Reply{View: &coordapi.View{Revision: 1}})
	f := follow(t, time.Minute, s.address)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, f.Table() == nil)
	assert.Assert(t, !f.Fresh())
	s.setReply(view(3))
	f.await(t, 3)
	// A view's configuration is in force before the lease that it renews.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.Fresh() {
			return poll.Continue("no lease yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func TestLeaseEndsWithoutLeader(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(3))
	f := follow(t, 150*time.Millisecond, s.address)
	f.await(t, 3)
	s.setReply(coordapi.Reply{NotLeader: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Fresh() {
			return poll.Continue("lease still valid")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, f.Table().Version, uint64(3))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(5))
	f := follow(t, time.Minute, s.address)
	f.await(t, 5)
	s.setReply(view(4))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.Table().Version, uint64(5))
	s.setReply(view(6))
	f.await(t, 6)
}

func TestFollowerIsRedirectedToLeader(t *testing.T) {
	leader, other := newFakeLeader(t), newFakeLeader(t)
	leader.setReply(view(2))
	other.setReply(coordapi.Reply{NotLeader: true, Leader: leader.address})
	follow(t, time.Minute, other.address).await(t, 2)
}

// busyPool has work in progress.
type busyPool struct{ discardPool }

func (busyPool) OwnLoads() []coordapi.Load { return []coordapi.Load{{ID: "x", Running: 1}} }

// discardSaved is a Saved without parts.
type discardSaved struct{}

func (discardSaved) Add([]uint64)      {}
func (discardSaved) TakeNew() []uint64 { return nil }

// A router that was redirected to the leader must send its updates there too.
func TestRedirectedRouterReportsToLeader(t *testing.T) {
	leader, other := newFakeLeader(t), newFakeLeader(t)
	leader.setReply(view(2))
	other.setReply(coordapi.Reply{NotLeader: true, Leader: leader.address})
	f := followWith(t, busyPool{}, time.Minute, other.address)
	f.await(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Update(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		if leader.updates == 0 {
			return poll.Continue("the leader got no update")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestMissingDocumentIsRequested(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(2))
	f := follow(t, time.Minute, s.address)
	f.await(t, 2)
	s.setReply(coordapi.Reply{View: &coordapi.View{Revision: 9, Version: 9}})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.Table().Version, uint64(2))
	s.setReply(view(9))
	f.await(t, 9)
}

func TestPackedRowsAreApplied(t *testing.T) {
	packed, err := coordapi.Pack([]state.Backend{{ID: "a"}, {ID: "b"}})
	assert.NilError(t, err)
	pool := &rowPool{}
	f := New(Config{Name: "r", Decode: decode, Pool: pool, Saved: discardSaved{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	first := view(3).View
	first.PackedBackends = packed
	assert.Assert(t, f.applyView(0, first))
	assert.DeepEqual(t, pool.ids, []string{"a", "b"})
	assert.Assert(t, !f.applyView(0, &coordapi.View{Version: 3, PackedBackends: []byte("torn")}))
}

// rowPool records the IDs of its rows.
type rowPool struct {
	discardPool
	ids []string
}

func (r *rowPool) Apply(rows []state.Backend, _ []string, _ bool) {
	for _, b := range rows {
		r.ids = append(r.ids, b.ID)
	}
}
