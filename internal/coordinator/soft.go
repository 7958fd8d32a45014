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
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// silentBeats is how many heartbeat intervals a back end may be silent
	// before routers are told to prefer others.
	silentBeats = 2.5
	// departAfter is how long a back end is silent before its row goes.
	departAfter = 20 * time.Second
	// drainedAfter is the same for a back end that said it leaves.
	drainedAfter = 8 * time.Second
	// watcherKept is how long a router counts after its last watch.
	watcherKept = 4 * time.Second
	// silenceEvery is the time between two looks at all back ends for silent ones.
	silenceEvery = 300 * time.Millisecond
)

// softState is what a leader knows without the log. A new leader starts with
// none.
type softState struct {
	since time.Duration
	beats map[string]heard
	// routers are the watchers, and borrowers how many of them borrow repeats.
	routers   map[string]watcher
	borrowers int
	// silent are the back ends that are silent or have a successor, sorted.
	silent []string
	// left are back ends that are on no list any more and had announced their end, by ID and
	// by name.
	left map[string]bool
	// starts are the starts of back ends that were heard of last, by name; olderNoted when
	// those had started that spoke after their successors, and leftEarly the starts that
	// said they leave before they were known.
	starts     map[string]state.Start
	olderNoted map[string]state.UnixMilli
	leftEarly  map[state.Start]struct{}
	// returning are the starts that were taken for gone and speak.
	returning map[state.Start]returning
	// departedAt is when rows of earlier starts were removed last.
	departedAt time.Duration
	// epoch and changes name the state of silent and minimum.
	epoch   string
	changes int
	// looked is when silent back ends were looked for last, and lookedAt the
	// revision of the rows then.
	looked   time.Duration
	lookedAt uint64
	// placedAt is the revision of the rows that the placer has, and placedNotes the
	// token of its notes.
	placedAt    uint64
	placedNotes coordapi.LeaderToken
	told        told
	step        step
	// holders are the back ends that have each address, of those that are heard of.
	holders map[string]string
	// limited are the back ends that take only so much from all machines, as of limitedAt.
	limited   []coordapi.BackendID
	limitedAt int
	// limitedShards are those of them that concern each of shards.
	limitedShards shardLists[coordapi.BackendID]
	// silentShards are the silent back ends that concern each of shards.
	silentShards shardLists[string]
}

// token changes whenever silent or minimum does.
func (t *softState) token() coordapi.LeaderToken { return coordapi.NewLeaderToken(t.epoch, t.changes) }

type heard struct {
	at       time.Duration
	sequence coordapi.Sequence
}

func (t *softState) reset(now time.Duration) {
	*t = softState{since: now, epoch: strconv.FormatUint(rand.Uint64(), 36), beats: map[string]heard{}, routers: map[string]watcher{},
		left: map[string]bool{}, holders: map[string]string{}, silentShards: shardLists[string]{}, limitedShards: shardLists[coordapi.BackendID]{},
		starts: map[string]state.Start{}, olderNoted: map[string]state.UnixMilli{}, leftEarly: map[state.Start]struct{}{}, returning: map[state.Start]returning{}}
}

// heard notes a heartbeat. It returns false for one that is older than another
// that was noted.
func (t *softState) heard(now time.Duration, id string, sequence coordapi.Sequence) bool {
	last, known := t.beats[id]
	if known && sequence <= last.sequence {
		return false
	}
	t.beats[id] = heard{at: now, sequence: sequence}
	return true
}

// watcher is a router that follows the leader.
type watcher struct {
	at      time.Duration
	borrows bool
}

// watched notes a router's watch and the level of its build.
func (t *softState) watched(now time.Duration, router string, of level.Level) {
	w := watcher{at: now, borrows: of >= level.Limits}
	if before := t.routers[router]; w.borrows && !before.borrows {
		t.borrowers++
	}
	t.routers[router] = w
}

// watchers is how many routers follow this leader.
func (t *softState) watchers() int { return len(t.routers) }

// forgetWatchers drops routers that have not asked for long.
func (t *softState) forgetWatchers(now time.Duration) {
	maps.DeleteFunc(t.routers, func(_ string, w watcher) bool {
		gone := now-w.at >= watcherKept
		if gone && w.borrows {
			t.borrowers--
		}
		return gone
	})
}

// quiet is how long a back end has been silent.
func (t *softState) quiet(now time.Duration, id string) time.Duration {
	if last, known := t.beats[id]; known {
		return now - last.at
	}
	return now - t.since
}

// follows tells whether a back end took another's place: it enrolled later or, if that
// is not known, was heard of later.
func (t *softState) follows(b, other state.Backend) bool {
	if b.EnrolledRevision != other.EnrolledRevision {
		return b.EnrolledRevision > other.EnrolledRevision
	}
	return t.beats[b.ID].at > t.beats[other.ID].at
}

