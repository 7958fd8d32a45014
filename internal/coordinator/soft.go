package coordinator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
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
	// silenceEvery is the time between two looks for silent back ends, and
	// changedEvery the least such time when rows have changed: one may follow
	// another at its address.
	silenceEvery = 300 * time.Millisecond
	changedEvery = 20 * time.Millisecond
)

// softState is what a leader knows without the log. A new leader starts with
// none.
type softState struct {
	since time.Duration
	beats map[string]heard
	// routers maps watchers to the time of their last watch.
	routers map[string]time.Duration
	// silent are the back ends that are silent or have a successor, sorted.
	silent []string
	// left are back ends that are on no list any more and had announced their end.
	left map[string]bool
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
	whole       packedWhole
	rows        packedRows
}

// packedRows is the packed form of the rows that changed between two revisions: when
// thousands of back ends start, many watchers lack the same.
type packedRows struct {
	since, revision uint64
	packed          []byte
}

func (p *packedRows) of(since, revision uint64, rows []state.Backend) []byte {
	if since != p.since || revision != p.revision || p.packed == nil {
		// Encoding into memory cannot fail.
		p.packed, _ = coordapi.Pack(rows)
		p.since, p.revision = since, revision
	}
	return p.packed
}

// packedWhole is the packed form of all that routers must know, made when it is
// first asked for after a change.
type packedWhole struct {
	revision uint64
	packed   []byte
}

func (p *packedWhole) of(d *state.Deployment) []byte {
	if revision := max(d.ChangedAt(), 1); revision != p.revision {
		rows, _ := d.Changed(0)
		// Encoding into memory cannot fail.
		p.packed, _ = coordapi.Pack(coordapi.Whole{Document: d.Document, Backends: rows, Blocked: coordapi.Blocked{Requests: d.Blocked}})
		p.revision = revision
	}
	return p.packed
}

// token changes whenever silent or minimum does.
func (t *softState) token() coordapi.LeaderToken { return coordapi.NewLeaderToken(t.epoch, t.changes) }

type heard struct {
	at       time.Duration
	sequence coordapi.Sequence
}

func (t *softState) reset(now time.Duration) {
	*t = softState{since: now, epoch: strconv.FormatUint(rand.Uint64(), 36), beats: map[string]heard{}, routers: map[string]time.Duration{},
		left: map[string]bool{}}
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

func (t *softState) watched(now time.Duration, router string) { t.routers[router] = now }

// watchers is how many routers follow this leader.
func (t *softState) watchers(now time.Duration) int {
	count := 0
	for router, at := range t.routers {
		if now-at < watcherKept {
			count++
			continue
		}
		delete(t.routers, router)
	}
	return count
}

// quiet is how long a back end has been silent.
func (t *softState) quiet(now time.Duration, id string) time.Duration {
	if last, known := t.beats[id]; known {
		return now - last.at
	}
	return now - t.since
}

// lookDue tells whether to look for silent back ends, given the revision of the
// rows.
func (t *softState) lookDue(now time.Duration, rowsAt uint64) bool {
	if rowsAt > t.lookedAt {
		return now-t.looked > changedEvery
	}
	return now-t.looked > silenceEvery
}

// succeeded returns the back ends in whose place at their address another start is: an
// address has one process at a time. The one that enrolled last has it as long as it is
// heard of: a heartbeat of the one before may arrive late. Limit is how long a back end
// may be silent.
func (t *softState) succeeded(now, limit time.Duration, backends map[string]state.Backend) map[string]bool {
	last := map[string]string{}
	for id, b := range backends {
		if other, taken := last[b.Address]; t.quiet(now, id) <= limit && (!taken || t.follows(b, backends[other])) {
			last[b.Address] = id
		}
	}
	out := map[string]bool{}
	for id, b := range backends {
		if other, taken := last[b.Address]; taken && t.follows(backends[other], b) {
			out[id] = true
		}
	}
	return out
}

// follows tells whether a back end took another's place: it enrolled later or, if that
// is not known, was heard of later.
func (t *softState) follows(b, other state.Backend) bool {
	if b.Enrolled != other.Enrolled {
		return b.Enrolled > other.Enrolled
	}
	return t.beats[b.ID].at > t.beats[other.ID].at
}

// look finds the back ends that are silent or have a successor at their address,
// and those that are gone.
func (t *softState) look(now time.Duration, interval time.Duration, backends map[string]state.Backend) (gone []string) {
	t.looked = now
	limit := time.Duration(silentBeats * float64(interval))
	var silent []string
	succeeded := t.succeeded(now, limit, backends)
	for id, b := range backends {
		quiet := t.quiet(now, id)
		if quiet > departAfter || (b.Draining && quiet > drainedAfter) {
			gone = append(gone, id)
			t.left[id] = b.Draining
			continue
		}
		if quiet > limit || succeeded[id] {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	slices.Sort(gone)
	t.silent = silent
	return gone
}

// notifier wakes waiting watchers.
type notifier struct {
	changed  chan struct{}
	revision uint64
}

func (n *notifier) init() { n.changed = make(chan struct{}) }

func (n *notifier) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// noteChanges wakes watchers when something they follow has changed.
func (s *Server) noteChanges() {
	now := s.now()
	d := s.core.Machine().Deployment()
	if s.lastRole == raft.Leader && s.soft.lookDue(now, d.BackendsAt) {
		s.lookForSilence(now, d)
	}
	s.rollout.note(now, d)
	s.limits.follow(now, s.core.LeaseUntil(), d)
	defer s.feedPlacer(d)
	if s.lastRole == raft.Leader && s.rollout.noteMinimum(now, s.settings, d, s.soft.since) {
		s.soft.changes++
		s.notify.wake()
		return
	}
	s.judgeRequests(now, d)
	if s.lastRole == raft.Leader && s.soft.told.announce(now, len(s.soft.routers)) {
		s.limits.announce(now)
		s.notify.wake()
		return
	}
	if revision := d.ChangedAt(); revision > s.notify.revision {
		s.notify.revision = revision
		s.notify.wake()
	}
}

// feedPlacer brings the placer what has changed.
func (s *Server) feedPlacer(d *state.Deployment) {
	if s.lastRole != raft.Leader {
		return
	}
	if since := s.soft.placedAt; d.BackendsAt > since {
		whole := !d.Remembers(since)
		if whole {
			since = 0
		}
		rows, departed := d.Changed(since)
		s.placer.Apply(rows, departed, whole)
		s.soft.placedAt = d.BackendsAt
	}
	if token := s.soft.token(); token != s.soft.placedNotes {
		notes := s.rollout.notes
		notes.Silent = s.soft.silent
		s.placer.Note(notes)
		s.soft.placedNotes = token
	}
}

func (s *Server) lookForSilence(now time.Duration, d *state.Deployment) {
	before := s.soft.silent
	s.soft.lookedAt = d.BackendsAt
	gone := s.soft.look(now, s.settings.BackendHeartbeat, d.Backends)
	if !slices.Equal(before, s.soft.silent) {
		s.logger.Info("silent back ends", "part", "registry", "backends", s.soft.silent)
		// A hint: it travels with the next news.
		s.soft.changes++
	}
	if len(gone) > 0 && s.core.HoldsLease(now) {
		s.logger.Info("back ends removed", "part", "registry", "backends", gone)
		s.propose(now, "registry", state.Command{Depart: &state.Depart{IDs: gone}})
	}
}
