// Package ratelimit keeps all processes of a deployment together to what a back end takes
// from them in sum. One in need names in its answers a rate of requests, and holds to it for
// as long as it names it.
//
// Whoever sends to such a back end needs a right for each request, whatever it is for: a
// request's first try, a repeat, a resumed stream, an order or a report. The leader of the
// coordinators keeps the Bank that grants them, along with a placement or when it is asked;
// a Register is the side of a process that sends. It asks for the right in the last look
// before a write, so that a choice that is older than an answer, or made where the limit is
// not known, sends nothing.
//
// Nobody grants while no leader is known: others are sent to then. To let each send a part of
// its own would leave most of a limit unused, or break it while the last leader's rights are
// still out, and without a leader no process has the right to serve for long.
package ratelimit

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// maxKept bounds how many starts are kept, some 150 B each.
	maxKept = 4096
	// maxLines bounds the log lines on one start's limit within a second: a back end may name
	// another rate in each answer.
	maxLines = 4
	// overKept is how long it is remembered that a start names no limit any more: an older
	// word may still be on its way.
	overKept = 10 * time.Second
	// maxUnused bounds the unused rights that wait to be told.
	maxUnused = 1024
)

// Registry is what this process knows of limits, and the look before each send. It is safe
// for concurrent use.
type Registry struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is clock.Now but in tests.
	clock func() time.Duration
	// LimitedResponses counts the answers that named a limit, Used the rights with which something was
	// sent, and Kept the sends that were kept back for want of one.
	LimitedResponses atomic.Uint64
	PermitsUsed      atomic.Uint64
	SendsBlocked     atomic.Uint64

	mu sync.Mutex
	// starts are those that have named a limit in an answer to this process.
	starts map[coordapi.BackendID]*start
	// announced are those of which the leader says that they have a limit.
	announced map[coordapi.BackendID]struct{}
	// untold are the starts whose word the leader has not been told.
	untold map[coordapi.BackendID]struct{}
	// unused are the numbers of rights that were not used.
	unused []uint64
	// unreadable are the log lines on answers that can't be read.
	unreadable bounded.LineLimiter
}

// start is what one start of a back end has said.
type start struct {
	pool  string
	word  word
	lines bounded.LineLimiter
}

// New returns a register of nothing.
func New(headers vocabulary.Headers, logger *slog.Logger) *Registry {
	return &Registry{headers: headers, logger: logger, clock: clock.Now, starts: map[coordapi.BackendID]*start{},
		announced: map[coordapi.BackendID]struct{}{}, untold: map[coordapi.BackendID]struct{}{}}
}

// ObserveResponse takes what the head of an answer says of the limit of the back end that its
// request was meant for. Sent is when that was written, by clock.Now, and instance how it
// named the back end.
func (g *Registry) ObserveResponse(from pushback.Backend, instance string, sent time.Duration, answer *http.Response) {
	if from.ID == "" || !g.headers.IsFrom(instance, answer) {
		return
	}
	rate, limited, err := rateOf(answer.Header, g.headers.Limit)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if err != nil {
		if g.unreadable.Allow(now, 1) {
			g.logger.Warn("limit cannot be read", "part", "ratelimit", "backend", from.ID, "error", err.Error())
		}
		return
	}
	s := g.starts[from.ID]
	if s == nil && !limited {
		return
	}
	if limited {
		g.LimitedResponses.Add(1)
	}
	w := word{sent: sent, heard: now, limited: limited, rate: rate}
	if s == nil {
		g.makeRoom(now)
		s = &start{pool: from.Pool}
		g.starts[from.ID] = s
	} else {
		w = w.after(s.word, 0)
	}
	g.hear(from, s, w, answer.StatusCode)
}

