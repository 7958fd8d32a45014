package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// declinedPause is the time for which a router that declined a pool's request gets none of that
	// pool, and unreachablePause that for which one that could not be reached gets requests only if there
	// is no other one.
	declinedPause    = 100 * time.Millisecond
	unreachablePause = time.Second
	// quietLimit is the time without any response after which a router with open requests gets more
	// only if there is no other one: its process may be suspended. Requests wait in queues there, but
	// others are answered meanwhile.
	quietLimit = 500 * time.Millisecond
	// zoneCost is the cost of a router in another zone, in requests that it already has, and
	// pausedCost that of one that could not be reached.
	zoneCost   = 2
	pausedCost = 1 << 20
)

// Selector chooses routers for the requests that this router passes on. It is safe for concurrent
// use. A nil Selector knows none.
type Selector struct {
	zone string

	mu     sync.Mutex
	relays map[string]*candidate
}

type candidate struct {
	coordapi.Relay
	// listed is set while the leader names the router.
	listed bool
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
}

// NewSelector returns a Selector of a router in a zone.
func NewSelector(zone string) *Selector {
	return &Selector{zone: zone, relays: map[string]*candidate{}}
}

// Set replaces the routers that the leader named.
func (s *Selector) Set(relays []coordapi.Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.relays {
		c.listed = false
	}
	for _, r := range relays {
		c := s.relays[r.Address]
		if c == nil {
			c = &candidate{declined: map[string]time.Duration{}, answered: true}
			s.relays[r.Address] = c
		}
		c.Relay, c.listed = r, true
	}
	for address, c := range s.relays {
		if !c.listed && c.open == 0 {
			delete(s.relays, address)
		}
	}
}

// Known returns the number of routers that the leader named.
func (s *Selector) Known() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.relays {
		if c.listed {
			count++
		}
	}
	return count
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
		if !c.listed || !c.Serves(pool) || now < c.declined[pool] || slices.Contains(tried, c.Address) {
			continue
		}
		mine := c.open
		if c.Zone != s.zone {
			mine += zoneCost
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
