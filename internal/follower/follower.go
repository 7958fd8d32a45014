// Package follower is a router's connection to the coordinators: it watches the leader, keeps
// the latest configuration and back ends, and holds the lease by which the router serves.
package follower

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/isolation"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// watchHold is how long the leader may hold a watch. Each reply renews the router's lease.
	watchHold = 900 * time.Millisecond
	// watchTimeout bounds a watch. After it another coordinator is tried.
	watchTimeout = watchHold + 500*time.Millisecond
	// findTimeout bounds the search for the leader at one coordinator, which may be down.
	findTimeout = 250 * time.Millisecond
	// firstWatchTimeout bounds the first watch of a leader, when all routers of a large
	// deployment may request everything at once.
	firstWatchTimeout = 4 * time.Second
	// updateTimeout bounds the sending of an update to the leader.
	updateTimeout = 500 * time.Millisecond
	retryDelay    = 60 * time.Millisecond
	// preparation estimates how long the coordinators of a few hundred back ends take to recover
	// after a loss of all machines, and preparationPerBackend what each back end adds: replicas
	// are read and routers get their first views. With 10,000 of them the last routers served 2.0 s
	// after the machines were back.
	preparation           = 1200 * time.Millisecond
	preparationPerBackend = 80 * time.Microsecond
)

// Decode decodes a configuration document.
type Decode func(document []byte) (*traffic.Table, error)

// Pool receives the coordinators' state of back ends.
type Pool interface {
	// Apply changes rows and removes departed back ends; whole replaces all.
	Apply(rows []state.Backend, departed []string, whole bool)
	// RestrictToShard drops the engines outside a shard, which get no more updates.
	RestrictToShard(shard coordapi.Shard)
	// ApplyNotes takes the state that only the leader holds.
	ApplyNotes(notes coordapi.Notes)
	// OnSuperseded sets the function that is called with the ID of a back end whose name a process of
	// another software version has taken.
	OnSuperseded(superseded func(id string))
	// SetTotalLoads sets the work of all routers together, with its mean age; engines is set if
	// it includes that of engines.
	SetTotalLoads(now time.Duration, loads []coordapi.Load, age time.Duration, engines bool)
	// OwnLoads returns the work of this router in progress. SetTotalLoads includes what it last
	// returned.
	OwnLoads() []coordapi.Load
	// Troubles returns the failures observed at engines since the last call.
	Troubles() []coordapi.Trouble
	// PathKnown reports whether failures at a back end are known not to be those of this router's own
	// path.
	PathKnown(id string) bool
	// Refused returns how many requests were refused since the last call because all engines of
	// their pool were behind.
	Refused() int
}

// Saved tracks the prompt parts that the store holds.
type Saved interface {
	// Add adds parts that other routers have saved.
	Add(parts []uint64)
	// TakeNew returns the parts that this router has saved since the last call.
	TakeNew() []uint64
}

// Quota is a router's side of the tenants' limits.
type Quota interface {
	// SetShares replaces the admitted shares of the tenants whose demand is above their limit.
	SetShares(now time.Duration, shares []quota.Share)
	// Spent returns the amounts that this router has admitted by itself since the last call.
	Spent() []quota.Spent
}

// FairShares is a router's side of the shares of pools of plain back ends.
type FairShares interface {
	// SetShares replaces the announced shares.
	SetShares(now time.Duration, shares []fairshare.Share)
	// Demands returns what this router was asked for since the last call.
	Demands(now time.Duration) []fairshare.Demand
}