// hear keeps the word that holds now, and says what it changes.
func (g *Registry) hear(from pushback.Backend, s *start, w word, status int) {
	before := s.word
	s.word = w
	if w.same(before) {
		return
	}
	g.untold[from.ID] = struct{}{}
	if !s.lines.Allow(g.clock(), maxLines) {
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

// makeRoom forgets what is long over, and the starts heard of least lately if there are
// still too many.
func (g *Registry) makeRoom(now time.Duration) {
	if len(g.starts) < maxKept {
		return
	}
	maps.DeleteFunc(g.starts, func(_ coordapi.BackendID, s *start) bool { return !s.word.limited && now-s.word.heard > overKept })
	if len(g.starts) < maxKept {
		return
	}
	// What is untold of a start that is forgotten is passed over in News.
	bounded.DropOldest(g.starts, maxKept/4, func(s *start) time.Duration { return s.word.heard })
}

// Limited tells whether a start may be sent to with a right only.
func (g *Registry) Limited(id coordapi.BackendID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limited(id)
}

func (g *Registry) limited(id coordapi.BackendID) bool {
	if s := g.starts[id]; s != nil && s.word.limited {
		return true
	}
	_, is := g.announced[id]
	return is
}

// Check returns nil if something may be sent to a start with a right, else an error marked
// ErrNoRight.
func (g *Registry) Check(id coordapi.BackendID, r *Permit) error {
	return g.look(id, r, r.holds)
}

// Consume is Look just before the write: it uses the right up.
func (g *Registry) Consume(id coordapi.BackendID, r *Permit) error {
	err := g.look(id, r, r.spend)
	if err == nil && r != nil && !r.free() {
		g.PermitsUsed.Add(1)
	}
	return err
}

func (g *Registry) look(id coordapi.BackendID, r *Permit, holds func(time.Duration, coordapi.BackendID) bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A right is used up also where no limit is known here: who granted it counts it.
	if holds(g.clock(), id) {
		g.doubt(id, r)
		return nil
	}
	if !g.limited(id) {
		return nil
	}
	g.SendsBlocked.Add(1)
	return fmt.Errorf("%w, and no right is held", ErrNoPermit)
}

// doubt tells the leader once more of a limit that has been heard here and not there: it has
// said that the start may be sent to freely.
func (g *Registry) doubt(id coordapi.BackendID, r *Permit) {
	if s := g.starts[id]; r != nil && r.free() && s != nil && s.word.limited {
		g.untold[id] = struct{}{}
	}
}

// Release notes that nothing will be sent with a right any more. One that was used, or is
// nil, stays as it is.
func (g *Registry) Release(r *Permit) {
	if r == nil || r.free() || r.spent.Swap(true) {
		return
	}
	g.ReleaseNumbers(r.number)
}

// ReleaseNumbers notes rights that nothing will be sent with, by their numbers: a placement or claim
// may have been granted of which nothing was heard, or that a right was not used may not have
// been heard. A nil register has none.
func (g *Registry) ReleaseNumbers(numbers ...uint64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unused = append(g.unused, numbers...)
	if over := len(g.unused) - maxUnused; over > 0 {
		g.unused = slices.Delete(g.unused, 0, over)
	}
}

// Unused returns the numbers of the rights that were not used, since the last call. A nil
// register has none.
func (g *Registry) Unused() []uint64 {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.unused
	g.unused = nil
	return out
}

// Announced takes the starts of which the leader says that they have a limit, in place of
// those that it named before. A nil register takes none.
func (g *Registry) Announced(ids []coordapi.BackendID) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.announced)
	for _, id := range ids {
		g.announced[id] = struct{}{}
	}
}

// TakeUnreported returns the words that the leader has not been told. A nil register has none.
func (g *Registry) TakeUnreported() []coordapi.LimitReport {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.untold) == 0 {
		return nil
	}
	now := g.clock()
	out := make([]coordapi.LimitReport, 0, len(g.untold))
	for id := range g.untold {
		if s := g.starts[id]; s != nil {
			out = append(out, s.word.tell(now, id, s.pool))
		}
	}
	clear(g.untold)
	return out
}

// ReportAgain makes News return all limits that hold once more: a new leader may not know
// them. A nil register has none.
func (g *Registry) ReportAgain() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.starts {
		if s.word.limited {
			g.untold[id] = struct{}{}
		}
	}
}

// Requeue makes News return words once more that no leader has taken. A nil register has
// none.
func (g *Registry) Requeue(words []coordapi.LimitReport) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range words {
		if _, known := g.starts[words[i].ID]; known {
			g.untold[words[i].ID] = struct{}{}
		}
	}
}

// Active is how many starts may be sent to with a right only.
func (g *Registry) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := len(g.announced)
	for id, s := range g.starts {
		if _, is := g.announced[id]; !is && s.word.limited {
			count++
		}
	}
	return count
}
