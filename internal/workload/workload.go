// Package workload makes the traffic of a deployment: open-loop arrivals of
// requests with nested shared prefixes, a surge at a known start, and a hot set
// that may change during it. Equal seeds give equal traffic.
//
// The callers' stand-in turns a Request into text; the simulator turns it into
// a chain of block digests. Both share the same structure.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/prefix"
)

// Phase tells in which part of the run a request arrives.
type Phase string

// The phases of a run.
const (
	Steady Phase = "steady"
	Surge  Phase = "surge"
	After  Phase = "after"
)

// Plan is the shape of a run in time.
type Plan struct {
	// SurgeStart and SurgeEnd bound the event. Equal values mean none.
	SurgeStart time.Duration
	SurgeEnd   time.Duration
	// ShiftAt is when other documents become hot. Zero means never.
	ShiftAt time.Duration
	// End is when arrivals stop.
	End time.Duration
	// Demand multiplies all rates. Zero means 1.
	Demand float64
}

// Phase returns the phase of a time.
func (p Plan) Phase(at time.Duration) Phase {
	switch {
	case at < p.SurgeStart || p.SurgeStart == p.SurgeEnd:
		return Steady
	case at < p.SurgeEnd:
		return Surge
	}
	return After
}

// Request is one arrival.
type Request struct {
	Number int
	At     time.Duration
	Phase  Phase
	Tenant string
	Kind   deployment.Kind
	// Document is the number of the shared text.
	Document int
	// Application says that this is an application call.
	Application bool
}

// Generator makes the arrivals of a run, in order of time.
type Generator struct {
	deployment deployment.Deployment
	plan       Plan
	random     *rand.Rand
	at         time.Duration
	number     int
	// hot is the Zipf table of document popularity by kind.
	popularity map[string][]float64
}

// popularityExponent shapes how hot the hottest documents are.
const popularityExponent = 1.1

// New returns a generator.
func New(d deployment.Deployment, plan Plan, seed uint64) *Generator {
	if plan.Demand == 0 {
		plan.Demand = 1
	}
	g := &Generator{deployment: d, plan: plan, random: rand.New(rand.NewPCG(seed, 0x9e3779b9)), popularity: map[string][]float64{}}
	for _, kind := range d.Generation {
		g.popularity[kind.Name] = zipf(kind.Documents)
	}
	return g
}

func zipf(n int) []float64 {
	shares := make([]float64, n)
	total := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -popularityExponent)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// Next returns the next arrival, and false after the plan's end.
func (g *Generator) Next() (Request, bool) {
	generation := g.deployment.Rate * float64(g.deployment.Engines)
	application := g.deployment.ApplicationRate * float64(g.deployment.Workers)
	rate := (generation + application) * g.plan.Demand
	peak := rate * g.deployment.Surge
	// Thinning: candidates come at the peak rate, and outside the surge only
	// their share is kept.
	for {
		g.at += time.Duration(g.random.ExpFloat64() / peak * float64(time.Second))
		if g.at >= g.plan.End {
			return Request{}, false
		}
		if g.plan.Phase(g.at) == Surge || g.random.Float64() < 1/g.deployment.Surge {
			break
		}
	}
	g.number++
	r := Request{Number: g.number, At: g.at, Phase: g.plan.Phase(g.at)}
	r.Tenant = g.tenant()
	r.Application = g.random.Float64() < application/(generation+application)
	if r.Application {
		r.Kind = pick(g.random, g.deployment.Application)
		return r, true
	}
	r.Kind = pick(g.random, g.deployment.Generation)
	r.Document = g.document(r.Kind)
	return r, true
}

func (g *Generator) tenant() string {
	x := g.random.Float64()
	for _, t := range g.deployment.Tenants {
		if x -= t.Share; x < 0 {
			return t.Name
		}
	}
	return g.deployment.Tenants[0].Name
}

func pick(random *rand.Rand, kinds []deployment.Kind) deployment.Kind {
	x := random.Float64()
	for _, kind := range kinds {
		if x -= kind.Share; x < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

// document draws a document by popularity. After the shift the ranks are turned
// by half, so that cold documents are hot and hot ones cold.
func (g *Generator) document(kind deployment.Kind) int {
	x := g.random.Float64()
	rank := 0
	for i, share := range g.popularity[kind.Name] {
		rank = i
		if x -= share; x < 0 {
			break
		}
	}
	if g.plan.ShiftAt > 0 && g.at >= g.plan.ShiftAt {
		return (rank + kind.Documents/2) % kind.Documents
	}
	return rank
}

// segment is a run of blocks of one source text.
type segment struct {
	name   string
	tokens int
}

// DocumentName names a shared text.
func DocumentName(kind string, document int) string {
	return kind + "-document-" + strconv.Itoa(document)
}

func (r Request) segments() []segment {
	document := DocumentName(r.Kind.Name, r.Document)
	return []segment{
		{document, r.Kind.DocumentTokens},
		{document + "-context-" + r.Tenant, r.Kind.ContextTokens},
		{fmt.Sprintf("question-%d", r.Number), r.Kind.QuestionTokens},
	}
}

// Text returns the prompt.
func (r Request) Text() string {
	var text strings.Builder
	for _, s := range r.segments() {
		text.WriteString(Passage(s.name, s.tokens))
	}
	return text.String()
}

// Passage returns the text of a segment. Equal names give equal texts.
func Passage(name string, tokens int) string {
	var text strings.Builder
	size := tokens * prefix.BytesPerToken
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%016x ", xxhash.Sum64String(name+"/"+strconv.Itoa(i)))
	}
	return text.String()[:size]
}

// Chain returns the prompt's block digests and its length, without making the
// text. The document's blocks are shared between tenants when shared is set.
func (r Request) Chain(shared bool) (chain prefix.Chain, tokens int) {
	previous := xxhash.Sum64String("document")
	if !shared {
		previous = xxhash.Sum64String("tenant " + r.Tenant)
	}
	for _, s := range r.segments() {
		tokens += s.tokens
		name := xxhash.Sum64String(s.name)
		for block := range s.tokens / prefix.BlockTokens {
			previous = prefix.Extend(previous, name+uint64(block))
			chain = append(chain, previous)
		}
	}
	return chain, tokens
}
