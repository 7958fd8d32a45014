package scheduling

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/prefix"
)

// Config tunes the affinity policy. The bundle sets it for each model.
type Config struct {
	// HomeBlocks is the depth, in blocks, whose digest names a prompt's home.
	HomeBlocks int
	// PrefillTokensPerSecond is an engine's prefill rate.
	PrefillTokensPerSecond float64
	// TargetUtilization is the share of one engine that a prefix may ask for
	// before it gets a further home.
	TargetUtilization float64
	// BasePenalty and LoadPenalty weigh recomputation against waiting: the
	// penalty is BasePenalty at no load and the sum of both at full load.
	BasePenalty float64
	LoadPenalty float64
	// Routers is how many routers see about the same traffic.
	Routers int
	// SpillLimit is how many endpoints beyond the homes are considered.
	SpillLimit int
}

// DefaultConfig returns the values that docs/BENCH.md was measured with.
func DefaultConfig() Config {
	return Config{
		HomeBlocks:             16,
		PrefillTokensPerSecond: 7000,
		TargetUtilization:      0.4,
		BasePenalty:            1.5,
		LoadPenalty:            3,
		Routers:                1,
		SpillLimit:             6,
	}
}

// minimumAffinityBlocks is the length below which a prompt has no home:
// placing it by load costs less than keeping it together.
const minimumAffinityBlocks = 4

// affinity places a request at its prefix's home, a fixed set of endpoints that
// every router derives from the prompt alone, and spills along a fixed order
// when waiting there outweighs recomputing elsewhere.
type affinity struct {
	config  Config
	filters []Filter
	scorers []Scorer
	picker  Picker
	hints   *hints
	demand  *demand
}

// NewAffinity returns the product's own policy.
func NewAffinity(config Config) Policy {
	return &affinity{
		config:  config,
		filters: DefaultFilters(),
		scorers: []Scorer{
			waitScorer{},
			recomputeScorer{config.PrefillTokensPerSecond, config.BasePenalty, config.LoadPenalty},
			suspectScorer{},
		},
		picker: lowestCost{},
		hints:  newHints(),
		demand: newDemand(),
	}
}

func (a *affinity) Name() string { return "affinity" }

// Pick implements Policy.
func (a *affinity) Pick(now time.Duration, r *Request, s *Snapshot) (Decision, error) {
	endpoints := apply(a.filters, r, s)
	if len(endpoints) == 0 {
		return Decision{}, ErrNoEndpoint
	}
	candidates := a.candidates(now, r, endpoints)
	for i := range candidates {
		for _, scorer := range a.scorers {
			candidates[i].Cost += scorer.Score(r, &candidates[i], s)
		}
	}
	best := candidates[a.picker.Pick(r, candidates)]
	return Decision{
		Endpoint:       *best.Endpoint,
		Rank:           best.Rank,
		ExpectedCached: best.ExpectedCached,
		Considered:     len(candidates),
		Cost:           best.Cost,
	}, nil
}

// Answered implements Policy.
func (a *affinity) Answered(now time.Duration, r *Request, endpoint string, _ int) {
	a.hints.observe(now, EndpointKey(endpoint), r.Chain)
}

// candidates returns the homes, the spill endpoints and every endpoint with a
// fresh hint, each with its expected cached tokens.
func (a *affinity) candidates(now time.Duration, r *Request, endpoints []*Endpoint) []Candidate {
	if len(r.Chain) < minimumAffinityBlocks {
		return withoutHome(endpoints)
	}
	home := r.Chain.Head(a.config.HomeBlocks)
	ordered := order(home, endpoints)
	width := min(a.width(now, home, r), len(ordered))
	preferred := a.preferred(r, ordered[:width])
	out := make([]Candidate, 0, width+a.config.SpillLimit)
	for rank, e := range ordered {
		hinted := a.hints.depth(now, e.Key, r.Chain)
		if rank >= width+a.config.SpillLimit && hinted == 0 {
			continue
		}
		expected := hinted * prefix.BlockTokens
		if hinted == 0 {
			expected = assumed(r, rank, width, preferred)
		}
		out = append(out, Candidate{Endpoint: e, Rank: rank, ExpectedCached: min(expected, r.PromptTokens)})
	}
	return out
}

// assumed is what an endpoint without any hint is taken to hold. The preferred
// home is taken to hold everything: that is the convention which keeps all
// routers, fresh ones too, together.
func assumed(r *Request, rank, width, preferred int) int {
	switch {
	case rank == preferred:
		return len(r.Chain) * prefix.BlockTokens
	case rank < width && r.SharedBlocks > 0:
		return r.SharedBlocks * prefix.BlockTokens
	}
	return 0
}

// width is how many homes the prefix has now.
func (a *affinity) width(now time.Duration, home uint64, r *Request) int {
	fresh := max(r.PromptTokens-len(r.Chain)*prefix.BlockTokens, prefix.BlockTokens)
	seconds := float64(fresh) / a.config.PrefillTokensPerSecond
	asked := a.demand.add(now, home, seconds) * float64(a.config.Routers)
	return max(1, int(math.Ceil(asked/a.config.TargetUtilization)))
}

// preferred is the rank of the home that the request's tenant falls to.
func (a *affinity) preferred(r *Request, homes []*Endpoint) int {
	if r.SharedBlocks == 0 || len(homes) == 1 {
		return 0
	}
	key := xxhash.Sum64String(r.Tenant) ^ r.Chain.Head(a.config.HomeBlocks)
	best := 0
	for i, e := range homes {
		if weight(key, e.Key) > weight(key, homes[best].Key) {
			best = i
		}
	}
	return best
}

func withoutHome(endpoints []*Endpoint) []Candidate {
	out := make([]Candidate, 0, len(endpoints))
	for i, e := range endpoints {
		out = append(out, Candidate{Endpoint: e, Rank: i})
	}
	return out
}

// lowestCost picks the least cost, and the lower rank of equals.
type lowestCost struct{}

func (lowestCost) Name() string { return "lowest-cost" }

func (lowestCost) Pick(_ *Request, candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Cost < candidates[best].Cost {
			best = i
		}
	}
	return best
}
