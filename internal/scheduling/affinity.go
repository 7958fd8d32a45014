package scheduling

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/prefix"
)

// Config tunes the affinity policy. docs/design/placement.md has the
// measurements behind the values.
type Config struct {
	// HomeBlocks is the depth, in blocks, whose digest names a prompt's home.
	HomeBlocks int
	// PrefillTokensPerSecond is an engine's prefill rate.
	PrefillTokensPerSecond float64
	// BasePenalty and LoadPenalty weigh recomputation against waiting: the
	// penalty is BasePenalty in an idle pool and the sum of both when the
	// median wait has reached SaturatedWait.
	BasePenalty   float64
	LoadPenalty   float64
	SaturatedWait time.Duration
	// TargetUtilization is the share of one engine's prefill that a prefix may
	// ask for before it gets a further home.
	TargetUtilization float64
	// Routers is how many routers see about the same traffic.
	Routers int
	// SpillLimit is how many endpoints beyond the homes are considered without
	// evidence that they hold the prompt.
	SpillLimit int
}

// DefaultConfig returns the values that docs/BENCH.md was measured with.
func DefaultConfig() Config {
	return Config{
		HomeBlocks:             16,
		PrefillTokensPerSecond: 7000,
		BasePenalty:            1,
		LoadPenalty:            6,
		SaturatedWait:          500 * time.Millisecond,
		TargetUtilization:      1.5,
		Routers:                1,
		SpillLimit:             3,
	}
}

// minimumAffinityBlocks is the length below which a prompt has no home:
// placing it by load costs less than keeping it together.
const minimumAffinityBlocks = 4

// affinity places a request at its prefix's home, an endpoint that every router
// derives from the prompt alone, and spills when waiting there outweighs
// recomputing elsewhere: first to endpoints that were seen to hold the prompt,
// then along a fixed order.
type affinity struct {
	config  Config
	filters []Filter
	scorers []Scorer
	picker  Picker
	hints   *hints
	demand  *demand
	// directory may be nil.
	directory *Directory
	// fresh is the mean uncached tokens of answered requests.
	fresh float64
}

// NewAffinity returns the product's own policy.
func NewAffinity(config Config) Policy {
	return &affinity{
		config:  config,
		filters: DefaultFilters(),
		scorers: []Scorer{waitScorer{}, recomputeScorer{config}, suspectScorer{}},
		picker:  lowestCost{},
		hints:   newHints(),
		demand:  newDemand(),
		fresh:   prefix.BlockTokens,
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
		Endpoint:             *best.Endpoint,
		Rank:                 best.Rank,
		ExpectedCachedTokens: best.ExpectedCachedTokens,
		Considered:           len(candidates),
		Cost:                 best.Cost,
	}, nil
}

const (
	// freshGain is the weight of one answer in the mean of uncached tokens.
	freshGain = 0.02
	// mostFresh caps one answer's part, in tokens, so that a cold cache does
	// not pass for long questions.
	mostFresh = 512
)

// ObserveResponse implements Policy.
func (a *affinity) ObserveResponse(now time.Duration, r *Request, endpoint string, cachedTokens int) {
	a.hints.observe(now, EndpointKey(endpoint), r.Chain)
	uncached := min(float64(r.PromptTokens-cachedTokens), mostFresh)
	a.fresh += (uncached - a.fresh) * freshGain
}

// UseDirectory implements DirectoryUser.
func (a *affinity) UseDirectory(d *Directory) { a.directory = d }

// candidates returns the homes, the spill endpoints and every endpoint with
// evidence of holding some of the prompt, each with its expected cached tokens.
func (a *affinity) candidates(now time.Duration, r *Request, endpoints []*Endpoint) []Candidate {
	if len(r.Chain) < minimumAffinityBlocks {
		return withoutHome(endpoints)
	}
	home := r.Chain.Head(a.config.HomeBlocks)
	ordered := order(home, endpoints)
	depths := a.evidence(now, r, ordered)
	width := min(a.width(now, home), len(ordered))
	// Convention: the preferred home is taken to hold the whole prompt, so that
	// all routers, fresh ones too, keep together.
	depths[preferred(r, home, ordered[:width])] = len(r.Chain)
	known := max(r.PromptTokens-int(a.fresh), 0)
	out := make([]Candidate, 0, width+a.config.SpillLimit)
	for rank, e := range ordered {
		if rank >= width+a.config.SpillLimit && depths[rank] == 0 {
			continue
		}
		expected := min(depths[rank]*prefix.BlockTokens, known)
		out = append(out, Candidate{Endpoint: e, Rank: rank, ExpectedCachedTokens: expected})
	}
	return out
}

// evidence returns how many blocks of the prompt each endpoint was seen to
// hold.
func (a *affinity) evidence(now time.Duration, r *Request, ordered []*Endpoint) []int {
	depths := make([]int, len(ordered))
	for rank, e := range ordered {
		depths[rank] = a.hints.depth(now, e.Key, r.Chain)
		if a.directory != nil {
			depths[rank] = max(depths[rank], a.directory.depth(e.Key, r.Chain))
		}
	}
	return depths
}

// width is how many homes the prefix has now: as many as its uncached work
// needs. One prefix can be too much for an engine even when it is cached.
func (a *affinity) width(now time.Duration, home uint64) int {
	seconds := a.fresh / a.config.PrefillTokensPerSecond
	asked := a.demand.add(now, home, seconds) * float64(a.config.Routers)
	wanted := asked / a.config.TargetUtilization
	if wanted <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(math.Ceil(wanted))-1)
}

// preferred is the rank of the home that the request's tenant falls to. Another
// home moves only the tenants that fall to it.
func preferred(r *Request, home uint64, homes []*Endpoint) int {
	if len(homes) == 1 {
		return 0
	}
	key := xxhash.Sum64String(r.Tenant) ^ home
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
