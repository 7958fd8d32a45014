package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// maxSavedParts bounds the number of saved parts that are kept for watchers.
	maxSavedParts = 8192
	// announceInterval is the minimum time between two announcements, to which
	// announceIntervalPerWatcher is added for each watcher.
	announceInterval           = 80 * time.Millisecond
	announceIntervalPerWatcher = 3 * time.Millisecond
	// engineLoadsInterval is the minimum time between two announcements with the loads of
	// engines. Routers need these only while the leader places no requests, and can start with
	// outdated ones.
	engineLoadsInterval = 3 * time.Second
	// minPackedLoads is the number of loads from which an announcement is packed.
	minPackedLoads = 48
	// saturationTime is how long after a refused request engines count as saturated.
	saturationTime = time.Second
	// routerLoadTimeout is how long a router's load counts after its report.
	routerLoadTimeout = 1500 * time.Millisecond
)

// routerReports holds the reports of routers to the leader: the prompt parts that they saved, in
// order, and their loads. Announcements pass it on to the watchers.
type routerReports struct {
	// firstPart is the number of the first of savedParts.
	firstPart  uint64
	savedParts []uint64
	loads      map[string]routerLoad
	// totals are the sums of loads by back end.
	totals map[string]coordapi.Load
	// refusedAt is when a router last reported refused requests, 0 for never.
	refusedAt time.Duration
	// dirty is set when loads arrived after the last announcement.
	dirty bool
	// plain are the loads at plain back ends, and all those at all back ends as of the
	// announcement number allAnnounced at the time allAt.
	plain        loadSums
	all          loadSums
	allAnnounced uint64
	allAt        time.Duration
	// meanReportTime is the mean time of the reports that were summed.
	meanReportTime time.Duration
	// announcements counts the announcements, and announcedAt is the time of the last one.
	announcements uint64
	announcedAt   time.Duration
}

// loadSums are the loads of all routers together. engines is set if they include those at
// engines.
type loadSums struct {
	loads   []coordapi.Load
	engines bool
	// shards caches the results of forShard.
	shards map[coordapi.Shard]shardSums
}

// shardSums are the loads that concern a shard. If there are many, they are packed and loads is
// empty.
type shardSums struct {
	loads  []coordapi.Load
	packed []byte
}

// forShard returns the loads that concern a shard.
func (s *loadSums) forShard(shard coordapi.Shard) shardSums {
	known, made := s.shards[shard]
	if made {
		return known
	}
	for _, l := range s.loads {
		if !l.Engine || shard.Holds(coordapi.BackendID(l.ID)) {
			known.loads = append(known.loads, l)
		}
	}
	if len(known.loads) >= minPackedLoads {
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

// sumsSince returns the loads for a watcher, given the number of the last announcement that it
// received and whether this leader sent it.
func (t *routerReports) sumsSince(announced uint64, sameLeader bool) *loadSums {
	if !sameLeader || announced < t.allAnnounced {
		return &t.all
	}
	return &t.plain
}

// routerLoad is the load of one router at the time of its last report.
type routerLoad struct {
	at    time.Duration
	loads []coordapi.Load
}

// record records a router's report, whose loads replace those of its last one.
func (t *routerReports) record(now time.Duration, update *coordapi.Update) {
	t.savedParts = append(t.savedParts, update.Saved...)
	if excess := len(t.savedParts) - maxSavedParts; excess > 0 {
		t.savedParts = slices.Clone(t.savedParts[excess:])
		t.firstPart += uint64(excess)
	}
	if t.loads == nil {
		t.loads, t.totals = map[string]routerLoad{}, map[string]coordapi.Load{}
	}
	t.addLoads(t.loads[update.Router].loads, -1)
	t.addLoads(update.Loads, 1)
	t.loads[update.Router] = routerLoad{at: now, loads: update.Loads}
	t.dirty = true
	if update.Refused > 0 {
		t.refusedAt = now
	}
}

// addLoads adds a router's loads to totals, or with a sign of -1 subtracts them.
func (t *routerReports) addLoads(loads []coordapi.Load, sign int) {
	for _, l := range loads {
		s := t.totals[l.ID]
		s = coordapi.Load{ID: l.ID, Running: s.Running + sign*l.Running, Memory: s.Memory + sign*l.Memory, Prompt: s.Prompt + sign*l.Prompt,
			Engine: l.Engine}
		if s.Running == 0 && s.Memory == 0 && s.Prompt == 0 {
			delete(t.totals, l.ID)
			continue
		}
		t.totals[l.ID] = s
	}
}

// saturated reports whether routers recently refused requests because all engines were behind.
func (t *routerReports) saturated(now time.Duration) bool {
	return t.refusedAt > 0 && now < t.refusedAt+saturationTime
}

// nextPart returns the number of the next saved part.
func (t *routerReports) nextPart() uint64 { return t.firstPart + uint64(len(t.savedParts)) }

// announce makes an announcement if there is news and the interval has passed, and reports
// whether it did.
func (t *routerReports) announce(now time.Duration, watchers int) bool {
	if !t.dirty || now < t.announcedAt+announceInterval+time.Duration(watchers)*announceIntervalPerWatcher {
		return false
	}
	t.dirty, t.announcedAt = false, now
	t.announcements++
	t.sumLoads(now)
	return true
}

// sumLoads drops loads that have timed out and sums the rest up.
func (t *routerReports) sumLoads(now time.Duration) {
	var ages time.Duration
	for router, r := range t.loads {
		if now-r.at > routerLoadTimeout {
			t.addLoads(r.loads, -1)
			delete(t.loads, router)
			continue
		}
		ages += now - r.at
	}
	t.meanReportTime = now - ages/time.Duration(max(len(t.loads), 1))
	loads := slices.Collect(maps.Values(t.totals))
	slices.SortFunc(loads, func(a, b coordapi.Load) int { return strings.Compare(a.ID, b.ID) })
	if t.allAnnounced == 0 || now >= t.allAt+engineLoadsInterval {
		t.all, t.allAnnounced, t.allAt = loadSums{loads: loads, engines: true}, t.announcements, now
	}
	t.plain = loadSums{loads: slices.DeleteFunc(slices.Clone(loads), func(l coordapi.Load) bool { return l.Engine })}
}

// savedAfter returns the saved parts from a number on, and the number of the next one.
func (t *routerReports) savedAfter(since uint64) ([]uint64, uint64) {
	if since >= t.nextPart() {
		return nil, t.nextPart()
	}
	return t.savedParts[max(since, t.firstPart)-t.firstPart:], t.nextPart()
}

// unreadPrompt returns the number of prompt tokens that an engine has yet to process according to
// the routers' reports.
func (t *routerReports) unreadPrompt(id string) int { return t.totals[id].Prompt }