// silentLimit is how long a back end may be silent whose heartbeats come at an interval.
func silentLimit(interval time.Duration) time.Duration {
	return time.Duration(silentBeats * float64(interval))
}

// look finds the back ends that are silent or have a successor at their address,
// and those that are gone.
func (t *softState) look(now time.Duration, interval time.Duration, backends map[string]state.Backend) (gone []string) {
	t.looked = now
	limit := silentLimit(interval)
	var silent []string
	// contenders are those heard of that are not known to hold their addresses.
	contenders := map[string][]string{}
	for id, b := range backends {
		quiet := t.quiet(now, id)
		holder, held := t.holders[b.Address]
		switch {
		case quiet > departAfter || (b.Draining && quiet > drainedAfter):
			gone = append(gone, id)
			t.left[id] = b.Draining
			if b.Draining {
				// Under whatever row it comes back, it has said that it leaves.
				t.left[b.Name()] = true
			}
		case quiet > limit:
			silent = append(silent, id)
		case !held:
			t.holders[b.Address] = id
		case holder != id:
			contenders[b.Address] = append(contenders[b.Address], id)
		}
	}
	for address, ids := range contenders {
		silent = append(silent, t.succeeded(now, limit, address, ids, backends)...)
	}
	slices.Sort(silent)
	slices.Sort(gone)
	t.setSilent(silent)
	t.forgetHolders(backends)
	return gone
}

// succeeded returns which of those heard of at an address have been replaced there: it has
// one process at a time. The one that enrolled last has it as long as it is heard of: a
// heartbeat of the one before may arrive late. Ids are all but the present holder; limit
// is how long a back end may be silent.
func (t *softState) succeeded(now, limit time.Duration, address string, ids []string, backends map[string]state.Backend) []string {
	if holder := t.holders[address]; backends[holder].Address == address && t.quiet(now, holder) <= limit {
		ids = append(ids, holder)
	}
	last := ids[0]
	for _, id := range ids[1:] {
		if t.follows(backends[id], backends[last]) {
			last = id
		}
	}
	t.holders[address] = last
	return slices.DeleteFunc(ids, func(id string) bool { return !t.follows(backends[last], backends[id]) })
}

// forgetHolders drops the holders of addresses that nobody has any more, once they are many.
func (t *softState) forgetHolders(backends map[string]state.Backend) {
	if len(t.holders) <= 2*len(backends)+spareHolders {
		return
	}
	maps.DeleteFunc(t.holders, func(address, id string) bool { return backends[id].Address != address })
}

// spareHolders is how many addresses without a back end are remembered in any case.
const spareHolders = 1024

