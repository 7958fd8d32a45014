package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// declinedPause is the time for which a router that declined a pool's request gets none of that
	// pool, and unreachablePause that for which one that could not be reached gets requests only if there
	// is no other one.
	declinedPause    = 100 * time.Millisecond
	unreachablePause = time.Second
	// outdatedPause is the time for which a router with an older configuration gets no requests. One that
	// the coordinators reach has the present one by then.
	outdatedPause = 500 * time.Millisecond
	// quietLimit is the time without any response after which a router with open requests gets more
	// only if there is no other one: its process may be suspended. Requests wait in queues there, but
	// others are answered meanwhile.
	quietLimit = 500 * time.Millisecond
	// zoneCost is the cost of a router in another zone, in requests that it already has, unlistedCost
	// that of one that the leader has not named again, and pausedCost that of one that could not be
	// reached.
	zoneCost     = 2
	unlistedCost = 4
	pausedCost   = 1 << 20
	// retention is how long a router is kept that the leader has not named again: a new leader names
	// none until they have registered with it. maxKnown bounds the routers that are kept.
	retention = time.Minute
	maxKnown  = 4 * MaxRelays
)

// Selector chooses routers for the requests that this router passes on. It is safe for concurrent
// use. A nil Selector knows none.
type Selector struct {
	zone string

	mu     sync.Mutex
	relays map[string]*candidate
	// namedAt is when the leader last named any.
	namedAt time.Duration
}

type candidate struct {
	coordapi.Relay
	// listedAt is when the leader last named the router.
	listedAt time.Duration
	// open is the number of requests that it has from here.
	open int
	// quietSince is the time of its last response, or of the first request since it had none open.
	// answered is set unless it had no response between these.
	quietSince time.Duration
	answered   bool
	// declined maps pools to the time until which the router gets none of their requests, and
	// pausedUntil is the time until which others are preferred.
	declined    map[string]time.Duration
	pausedUntil time.Duration
	// outdatedUntil is the time until which the router gets no requests because of its configuration.
	outdatedUntil time.Duration
}

// NewSelector returns a Selector of a router in a zone.
func NewSelector(zone string) *Selector {
	return &Selector{zone: zone, relays: map[string]*candidate{}}
}

// Set records the routers that the leader names now.
func (s *Selector) Set(now time.Duration, relays []coordapi.Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range relays {
		c := s.relays[r.Address]
		if c == nil {
			c = &candidate{declined: map[string]time.Duration{}, answered: true}
			s.relays[r.Address] = c
		}
		c.Relay, c.listedAt = r, now
	}
	if len(relays) > 0 {
		s.namedAt = now
	}
	maps.DeleteFunc(s.relays, func(_ string, c *candidate) bool { return c.open == 0 && now-c.listedAt > retention })
	if over := len(s.relays) - maxKnown; over > 0 {
		bounded.DropOldest(s.relays, over, func(c *candidate) time.Duration { return c.listedAt })
	}
}

// Addresses returns the addresses of the routers that are known.
func (s *Selector) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.relays))
}

// Known returns the number of routers that are known.
func (s *Selector) Known() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.relays)
}

// Choose returns the router for a request to a pool that none of the tried ones has accepted: the one
// with the fewest requests from here. Draw is in [0, 1) and breaks ties, so that routers that lost the
// same pool do not choose alike. Done must be called once the request has ended.
func (s *Selector) Choose(now time.Duration, pool string, tried []string, draw float64) (address string, done func(), found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best []*candidate
	cost := 0
	for _, c := range s.relays {
		if !c.Serves(pool) || now < c.declined[pool] || now < c.outdatedUntil || slices.Contains(tried, c.Address) {
			continue
		}
		mine := c.open
		if c.Zone != s.zone {
			mine += zoneCost
		}
		if c.listedAt < s.namedAt {
			mine += unlistedCost
		}
		if now < c.pausedUntil || (c.open > 0 && now-c.quietSince >= quietLimit) {
			mine += pausedCost
		}
		if len(best) == 0 || mine < cost {
			best, cost = best[:0], mine
		}
		if mine == cost {
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return "", nil, false
	}
	slices.SortFunc(best, func(a, b *candidate) int { return strings.Compare(a.Address, b.Address) })
	c := best[int(draw*float64(len(best)))]
	if c.open == 0 {
		c.quietSince = now
		if !c.answered {
			// One request at a time finds out whether it responds again.
			c.quietSince -= quietLimit
		}
		c.answered = false
	}
	c.open++
	return c.Address, sync.OnceFunc(func() { s.end(c) }), true
}

func (s *Selector) end(c *candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.open--
}

// Responded records that a router has responded.
func (s *Selector) Responded(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.relays[address]; c != nil {
		c.quietSince, c.answered = now, true
	}
}

// Declined records that a router cannot serve a pool.
func (s *Selector) Declined(now time.Duration, address, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.relays[address]; c != nil {
		c.declined[pool] = now + declinedPause
	}
}

// Unreachable records that a router could not be reached.
func (s *Selector) Unreachable(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.relays[address]; c != nil {
		c.pausedUntil = now + unreachablePause
	}
}

// Outdated records that a router has declined a request because its configuration is older.
func (s *Selector) Outdated(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.relays[address]; c != nil {
		c.outdatedUntil = now + outdatedPause
	}
}
