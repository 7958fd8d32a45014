// Package scheduling decides which endpoint serves a request. A policy works on a snapshot of the
// endpoints: filters drop those that must not serve the request, scorers add up a cost in seconds
// for each of the others, and a picker chooses one.
//
// Decisions need not be correct for safety, since engines refuse requests whose incarnation,
// tenant or weights version does not match. The package does no I/O and reads no clock, so that
// simulations can run it as well as the router.
package scheduling

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
)

// ErrNoEndpoint is returned if no endpoint passes the filters.
var ErrNoEndpoint = errors.New("no endpoint can serve the request")

// State is the availability of an endpoint.
type State int

// The states of an endpoint.
const (
	// Live endpoints accept new requests.
	Live State = iota
	// Leaving endpoints are draining: they finish their requests and accept no new ones.
	Leaving
	// Suspect endpoints have failed recently or report no load. They are used only if no live
	// endpoint passes the filters.
	Suspect
)

// Endpoint is one engine in a snapshot.
type Endpoint struct {
	// ID is the engine's name, which it keeps across restarts.
	ID string
	// Key is EndpointKey(ID).
	Key  uint64
	Zone string
	// Model is the name of the loaded model.
	Model string
	// WeightsVersion is the version of the model's loaded weights.
	WeightsVersion int
	// Incarnation changes at every start of the engine.
	Incarnation string
	State       State
	// Wait is the expected time in queue, estimated from the reported load and this router's
	// requests in flight.
	Wait time.Duration
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	Model string
	// MinimumWeights is the lowest version of the model's weights that may serve the request.
	MinimumWeights int
	// Chain holds the digests of the prompt's blocks.
	Chain        prefix.Chain
	PromptTokens int
	// Tenant is the owner of the prompt's cache entries.
	Tenant string
	// Excluded lists the IDs of endpoints at which earlier attempts of this request failed.
	Excluded []string
}

// Snapshot is the state of all endpoints at one time. It is immutable once passed to a policy.
type Snapshot struct {
	Endpoints []Endpoint
	// MedianWait is the median wait of the live endpoints, set by Summarize. It is high in a pool
	// without spare capacity, but not in one with only a few overloaded endpoints.
	MedianWait time.Duration
}

// Summarize sets MedianWait from the endpoints. It leaves it as is if none is live.
func (s *Snapshot) Summarize() {
	waits := make([]time.Duration, 0, len(s.Endpoints))
	for i := range s.Endpoints {
		if s.Endpoints[i].State == Live {
			waits = append(waits, s.Endpoints[i].Wait)
		}
	}
	if len(waits) == 0 {
		return
	}
	slices.Sort(waits)
	s.MedianWait = waits[len(waits)/2]
}

// Filter drops endpoints that must not serve a request.
type Filter interface {
	// Name returns the filter's constant name for logs and traces.
	Name() string
	// Keep reports whether the endpoint may serve the request.
	Keep(request *Request, endpoint *Endpoint) bool
}

// Candidate is an endpoint that passed the filters.
type Candidate struct {
	Endpoint *Endpoint
	// Rank is the endpoint's index in the request's rendezvous order.
	Rank int
	// ExpectedCachedTokens is the number of prompt tokens that the endpoint probably caches.
	ExpectedCachedTokens int
	// Cost is the sum of all scores, in seconds.
	Cost float64
}

// Scorer computes a part of a candidate's cost.
type Scorer interface {
	// Name returns the scorer's constant name for logs and traces.
	Name() string
	// Score returns a non-negative cost in seconds.
	Score(request *Request, candidate *Candidate, snapshot *Snapshot) float64
}

// Picker chooses one of the scored candidates.
type Picker interface {
	// Name returns the picker's constant name for logs and traces.
	Name() string
	// Pick returns the index of the chosen candidate. The list must not be empty.
	Pick(request *Request, candidates []Candidate) int
}

// Policy chooses endpoints for requests. It need not be safe for concurrent use.
type Policy interface {
	// Name returns the policy's name on the command line and in reports.
	Name() string
	// Pick chooses an endpoint for the request. It returns ErrNoEndpoint if there is none.
	Pick(now time.Duration, request *Request, snapshot *Snapshot) (Decision, error)
	// ObserveResponse records that the endpoint with the given ID answered the request, and how
	// many prompt tokens it had cached.
	ObserveResponse(now time.Duration, request *Request, endpoint string, cachedTokens int)
}

// Decision is a chosen endpoint with the values that the choice was based on.
type Decision struct {
	Endpoint             Endpoint
	Rank                 int
	ExpectedCachedTokens int
	// Considered is the number of candidates.
	Considered int
	// Cost is the cost of the chosen endpoint in seconds.
	Cost float64
}