// lookAt finds among rows that have changed those that have or are a successor at their
// address. It tells whether there are any; the next look finds the rest.
func (t *softState) lookAt(now, interval time.Duration, changed []state.Backend, backends map[string]state.Backend) bool {
	limit := silentLimit(interval)
	before := len(t.silent)
	for _, b := range changed {
		other, known := backends[t.holders[b.Address]]
		switch {
		case !known || other.ID == b.ID:
			t.holders[b.Address] = b.ID
		case t.follows(b, other) && t.quiet(now, b.ID) <= limit:
			t.holders[b.Address] = b.ID
			t.addSilent(other.ID)
		case t.follows(other, b) && t.quiet(now, other.ID) <= limit:
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

// isSilent tells whether a back end is silent or has a successor.
func (t *softState) isSilent(id string) bool {
	_, is := slices.BinarySearch(t.silent, id)
	return is
}

// silentOf returns the silent back ends that concern a shard.
func (t *softState) silentOf(d *state.Deployment, shard coordapi.Shard) []string {
	return t.silentShards.of(t.silent, d, shard)
}

// limitedOf returns the back ends with a limit that concern a shard.
func (t *softState) limitedOf(d *state.Deployment, shard coordapi.Shard) []coordapi.BackendID {
	return t.limitedShards.of(t.limited, d, shard)
}

// shardLists are the parts of a list of back ends that concern each of shards, found when
// they are first asked for. With another list they begin anew.
type shardLists[ID ~string] map[coordapi.Shard][]ID

// of returns the part of all that concerns a shard: its engines, and all plain back ends.
func (l shardLists[ID]) of(all []ID, d *state.Deployment, shard coordapi.Shard) []ID {
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

// notifier wakes waiting watchers, by shard.
type notifier struct {
	changed map[int]chan struct{}
}

// of returns what is closed when watchers of a shard have news.
func (n *notifier) of(shard int) <-chan struct{} {
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

// wake wakes all.
func (n *notifier) wake() {
	for _, changed := range n.changed {
		close(changed)
	}
	n.changed = nil
}

// wakeShards wakes the watchers of some shards.
func (n *notifier) wakeShards(shards []int) {
	for _, shard := range shards {
		if changed := n.changed[shard]; changed != nil {
			close(changed)
			delete(n.changed, shard)
		}
	}
}

// noteChanges wakes watchers when something they follow has changed.
func (s *Server) noteChanges() {
	now := s.now()
	d := s.core.Machine().Deployment()
	s.rollout.note(now, d)
	s.followPools(d)
	s.limits.follow(now, s.core.LeaseUntil(), d)
	s.backendLimits.SetLease(s.core.LeaseUntil())
	if s.lastRole != raft.Leader {
		s.judgeRequests(now, d)
		return
	}
	s.lookForSilence(now, d)
	s.followLimits(now)
	defer s.feedPlacer(d)
	if s.rollout.noteMinimum(now, s.settings, d, s.soft.since) {
		s.soft.changes++
		s.notify.wake()
	}
	s.judgeRequests(now, d)
	if s.soft.told.announce(now, s.soft.watchers()) {
		s.limits.announce(now)
		s.step(now, d)
		s.notify.wake()
		return
	}
	if s.soft.step.due(now, d, s.soft.watchers()) {
		s.step(now, d)
	}
}

// followLimits tells routers which back ends have a limit. That is a hint, which travels
// with the next news: who was not told finds out with its first request there.
func (s *Server) followLimits(now time.Duration) {
	s.backendLimits.Observe(now, s.engines.Limits(false))
	if s.backendLimits.Changes() == s.soft.limitedAt {
		return
	}
	s.soft.limited, s.soft.limitedAt = s.backendLimits.Limited()
	s.soft.limitedShards = shardLists[coordapi.BackendID]{}
	s.soft.changes++
}

// feedPlacer brings the placer what has changed.
func (s *Server) feedPlacer(d *state.Deployment) {
	if since := s.soft.placedAt; d.BackendsRevision > since {
		whole := !d.HasChangesSince(since)
		if whole {
			since = 0
		}
		rows, gone := d.ChangedSince(since)
		departed := make([]string, len(gone))
		for i, departure := range gone {
			departed[i] = departure.ID
		}
		s.backendLimits.Remove(departed)
		s.placer.Apply(rows, departed, whole)
		s.soft.placedAt = d.BackendsRevision
	}
	if token := s.soft.token(); token != s.soft.placedNotes {
		notes := s.rollout.notes
		notes.Unresponsive = s.soft.silent
		s.placer.ApplyNotes(notes)
		s.soft.placedNotes = token
	}
}

// lookForSilence looks at all back ends now and then, and in between at those whose rows
// have changed: a look at all takes 3.7 ms among 10,000 (BenchmarkLook, beside load), and
// rows change hundreds of times a second while they register.
func (s *Server) lookForSilence(now time.Duration, d *state.Deployment) {
	s.departSuperseded(now, d)
	if now-s.soft.looked > silenceEvery {
		s.lookAtAll(now, d)
		return
	}
	if d.BackendsRevision <= s.soft.lookedAt {
		return
	}
	rows, _ := d.ChangedSince(s.soft.lookedAt)
	s.soft.lookedAt = d.BackendsRevision
	before := s.soft.silent
	if s.soft.lookAt(now, s.settings.BackendHeartbeat, rows, d.Backends) {
		s.noteSilent(before)
	}
}

func (s *Server) lookAtAll(now time.Duration, d *state.Deployment) {
	s.soft.forgetWatchers(now)
	before := s.soft.silent
	s.soft.lookedAt = d.BackendsRevision
	gone := s.soft.look(now, s.settings.BackendHeartbeat, d.Backends)
	s.soft.forgetStarts(d)
	if !slices.Equal(before, s.soft.silent) {
		s.noteSilent(before)
	}
	if len(gone) > 0 && s.core.HoldsLease(now) {
		s.logger.Info("back ends removed", "part", "registry", "count", len(gone), "backends", firstOf(gone))
		s.propose(now, "registry", state.Command{Depart: &state.Depart{IDs: gone}})
	}
}

// noteSilent says which back ends have become silent and which are heard of again.
func (s *Server) noteSilent(before []string) {
	fell, back := difference(s.soft.silent, before), difference(before, s.soft.silent)
	s.logger.Info("silent back ends", "part", "registry", "count", len(s.soft.silent), "fell", firstOf(fell), "back", firstOf(back))
	// A hint: it travels with the next news.
	s.soft.changes++
}

// difference returns what is in one sorted list and not in another.
func difference(list, other []string) []string {
	var out []string
	for _, id := range list {
		if _, is := slices.BinarySearch(other, id); !is {
			out = append(out, id)
		}
	}
	return out
}

// loggedIDs is how many back ends one line of the log names: a line of all that are
// silent would be 200 KB long when a large deployment starts.
const loggedIDs = 32

func firstOf(ids []string) []string { return ids[:min(len(ids), loggedIDs)] }
