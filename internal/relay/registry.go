package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// MaxRelays is the number of routers that a router is given for each pool that it has lost.
	MaxRelays = 6
	// maxNear bounds the routers of its own zone among them, since a whole zone may have lost a
	// pool before its routers have noticed.
	maxNear = 3
	// registrationTimeout is the time after which a router that has not registered again is
	// dropped. Routers register every 20 s.
	registrationTimeout = 45 * time.Second
)

// Registry records the routers that accept requests from others. It is not safe for concurrent use.
type Registry struct {
	// routers holds the registrations by address: a restarted router has another name.
	routers map[string]registration
	// addresses are the keys of routers, in no order.
	addresses []string
}

type registration struct {
	at   time.Duration
	name string
	zone string
	lost []string
}

// Register records a router. One without an address accepts no requests.
func (g *Registry) Register(now time.Duration, r *coordapi.Relays) {
	if r.Address == "" {
		return
	}
	if g.routers == nil {
		g.routers = map[string]registration{}
	}
	if _, known := g.routers[r.Address]; !known {
		g.addresses = append(g.addresses, r.Address)
	}
	g.routers[r.Address] = registration{at: now, name: r.Router, zone: r.Zone, lost: r.Lost}
}

// Lost returns the number of routers that have lost the path to some pool.
func (g *Registry) Lost() int {
	count := 0
	for _, r := range g.routers {
		if len(r.lost) > 0 {
			count++
		}
	}
	return count
}

// Choose returns routers to which a router may pass requests on: up to MaxRelays for each pool that it
// has lost, or for any pool if it has lost none. It adds those among the known ones that have lost a pool,
// which would decline its requests. Alive reports whether a router, by its name, still
// follows the leader.
func (g *Registry) Choose(now time.Duration, r *coordapi.Relays, alive func(name string) bool) []coordapi.Relay {
	g.expire(now)
	pools := r.Lost
	if len(pools) == 0 {
		pools = []string{""}
	}
	counts := make([]poolCount, len(pools))
	var chosen []coordapi.Relay
	order := rand.Perm(len(g.addresses))
	// Only what other zones leave open is filled by more routers of the own zone.
	for _, limitNear := range []bool{true, false} {
		for _, i := range order {
			address := g.addresses[i]
			other := g.routers[address]
			isChosen := slices.ContainsFunc(chosen, func(c coordapi.Relay) bool { return c.Address == address })
			if address == r.Address || isChosen || !alive(other.name) {
				continue
			}
			relay := coordapi.Relay{Address: address, Zone: other.zone, Lost: other.lost}
			if takeFor(pools, counts, relay, other.zone == r.Zone, limitNear) {
				chosen = append(chosen, relay)
			}
		}
	}
	return append(chosen, g.lostOnes(r, alive)...)
}

// lostOnes returns the routers that a router knows and that have lost a pool.
func (g *Registry) lostOnes(r *coordapi.Relays, alive func(name string) bool) (lost []coordapi.Relay) {
	for _, address := range r.Known[:min(len(r.Known), maxKnown)] {
		if other := g.routers[address]; len(other.lost) > 0 && alive(other.name) {
			lost = append(lost, coordapi.Relay{Address: address, Zone: other.zone, Lost: other.lost})
		}
	}
	return lost
}

// poolCount counts the routers that were chosen for a pool, and those of the asking router's zone.
type poolCount struct{ all, near int }

// takeFor counts a router for the pools that it serves and that lack one. It reports whether there
// are any.
func takeFor(pools []string, counts []poolCount, relay coordapi.Relay, isNear, limitNear bool) (taken bool) {
	for i, pool := range pools {
		c := &counts[i]
		if c.all >= MaxRelays || !relay.Serves(pool) || (isNear && limitNear && c.near >= maxNear) {
			continue
		}
		taken = true
		c.all++
		if isNear {
			c.near++
		}
	}
	return taken
}

func (g *Registry) expire(now time.Duration) {
	g.addresses = slices.DeleteFunc(g.addresses, func(address string) bool {
		expired := now-g.routers[address].at > registrationTimeout
		if expired {
			delete(g.routers, address)
		}
		return expired
	})
}
