// Package ratelimit keeps all processes of a deployment together to what a back end takes
// from them in sum: one in need names in its answers a rate of requests, and holds to it for
// as long as it names it.
package ratelimit

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// unreadableEvery is the least time between two log lines on answers that can't be read.
const unreadableEvery = time.Second

// Register is what answers to this process have said of limits. It is safe for concurrent
// use.
type Register struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is clock.Now but in tests.
	clock func() time.Duration
	// Named counts the answers that named a limit.
	Named atomic.Uint64

	mu sync.Mutex
	// starts are those that have named a limit.
	starts map[coordapi.BackendID]*start
	// unreadableAt is when an answer that can't be read was logged last.
	unreadableAt time.Duration
}

// start is what one start of a back end has said.
type start struct {
	pool string
	word word
}

// word is what one answer said: made by the back end at some time between when its request
// was written and when its head was read.
type word struct {
	sent, heard time.Duration
	// limited says that there is a limit, and rate which.
	limited bool
	rate    PerSecond
}

// New returns a register of nothing.
func New(headers vocabulary.Headers, logger *slog.Logger) *Register {
	return &Register{headers: headers, logger: logger, clock: clock.Now, starts: map[coordapi.BackendID]*start{}}
}

// Answered takes what the head of an answer says of the limit of the back end that its
// request was meant for. Sent is when that was written, by clock.Now, and instance how it
// named the back end.
func (g *Register) Answered(from pushback.Backend, instance string, sent time.Duration, answer *http.Response) {
	if from.ID == "" || !g.headers.IsFrom(instance, answer) {
		return
	}
	rate, limited, err := rateOf(answer.Header, g.headers.Limit)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if err != nil {
		g.noteUnreadable(now, from, err)
		return
	}
	s := g.starts[from.ID]
	if s == nil && !limited {
		return
	}
	if limited {
		g.Named.Add(1)
	}
	if s == nil {
		s = &start{pool: from.Pool}
		g.starts[from.ID] = s
	}
	g.hear(from, s, word{sent: sent, heard: now, limited: limited, rate: rate}, answer.StatusCode)
}

// hear takes a word and says what it changes.
func (g *Register) hear(from pushback.Backend, s *start, w word, status int) {
	before := s.word
	s.word = w
	if w.limited == before.limited && w.rate == before.rate {
		return
	}
	text := "back end names a limit"
	switch {
	case !w.limited:
		text = "back end names no limit any more"
	case before.limited:
		text = "back end names another limit"
	}
	g.logger.Info(text, "part", "ratelimit", "backend", from.ID, "pool", from.Pool, "rate", float64(w.rate), "before", float64(before.rate), "status", status)
}

func (g *Register) noteUnreadable(now time.Duration, from pushback.Backend, err error) {
	if g.unreadableAt > 0 && now < g.unreadableAt+unreadableEvery {
		return
	}
	g.unreadableAt = now
	g.logger.Warn("limit cannot be read", "part", "ratelimit", "backend", from.ID, "error", err.Error())
}

// InForce is how many starts have named a limit that holds.
func (g *Register) InForce() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, s := range g.starts {
		if s.word.limited {
			count++
		}
	}
	return count
}
