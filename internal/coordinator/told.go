package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// keptSaved bounds the saved parts that a leader remembers for watchers.
	keptSaved = 8192
	// announceEvery is the least time between two announcements, and
	// announceStep what each watcher adds to it.
	announceEvery = 80 * time.Millisecond
	announceStep  = 3 * time.Millisecond
	// enginesEvery is the least time between two announcements of what engines have to
	// do. Routers need it only while the leader places nothing: without it they
	// begin with what is some runs old, and hear the rest from their own requests.
	enginesEvery = 3 * time.Second
	// packFrom is how many back ends an announcement must name to be packed.
	packFrom = 48
	// crowdedFor is how long after a refusal engines count as crowded.
	crowdedFor = time.Second
	// loadKept is how long a router's load counts after it was told.
	loadKept = 1500 * time.Millisecond
)

// told is what routers told the leader: the prompt parts that they saved, in
// order, and their loads. An announcement wakes the watchers.
type told struct {
	// first is the number of the first of parts.
	first uint64
	parts []uint64
	loads map[string]routerLoad
	// work is the sum of loads by back end.
	work map[string]coordapi.Load
	// refusedAt is when a router last told of refused requests; 0 for never.
	refusedAt time.Duration
	// fresh says that loads came since the last announcement.
	fresh bool
	// plain is the work of all routers at plain back ends, and all with engines too, as
	// of the announcement allFrom.
	plain   sums
	all     sums
	allFrom uint64
	allAt   time.Duration
	// toldAt is when the loads in sums were told, in the mean.
	toldAt time.Duration
	// announcements counts them.
	announcements uint64
	at            time.Duration
}

// sums is work of all routers. Engines says that it is of engines too.
type sums struct {
	loads   []coordapi.Load
	engines bool
	// shards are what was asked for.
	shards map[coordapi.Shard]shardSums
}

// shardSums are the sums that concern a shard, packed where there are many; loads is empty
// then.
type shardSums struct {
	loads  []coordapi.Load
	packed []byte
}

// of returns what concerns a shard.
func (s *sums) of(shard coordapi.Shard) shardSums {
	known, made := s.shards[shard]
	if made {
		return known
	}
	for _, l := range s.loads {
		if !l.Engine || shard.Holds(coordapi.BackendID(l.ID)) {
			known.loads = append(known.loads, l)
		}
	}
	if len(known.loads) >= packFrom {
		// Encoding into memory cannot fail.
		known.packed, _ = coordapi.Pack(known.loads)
		known.loads = nil
	}
	if s.shards == nil {
		s.shards = map[coordapi.Shard]shardSums{}
	}
	s.shards[shard] = known
	return known
}

// since returns what a watcher lacks that has heard an announcement of this leader,
// or of another.
func (t *told) since(announced uint64, sameLeader bool) *sums {
	if !sameLeader || announced < t.allFrom {
		return &t.all
	}
	return &t.plain
}

// routerLoad is one router's work under way.
type routerLoad struct {
	at    time.Duration
	loads []coordapi.Load
}

func (t *told) take(now time.Duration, news *coordapi.Update) {
	t.parts = append(t.parts, news.Saved...)
	if excess := len(t.parts) - keptSaved; excess > 0 {
		t.parts = slices.Clone(t.parts[excess:])
		t.first += uint64(excess)
	}
	if t.loads == nil {
		t.loads, t.work = map[string]routerLoad{}, map[string]coordapi.Load{}
	}
	t.count(t.loads[news.Router].loads, -1)
	t.count(news.Loads, 1)
	t.loads[news.Router] = routerLoad{at: now, loads: news.Loads}
	t.fresh = true
	if news.Refused > 0 {
		t.refusedAt = now
	}
}

// count adds a router's loads to the sums, or with a sign of -1 takes them away.
func (t *told) count(loads []coordapi.Load, sign int) {
	for _, l := range loads {
		s := t.work[l.ID]
		s = coordapi.Load{ID: l.ID, Running: s.Running + sign*l.Running, Memory: s.Memory + sign*l.Memory, Prompt: s.Prompt + sign*l.Prompt,
			Engine: l.Engine}
		if s.Running == 0 && s.Memory == 0 && s.Prompt == 0 {
			delete(t.work, l.ID)
			continue
		}
		t.work[l.ID] = s
	}
}

// crowded tells whether requests were refused lately because engines are
// behind.
func (t *told) crowded(now time.Duration) bool {
	return t.refusedAt > 0 && now < t.refusedAt+crowdedFor
}

func (t *told) until() uint64 { return t.first + uint64(len(t.parts)) }

// announce tells whether watchers should be woken for news now.
func (t *told) announce(now time.Duration, watchers int) bool {
	if !t.fresh || now < t.at+announceEvery+time.Duration(watchers)*announceStep {
		return false
	}
	t.fresh, t.at = false, now
	t.announcements++
	t.sum(now)
	return true
}

// sum adds the routers' loads up.
func (t *told) sum(now time.Duration) {
	var ages time.Duration
	for router, r := range t.loads {
		if now-r.at > loadKept {
			t.count(r.loads, -1)
			delete(t.loads, router)
			continue
		}
		ages += now - r.at
	}
	t.toldAt = now - ages/time.Duration(max(len(t.loads), 1))
	loads := slices.Collect(maps.Values(t.work))
	slices.SortFunc(loads, func(a, b coordapi.Load) int { return strings.Compare(a.ID, b.ID) })
	if t.allFrom == 0 || now >= t.allAt+enginesEvery {
		t.all, t.allFrom, t.allAt = sums{loads: loads, engines: true}, t.announcements, now
	}
	t.plain = sums{loads: slices.DeleteFunc(slices.Clone(loads), func(l coordapi.Load) bool { return l.Engine })}
}

// after returns the parts behind a number, and the number of the next.
func (t *told) after(since uint64) ([]uint64, uint64) {
	if since >= t.until() {
		return nil, t.until()
	}
	return t.parts[max(since, t.first)-t.first:], t.until()
}

// unread is how many prompt tokens an engine has still to read, for all that
// routers have told.
func (t *told) unread(id string) int { return t.work[id].Prompt }