// Follower watches the coordinators. Its exported methods are safe for concurrent use, except
// that Run and Update must each run once.
type Follower struct {
	config  Config
	name    string
	table   atomic.Pointer[traffic.Table]
	routers atomic.Int64
	// backends is the number of back ends in the last reply of a coordinator to a request for the
	// leader.
	backends atomic.Int64
	// leaseUntil is the end of the lease to serve, by the process's clock.
	leaseUntil atomic.Int64
	seeds      atomic.Pointer[[]string]
	following  atomic.Pointer[string]
	viewed     atomic.Pointer[appliedView]
	// undecodable is the latest configuration if it cannot be decoded, else nil.
	undecodable atomic.Pointer[undecodable]
	// leadership identifies the leadership of the last view.
	leadership atomic.Pointer[string]
	started    time.Duration
	// clock is clock.Now except in tests.
	clock      func() time.Duration
	placements placements
	// placeTimeout is placeTimeout except in tests.
	placeTimeout time.Duration
	waiting      waiting
	rooms        atomic.Pointer[rooms]
	// onAnnouncement is called after rooms has changed; nil for none.
	onAnnouncement func()
	// announcement numbers the announced capacities of pools.
	announcement atomic.Uint64
	evidence     evidence
	streams      streams
	// software describes the pools with several software versions, and coordinators are the peer
	// addresses of the members.
	software     atomic.Pointer[map[string]coordapi.SoftwareVersions]
	coordinators atomic.Pointer[[]string]

	// The fields below are used by Run only.
	revision   uint64
	savedUntil uint64
	// announced is the number of the leader's last announcement applied.
	announced uint64
	token     coordapi.LeaderToken
	// shards is the number of shards of engines in the last view.
	shards        int
	leader        string
	members       []string
	nextCandidate int
	// unreadableLines limits the log lines on views that cannot be unpacked.
	unreadableLines bounded.LineLimiter
}

// undecodable is a configuration that this build cannot decode.
type undecodable struct {
	version uint64
	err     error
}

// rooms are the capacities of pools as announced last.
type rooms struct {
	number uint64
	pools  map[string]coordapi.Room
}

// Room returns the capacity of a pool as the leader last announced it, and the number of the
// announcement. Known is false if the leader announced none.
func (f *Follower) Room(pool string) (room coordapi.Room, announcement uint64, known bool) {
	last := f.rooms.Load()
	if last == nil {
		return room, 0, false
	}
	room, known = last.pools[pool]
	return room, last.number, known
}

// appliedView identifies the last applied view.
type appliedView struct {
	revision uint64
	// requestedAt is when the view was requested. Its state is not older.
	requestedAt time.Duration
}

// Config configures a Follower.
type Config struct {
	Name   string
	Zone   string
	Seeds  []string
	Lease  time.Duration
	Decode Decode
	// Pool may be nil for a follower that does not run.
	Pool Pool
	// Saved may be nil.
	Saved Saved
	// Quota may be nil.
	Quota Quota
	// FairShares may be nil.
	FairShares FairShares
	// Streams tracks the requests at engines; nil for none.
	Streams *liveness.Streams
	// Pushbacks holds the pushback of back ends; nil for none.
	Pushbacks *pushback.Registry
	// Limits holds the limits of back ends; nil for none.
	Limits *ratelimit.Registry
	// Relays is used by UpdateRelays only.
	Relays Relays
	Peers  *peer.Client
	Logger *slog.Logger
}

// New returns a follower without a leader. Its name is unique to each start.
func New(config Config) *Follower {
	name := config.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	f := &Follower{config: config, name: name, clock: clock.Now, started: clock.Now(), placeTimeout: placeTimeout, nextCandidate: rand.IntN(max(len(config.Seeds), 1))}
	f.SetSeeds(config.Seeds)
	f.evidence.init()
	f.streams = streams{table: resumption.NewTable(), pending: map[string][]resumption.Record{}, sending: map[string]bool{}}
	if config.Pool != nil {
		config.Pool.OnSuperseded(f.withdrawStreams)
	}
	return f
}

// OnAnnouncement sets a function that is called after each announcement of the capacity of pools. It
// must be set before the follower starts.
func (f *Follower) OnAnnouncement(call func()) { f.onAnnouncement = call }

// SetPlaceTimeout replaces the time for which callers wait for the leader's reply. It must be set before the
// follower starts.
func (f *Follower) SetPlaceTimeout(timeout time.Duration) { f.placeTimeout = timeout }

// SetSeeds replaces the coordinators that are tried when no member is known.
func (f *Follower) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// Table returns the configuration in force, nil before the first.
func (f *Follower) Table() *traffic.Table { return f.table.Load() }

// Undecodable returns the version of the latest configuration and the cause if this build cannot decode
// it, else 0. The router then loses its lease: the configuration in force may have removed what older ones
// permit.
func (f *Follower) Undecodable() (version uint64, cause error) {
	u := f.undecodable.Load()
	if u == nil {
		return 0, nil
	}
	return u.version, u.err
}

// now is the time since the process started.
func (f *Follower) now() time.Duration { return f.clock() - f.started }

