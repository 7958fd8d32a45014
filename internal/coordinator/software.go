package coordinator

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// maxServingLease is the longest time for which a router serves without a view, and thus without notice of
// software versions that have come into service meanwhile.
const maxServingLease = 5 * time.Second

// softwareTracker tracks the software versions that may have begun a stream which is still resumed: those
// in service, and those that were within the life of a stream. Every node does so, so that a new leader
// has the time at which each version left. It belongs to the run goroutine.
type softwareTracker struct {
	// revision is the BackendsRevision that was observed last.
	revision uint64
	versions map[state.PoolSoftware]*trackedVersion
}

type trackedVersion struct {
	serving bool
	// leftAt is when the last back end of the version left, if it does not serve.
	leftAt time.Duration
	// heldAt is the time since which the version has been held, and change the change of the leader's
	// notes that announced it. held is set until all routers have received
	// the notes with the version.
	held   bool
	heldAt time.Duration
	change int
}

// observe updates the versions. A leader holds a version that joins others.
func (t *softwareTracker) observe(now, life time.Duration, d *state.Deployment, leads bool) {
	if t.versions == nil {
		// Departures carry no time that other clocks share.
		t.versions = map[state.PoolSoftware]*trackedVersion{}
		for _, departure := range d.Departed {
			if departure.Software != "" {
				t.versions[state.PoolSoftware{Pool: departure.Pool, Software: departure.Software}] = &trackedVersion{leftAt: now}
			}
		}
		leads = false
	}
	maps.DeleteFunc(t.versions, func(_ state.PoolSoftware, v *trackedVersion) bool { return !v.serving && now >= v.leftAt+life })
	if d.BackendsRevision == t.revision {
		return
	}
	t.revision = d.BackendsRevision
	serving := d.SoftwareVersions()
	for version, v := range t.versions {
		if v.serving && serving[version] == 0 {
			v.serving, v.held, v.leftAt = false, false, now
		}
	}
	for version := range serving {
		v := t.versions[version]
		if v == nil {
			v = &trackedVersion{held: leads && t.hasOther(version), heldAt: now, change: -1}
			t.versions[version] = v
		}
		v.serving = true
	}
}

// hasOther reports whether there is another version of the pool.
func (t *softwareTracker) hasOther(version state.PoolSoftware) bool {
	for other := range t.versions {
		if other.Pool == version.Pool && other != version {
			return true
		}
	}
	return false
}

// release ends the hold of versions of which all routers have received notice. Received reports whether they
// have received a change of the leader's notes; routers that it does not list may serve until the end of
// their leases.
func (t *softwareTracker) release(now time.Duration, received func(change int, since time.Duration) bool) {
	for _, v := range t.versions {
		if v.held && (now >= v.heldAt+maxServingLease || (v.change >= 0 && received(v.change, v.heldAt))) {
			v.held = false
		}
	}
}

// announced records the change of the notes that contains the versions which are held.
func (t *softwareTracker) announced(change int) {
	for _, v := range t.versions {
		if v.held && v.change < 0 {
			v.change = change
		}
	}
}

// notes describes the pools with several versions; includes selects the pools.
func (t *softwareTracker) notes(includes func(pool string) bool) map[string]coordapi.SoftwareVersions {
	var out map[string]coordapi.SoftwareVersions
	for version, v := range t.versions {
		if !t.hasOther(version) || !includes(version.Pool) {
			continue
		}
		if out == nil {
			out = map[string]coordapi.SoftwareVersions{}
		}
		n := out[version.Pool]
		if v.serving {
			n.Serving = append(n.Serving, version.Software)
		} else {
			n.Former = append(n.Former, version.Software)
		}
		if v.held {
			n.Held = append(n.Held, version.Software)
		}
		out[version.Pool] = n
	}
	for _, n := range out {
		for _, list := range [][]state.SoftwareVersion{n.Serving, n.Held, n.Former} {
			slices.Sort(list)
		}
	}
	return out
}

// list returns all versions, sorted by pool and version.
func (t *softwareTracker) list(d *state.Deployment) []coordapi.SoftwareInService {
	out := make([]coordapi.SoftwareInService, 0, len(t.versions))
	for version, v := range t.versions {
		entry := coordapi.SoftwareInService{Pool: version.Pool, Software: version.Software, Backends: d.SoftwareVersions()[version], State: coordapi.SoftwareServing}
		switch {
		case !v.serving:
			entry.State = coordapi.SoftwareFormer
		case v.held:
			entry.State = coordapi.SoftwareHeld
		}
		out = append(out, entry)
	}
	slices.SortFunc(out, func(a, b coordapi.SoftwareInService) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Software, b.Software))
	})
	return out
}

// listSoftware writes the software versions by this node's replica; only the leader has which are held.
func (s *Server) listSoftware(w http.ResponseWriter, r *http.Request) {
	var versions []coordapi.SoftwareInService
	if !s.loop.Do(r.Context(), func(time.Duration) { versions = s.software.list(s.core.Machine().Deployment()) }) {
		http.Error(w, "the replica is being read", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(versions)
}

// updateSoftware updates the notes on software versions and wakes all routers if these have changed.
func (s *Server) updateSoftware(now time.Duration, d *state.Deployment) {
	s.software.observe(now, s.pools.streamLife(), d, true)
	s.software.release(now, s.soft.allWatchersReceived)
	notes := s.software.notes(s.pools.resumesStreams)
	if reflect.DeepEqual(notes, s.soft.software) {
		return
	}
	s.soft.software = notes
	s.soft.changes++
	s.software.announced(s.soft.changes)
	s.notify.wake()
	for _, pool := range slices.Sorted(maps.Keys(notes)) {
		n := notes[pool]
		s.logger.Info("software versions changed", "part", "registry", "pool", pool, "serving", n.Serving, "held", n.Held, "former", n.Former)
	}
	if len(notes) == 0 {
		s.logger.Info("one software version in each pool", "part", "registry")
	}
}

// allWatchersReceived reports whether all routers that may serve have received a change of the notes; since
// is when it was made.
func (t *softState) allWatchersReceived(change int, since time.Duration) bool {
	if since < t.since+maxServingLease || t.forgottenAt >= since {
		// Routers that watch a former leader, or none, may serve.
		return false
	}
	for _, w := range t.routers {
		if w.known < change {
			return false
		}
	}
	return true
}

// knownChange returns the change of this leadership's notes that a watcher's token names, or -1.
func (t *softState) knownChange(token coordapi.LeaderToken) int {
	leadership, change, _ := strings.Cut(string(token), "-")
	n, err := strconv.Atoi(change)
	if err != nil || leadership != t.epoch {
		return -1
	}
	return n
}

// recordStreams keeps the records of streams that a router began.
func (s *Server) recordStreams(r *coordapi.RecordStreams) coordapi.Reply {
	now := s.now()
	for _, record := range r.Streams {
		record.Left = min(record.Left, maxStreamLife)
		s.streams.Add(now, record)
	}
	return coordapi.Reply{}
}

// maxStreamLife bounds the time for which a record is kept.
const maxStreamLife = time.Hour

// findStream looks a stream up.
func (s *Server) findStream(f *coordapi.FindStream) coordapi.Reply {
	reply := coordapi.Reply{Stream: &coordapi.FoundStream{}}
	if writer, recorded := s.streams.Find(s.now(), f.Key); recorded {
		reply.Stream.Writer = &writer
	}
	return reply
}
