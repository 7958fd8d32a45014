package scheduling

import "time"

// baseline is a policy that applies the default filters and chooses with a function. Experiments
// compare the affinity policy with baselines.
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

// NewRoundRobin returns a policy that picks the endpoints in turn. Different values of start keep
// routers from picking the same endpoints at the same time.
func NewRoundRobin(start int) Policy {
	next := start
	return &baseline{name: "round-robin", filters: DefaultFilters(), choose: func(_ *Request, endpoints []*Endpoint) int {
		next++
		return next % len(endpoints)
	}}
}

// NewLeastLoad returns a policy that picks the endpoint with the shortest expected wait. On a tie
// it prefers the endpoint at index start, modulo the number of endpoints.
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

// NewHash returns a policy that picks the first endpoint in the rendezvous order of the prompt's
// first homeBlocks blocks, regardless of load. Prompts shorter than a block are hashed by tenant.
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
