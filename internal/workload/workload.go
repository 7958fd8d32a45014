// Package workload generates the traffic of a deployment: open-loop arrivals of requests with
// nested shared prefixes, a surge at a planned time, and an optional change of the hot documents.
// Equal seeds give equal traffic.
//
// The stand-in for callers uses a request's text; the simulator uses its chain of block digests.
// Both are made of the same segments.
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

// Phase is a part of a run.
type Phase string

// The phases of a run.
const (
	Steady Phase = "steady"
	Surge  Phase = "surge"
	After  Phase = "after"
)

// Plan is the schedule of a run. Times are relative to its start.
type Plan struct {
	// SurgeStart and SurgeEnd are the bounds of the surge. Equal values mean no surge.
	SurgeStart time.Duration
	SurgeEnd   time.Duration
	// ShiftAt is the time of the change of hot documents. Zero means never.
	ShiftAt time.Duration
	// End is the time at which arrivals stop.
	End time.Duration
	// Demand is a factor on all arrival rates. Zero means 1.
	Demand float64
}

// Phase returns the phase at a time.
func (p Plan) Phase(at time.Duration) Phase {
	switch {
	case at < p.SurgeStart || p.SurgeStart == p.SurgeEnd:
		return Steady
	case at < p.SurgeEnd:
		return Surge
	}
	return After
}

// Request is one arriving request.
type Request struct {
	Number int
	At     time.Duration
	Phase  Phase
	Tenant string
	Kind   deployment.Kind
	// Document is the index of the shared document.
	Document int
	// Application marks an application call, as opposed to a generation request.
	Application bool
}

// Generator generates the arrivals of a run in order of time.
type Generator struct {
	deployment deployment.Deployment
	plan       Plan
	rng        *rand.Rand
	at         time.Duration
	number     int
	// popularity holds each document's share of requests, by kind.
	popularity map[string][]float64
}

// popularityExponent is the exponent of the Zipf distribution of document popularity.
const popularityExponent = 1.1

// New returns a generator of a deployment's traffic.
func New(d deployment.Deployment, plan Plan, seed uint64) *Generator {
	if plan.Demand == 0 {
		plan.Demand = 1
	}
	g := &Generator{deployment: d, plan: plan, rng: rand.New(rand.NewPCG(seed, 0x9e3779b9)), popularity: map[string][]float64{}}
	for _, kind := range d.Generation {
		g.popularity[kind.Name] = zipfShares(kind.Documents)
	}
	return g
}

// zipfShares returns the probabilities of n ranks in a Zipf distribution.
func zipfShares(n int) []float64 {
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

// Next returns the next arrival, or false after the end of the plan.
func (g *Generator) Next() (Request, bool) {
	generation := g.deployment.Rate * float64(g.deployment.Engines)
	application := g.deployment.ApplicationRate * float64(g.deployment.Workers)
	rate := (generation + application) * g.plan.Demand
	peak := rate * g.deployment.Surge
	// Thinning: candidates arrive at the peak rate, and those outside the surge are accepted with
	// probability 1/Surge.
	for {
		g.at += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if g.at >= g.plan.End {
			return Request{}, false
		}
		if g.plan.Phase(g.at) == Surge || g.rng.Float64() < 1/g.deployment.Surge {
			break
		}
	}
	g.number++
	r := Request{Number: g.number, At: g.at, Phase: g.plan.Phase(g.at)}
	r.Tenant = g.tenant()
	r.Application = g.rng.Float64() < application/(generation+application)
	if r.Application {
		r.Kind = pick(g.rng, g.deployment.Application)
		return r, true
	}
	r.Kind = pick(g.rng, g.deployment.Generation)
	r.Document = g.document(r.Kind)
	return r, true
}

// tenant draws a tenant by its share.
func (g *Generator) tenant() string {
	x := g.rng.Float64()
	for _, t := range g.deployment.Tenants {
		if x -= t.Share; x < 0 {
			return t.Name
		}
	}
	return g.deployment.Tenants[0].Name
}

// pick draws a kind by its share.
func pick(rng *rand.Rand, kinds []deployment.Kind) deployment.Kind {
	x := rng.Float64()
	for _, kind := range kinds {
		if x -= kind.Share; x < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

// document draws a document by popularity. After ShiftAt the ranks are rotated by half the number of
// documents, so that other documents are hot.
func (g *Generator) document(kind deployment.Kind) int {
	x := g.rng.Float64()
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

// segment is a part of a prompt.
type segment struct {
	name   string
	tokens int
}

// DocumentName returns the name of a shared document, for Passage.
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

// Text returns the text of the prompt.
func (r Request) Text() string {
	var text strings.Builder
	for _, s := range r.segments() {
		text.WriteString(Passage(s.name, s.tokens))
	}
	return text.String()
}

// Passage returns the text of the named segment. Equal names give texts with the same prefix.
func Passage(name string, tokens int) string {
	var text strings.Builder
	size := tokens * prefix.BytesPerToken
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%016x ", xxhash.Sum64String(name+"/"+strconv.Itoa(i)))
	}
	return text.String()[:size]
}

// Chain returns the prompt's block digests and its length in tokens without generating the text. The
// blocks of the document are shared between tenants if shared is set.
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
