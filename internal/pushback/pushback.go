// Package pushback records the pushbacks that back ends send in their responses: to send
// nothing for a while, by a 503 with Retry-After, or nothing any more, because they are
// draining. They are checked when a back end is chosen and again just before each send, since a
// choice may be older than a pushback, and a leader that places requests for all routers has
// not received the pushbacks of each.
//
// A pushback holds for this process and for the instance that sent it, on a clock that includes
// suspension. It is independent of the rows that the coordinators send.
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
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// maxEntries bounds the recorded instances.
const maxEntries = 4096

// ErrUnavailable matches the error for a request that is not sent because of a pushback.
var ErrUnavailable = errors.New("the back end is unavailable")

// Backend is one instance of a back end and its pool.
type Backend struct {
	ID   coordapi.BackendID
	Pool string
	// Plain is set for a back end that is no engine.
	Plain bool
	// From is where a response came from.
	From Origin
}

// Registry records the pushbacks of back ends. It is safe for concurrent use.
type Registry struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is replaced in tests.
	clock func() time.Duration
	// Received counts responses with a pushback, SendsBlocked the sends that Check rejected, and
	// DrainingSendsBlocked those of them to draining instances.
	Received             atomic.Uint64
	SendsBlocked         atomic.Uint64
	DrainingSendsBlocked atomic.Uint64

	mu sync.Mutex
	// entries are by keyOf an instance.
	entries map[coordapi.BackendID]*entry
	// unreported is the next result of TakeUnreported.
	unreported []coordapi.Trouble
	// parseErrors limits the log lines about invalid headers.
	parseErrors bounded.LineLimiter
}

// entry is the state of one instance.
type entry struct {
	pool string
	// updatedAt is when the last pushback arrived, and until when the wait ends.
	updatedAt time.Duration
	until     time.Duration
	// draining is never cleared.
	draining bool
	// received are the last pushbacks by their connections, oldest first.
	received []received
	// sendsBlocked counts the sends rejected during the present wait.
	sendsBlocked int
}

// unavailable reports whether nothing may be sent to the instance.
func (s *entry) unavailable(now time.Duration) bool { return s.draining || now < s.until }

// New returns an empty registry.
func New(headers vocabulary.Headers, logger *slog.Logger) *Registry {
	return &Registry{headers: headers, logger: logger, clock: clock.Now, entries: map[coordapi.BackendID]*entry{}}
}

// ObserveResponse records the pushback in the header of a response, if it has one. Instance is
// the name of the back end's instance in the request.
func (g *Registry) ObserveResponse(from Backend, instance string, response *http.Response) {
	if from.ID == "" {
		return
	}
	if draining(response.Header.Get(g.headers.Draining)) && g.headers.IsFrom(instance, response) {
		g.markDraining(from)
	}
	// Retry-After counts only with a 503: a success needs no wait, and a 429 may be the limit
	// of one client.
	if response.StatusCode == http.StatusServiceUnavailable && len(response.Header[headerRetryAfter]) > 0 {
		g.recordWait(from, response.Header)
	}
}

func draining(value string) bool { return value == "1" || value == "true" }

func (g *Registry) markDraining(from Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.entryFor(g.clock(), from)
	s.receive(from.From, 0, true)
	if s.draining {
		return
	}
	s.draining = true
	g.unreported = append(g.unreported, coordapi.Trouble{ID: string(from.ID), Kind: coordapi.Draining})
	g.logger.Info("back end is draining", "part", "pushback", "backend", from.ID, "pool", from.Pool)
}

func (g *Registry) recordWait(from Backend, header http.Header) {
	wait, err := parseRetryAfter(header)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if err != nil && g.parseErrors.Allow(now, 1) {
		g.logger.Warn("invalid pushback header", "part", "pushback", "backend", from.ID, "error", err.Error())
	}
	if wait <= 0 {
		return
	}
	g.Received.Add(1)
	s := g.entryFor(now, from)
	if now >= s.until {
		g.logger.Info("pushback received", "part", "pushback", "backend", from.ID, "pool", from.Pool, "wait_ms", wait.Milliseconds())
		g.unreported = append(g.unreported, coordapi.Trouble{ID: string(from.ID), Kind: coordapi.Busy, For: wait})
	}
	s.receive(from.From, now+wait, false)
	// A shorter wait does not replace a longer one.
	s.updatedAt, s.until = now, max(s.until, now+wait)
}

