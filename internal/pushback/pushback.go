// Package pushback keeps what back ends ask of this process in their answers: to be left
// alone for a while, by a 503 with Retry-After, or for good, since they drain. It is asked
// where a back end is chosen, and again just before each send, on the one way that
// requests, repeats, resumed streams, orders and reports have in common: a choice may be
// older than the answer that speaks against it, and a leader that places for all routers
// does not know what one of them was asked.
//
// What is asked is asked of one machine, and holds for the start that asked, on the clock
// that counts suspension. It outlives everything that a process is told of back ends by
// others: rows, shards, leaders.
package pushback

import (
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// maxKept bounds how many starts are kept, some 100 B each: more than a process hears of
// within the longest wait.
const maxKept = 4096

// ErrUnavailable marks what is not sent because the back end wants nothing now.
var ErrUnavailable = errors.New("the back end wants nothing from here")

// Backend is who was asked: one start of a back end, and the pool it belongs to.
type Backend struct {
	ID   coordapi.BackendID
	Pool string
}

// Registry is what the back ends have asked. It is safe for concurrent use.
type Registry struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is clock.Now but in tests.
	clock func() time.Duration
	// Received counts the answers that asked for a wait, and Kept what the look before a send
	// kept from a back end.
	Received     atomic.Uint64
	SendsBlocked atomic.Uint64

	mu sync.Mutex
	// starts are those that have asked.
	starts map[coordapi.BackendID]*start
	// untold is what News returns next.
	untold []coordapi.Trouble
	// unreadable are the log lines on answers that can't be read.
	unreadable bounded.Lines
}

// start is what one start of a back end has asked.
type start struct {
	pool string
	// at is when it asked last, and until when it wants nothing.
	at    time.Duration
	until time.Duration
	// draining is never taken back.
	draining bool
	// kept counts what was kept from it in the present wait.
	kept int
}

// barred tells whether the start wants nothing now.
func (s *start) barred(now time.Duration) bool { return s.draining || now < s.until }

// New returns a register of nothing.
func New(headers vocabulary.Headers, logger *slog.Logger) *Registry {
	return &Registry{headers: headers, logger: logger, clock: clock.Now, starts: map[coordapi.BackendID]*start{}}
}

// ObserveResponse takes what the head of an answer to a request that was meant for a back end
// says. Instance is how the request named it.
func (g *Registry) ObserveResponse(from Backend, instance string, answer *http.Response) {
	if from.ID == "" {
		return
	}
	if draining(answer.Header.Get(g.headers.Draining)) && g.headers.IsFrom(instance, answer) {
		g.drains(from)
	}
	// A 503 alone asks for a wait: with a success there is nothing to stay away from, and a
	// 429 may be the limit of one caller, for which the others need not go elsewhere.
	if answer.StatusCode == http.StatusServiceUnavailable && len(answer.Header[headerRetryAfter]) > 0 {
		g.pushesBack(from, answer.Header)
	}
}

func draining(value string) bool { return value == "1" || value == "true" }

func (g *Registry) drains(from Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(g.clock(), from)
	if s.draining {
		return
	}
	s.draining = true
	g.untold = append(g.untold, coordapi.Trouble{ID: string(from.ID), Kind: coordapi.Draining})
	g.logger.Info("back end drains", "part", "pushback", "backend", from.ID, "pool", from.Pool)
}

func (g *Registry) pushesBack(from Backend, header http.Header) {
	wait, err := retryAfter(header)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if err != nil && g.unreadable.Allow(now, 1) {
		g.logger.Warn("pushback cannot be read", "part", "pushback", "backend", from.ID, "error", err.Error())
	}
	if wait <= 0 {
		return
	}
	g.Received.Add(1)
	s := g.of(now, from)
	if now >= s.until {
		g.logger.Info("back end pushes back", "part", "pushback", "backend", from.ID, "pool", from.Pool, "wait_ms", wait.Milliseconds())
		g.untold = append(g.untold, coordapi.Trouble{ID: string(from.ID), Kind: coordapi.Busy, For: wait})
	}
	// A shorter wait does not end a longer one in force.
	s.at, s.until = now, max(s.until, now+wait)
}

