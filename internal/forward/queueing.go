package forward

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

// standaloneRetryAfter is the Retry-After, before jitter, of a request that a router refuses by
// itself: most elections are over by then.
const standaloneRetryAfter = 500 * time.Millisecond

// minAnnouncedUse is the share of an announced capacity that must be in use for routers to keep to
// their parts of the rest. Below it the pool has capacity for twice the load, and a single late reply
// of the leader must not make a router refuse requests.
const minAnnouncedUse = 0.5

// setQueueing sets the terms on which the leader may queue the request. Only the first attempt of a
// request with a latency target waits: later ones are placed at once or not at all.
func (h *Handler) setQueueing(j *job) {
	waited := h.now() - j.receivedAt
	j.query.Queueing = coordapi.Queueing{Wait: h.mayWait(j), Account: j.tenantName(), Urgency: queueUrgency(j), Waited: waited,
		Abandon: j.route.AbandonAfter, Deadline: j.deadline - j.receivedAt, Started: j.tries()}
}

// mayWait reports whether a request may wait in the queue of its pool. One that is sent for a trial goes at
// once or not at all.
func (h *Handler) mayWait(j *job) bool {
	return j.pool.Engine != nil && j.route.Target > 0 && j.tries() == 0 && j.trial == nil
}

// queueUrgency returns the urgency of a request in the queue.
func queueUrgency(j *job) coordapi.Urgency {
	u := coordapi.Urgency{Route: min(max(j.route.Priority, 0), maxPriority)}
	if j.tenant != nil {
		u.Tenant = max(j.tenant.Priority, 0)
	}
	return u
}

// refuseBeyondShare decides without the leader whether there is capacity for a request. It returns
// the refusal if the router already runs its share of the announced capacity.
func (h *Handler) refuseBeyondShare(j *job) (refusal backends.Choice, refused bool) {
	if h.config.Queue == nil || !j.standalone || !h.mayWait(j) {
		return refusal, false
	}
	room, announcement, known := h.config.Queue.Room(j.pool.Name)
	if !known || j.endShare != nil || float64(room.Running) < minAnnouncedUse*float64(room.Limit) || room.Limit == 0 {
		return refusal, false
	}
	if end, allowed := h.shares.reserve(j.pool.Name, room, announcement, j.query.Routers, rand.Float64()); allowed {
		j.endShare = end
		return refusal, false
	}
	return backends.Choice{Reason: coordapi.NoRoomInTime, RetryAfter: standaloneRetryAfter + rand.N(standaloneRetryAfter/2)}, true
}

// releaseShare ends the request's part of what the router runs, unless an attempt has taken it.
func (j *job) releaseShare() {
	if j.endShare != nil {
		j.endShare()
		j.endShare = nil
	}
}

// takeShare returns the function that ends an attempt's part of what the router runs at the pool.
func (h *Handler) takeShare(j *job) (end func()) {
	if end = j.endShare; end == nil {
		return h.shares.begin(j.pool.Name)
	}
	j.endShare = nil
	return end
}

// shares holds the requests that this router runs at the engines of each pool, and how many it may
// run without the leader. It is safe for concurrent use.
type shares struct {
	mu    sync.Mutex
	pools map[string]*share
}

type share struct {
	running int
	// limit is the number of requests that the router may run, by the announcement with the given
	// number.
	limit        int
	announcement uint64
}

func (s *shares) pool(name string) *share {
	if s.pools == nil {
		s.pools = map[string]*share{}
	}
	one := s.pools[name]
	if one == nil {
		one = &share{}
		s.pools[name] = one
	}
	return one
}

// begin records a request at an engine of a pool until end is called.
func (s *shares) begin(name string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(s.pool(name))
}

func (s *shares) add(one *share) (end func()) {
	one.running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		one.running--
	}
}

// reserve begins a request without the leader if the router may run another one: what it ran when the
// capacity was announced, and its equal share of the remainder. Draw is in [0, 1) and rounds the share,
// so that the routers together use the remainder.
func (s *shares) reserve(name string, room coordapi.Room, announcement uint64, routers int, draw float64) (end func(), allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.pool(name)
	one.update(room, announcement, routers, draw)
	if one.running >= one.limit {
		return nil, false
	}
	return s.add(one), true
}

// update sets the limit by a new announcement.
func (one *share) update(room coordapi.Room, announcement uint64, routers int, draw float64) {
	if one.announcement != announcement {
		part := float64(max(room.Limit-room.Running, 0)) / float64(max(routers, 1))
		one.announcement, one.limit = announcement, one.running+int(math.Floor(part+draw))
	}
}

// RecordAnnouncement sets what this router may run without the leader, by the announcement that has
// just arrived. Set only at the first decision, a router whose requests go elsewhere meanwhile would
// have given up what it ran, although no other one may run it.
func (h *Handler) RecordAnnouncement() {
	h.shares.mu.Lock()
	defer h.shares.mu.Unlock()
	for name, one := range h.shares.pools {
		if room, announcement, known := h.config.Queue.Room(name); known {
			one.update(room, announcement, h.config.Source.Routers(), rand.Float64())
		}
	}
}