// entryFor returns an instance's entry, creating it if needed.
func (g *Registry) entryFor(now time.Duration, from Backend) *entry {
	id := keyOf(from.ID)
	s := g.entries[id]
	if s == nil {
		g.evict(now)
		s = &entry{pool: from.Pool, updatedAt: now}
		g.entries[id] = s
	}
	return s
}

// keyOf returns the key of an instance, which is the same if it is registered again under another
// row ID after its row was removed.
func keyOf(id coordapi.BackendID) coordapi.BackendID {
	return coordapi.BackendID(state.FormerRowID(string(id)))
}

// evict removes expired entries, and the oldest quarter if there are still too many.
func (g *Registry) evict(now time.Duration) {
	if len(g.entries) < maxEntries {
		return
	}
	g.removeExpired(now)
	if len(g.entries) < maxEntries {
		return
	}
	bounded.DropOldest(g.entries, maxEntries/4, func(s *entry) time.Duration { return s.updatedAt })
}

// removeExpired removes the entries whose wait is over.
func (g *Registry) removeExpired(now time.Duration) {
	for id, s := range g.entries {
		if !s.unavailable(now) {
			g.logger.Info("pushback ended", "part", "pushback", "backend", id, "pool", s.pool, "kept", s.sendsBlocked)
			delete(g.entries, id)
		}
	}
}

// Check returns nil if a request may be sent to a back end now, else an error that matches
// ErrUnavailable. It is called just before a send.
func (g *Registry) Check(id coordapi.BackendID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	s := g.entries[keyOf(id)]
	if s == nil || !s.unavailable(now) {
		return nil
	}
	s.sendsBlocked++
	g.SendsBlocked.Add(1)
	if s.draining {
		g.DrainingSendsBlocked.Add(1)
		return fmt.Errorf("%w: draining", ErrUnavailable)
	}
	return fmt.Errorf("%w for another %d ms", ErrUnavailable, (s.until - now).Milliseconds())
}

// Status is the state of one instance.
type Status struct {
	// Wait is the remaining wait.
	Wait time.Duration
	// Draining is permanent.
	Draining bool
}

// Unavailable reports whether nothing may be sent.
func (s Status) Unavailable() bool { return s.Draining || s.Wait > 0 }

// Status returns the state of an instance. It is the zero Status for a nil registry.
func (g *Registry) Status(id coordapi.BackendID) Status {
	if g == nil {
		return Status{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.entries[keyOf(id)]
	if s == nil {
		return Status{}
	}
	return Status{Wait: max(s.until-g.clock(), 0), Draining: s.draining}
}

// maxListed bounds the result of Unavailable, which is sent to the leader. A placement at an
// instance that was left out is rejected.
const maxListed = 256

// Unavailable returns the unavailable instances of a pool, for the placement by the leader. It
// returns none for a nil registry.
func (g *Registry) Unavailable(pool string) []string {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.entries) == 0 {
		return nil
	}
	g.removeExpired(g.clock())
	var out []string
	for id, s := range g.entries {
		if s.pool == pool && len(out) < maxListed {
			out = append(out, string(id))
		}
	}
	return out
}

// TakeUnreported returns what has not been reported to the leader yet. It returns none for a
// nil registry.
func (g *Registry) TakeUnreported() []coordapi.Trouble {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.unreported
	g.unreported = nil
	return out
}

// ReportAgain makes TakeUnreported return all draining instances once more, for a new leader or
// after a lost report.
func (g *Registry) ReportAgain() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreported = nil
	for id, s := range g.entries {
		if s.draining {
			g.unreported = append(g.unreported, coordapi.Trouble{ID: string(id), Kind: coordapi.Draining})
		}
	}
}

// Active returns the number of instances with a wait and of draining ones.
func (g *Registry) Active() (waiting, draining int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Routers without engines never call Unavailable, which otherwise removes expired entries.
	g.removeExpired(g.clock())
	for _, s := range g.entries {
		if s.draining {
			draining++
		} else {
			waiting++
		}
	}
	return waiting, draining
}
