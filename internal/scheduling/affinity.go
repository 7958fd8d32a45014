package scheduling

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/prefix"
)

// Config holds the parameters of the affinity policy.
type Config struct {
	// HomeBlocks is the depth, in blocks, of the prefix that determines a prompt's homes, the
	// endpoints at which its requests are placed first.
	HomeBlocks int
	// PrefillTokensPerSecond is the prefill rate of one engine.
	PrefillTokensPerSecond float64
	// BasePenalty and LoadPenalty weight the time of recomputing a prompt against the time in
	// queue. The weight is BasePenalty in an idle pool and rises linearly to BasePenalty plus
	// LoadPenalty at a median wait of SaturatedWait.
	BasePenalty   float64
	LoadPenalty   float64
	SaturatedWait time.Duration
	// TargetUtilization is the prefill demand of a prefix, in engines, above which the prefix
	// gets another home.
	TargetUtilization float64
	// Routers is the number of routers that share the traffic about equally.
	Routers int
	// SpillLimit is the number of endpoints after the homes that are considered even if they
	// were not observed to cache any of the prompt.
	SpillLimit int
}

// DefaultConfig returns the default parameters, for a single router.
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

// minimumAffinityBlocks is the chain length below which a prompt has no home, because recomputing
// it costs less than the uneven load that affinity causes.
const minimumAffinityBlocks = 4

// affinity places a request at the home of its prefix, an endpoint that every router derives
// from the prompt alone. When the wait there costs more than recomputing the prompt, the request
// spills to endpoints that were observed to cache it or follow in rendezvous order.
type affinity struct {
	config  Config
	filters []Filter
	scorers []Scorer
	picker  Picker
	hints   *hints
	demand  *demand
	// directory is nil if no cache events are received.
	directory *Directory
	// meanUncached is the moving average of the uncached prompt tokens per request.
	meanUncached float64
}

// NewAffinity returns a policy that combines prefix affinity with load.
func NewAffinity(config Config) Policy {
	return &affinity{
		config:       config,
		filters:      DefaultFilters(),
		scorers:      []Scorer{waitScorer{}, recomputeScorer{config}, suspectScorer{}},
		picker:       lowestCost{},
		hints:        newHints(),
		demand:       newDemand(),
		meanUncached: prefix.BlockTokens,
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
	// uncachedGain is the smoothing factor of meanUncached.
	uncachedGain = 0.02
	// maxUncachedSample caps each sample of meanUncached, in tokens, so that cold caches do not
	// inflate it.
	maxUncachedSample = 512
)

// ObserveResponse implements Policy.
func (a *affinity) ObserveResponse(now time.Duration, r *Request, endpoint string, cachedTokens int) {
	a.hints.observe(now, EndpointKey(endpoint), r.Chain)
	uncached := min(float64(r.PromptTokens-cachedTokens), maxUncachedSample)
	a.meanUncached += (uncached - a.meanUncached) * uncachedGain
}

// UseDirectory implements DirectoryUser.
func (a *affinity) UseDirectory(d *Directory) { a.directory = d }

// candidates returns the homes, the next SpillLimit endpoints and every endpoint that was observed
// to cache a part of the prompt, each with its expected cached tokens.
func (a *affinity) candidates(now time.Duration, r *Request, endpoints []*Endpoint) []Candidate {
	if len(r.Chain) < minimumAffinityBlocks {
		return withoutHome(endpoints)
	}
	home := r.Chain.Head(a.config.HomeBlocks)
	ordered := order(home, endpoints)
	depths := a.observedDepths(now, r, ordered)
	homeCount := min(a.homeCount(now, home), len(ordered))
	// Assume that the preferred home caches the whole prompt, so that all routers agree on it,
	// including those that have just started.
	depths[preferredHome(r, home, ordered[:homeCount])] = len(r.Chain)
	maxCached := max(r.PromptTokens-int(a.meanUncached), 0)
	out := make([]Candidate, 0, homeCount+a.config.SpillLimit)
	for rank, e := range ordered {
		if rank >= homeCount+a.config.SpillLimit && depths[rank] == 0 {
			continue
		}
		expected := min(depths[rank]*prefix.BlockTokens, maxCached)
		out = append(out, Candidate{Endpoint: e, Rank: rank, ExpectedCachedTokens: expected})
	}
	return out
}

// observedDepths returns the number of leading blocks of the prompt that each endpoint was
// observed to cache.
func (a *affinity) observedDepths(now time.Duration, r *Request, ordered []*Endpoint) []int {
	depths := make([]int, len(ordered))
	for rank, e := range ordered {
		depths[rank] = a.hints.depth(now, e.Key, r.Chain)
		if a.directory != nil {
			depths[rank] = max(depths[rank], a.directory.depth(e.Key, r.Chain))
		}
	}
	return depths
}

// homeCount records a request of the prefix and returns the number of homes that the prefix needs
// for its uncached tokens, rounded up to a power of two. Even when cached, a popular prefix can
// exceed the capacity of one engine.
func (a *affinity) homeCount(now time.Duration, home uint64) int {
	seconds := a.meanUncached / a.config.PrefillTokensPerSecond
	load := a.demand.add(now, home, seconds) * float64(a.config.Routers)
	required := load / a.config.TargetUtilization
	if required <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(math.Ceil(required))-1)
}

// preferredHome returns the rank of the home with the highest rendezvous weight for the request's
// tenant. An added home takes over only the tenants for which its weight is the highest.
func preferredHome(r *Request, home uint64, homes []*Endpoint) int {
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

// withoutHome returns all endpoints as candidates, with no expected cached tokens.
func withoutHome(endpoints []*Endpoint) []Candidate {
	out := make([]Candidate, 0, len(endpoints))
	for i, e := range endpoints {
		out = append(out, Candidate{Endpoint: e, Rank: i})
	}
	return out
}

// lowestCost picks the candidate with the lowest cost, and the first of them on a tie.
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
