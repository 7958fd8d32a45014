package coordinator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// silentIntervals is the number of heartbeat intervals after which a back end without
	// heartbeats is silent, and routers prefer others.
	silentIntervals = 2.5
	// departAfter is how long a back end must be silent before its row is removed.
	departAfter = 20 * time.Second
	// drainedDepartAfter is the same for a draining back end.
	drainedDepartAfter = 8 * time.Second
	// watcherTimeout is how long a router counts as a watcher after its last watch.
	watcherTimeout = 4 * time.Second
	// silenceCheckInterval is the time between two checks of all back ends for silence.
	silenceCheckInterval = 300 * time.Millisecond
)

// softState is the leader's state that is not replicated. A new leader starts with none.
type softState struct {
	since      time.Duration
	heartbeats map[string]heartbeat
	// routers are the watchers, and borrowers the number of them that borrow retries.
	routers   map[string]watcher
	borrowers int
	// forgottenAt is when a router was last removed from routers.
	forgottenAt time.Duration
	// software describes the pools with several software versions.
	software map[string]coordapi.SoftwareVersions
	// silent are the back ends that are silent or superseded at their address, sorted.
	silent []string
	// starts maps names to the latest start that sent a heartbeat. loggedOlder are the older
	// starts that were logged, by name.
	starts      map[string]state.Start
	loggedOlder map[string]state.UnixMilli
	// leftBefore maps names to the latest LeftBefore of leaves since the leadership began.
	leftBefore map[string]state.UnixMilli
	// rejoining are the departed starts that send heartbeats again.
	rejoining map[state.Start]rejoining
	// departedAt is when the rows of superseded starts were last removed.
	departedAt time.Duration
	// epoch identifies the leadership, and changes counts the changes of the leader's notes.
	epoch   string
	changes int
	// silenceCheckedAt is when all back ends were last checked for silence, and checkedRevision
	// the revision of the rows at that time or at a later check of changed rows.
	silenceCheckedAt time.Duration
	checkedRevision  uint64
	// placerRevision is the revision of the rows that the placer has, and placerNotes the token
	// of its notes.
	placerRevision uint64
	placerNotes    coordapi.LeaderToken
	routerReports  routerReports
	// rooms is the capacity of the pools as of the last announcement.
	rooms map[string]coordapi.Room
	// fairShares are the shares of pools of plain back ends.
	fairShares fairShares
	// relays are the routers that accept requests of others.
	relays    relay.Registry
	broadcast broadcast
	// holders maps addresses to the back ends that send heartbeats from them.
	holders map[string]string
	// limited are the back ends with a limit, and limitedChanges the change count of
	// backendLimits at that time.
	limited        []coordapi.BackendID
	limitedChanges int
	// unresponsive are the engines whose running streams have stopped, sorted, as of streamsCheckedAt.
	unresponsive     []string
	streamsCheckedAt time.Duration
	// limitedShards and silentShards are the parts of limited and silent by shard.
	limitedShards shardLists[coordapi.BackendID]
	silentShards  shardLists[string]
}

// token returns a token that changes with the leadership and with the leader's notes.
func (t *softState) token() coordapi.LeaderToken { return coordapi.NewLeaderToken(t.epoch, t.changes) }

// heartbeat is the last heartbeat of a back end.
type heartbeat struct {
	at       time.Duration
	sequence coordapi.Sequence
}

func (t *softState) reset(now time.Duration) {
	*t = softState{since: now, epoch: strconv.FormatUint(rand.Uint64(), 36), heartbeats: map[string]heartbeat{}, routers: map[string]watcher{},
		holders: map[string]string{}, silentShards: shardLists[string]{}, limitedShards: shardLists[coordapi.BackendID]{},
		starts: map[string]state.Start{}, loggedOlder: map[string]state.UnixMilli{}, leftBefore: map[string]state.UnixMilli{}, rejoining: map[state.Start]rejoining{}}
}

// heartbeat records a heartbeat. It returns false for a heartbeat that is not newer than the last
// one.
func (t *softState) heartbeat(now time.Duration, id string, sequence coordapi.Sequence) bool {
	last, known := t.heartbeats[id]
	if known && sequence <= last.sequence {
		return false
	}
	t.heartbeats[id] = heartbeat{at: now, sequence: sequence}
	return true
}

// watcher is a router that watches the leader.
type watcher struct {
	at      time.Duration
	borrows bool
	// known is the last change of this leader's notes that it has received, -1 for none.
	known int
}

