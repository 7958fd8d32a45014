// Package fairshare divides the capacity of pools of plain back ends, whose requests the leader
// does not see. Routers report what was asked of each pool, by tenant and urgency. While that is
// more than the back ends can run, an Allocator at the leader computes the part of the requests of
// each class that may run, and a Gate at each router admits by it.
//
// More urgent classes come first, the tenant's priority before the route's, except that the less
// urgent ones together keep a floor. Within an urgency the capacity is max-min fair among tenants by
// work, which is the run time of requests.
//
// The package does no I/O; time and random draws are arguments.
package fairshare

import (
	"cmp"
	"slices"
)

// Urgency orders requests: the tenant's priority first, then the route's; 0 is the most urgent.
type Urgency struct {
	Tenant int `json:"t,omitempty"`
	Route  int `json:"r,omitempty"`
}

func (u Urgency) compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Tenant, other.Tenant), cmp.Compare(u.Route, other.Route))
}

// Class identifies the requests of a tenant to a pool that have the same urgency.
type Class struct {
	Pool string `json:"p"`
	// Tenant is empty for requests without an API key.
	Tenant  string  `json:"t,omitempty"`
	Urgency Urgency `json:"u,omitzero"`
}

func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Pool, other.Pool), c.Urgency.compare(other.Urgency), cmp.Compare(c.Tenant, other.Tenant))
}

// Demand is what one router was asked for since its last report.
type Demand struct {
	Class
	// Asked is the number of requests, including the refused ones.
	Asked int `json:"n,omitempty"`
	// Runs is the number of complete answers, and Work their time in ms from sending to the end of
	// the answer, with the wait at the back end.
	Runs int     `json:"d,omitempty"`
	Work float64 `json:"w,omitempty"`
}

// Share is the part of the requests of a class that routers admit.
type Share struct {
	Class
	Part float64 `json:"a"`
	// Over is set if the tenant asks for more than an equal share of the pool.
	Over bool `json:"o,omitempty"`
}

// floor is the part of the capacity that less urgent levels together keep while they ask for it. It
// equals that of the queue for engines, so that both kinds of pools serve the same order.
const floor = 0.1

// claim is the work that a class asks for, and what it gets.
type claim struct {
	class   Class
	asked   float64
	granted float64
}

// allocate sets what each claim gets of a capacity. It sorts the claims by urgency.
func allocate(capacity float64, claims []claim) {
	slices.SortFunc(claims, func(a, b claim) int { return a.class.compare(b.class) })
	rest := 0.0
	for _, c := range claims {
		rest += c.asked
	}
	for len(claims) > 0 {
		end, level := 0, 0.0
		for end < len(claims) && claims[end].class.Urgency == claims[0].class.Urgency {
			level += claims[end].asked
			end++
		}
		rest = max(rest-level, 0)
		available := max(capacity-min(floor*capacity, rest), 0)
		fill(available, claims[:end])
		capacity = max(capacity-min(level, available), 0)
		claims = claims[end:]
	}
}

// fill divides a capacity among the claims of one urgency, max-min fair.
func fill(capacity float64, claims []claim) {
	byWork := make([]*claim, len(claims))
	for i := range claims {
		byWork[i] = &claims[i]
	}
	slices.SortFunc(byWork, func(a, b *claim) int { return cmp.Compare(a.asked, b.asked) })
	for i, c := range byWork {
		c.granted = min(c.asked, capacity/float64(len(byWork)-i))
		capacity -= c.granted
	}
}
