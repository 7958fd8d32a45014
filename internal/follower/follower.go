// Package follower is a router's side of the agreement with the coordinators:
// it watches the leader, keeps the newest configuration and the back ends, and
// says by what right the router serves.
package follower

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// watchWait is how long the leader may hold a watch. Each answer renews the
	// router's right.
	watchWait = 900 * time.Millisecond
	// watchTimeout is when a watch is given up and another coordinator asked.
	watchTimeout = watchWait + 500*time.Millisecond
	// findTimeout is how long a coordinator has to say who leads: one that was
	// lost says nothing, and another may know.
	findTimeout = 250 * time.Millisecond
	// wholeTimeout bounds the first watch of a leader: all routers of a large
	// deployment may ask for everything at once.
	wholeTimeout = 4 * time.Second
	// tellTimeout bounds the word of a router's load.
	tellTimeout = 500 * time.Millisecond
	retryPause  = 60 * time.Millisecond
	// preparation is about how long the coordinators of a few hundred back ends take to
	// agree again after all machines were lost, and preparationStep what each back
	// end adds to it: replicas are read, routers get their first views. With 10,000 of
	// them the last routers served 2.0 s after the machines were back.
	preparation     = 1200 * time.Millisecond
	preparationStep = 80 * time.Microsecond
)

// Decode reads a configuration's document.
type Decode func(document []byte) (*traffic.Table, error)

// Pool takes what the coordinators say of back ends.
type Pool interface {
	// Apply changes rows and removes departed back ends; whole replaces all.
	Apply(rows []state.Backend, departed []string, whole bool)
	// RestrictToShard drops the engines outside a shard: nothing more is heard of them.
	RestrictToShard(shard coordapi.Shard)
	// ApplyNotes takes what only the leader knows.
	ApplyNotes(notes coordapi.Notes)
	// SetTotalLoads takes the work of all routers together, as it was age ago in the mean;
	// engines says that it is of engines too.
	SetTotalLoads(now time.Duration, loads []coordapi.Load, age time.Duration, engines bool)
	// OwnLoads returns the work of this router that is under way. What it returned
	// last counts as part of what SetTotalLoads brings.
	OwnLoads() []coordapi.Load
	// Troubles returns what attempts at engines have shown since the last call.
	Troubles() []coordapi.Trouble
	// Refused returns how many requests were refused since the last call because
	// all engines of their pool were behind.
	Refused() int
}

// Saved is a router's knowledge of the prompt parts that the store holds.
type Saved interface {
	// Add takes parts that other routers have saved.
	Add(parts []uint64)
	// TakeNew returns the parts that this router has saved since the last call.
	TakeNew() []uint64
}

// Quota is a router's side of the tenants' limits.
type Quota interface {
	// SetShares takes the tenants whose demand is above their limit.
	SetShares(now time.Duration, shares []quota.Share)
	// Spent returns what this router has admitted by itself since the last call.
	Spent() []quota.Spent
}

// Follower watches the coordinators. Table and Fresh are safe for concurrent
// use.
type Follower struct {
	config  Config
	name    string
	table   atomic.Pointer[traffic.Table]
	routers atomic.Int64
	// backends is how many back ends a coordinator knew of that was asked for the leader.
	backends atomic.Int64
	// rightUntil is the end of the right to serve, by the process's clock.
	rightUntil atomic.Int64
	seeds      atomic.Pointer[[]string]
	following  atomic.Pointer[string]
	started    time.Duration
	// clock is clock.Now but in tests.
	clock      func() time.Duration
	placements placements
	evidence   evidence

	// All below belongs to Run.
	since uint64
	saved uint64
	// announced is the leader's last announcement that was taken.
	announced uint64
	token     coordapi.LeaderToken
	// shards is into how many the engines were divided in the last view.
	shards  int
	leader  string
	members []string
	next    int
}