// recordWatch records a router's watch, whether its build borrows retries, and the notes that it has
// received.
func (t *softState) recordWatch(now time.Duration, router string, of level.Level, token coordapi.LeaderToken) {
	w := watcher{at: now, borrows: of >= level.Limits, known: t.knownChange(token)}
	if before := t.routers[router]; w.borrows && !before.borrows {
		t.borrowers++
	}
	t.routers[router] = w
}

// watchers returns the number of routers that watch this leader.
func (t *softState) watchers() int { return len(t.routers) }

// forgetWatchers removes routers whose last watch is older than watcherTimeout.
func (t *softState) forgetWatchers(now time.Duration) {
	maps.DeleteFunc(t.routers, func(_ string, w watcher) bool {
		expired := now-w.at >= watcherTimeout
		if expired && w.borrows {
			t.borrowers--
		}
		if expired {
			t.forgottenAt = now
		}
		return expired
	})
}

// silentFor returns the time since a back end's last heartbeat, or since the leadership began if
// there was none.
func (t *softState) silentFor(now time.Duration, id string) time.Duration {
	if last, known := t.heartbeats[id]; known {
		return now - last.at
	}
	return now - t.since
}

// isSuccessor reports whether b replaces other at their address: b was enrolled later or, if that
// is unknown, sent the later heartbeat.
func (t *softState) isSuccessor(b, other state.Backend) bool {
	if b.EnrolledRevision != other.EnrolledRevision {
		return b.EnrolledRevision > other.EnrolledRevision
	}
	return t.heartbeats[b.ID].at > t.heartbeats[other.ID].at
}

// silentLimit returns how long a back end with the given heartbeat interval may be without a
// heartbeat. The leader receives the heartbeats that other nodes answer only with their digests, of
// which one may be late. With short intervals the bound by heartbeats alone is less than the time
// between two digests, and back ends that send their heartbeats in time would be silent.
func silentLimit(interval time.Duration) time.Duration {
	return max(time.Duration(silentIntervals*float64(interval)), interval+2*digestInterval)
}

// checkAll finds the back ends that are silent or superseded at their address, and returns those
// whose rows are to be removed.
func (t *softState) checkAll(now time.Duration, interval time.Duration, backends map[string]state.Backend) (departed []string) {
	t.silenceCheckedAt = now
	limit := silentLimit(interval)
	var silent []string
	// contenders are the back ends with recent heartbeats from an address that another one holds.
	contenders := map[string][]string{}
	for id, b := range backends {
		silentFor := t.silentFor(now, id)
		holder, held := t.holders[b.Address]
		switch {
		case silentFor > departAfter || (b.Draining && silentFor > drainedDepartAfter):
			departed = append(departed, id)
		case silentFor > limit:
			silent = append(silent, id)
		case b.Address == "":
			// It left before its first heartbeat.
		case !held:
			t.holders[b.Address] = id
		case holder != id:
			contenders[b.Address] = append(contenders[b.Address], id)
		}
	}
	for address, ids := range contenders {
		silent = append(silent, t.resolveHolder(now, limit, address, ids, backends)...)
	}
	slices.Sort(silent)
	slices.Sort(departed)
	t.setSilent(silent)
	t.forgetHolders(backends)
	return departed
}

// resolveHolder sets the holder of an address and returns the back ends that it supersedes there,
// since one process serves an address. The holder is the one that enrolled last among those with
// recent heartbeats, whatever the order of their heartbeats: those of the one before may be
// delayed. ids are all contenders but the present holder, and limit is how long a back end may be
// silent.
func (t *softState) resolveHolder(now, limit time.Duration, address string, ids []string, backends map[string]state.Backend) []string {
	if holder := t.holders[address]; backends[holder].Address == address && t.silentFor(now, holder) <= limit {
		ids = append(ids, holder)
	}
	last := ids[0]
	for _, id := range ids[1:] {
		if t.isSuccessor(backends[id], backends[last]) {
			last = id
		}
	}
	t.holders[address] = last
	return slices.DeleteFunc(ids, func(id string) bool { return !t.isSuccessor(backends[last], backends[id]) })
}

// forgetHolders removes the holders of addresses that no back end has, once there are many.
func (t *softState) forgetHolders(backends map[string]state.Backend) {
	if len(t.holders) <= 2*len(backends)+minKeptHolders {
		return
	}
	maps.DeleteFunc(t.holders, func(address, id string) bool { return backends[id].Address != address })
}

// minKeptHolders is the number of unused addresses that are always kept.
const minKeptHolders = 1024

