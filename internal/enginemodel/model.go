// Package enginemodel models the service times of an inference engine with continuous batching,
// chunked prefill and a prefix cache of limited size.
//
// The model has no clock or goroutines: time is an argument and outputs are return values. Both the
// stand-in engine and the simulator use it, so their results are comparable.
package enginemodel

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/prefix"
)

// ErrQueueFull is returned by Add when QueueLimit requests are waiting. The request was not run.
var ErrQueueFull = errors.New("engine queue is full")

// Config holds the parameters of one engine.
type Config struct {
	// PrefillBudget is the maximum number of prompt tokens computed in one step.
	PrefillBudget int
	// DecodeSlots is the maximum number of running sequences.
	DecodeSlots int
	// StepBase is the duration of an empty step.
	StepBase time.Duration
	// PrefillPerToken is the added time of one prompt token in a step.
	PrefillPerToken time.Duration
	// DecodePerSequence is the added time of one running sequence in a step.
	DecodePerSequence time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
}

// DefaultConfig returns the parameters of an engine on one small accelerator.
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

// PrefillTokensPerSecond returns the prefill rate at a full prefill budget with half of the decode
// slots in use.
func (c Config) PrefillTokensPerSecond() float64 {
	step := c.StepBase + time.Duration(c.PrefillBudget)*c.PrefillPerToken + time.Duration(c.DecodeSlots/2)*c.DecodePerSequence
	return float64(c.PrefillBudget) / step.Seconds()
}

// Request is a generation request.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID string
	// Chain holds the digests of the prompt's full blocks.
	Chain prefix.Chain
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the number of tokens to generate, at least 1.
	OutputTokens int
	// FirstIndex is the index of the first generated token.
	FirstIndex int
	// Priority orders waiting requests: larger values are admitted first.
	Priority int
}

// Token is one generated token.
type Token struct {
	ID    string
	Index int
	// Last marks the final token of the request.
	Last bool
}

// Admitted is a request that moved from the queue to a decode slot.
type Admitted struct {
	Request Request
	// CachedTokens is the length of the cached prefix of the prompt.
	CachedTokens int
}

// Output holds the results of a call of Step.
type Output struct {
	Admitted []Admitted
	Tokens   []Token
	Events   []CacheEvent
	// Next is the end of the running step. Zero means that the engine is idle.
	Next time.Duration
}

// Load is the current load of an engine.
type Load struct {
	// Running and Waiting count sequences.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens yet to be computed. Uncached blocks shared by
	// several requests count once.
	PrefillTokens int `json:"prefill_tokens"`
}

type sequence struct {
	request    Request
	order      uint64
	prefilled  int // tokens of the prompt in the cache or computed
	inserted   int // blocks of the chain inserted into the cache or found there
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

// Add queues a request, or returns ErrQueueFull. The caller must then call Step.
func (e *Engine) Add(request Request) error {
	if len(e.waiting) >= e.config.QueueLimit {
		return ErrQueueFull
	}
	e.order++
	s := &sequence{request: request, order: e.order}
	at := sort.Search(len(e.waiting), func(i int) bool { return servedAfter(e.waiting[i], s) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
	return nil
}

// servedAfter reports whether a is served after b.
func servedAfter(a, b *sequence) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.order > b.order
}

// Cancel removes a request and reports whether it was waiting or running.
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

// Load returns the current load.
func (e *Engine) Load() Load {
	load := Load{Running: len(e.running), Waiting: len(e.waiting)}
	counted := map[uint64]bool{}
	for _, s := range e.running {
		load.PrefillTokens += uncountedTokens(s.request, s.prefilled/prefix.BlockTokens, counted)
	}
	for _, s := range e.waiting {
		load.PrefillTokens += uncountedTokens(s.request, e.cache.match(s.request.Chain), counted)
	}
	return load
}

// uncountedTokens returns the number of the request's prompt tokens, without the first cachedBlocks
// blocks and the blocks in counted. It adds the blocks that it counts to counted.
func uncountedTokens(r Request, cachedBlocks int, counted map[uint64]bool) int {
	tokens := r.PromptTokens - len(r.Chain)*prefix.BlockTokens
	for i := cachedBlocks; i < len(r.Chain); i++ {
		if !counted[r.Chain[i]] {
			counted[r.Chain[i]] = true
			tokens += prefix.BlockTokens
		}
	}
	return max(tokens, 0)
}

// Match returns the number of leading blocks of the chain that are cached.
func (e *Engine) Match(chain prefix.Chain) int { return e.cache.match(chain) }

// Blocks returns the number of cached blocks.
func (e *Engine) Blocks() int { return len(e.cache.blocks) }

// Import inserts the chain's blocks into the cache without prefill and returns the cache events.
func (e *Engine) Import(chain prefix.Chain) []CacheEvent {
	for i := len(chain) - 1; i >= 0; i-- {
		e.cache.insert(chain[i], i+1)
	}
	return e.cache.drainEvents()
}

// Step finishes the running step if it ends by now, and starts the next one. Before the end of the
// running step it has no effect.
func (e *Engine) Step(now time.Duration) Output {
	var out Output
	if e.stepping && now < e.stepEnd {
		out.Next = e.stepEnd
		return out
	}
	if e.stepping {
		out.Tokens = e.finishStep()
		e.stepping = false
	}
	out.Admitted = e.admit()
	if len(e.running) > 0 {
		e.stepping = true
		e.stepEnd = now + e.planStep()
		out.Next = e.stepEnd
	}
	out.Events = e.cache.drainEvents()
	return out
}

// admit moves waiting requests to free decode slots.
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

// planStep assigns the next step's prefill budget and returns the step's duration.
func (e *Engine) planStep() time.Duration {
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

// finishStep applies the planned work and returns the generated tokens.
func (e *Engine) finishStep() []Token {
	var tokens []Token
	remaining := e.running[:0]
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
		remaining = append(remaining, s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	return tokens
}

// advance adds the step's prompt tokens and inserts completed blocks into the cache.
func (e *Engine) advance(s *sequence) {
	s.prefilled += s.stepTokens
	s.stepTokens = 0
	for s.inserted < len(s.request.Chain) && (s.inserted+1)*prefix.BlockTokens <= s.prefilled {
		e.cache.insert(s.request.Chain[s.inserted], s.inserted+1)
		s.inserted++
	}
}
