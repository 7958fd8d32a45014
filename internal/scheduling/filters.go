package scheduling

import "slices"

// modelFilter keeps endpoints that serve the requested model with at least the requested version
// of its weights.
type modelFilter struct{}

func (modelFilter) Name() string { return "model" }

func (modelFilter) Keep(r *Request, e *Endpoint) bool {
	return e.Model == r.Model && e.WeightsVersion >= r.MinimumWeights
}

// liveFilter drops endpoints that accept no new requests.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }

func (liveFilter) Keep(_ *Request, e *Endpoint) bool { return e.State != Leaving }

// excludedFilter drops endpoints at which an earlier attempt of the request failed.
type excludedFilter struct{}

func (excludedFilter) Name() string { return "excluded" }

func (excludedFilter) Keep(r *Request, e *Endpoint) bool {
	return !slices.Contains(r.Excluded, e.ID)
}

// DefaultFilters returns the filters that every policy applies.
func DefaultFilters() []Filter {
	return []Filter{modelFilter{}, liveFilter{}, excludedFilter{}}
}

// apply returns the endpoints that pass all filters. Suspect endpoints are returned only if no
// live one passes, so that a failure common to all endpoints does not leave the pool empty.
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

// keep reports whether the endpoint passes all filters.
func keep(filters []Filter, request *Request, endpoint *Endpoint) bool {
	for _, f := range filters {
		if !f.Keep(request, endpoint) {
			return false
		}
	}
	return true
}