// checkChanged finds back ends that are superseded because of changed rows, and reports whether
// there are any. Other changes are left to the next checkAll.
func (t *softState) checkChanged(now, interval time.Duration, changed []state.Backend, backends map[string]state.Backend) bool {
	limit := silentLimit(interval)
	before := len(t.silent)
	for _, b := range changed {
		other, known := backends[t.holders[b.Address]]
		switch {
		case b.Address == "":
			// It left before its first heartbeat.
		case !known || other.ID == b.ID:
			t.holders[b.Address] = b.ID
		case t.isSuccessor(b, other) && t.silentFor(now, b.ID) <= limit:
			t.holders[b.Address] = b.ID
			t.addSilent(other.ID)
		case t.isSuccessor(other, b) && t.silentFor(now, other.ID) <= limit:
			t.addSilent(b.ID)
		}
	}
	return len(t.silent) > before
}

// addSilent adds a back end to the silent ones.
func (t *softState) addSilent(id string) {
	if at, is := slices.BinarySearch(t.silent, id); !is {
		t.setSilent(slices.Insert(slices.Clone(t.silent), at, id))
	}
}

func (t *softState) setSilent(silent []string) {
	t.silent = silent
	t.silentShards = shardLists[string]{}
}

// isSilent reports whether a back end is silent or superseded at its address.
func (t *softState) isSilent(id string) bool {
	_, is := slices.BinarySearch(t.silent, id)
	return is
}

// silentOf returns the silent back ends that concern a shard.
func (t *softState) silentOf(d *state.Deployment, shard coordapi.Shard) []string {
	return t.silentShards.forShard(t.silent, d, shard)
}

// limitedOf returns the back ends with a limit that concern a shard.
func (t *softState) limitedOf(d *state.Deployment, shard coordapi.Shard) []coordapi.BackendID {
	return t.limitedShards.forShard(t.limited, d, shard)
}

// shardLists caches the parts of a list of back ends by shard. It must be replaced when the list
// changes.
type shardLists[ID ~string] map[coordapi.Shard][]ID

// forShard returns the part of all that concerns a shard: its engines, and all plain back ends.
func (l shardLists[ID]) forShard(all []ID, d *state.Deployment, shard coordapi.Shard) []ID {
	if shard.Count <= 1 {
		return all
	}
	known, made := l[shard]
	if made {
		return known
	}
	for _, id := range all {
		if b := d.Backends[string(id)]; !b.IsEngine() || shard.Holds(coordapi.BackendID(id)) {
			known = append(known, id)
		}
	}
	l[shard] = known
	return known
}

// notifier wakes watchers by shard.
type notifier struct {
	changed map[int]chan struct{}
}

// changedIn returns a channel that is closed when there is news for the watchers of a shard.
func (n *notifier) changedIn(shard int) <-chan struct{} {
	changed := n.changed[shard]
	if changed == nil {
		if n.changed == nil {
			n.changed = map[int]chan struct{}{}
		}
		changed = make(chan struct{})
		n.changed[shard] = changed
	}
	return changed
}

// wake wakes all watchers.
func (n *notifier) wake() {
	for _, changed := range n.changed {
		close(changed)
	}
	n.changed = nil
}

// wakeShards wakes the watchers of the given shards.
func (n *notifier) wakeShards(shards []int) {
	for _, shard := range shards {
		if changed := n.changed[shard]; changed != nil {
			close(changed)
			delete(n.changed, shard)
		}
	}
}

// applyChanges updates what depends on the applied state and the time, and wakes watchers if
// there is news for them.
func (s *Server) applyChanges() {
	now := s.now()
	d := s.core.Machine().Deployment()
	s.rollout.recordVersions(now, d)
	s.updatePools(d)
	s.tenantLimits.update(now, s.core.LeaseUntil(), d)
	s.backendLimits.SetLease(s.core.LeaseUntil())
	if s.lastRole != raft.Leader {
		s.software.observe(now, s.pools.streamLife(), d, false)
		s.evaluateBlocks(now, d)
		return
	}
	s.checkSilence(now, d)
	s.recordTenantLevels(now)
	s.updateLimited(now)
	defer s.updatePlacer(d)
	s.updateUnresponsive(now)
	if s.rollout.updateNotes(now, s.settings, d, s.soft.since) {
		s.soft.changes++
		s.notify.wake()
	}
	s.updateSoftware(now, d)
	s.evaluateBlocks(now, d)
	if s.soft.routerReports.announce(now, s.soft.watchers()) {
		s.soft.rooms = s.placer.Rooms()
		s.tenantLimits.announce(now)
		s.announceFairShares(now, d)
		s.broadcast(now, d)
		s.notify.wake()
		return
	}
	if s.soft.broadcast.due(now, d, s.soft.watchers()) {
		s.broadcast(now, d)
	}
}

