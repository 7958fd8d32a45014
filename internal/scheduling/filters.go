package scheduling

import "slices"

// modelFilter keeps endpoints that serve the request's model with weights that
// are no older than the ones asked for.
type modelFilter struct{}

func (modelFilter) Name() string { return "model" }

func (modelFilter) Keep(r *Request, e *Endpoint) bool {
	return e.Model == r.Model && e.WeightsVersion >= r.MinimumWeights
}

// liveFilter keeps endpoints that take new work.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }

func (liveFilter) Keep(_ *Request, e *Endpoint) bool { return e.State != Leaving }

// excludedFilter drops endpoints that already failed the request.
type excludedFilter struct{}

func (excludedFilter) Name() string { return "excluded" }

func (excludedFilter) Keep(r *Request, e *Endpoint) bool {
	return !slices.Contains(r.Excluded, e.ID)
}

// DefaultFilters returns the filters that every policy applies.
func DefaultFilters() []Filter {
	return []Filter{modelFilter{}, liveFilter{}, excludedFilter{}}
}

// apply returns the endpoints that pass all filters. Suspect endpoints are
// returned only when no live one passes: a fault that all endpoints share must
// not empty the pool.
func apply(filters []Filter, request *Request, snapshot *Snapshot) []*Endpoint {
	var live, suspect []*Endpoint
	for i := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[i]
		if !keep(filters, request, endpoint) {
			continue
		}
		if endpoint.State == Suspect {
			suspect = append(suspect, endpoint)
			continue
		}
		live = append(live, endpoint)
	}
	if len(live) == 0 {
		return suspect
	}
	return live
}

func keep(filters []Filter, request *Request, endpoint *Endpoint) bool {
	for _, f := range filters {
		if !f.Keep(request, endpoint) {
			return false
		}
	}
	return true
}
