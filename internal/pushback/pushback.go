// Package pushback keeps what back ends ask of this process in their answers: to be left
// alone for a while, by a 503 with Retry-After.
//
// It is of this process alone: a back end speaks to one machine. What is asked holds for
// the start that asked for it, on the clock that counts suspension.
package pushback

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
)

// maxKept bounds how many starts are kept, some 100 B each: more than a router hears of
// within the longest wait. The oldest go.
const maxKept = 4096

// unreadableEvery is the least time between two log lines on answers that can't be read.
const unreadableEvery = time.Second

// Backend is who was asked: one start of a back end, and the pool it belongs to.
type Backend struct {
	ID   coordapi.BackendID
	Pool string
}

// Register is what the back ends have asked. It is safe for concurrent use.
type Register struct {
	logger *slog.Logger
	// clock is clock.Now but in tests.
	clock func() time.Duration
	// Asked counts the answers that asked for a wait.
	Asked atomic.Uint64

	mu sync.Mutex
	// starts are those that have asked.
	starts map[coordapi.BackendID]*start
	// unreadableAt is when an answer that can't be read was logged last.
	unreadableAt time.Duration
}

// start is what one start of a back end has asked.
type start struct {
	pool string
	// at is when it asked last, and until when it wants nothing.
	at    time.Duration
	until time.Duration
}

// New returns a register of nothing.
func New(logger *slog.Logger) *Register {
	return &Register{logger: logger, clock: clock.Now, starts: map[coordapi.BackendID]*start{}}
}

// Answered takes what the head of an answer says of the back end that gave it. A 503 alone
// asks for something: with a success there is nothing to stay away from, and a 429 may be
// the limit of one caller, for which the others need not go elsewhere.
func (g *Register) Answered(from Backend, answer *http.Response) {
	if answer.StatusCode != http.StatusServiceUnavailable || len(answer.Header[headerRetryAfter]) == 0 {
		return
	}
	wait, err := retryAfter(answer.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if err != nil {
		g.noteUnreadable(now, from, err)
	}
	if wait <= 0 {
		return
	}
	g.Asked.Add(1)
	g.ask(now, from, wait)
}

func (g *Register) noteUnreadable(now time.Duration, from Backend, err error) {
	if g.unreadableAt > 0 && now < g.unreadableAt+unreadableEvery {
		return
	}
	g.unreadableAt = now
	g.logger.Warn("pushback cannot be read", "part", "pushback", "backend", from.ID, "error", err.Error())
}

// ask notes a wait. One that ends earlier than another in force changes nothing.
func (g *Register) ask(now time.Duration, from Backend, wait time.Duration) {
	s := g.starts[from.ID]
	if s == nil {
		g.makeRoom(now)
		s = &start{pool: from.Pool}
		g.starts[from.ID] = s
	}
	if now >= s.until {
		g.logger.Info("back end pushes back", "part", "pushback", "backend", from.ID, "pool", from.Pool, "wait_ms", wait.Milliseconds())
	}
	s.at, s.until = now, max(s.until, now+wait)
}

// makeRoom forgets waits that are over, and the oldest if all are in force.
func (g *Register) makeRoom(now time.Duration) {
	if len(g.starts) < maxKept {
		return
	}
	var oldest coordapi.BackendID
	for id, s := range g.starts {
		if now >= s.until {
			delete(g.starts, id)
		} else if oldest == "" || s.at < g.starts[oldest].at {
			oldest = id
		}
	}
	if len(g.starts) >= maxKept {
		delete(g.starts, oldest)
	}
}

// InForce is how many starts want nothing now.
func (g *Register) InForce() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, n := g.clock(), 0
	for _, s := range g.starts {
		if now < s.until {
			n++
		}
	}
	return n
}