// Fresh reports whether the router may serve now: its lease, renewed with each view of the
// leader, has not ended.
func (f *Follower) Fresh() bool { return int64(f.now()) < f.leaseUntil.Load() }

// Routers returns how many routers follow the coordinators, at least 1.
func (f *Follower) Routers() int { return max(int(f.routers.Load()), 1) }

// View returns the revision of the last applied view, 0 for none, and the time since it was
// requested, which its state is not older than.
func (f *Follower) View() (revision uint64, age time.Duration) {
	v := f.viewed.Load()
	if v == nil {
		return 0, 0
	}
	return v.revision, f.now() - v.requestedAt
}

// Run watches the leader until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.watch(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// find asks a coordinator for the leader. It returns false when another one should be tried
// after a delay.
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

// StartupDelay estimates the time from a loss of all machines until this router may serve.
func (f *Follower) StartupDelay() time.Duration {
	return preparation + preparationPerBackend*time.Duration(f.backends.Load())
}

// watch makes one call to the leader. It returns false when another coordinator should be tried
// after a delay.
func (f *Follower) watch(ctx context.Context) bool {
	if f.leader == "" {
		return f.find(ctx)
	}
	address, wait, limit := f.leader, watchHold, watchTimeout
	if f.revision == 0 {
		wait, limit = 0, firstWatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := coordapi.Request{Watch: &coordapi.Watch{Router: f.name, Since: f.revision, Leader: f.token, SavedSince: f.savedUntil, Announced: f.announced,
		Shards: f.shards, Level: int(level.Current), Wait: wait}}
	sent := f.now()
	var reply coordapi.Reply
	err := f.config.Peers.Call(ctx, address, coordapi.KindCall, request, &reply)
	switch {
	case err != nil:
		f.dropLeader(address, err.Error())
		return false
	case reply.NotLeader:
		f.dropLeader(address, "not the leader any more")
		f.leader = reply.Leader
		return f.leader != "" && f.leader != address
	case reply.View == nil:
		f.dropLeader(address, "reply without a view")
		return false
	}
	if following := f.following.Load(); following == nil || *following != address {
		f.following.Store(&address)
		f.waiting.follow(f.now())
		f.config.Logger.Info("following leader", "part", "follower", "address", address)
	}
	return f.applyView(sent, reply.View)
}

func (f *Follower) dropLeader(address, reason string) {
	f.config.Logger.Warn("leader lost", "part", "follower", "address", address, "reason", reason,
		"right_ms", (f.leaseUntil.Load()-int64(f.now()))/int64(time.Millisecond))
	f.leader = ""
	f.evidence.lostLeader()
}

// candidate returns the next coordinator to ask: the members first, then the seeds, which may be
// out of date.
func (f *Follower) candidate() string {
	candidates := append(append([]string{}, f.members...), *f.seeds.Load()...)
	f.nextCandidate++
	return candidates[f.nextCandidate%len(candidates)]
}

// applyView applies a view. The lease counts from when the request was sent, before the leader
// made the view.
func (f *Follower) applyView(sent time.Duration, v *coordapi.View) bool {
	rows, document, blocked, whole := v.Backends, v.Document, v.Blocked, len(v.Packed) > 0
	if whole {
		var unpacked coordapi.FullView
		if !f.unpack(v, "cannot decode view", v.Packed, &unpacked) {
			return false
		}
		rows, document, blocked = unpacked.Backends, unpacked.Document, &unpacked.Blocked
	}
	if !f.unpack(v, "cannot decode back ends", v.PackedBackends, &rows) ||
		!f.unpack(v, "cannot unpack configuration", v.PackedDocument, &document) {
		return false
	}
	// Before the configuration: a reader of that also has the blocked requests of its view.
	if blocked != nil {
		f.evidence.setBlocked(blocked)
	}
	if !f.configure(v.Version, document, v.PromptScope) {
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
		f.rooms.Store(&rooms{number: f.announcement.Add(1), pools: v.Rooms})
		if f.onAnnouncement != nil {
			f.onAnnouncement()
		}
	}
	// A leader that announces nothing repeats its last shares, which must expire.
	if f.config.FairShares != nil && (v.Announced != f.announced || v.Leader.Leadership() != f.token.Leadership()) {
		f.config.FairShares.SetShares(f.clock(), v.FairShares)
	}
	if v.Leader.Leadership() != f.token.Leadership() {
		f.config.Pushbacks.ReportAgain()
		f.config.Limits.ReportAgain()
	}
	if v.Leader != f.token {
		f.config.Pool.ApplyNotes(v.Notes)
		f.followSoftware(v.Software, v.Leader.Leadership() != f.token.Leadership())
		f.config.Streams.SetListed(f.clock(), v.Unresponsive)
		f.config.Limits.Announced(v.Limited)
		f.evidence.setTrials(v.Trials)
		f.evidence.setProposed(v.Proposed)
		f.evidence.follow(v.Leader, v.Suspects)
	}
	f.routers.Store(int64(v.Routers))
	if f.config.Quota != nil {
		f.config.Quota.SetShares(f.now(), v.Shares)
	}
	if len(v.Saved) > 0 && f.config.Saved != nil {
		f.config.Saved.Add(v.Saved)
	}
	if leadership := v.Leader.Leadership(); f.leadership.Load() == nil || leadership != *f.leadership.Load() {
		f.leadership.Store(&leadership)
	}
	f.revision, f.token, f.savedUntil, f.announced = v.Revision, v.Leader, v.SavedUntil, v.Announced
	f.viewed.Store(&appliedView{revision: v.Revision, requestedAt: sent})
	f.shards = v.Shard.Count
	if len(v.Members) > 0 {
		f.members = v.Members
		f.coordinators.Store(&v.Members)
	}
	if f.table.Load() != nil && f.undecodable.Load() == nil {
		f.leaseUntil.Store(max(f.leaseUntil.Load(), int64(sent+f.config.Lease)))
	}
	return true
}

// loads returns the work of all routers. If it cannot be decoded it counts as none until the
// next announcement.
func (f *Follower) loads(v *coordapi.View) []coordapi.Load {
	if len(v.PackedLoads) == 0 {
		return v.Loads
	}
	var loads []coordapi.Load
	f.unpack(v, "cannot decode loads", v.PackedLoads, &loads)
	return loads
}

// unpack decodes a part of a view, if it is packed. On failure it logs message and returns
// false.
func (f *Follower) unpack(v *coordapi.View, message string, packed []byte, value any) bool {
	if len(packed) == 0 {
		return true
	}
	err := coordapi.Unpack(packed, value)
	if err != nil && f.unreadableLines.Allow(f.clock(), 1) {
		f.config.Logger.Error(message, "part", "follower", "version", v.Version, "error", err.Error())
	}
	return err == nil
}

// configure applies a newer configuration. It returns false when the document is missing; the next watch
// requests the whole state then. One that cannot be decoded is not requested again.
func (f *Follower) configure(version uint64, document json.RawMessage, scope *isolation.Scope) bool {
	current := f.table.Load()
	if version == 0 || (current != nil && current.Version >= version) {
		f.setPromptScope(version, scope)
		return true
	}
	rejected, _ := f.Undecodable()
	if rejected >= version {
		return true
	}
	if len(document) == 0 {
		f.revision = 0
		return false
	}
	table, err := f.config.Decode(document)
	if err != nil {
		f.undecodable.Store(&undecodable{version, err})
		f.config.Logger.Error("cannot decode configuration", "part", "follower", "version", version, "error", err.Error(),
			"right_ms", (f.leaseUntil.Load()-int64(f.now()))/int64(time.Millisecond))
		return true
	}
	table = table.WithPromptScope(scope)
	f.table.Store(table)
	f.undecodable.Store(nil)
	f.config.Logger.Info("configuration applied", "part", "follower", "version", version, "routes", len(table.Routes),
		"tenants", len(table.Tenants), "prompt_scope", table.PromptScope, "bytes", len(document))
	return true
}

// setPromptScope changes the scope of shared prompts under the configuration in force: another leader may
// not know it.
func (f *Follower) setPromptScope(version uint64, scope *isolation.Scope) {
	current := f.table.Load()
	if current == nil || current.Version != version || (scope != nil && current.PromptScope == *scope) {
		return
	}
	changed := current.WithPromptScope(scope)
	if changed.PromptScope == current.PromptScope {
		return
	}
	f.table.Store(changed)
	f.config.Logger.Info("scope of shared prompts changed", "part", "follower", "version", version, "prompt_scope", changed.PromptScope, "before", current.PromptScope)
}
