package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Names of the policies.
const (
	RoundRobin = "round-robin"
	LeastLoad  = "least-load"
	Hash       = "hash"
	Affinity   = "affinity"
	Oracle     = "all-knowing"
)

// Policies lists all policies in the order of reports.
func Policies() []string { return []string{RoundRobin, LeastLoad, Hash, Affinity, Oracle} }

// newPolicy returns a new policy for the router with the given index.
func (s *simulation) newPolicy(router int) (scheduling.Policy, error) {
	switch s.options.Policy {
	case RoundRobin:
		return scheduling.NewRoundRobin(router * 7), nil
	case LeastLoad:
		return scheduling.NewLeastLoad(router), nil
	case Hash:
		return scheduling.NewHash(s.options.Affinity.HomeBlocks), nil
	case Affinity:
		config := s.options.Affinity
		config.Routers = len(s.routers)
		return scheduling.NewAffinity(config), nil
	case Oracle:
		return &oracle{simulation: s}, nil
	}
	return nil, errors.Newf("no such policy: %q; known: %v", s.options.Policy, Policies())
}

// oracle picks the engine with the least cost from the exact caches and queues at the time of the
// decision. It is greedy: it takes no account of later requests.
type oracle struct{ simulation *simulation }

// recomputationPenalty is the weight of prefill time relative to queueing time in the oracle's cost.
const recomputationPenalty = 3

func (*oracle) Name() string { return Oracle }

// Pick implements scheduling.Policy.
func (o *oracle) Pick(_ time.Duration, r *scheduling.Request, _ *scheduling.Snapshot) (scheduling.Decision, error) {
	best, bestCost, bestCached := -1, 0.0, 0
	for i, e := range o.simulation.engines {
		if e.down {
			continue
		}
		cached := e.model.Match(r.Chain) * prefix.BlockTokens
		uncachedTokens := float64(r.PromptTokens - cached)
		cost := e.trueWait(o.simulation.prefillRate).Seconds() + uncachedTokens/o.simulation.prefillRate*recomputationPenalty
		if best < 0 || cost < bestCost {
			best, bestCost, bestCached = i, cost, cached
		}
	}
	if best < 0 {
		return scheduling.Decision{}, scheduling.ErrNoEndpoint
	}
	e := o.simulation.engines[best]
	return scheduling.Decision{Endpoint: scheduling.Endpoint{ID: e.id, Wait: e.trueWait(o.simulation.prefillRate)}, ExpectedCachedTokens: bestCached, Cost: bestCost}, nil
}

// ObserveResponse implements scheduling.Policy.
func (*oracle) ObserveResponse(time.Duration, *scheduling.Request, string, int) {}
