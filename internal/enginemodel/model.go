// Package enginemodel is the service-time model of an inference engine with
// continuous batching, chunked prefill and a prefix cache of limited memory.
//
// It is pure: time comes in as an argument and outputs come back as values.
// The stand-in engine process and the simulator both run it, so a figure of
// one can be compared with a figure of the other.
package enginemodel

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
)

// ErrQueueFull is returned when the engine takes no more waiting requests.
// The request was not run.
var ErrQueueFull = errors.New("engine queue is full")

// Config is the service-time model of one engine.
type Config struct {
	// PrefillBudget is the largest number of prompt tokens in one step.
	PrefillBudget int
	// DecodeSlots is the largest number of sequences that run together.
	DecodeSlots int
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// PrefillPerToken is the added time of one prompt token in a step.
	PrefillPerToken time.Duration
	// DecodePerSequence is the added time of one running sequence in a step.
	DecodePerSequence time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// QueueLimit is the largest number of waiting requests.
	QueueLimit int
}

// DefaultConfig models one small accelerator: a step takes 10 to 30 ms, a
// prompt token 0.08 ms of it.
func DefaultConfig() Config {
	return Config{
		PrefillBudget:     200,
		DecodeSlots:       32,
		StepBase:          8 * time.Millisecond,
		PrefillPerToken:   80 * time.Microsecond,
		DecodePerSequence: 100 * time.Microsecond,
		CacheBlocks:       1200,
		QueueLimit:        512,
	}
}

// PrefillTokensPerSecond is the prefill rate of an engine with a full batch.
func (c Config) PrefillTokensPerSecond() float64 {
	step := c.StepBase + time.Duration(c.PrefillBudget)*c.PrefillPerToken + time.Duration(c.DecodeSlots/2)*c.DecodePerSequence
	return float64(c.PrefillBudget) / step.Seconds()
}

// Request is one prompt to be answered.
type Request struct {
	// ID is unique among the requests that the engine holds.
	ID string
	// Chain is the digests of the prompt's whole blocks.
	Chain prefix.Chain
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is how many tokens will be generated, at least 1.
	OutputTokens int
	// FirstIndex is the index of the first generated token.
	FirstIndex int
	// Priority orders waiting requests: larger values go first.
	Priority int
}

// Token is one generated token.
type Token struct {
	ID    string
	Index int
	// Last marks the final token of the request.
	Last bool
}

// Admitted says that a request left the queue and how much was cached.
type Admitted struct {
	Request Request
	// CachedTokens is the part of the prompt found in the cache.
	CachedTokens int
}

// Output is what one step brought about.
type Output struct {
	Admitted []Admitted
	Tokens   []Token
	Events   []CacheEvent
	// Next is when the step now running ends. Zero means that the engine is
	// idle.
	Next time.Duration
}

// Load is the engine's own account of its work.
type Load struct {
	// Running and Waiting count sequences.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the prompt tokens still to be computed. Blocks that
	// several requests lack count once: the first one computes them.
	PrefillTokens int `json:"prefill_tokens"`
}

type sequence struct {
	request    Request
	order      uint64
	prefilled  int // tokens of the prompt in the cache or computed
	inserted   int // blocks of the chain made known to the cache
	generated  int
	stepTokens int // prompt tokens computed in the running step
	decoding   bool
}

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	config   Config
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	order    uint64
	stepping bool
	stepEnd  time.Duration
}

// New returns an idle engine with an empty cache.
func New(config Config) *Engine {
	return &Engine{config: config, cache: newCache(config.CacheBlocks)}
}

