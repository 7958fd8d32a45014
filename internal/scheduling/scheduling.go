// Package scheduling decides which endpoint serves a request. A decision is
// made over a snapshot of the endpoints by named steps: filters drop endpoints
// that must not serve it, scorers give each of the rest a cost in seconds, and
// a picker chooses.
//
// Nothing here is trusted for safety: the engine refuses a request whose
// incarnation, tenant or weights version does not fit. The package is pure and
// is run by the router process and by the simulator alike.
package scheduling

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
)

// ErrNoEndpoint is returned when every endpoint was filtered out.
var ErrNoEndpoint = errors.New("no endpoint can serve the request")

// State is what is known of an endpoint's willingness to work.
type State int

// The states of an endpoint.
const (
	// Live endpoints take new work.
	Live State = iota
	// Leaving endpoints finish what they have.
	Leaving
	// Suspect endpoints failed attempts lately. They are used only when no
	// other is left.
	Suspect
)

// Endpoint is one engine in a snapshot.
type Endpoint struct {
	// ID is the engine's name, stable over restarts.
	ID string
	// Key is the rendezvous key, derived from ID.
	Key uint64
	// Zone is where the engine stands.
	Zone string
	// Model is the model that is loaded.
	Model string
	// WeightsVersion is the version of the loaded weights.
	WeightsVersion int
	// Incarnation changes at every start of the engine.
	Incarnation string
	State       State
	// Wait is the expected time in queue, from the reported load and the
	// router's own work in flight.
	Wait time.Duration
}

// Request is what a decision needs to know of a request.
type Request struct {
	Model          string
	MinimumWeights int
	// Chain and PromptTokens describe the prompt.
	Chain        prefix.Chain
	PromptTokens int
	// Tenant names the owner of the prompt's cache entries.
	Tenant string
	// Excluded lists endpoints that already failed this request.
	Excluded []string
}

// Snapshot is the endpoints at one time. It is never changed once in use.
type Snapshot struct {
	Endpoints []Endpoint
	// MedianWait is the middle of the live endpoints' waits, filled by
	// Summarize. It tells a pool without spare capacity from one that has a few
	// hot endpoints.
	MedianWait time.Duration
}

// Summarize fills the pool's figures.
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
	// Name is the fixed name of the filter in logs and traces.
	Name() string
	// Keep tells whether the endpoint may serve the request.
	Keep(request *Request, endpoint *Endpoint) bool
}

// Candidate is an endpoint under decision.
type Candidate struct {
	Endpoint *Endpoint
	// Rank is the endpoint's place in the request's rendezvous order, from 0.
	Rank int
	// ExpectedCachedTokens is how many prompt tokens the endpoint is expected to
	// hold in its cache.
	ExpectedCachedTokens int
	// Cost is the sum of all scorers, in seconds.
	Cost float64
}

// Scorer gives a candidate a cost.
type Scorer interface {
	// Name is the fixed name of the scorer in logs and traces.
	Name() string
	// Score returns a cost in seconds, 0 or more. Lower is better.
	Score(request *Request, candidate *Candidate, snapshot *Snapshot) float64
}

// Picker chooses among scored candidates.
type Picker interface {
	// Name is the fixed name of the picker in logs and traces.
	Name() string
	// Pick returns the index of the chosen candidate of a non-empty list.
	Pick(request *Request, candidates []Candidate) int
}

// Policy decides for requests.
type Policy interface {
	// Name is the policy's name on the command line and in reports.
	Name() string
	// Pick returns the chosen endpoint or ErrNoEndpoint.
	Pick(now time.Duration, request *Request, snapshot *Snapshot) (Decision, error)
	// ObserveResponse tells the policy what an engine's answer showed.
	ObserveResponse(now time.Duration, request *Request, endpoint string, cachedTokens int)
}

// Decision is a chosen endpoint and why.
type Decision struct {
	Endpoint Endpoint
	Rank     int
	// ExpectedCachedTokens is in tokens.
	ExpectedCachedTokens int
	// Considered counts the candidates that were scored.
	Considered int
	// Cost is the winner's cost in seconds.
	Cost float64
}