// of returns what is kept of a start.
func (g *Registry) of(now time.Duration, from Backend) *start {
	s := g.starts[from.ID]
	if s == nil {
		g.makeRoom(now)
		s = &start{pool: from.Pool, at: now}
		g.starts[from.ID] = s
	}
	return s
}

// makeRoom forgets waits that are over, and the oldest quarter of all if there are still
// too many.
func (g *Registry) makeRoom(now time.Duration) {
	if len(g.starts) < maxKept {
		return
	}
	g.sweep(now)
	if len(g.starts) < maxKept {
		return
	}
	bounded.DropOldest(g.starts, maxKept/4, func(s *start) time.Duration { return s.at })
}

// sweep forgets the waits that are over.
func (g *Registry) sweep(now time.Duration) {
	for id, s := range g.starts {
		if !s.barred(now) {
			g.logger.Info("back end may be sent to again", "part", "pushback", "backend", id, "pool", s.pool, "kept", s.kept)
			delete(g.starts, id)
		}
	}
}

// Check returns nil if something may be sent to a back end now, else an error marked
// ErrBarred. It is the last thing before a send.
func (g *Registry) Check(id coordapi.BackendID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	s := g.starts[id]
	if s == nil || !s.barred(now) {
		return nil
	}
	s.kept++
	g.SendsBlocked.Add(1)
	if s.draining {
		return fmt.Errorf("%w: it drains", ErrUnavailable)
	}
	return fmt.Errorf("%w for another %d ms", ErrUnavailable, (s.until - now).Milliseconds())
}

// Status is what holds of one start.
type Status struct {
	// Wait is how long it still wants nothing.
	Wait time.Duration
	// Draining says that it will never want anything again.
	Draining bool
}

// Unavailable tells whether nothing may be sent.
func (s Status) Unavailable() bool { return s.Draining || s.Wait > 0 }

// Status returns what holds of a start. A nil register knows of nothing.
func (g *Registry) Status(id coordapi.BackendID) Status {
	if g == nil {
		return Status{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.starts[id]
	if s == nil {
		return Status{}
	}
	return Status{Wait: max(s.until-g.clock(), 0), Draining: s.draining}
}

// maxNamed bounds how many starts Barring names, 20 B each in a question to the leader:
// with more of them a placement may meet one, and is then not taken.
const maxNamed = 256

// Unavailable returns starts of a pool that want nothing now, for who chooses for this
// process. A nil register knows of none.
func (g *Registry) Unavailable(pool string) []string {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.starts) == 0 {
		return nil
	}
	g.sweep(g.clock())
	var out []string
	for id, s := range g.starts {
		if s.pool == pool && len(out) < maxNamed {
			out = append(out, string(id))
		}
	}
	return out
}

// TakeUnreported returns what the leader has not been told. A nil register has none.
func (g *Registry) TakeUnreported() []coordapi.Trouble {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.untold
	g.untold = nil
	return out
}

// ReportAgain makes News return all that drain once more: a new leader may not know, and an
// old one may not have been reached.
func (g *Registry) ReportAgain() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.untold = nil
	for id, s := range g.starts {
		if s.draining {
			g.untold = append(g.untold, coordapi.Trouble{ID: string(id), Kind: coordapi.Draining})
		}
	}
}

// Counts is how many starts want nothing now, and how many of them drain.
func (g *Registry) Counts() (waiting, draining int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Who places at engines sweeps with each question; a router of plain back ends only
	// does so here.
	g.sweep(g.clock())
	for _, s := range g.starts {
		if s.draining {
			draining++
		} else {
			waiting++
		}
	}
	return waiting, draining
}