// Add queues a request. The caller calls Step afterwards.
func (e *Engine) Add(request Request) error {
	if len(e.waiting) >= e.config.QueueLimit {
		return ErrQueueFull
	}
	e.order++
	s := &sequence{request: request, order: e.order}
	at := sort.Search(len(e.waiting), func(i int) bool { return after(e.waiting[i], s) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
	return nil
}

// after tells whether a is served after b.
func after(a, b *sequence) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.order > b.order
}

// Cancel drops a request and tells whether it was held.
func (e *Engine) Cancel(id string) bool {
	for i, s := range e.waiting {
		if s.request.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	for i, s := range e.running {
		if s.request.ID == id {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return true
		}
	}
	return false
}

// Load returns the engine's present work.
func (e *Engine) Load() Load {
	load := Load{Running: len(e.running), Waiting: len(e.waiting)}
	counted := map[uint64]bool{}
	for _, s := range e.running {
		load.PrefillTokens += uncounted(s.request, s.prefilled/prefix.BlockTokens, counted)
	}
	for _, s := range e.waiting {
		load.PrefillTokens += uncounted(s.request, e.cache.match(s.request.Chain), counted)
	}
	return load
}

// uncounted returns the tokens after the first held blocks that no request
// before has counted, and counts them.
func uncounted(r Request, held int, counted map[uint64]bool) int {
	tokens := r.PromptTokens - len(r.Chain)*prefix.BlockTokens
	for i := held; i < len(r.Chain); i++ {
		if !counted[r.Chain[i]] {
			counted[r.Chain[i]] = true
			tokens += prefix.BlockTokens
		}
	}
	return max(tokens, 0)
}

// Match returns how many leading blocks of the chain are cached now.
func (e *Engine) Match(chain prefix.Chain) int { return e.cache.match(chain) }

// Blocks returns how many blocks are cached now.
func (e *Engine) Blocks() int { return len(e.cache.blocks) }

// Import places the chain's blocks in the cache, as a KV import does.
func (e *Engine) Import(chain prefix.Chain) []CacheEvent {
	for i := len(chain) - 1; i >= 0; i-- {
		e.cache.insert(chain[i], i+1)
	}
	return e.cache.drainEvents()
}

// Step ends the step that is due at now, if any, and starts the next one. It
// may be called at any time; before the running step's end it changes nothing.
func (e *Engine) Step(now time.Duration) Output {
	var out Output
	if e.stepping && now < e.stepEnd {
		out.Next = e.stepEnd
		return out
	}
	if e.stepping {
		out.Tokens = e.finish()
		e.stepping = false
	}
	out.Admitted = e.admit()
	if len(e.running) > 0 {
		e.stepping = true
		e.stepEnd = now + e.plan()
		out.Next = e.stepEnd
	}
	out.Events = e.cache.drainEvents()
	return out
}

// admit moves waiting requests to free slots.
func (e *Engine) admit() []Admitted {
	var admitted []Admitted
	for len(e.waiting) > 0 && len(e.running) < e.config.DecodeSlots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.inserted = e.cache.match(s.request.Chain)
		s.prefilled = min(s.inserted*prefix.BlockTokens, s.request.PromptTokens)
		e.cache.touch(s.request.Chain, s.inserted)
		e.running = append(e.running, s)
		admitted = append(admitted, Admitted{Request: s.request, CachedTokens: s.prefilled})
	}
	return admitted
}

// plan chooses the work of the next step and returns its duration.
func (e *Engine) plan() time.Duration {
	budget := e.config.PrefillBudget
	duration := e.config.StepBase
	for _, s := range e.running {
		s.stepTokens = min(budget, s.request.PromptTokens-s.prefilled)
		budget -= s.stepTokens
		s.decoding = s.prefilled+s.stepTokens == s.request.PromptTokens
		duration += time.Duration(s.stepTokens) * e.config.PrefillPerToken
		if s.decoding {
			duration += e.config.DecodePerSequence
		}
	}
	return duration
}

// finish applies the planned work and returns the tokens it generated.
func (e *Engine) finish() []Token {
	var tokens []Token
	kept := e.running[:0]
	for _, s := range e.running {
		e.advance(s)
		if s.decoding {
			index := s.request.FirstIndex + s.generated
			s.generated++
			last := s.generated >= s.request.OutputTokens
			tokens = append(tokens, Token{ID: s.request.ID, Index: index, Last: last})
			if last {
				e.cache.touch(s.request.Chain, len(s.request.Chain))
				continue
			}
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	return tokens
}

// advance adds the step's prompt tokens and makes whole blocks known.
func (e *Engine) advance(s *sequence) {
	s.prefilled += s.stepTokens
	s.stepTokens = 0
	for s.inserted < len(s.request.Chain) && (s.inserted+1)*prefix.BlockTokens <= s.prefilled {
		e.cache.insert(s.request.Chain[s.inserted], s.inserted+1)
		s.inserted++
	}
}
