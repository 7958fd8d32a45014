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

// newPolicy returns the policy of one router.
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
		return &allKnowing{simulation: s}, nil
	}
	return nil, errors.Newf("no such policy: %q; known: %v", s.options.Policy, Policies())
}

// allKnowing sees every engine's true cache and queue at the time of the
// decision and takes the least cost. It is greedy: it does not know the future.
type allKnowing struct{ simulation *simulation }

// allKnowingPenalty weighs recomputation against waiting. Of 1, 1.5, 3 and 6 it
// gave the bound with the best tails.
const allKnowingPenalty = 3

func (*allKnowing) Name() string { return Oracle }

// Pick implements scheduling.Policy.
func (a *allKnowing) Pick(_ time.Duration, r *scheduling.Request, _ *scheduling.Snapshot) (scheduling.Decision, error) {
	best, bestCost, bestCached := -1, 0.0, 0
	for i, e := range a.simulation.engines {
		if e.down {
			continue
		}
		cached := e.model.Match(r.Chain) * prefix.BlockTokens
		missing := float64(r.PromptTokens - cached)
		cost := e.trueWait(a.simulation.prefillRate).Seconds() + missing/a.simulation.prefillRate*allKnowingPenalty
		if best < 0 || cost < bestCost {
			best, bestCost, bestCached = i, cost, cached
		}
	}
	if best < 0 {
		return scheduling.Decision{}, scheduling.ErrNoEndpoint
	}
	e := a.simulation.engines[best]
	return scheduling.Decision{Endpoint: scheduling.Endpoint{ID: e.id, Wait: e.trueWait(a.simulation.prefillRate)}, ExpectedCached: bestCached, Cost: bestCost}, nil
}

// Answered implements scheduling.Policy.
func (*allKnowing) Answered(time.Duration, *scheduling.Request, string, int) {}