// recordTenantLevels proposes the levels of the tenants' limits that a next leader starts with.
func (s *Server) recordTenantLevels(now time.Duration) {
	levels := s.tenantLimits.dueLevels(now)
	if levels == nil {
		return
	}
	command := state.Command{Enrol: &state.Enrol{TenantLevels: &state.TenantLevels{Levels: levels}}}
	err := s.core.Propose(now, command, func(_ state.Result, err error) {
		if err != nil {
			s.tenantLimits.levelsRejected()
		}
	})
	if err != nil {
		s.tenantLimits.levelsRejected()
	}
}

// updateLimited updates the list of back ends with a limit. The list is a hint and is sent with
// the next news: a router without it receives the limit with the answer to its first request.
func (s *Server) updateLimited(now time.Duration) {
	s.backendLimits.Observe(now, s.engines.Limits(false))
	if s.backendLimits.Changes() == s.soft.limitedChanges {
		return
	}
	s.soft.limited, s.soft.limitedChanges = s.backendLimits.Limited()
	s.placer.SetBrittle(s.backendLimits.Brittle())
	s.soft.limitedShards = shardLists[coordapi.BackendID]{}
	s.soft.changes++
}

// updatePlacer passes changed rows and notes on to the placer.
func (s *Server) updatePlacer(d *state.Deployment) {
	if since := s.soft.placerRevision; d.BackendsRevision > since {
		whole := !d.HasChangesSince(since)
		if whole {
			since = 0
		}
		rows, departures := d.ChangedSince(since)
		departed := make([]string, len(departures))
		for i, departure := range departures {
			departed[i] = departure.ID
		}
		s.backendLimits.Remove(departed)
		s.placer.Apply(rows, departed, whole)
		s.soft.placerRevision = d.BackendsRevision
	}
	if token := s.soft.token(); token != s.soft.placerNotes {
		notes := s.rollout.notes
		notes.Silent, notes.Unresponsive, notes.Software = s.soft.silent, s.soft.unresponsive, s.soft.software
		s.placer.ApplyNotes(notes)
		s.soft.placerNotes = token
	}
}

// checkSilence checks all back ends at intervals, and in between only those whose rows have
// changed, because rows change hundreds of times a second while back ends register and a check of
// 10,000 takes 3.7 ms.
func (s *Server) checkSilence(now time.Duration, d *state.Deployment) {
	s.removeSuperseded(now, d)
	if now-s.soft.silenceCheckedAt > silenceCheckInterval {
		s.checkAllBackends(now, d)
		return
	}
	if d.BackendsRevision <= s.soft.checkedRevision {
		return
	}
	rows, _ := d.ChangedSince(s.soft.checkedRevision)
	s.soft.checkedRevision = d.BackendsRevision
	before := s.soft.silent
	if s.soft.checkChanged(now, s.settings.BackendHeartbeat, rows, d.Backends) {
		s.recordSilent(before)
	}
}

func (s *Server) checkAllBackends(now time.Duration, d *state.Deployment) {
	s.soft.forgetWatchers(now)
	before := s.soft.silent
	s.soft.checkedRevision = d.BackendsRevision
	departed := s.soft.checkAll(now, s.settings.BackendHeartbeat, d.Backends)
	s.soft.forgetStarts(d)
	if !slices.Equal(before, s.soft.silent) {
		s.recordSilent(before)
	}
	if len(departed) > 0 && s.core.HoldsLease(now) {
		s.logger.Info("removing back ends", "part", "registry", "count", len(departed), "backends", truncateIDs(departed))
		s.propose(now, "registry", state.Command{Depart: &state.Depart{IDs: departed}})
	}
}

// recordSilent logs which back ends have become silent and which are no longer silent.
func (s *Server) recordSilent(before []string) {
	silenced, recovered := difference(s.soft.silent, before), difference(before, s.soft.silent)
	s.logger.Info("silent back ends changed", "part", "registry", "count", len(s.soft.silent), "fell", truncateIDs(silenced), "back", truncateIDs(recovered))
	// Watchers are not woken: the list is a hint and is sent with the next news.
	s.soft.changes++
	s.blocker.backendsChanged()
}

// difference returns the elements of a sorted list that are not in another.
func difference(list, other []string) []string {
	var out []string
	for _, id := range list {
		if _, is := slices.BinarySearch(other, id); !is {
			out = append(out, id)
		}
	}
	return out
}

// maxLoggedIDs bounds the number of back ends that one log line names. A line with all silent ones
// would have 200 KB when a large deployment starts.
const maxLoggedIDs = 32

func truncateIDs(ids []string) []string { return ids[:min(len(ids), maxLoggedIDs)] }