// Config says what a Follower works with.
type Config struct {
	Name   string
	Zone   string
	Seeds  []string
	Lease  time.Duration
	Decode Decode
	Pool   Pool
	// Saved may be nil.
	Saved Saved
	// Quota may be nil.
	Quota Quota
	// Pushbacks is what back ends want from this router; nil for nothing.
	Pushbacks *pushback.Registry
	// Limits is what back ends take from all routers together; nil for no limits.
	Limits *ratelimit.Registry
	Peers  *peer.Client
	Logger *slog.Logger
}

// New returns a follower that knows nothing. Its name is new at each start.
func New(config Config) *Follower {
	name := config.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	f := &Follower{config: config, name: name, clock: clock.Now, started: clock.Now(), next: rand.IntN(max(len(config.Seeds), 1))}
	f.SetSeeds(config.Seeds)
	f.evidence.init()
	return f
}

// SetSeeds replaces the coordinators that are asked when no other is known.
func (f *Follower) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// Table returns the configuration to serve by, nil before the first.
func (f *Follower) Table() *traffic.Table { return f.table.Load() }

// now is the time since the process started.
func (f *Follower) now() time.Duration { return f.clock() - f.started }

// Fresh tells whether the router may serve now: a coordinator vouched for its
// configuration within the right's time.
func (f *Follower) Fresh() bool { return int64(f.now()) < f.rightUntil.Load() }

// Routers is how many routers follow the coordinators, at least 1.
func (f *Follower) Routers() int { return max(int(f.routers.Load()), 1) }

// Run watches until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.watch(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// find asks a coordinator who leads. It returns false when another one should
// be asked after a pause.
func (f *Follower) find(ctx context.Context) bool {
	address := f.candidate()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var reply coordapi.Reply
	err := f.config.Peers.Call(ctx, address, coordapi.KindCall, coordapi.Request{Find: &coordapi.Find{}}, &reply)
	switch {
	case err != nil:
		return false
	case !reply.NotLeader:
		f.leader = address
	default:
		f.leader = reply.Leader
		f.backends.Store(int64(reply.Backends))
	}
	return f.leader != ""
}

// StartupDelay is about how long the coordinators take from a loss of all machines until
// this router may serve.
func (f *Follower) StartupDelay() time.Duration {
	return preparation + preparationStep*time.Duration(f.backends.Load())
}

