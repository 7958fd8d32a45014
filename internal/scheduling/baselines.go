package scheduling

import "time"

// baseline applies the common filters and leaves the choice to a function. The
// bench compares the product's policy with baselines.
type baseline struct {
	name    string
	filters []Filter
	choose  func(r *Request, endpoints []*Endpoint) int
}

func (b *baseline) Name() string { return b.name }

func (b *baseline) Pick(_ time.Duration, r *Request, s *Snapshot) (Decision, error) {
	endpoints := apply(b.filters, r, s)
	if len(endpoints) == 0 {
		return Decision{}, ErrNoEndpoint
	}
	rank := b.choose(r, endpoints)
	return Decision{Endpoint: *endpoints[rank], Rank: rank, Considered: len(endpoints)}, nil
}

func (*baseline) ObserveResponse(time.Duration, *Request, string, int) {}

// NewRoundRobin returns a policy that takes the endpoints in turn. Start sets
// where a router begins, so that routers do not move in step.
func NewRoundRobin(start int) Policy {
	next := start
	return &baseline{name: "round-robin", filters: DefaultFilters(), choose: func(_ *Request, endpoints []*Endpoint) int {
		next++
		return next % len(endpoints)
	}}
}

// NewLeastLoad returns a policy that takes the shortest expected wait.
func NewLeastLoad(start int) Policy {
	return &baseline{name: "least-load", filters: DefaultFilters(), choose: func(_ *Request, endpoints []*Endpoint) int {
		best := start % len(endpoints)
		for i, e := range endpoints {
			if e.Wait < endpoints[best].Wait {
				best = i
			}
		}
		return best
	}}
}

// NewHash returns a policy that takes the first endpoint of the rendezvous
// order, whatever its load. Prompts without a whole block are spread by tenant.
func NewHash(homeBlocks int) Policy {
	return &baseline{name: "hash", filters: DefaultFilters(), choose: func(r *Request, endpoints []*Endpoint) int {
		key := r.Chain.Head(homeBlocks)
		if key == 0 {
			key = EndpointKey(r.Tenant)
		}
		order(key, endpoints)
		return 0
	}}
}