// watch makes one call to the leader. It returns false when another
// coordinator should be asked after a pause.
func (f *Follower) watch(ctx context.Context) bool {
	if f.leader == "" {
		return f.find(ctx)
	}
	address, wait, limit := f.leader, watchWait, watchTimeout
	if f.since == 0 {
		wait, limit = 0, wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := coordapi.Request{Watch: &coordapi.Watch{Router: f.name, Since: f.since, Leader: f.token, SavedSince: f.saved, Announced: f.announced,
		Shards: f.shards, Level: int(level.Current), Wait: wait}}
	sent := f.now()
	var reply coordapi.Reply
	err := f.config.Peers.Call(ctx, address, coordapi.KindCall, request, &reply)
	switch {
	case err != nil:
		f.lost(address, err.Error())
		return false
	case reply.NotLeader:
		f.lost(address, "leads no more")
		f.leader = reply.Leader
		return f.leader != "" && f.leader != address
	case reply.View == nil:
		f.lost(address, "answered without a view")
		return false
	}
	if following := f.following.Load(); following == nil || *following != address {
		f.following.Store(&address)
		f.config.Logger.Info("leader followed", "part", "follower", "address", address)
	}
	return f.take(sent, reply.View)
}

func (f *Follower) lost(address, reason string) {
	f.config.Logger.Warn("leader lost", "part", "follower", "address", address, "reason", reason,
		"right_ms", (f.rightUntil.Load()-int64(f.now()))/int64(time.Millisecond))
	f.leader = ""
}

// candidate returns the next coordinator to ask: the members, then the seeds,
// which may be out of date.
func (f *Follower) candidate() string {
	known := append(append([]string{}, f.members...), *f.seeds.Load()...)
	f.next++
	return known[f.next%len(known)]
}

// take puts a view in force. The right lasts from when the question was sent:
// the view was made later.
func (f *Follower) take(sent time.Duration, v *coordapi.View) bool {
	rows, document, blocked, whole := v.Backends, v.Document, v.Blocked, len(v.Packed) > 0
	if whole {
		var unpacked coordapi.FullView
		if !f.unpack(v, "view cannot be read", v.Packed, &unpacked) {
			return false
		}
		rows, document, blocked = unpacked.Backends, unpacked.Document, &unpacked.Blocked
	}
	if !f.unpack(v, "rows cannot be read", v.PackedBackends, &rows) ||
		!f.unpack(v, "configuration cannot be unpacked", v.PackedDocument, &document) {
		return false
	}
	// Before the configuration: whoever sees that one has the blocks of its view too.
	if blocked != nil {
		f.evidence.block(blocked)
	}
	if !f.configure(v.Version, document) {
		return false
	}
	if len(rows) > 0 || len(v.Departed) > 0 || whole {
		f.config.Pool.Apply(rows, v.Departed, whole)
	}
	if v.Shard.Count > f.shards {
		f.config.Pool.RestrictToShard(v.Shard)
	}
	if v.Announced != f.announced {
		f.config.Pool.SetTotalLoads(f.now(), f.loads(v), v.LoadsAge, v.EngineLoads)
	}
	if v.Leader.Leadership() != f.token.Leadership() {
		f.config.Pushbacks.ReportAgain()
		f.config.Limits.ReportAgain()
	}
	if v.Leader != f.token {
		f.config.Pool.ApplyNotes(v.Notes)
		f.config.Limits.Announced(v.Limited)
		f.evidence.hear(v.Leader, v.Suspects)
	}
	f.routers.Store(int64(v.Routers))
	if f.config.Quota != nil {
		f.config.Quota.SetShares(f.now(), v.Shares)
	}
	if len(v.Saved) > 0 && f.config.Saved != nil {
		f.config.Saved.Add(v.Saved)
	}
	f.since, f.token, f.saved, f.announced = v.Revision, v.Leader, v.SavedUntil, v.Announced
	f.shards = v.Shard.Count
	if len(v.Members) > 0 {
		f.members = v.Members
	}
	if f.table.Load() != nil {
		f.rightUntil.Store(max(f.rightUntil.Load(), int64(sent+f.config.Lease)))
	}
	return true
}

// loads returns the work of all routers. A text that cannot be read counts as
// none: loads are a hint, and the next announcement brings them again.
func (f *Follower) loads(v *coordapi.View) []coordapi.Load {
	if len(v.PackedLoads) == 0 {
		return v.Loads
	}
	var loads []coordapi.Load
	f.unpack(v, "loads cannot be read", v.PackedLoads, &loads)
	return loads
}

// unpack reads a part of a view, if that is packed. It says so in the log and returns
// false when it cannot be read.
func (f *Follower) unpack(v *coordapi.View, trouble string, packed []byte, value any) bool {
	if len(packed) == 0 {
		return true
	}
	err := coordapi.Unpack(packed, value)
	if err != nil {
		f.config.Logger.Error(trouble, "part", "follower", "version", v.Version, "error", err.Error())
	}
	return err == nil
}

// configure puts a newer configuration in force. It returns false when the
// router holds another one than the leader and must ask for all of it.
func (f *Follower) configure(version uint64, document json.RawMessage) bool {
	held := f.table.Load()
	if version == 0 || (held != nil && held.Version >= version) {
		return true
	}
	if len(document) == 0 {
		f.since = 0
		return false
	}
	table, err := f.config.Decode(document)
	if err != nil {
		f.config.Logger.Error("configuration cannot be read", "part", "follower", "version", version, "error", err.Error())
		return false
	}
	f.table.Store(table)
	f.config.Logger.Info("configuration in force", "part", "follower", "version", version, "routes", len(table.Routes),
		"tenants", len(table.Tenants), "bytes", len(document))
	return true
}
