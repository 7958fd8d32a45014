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

// Register is what this process knows of limits, and the look before each send. It is safe
// for concurrent use.
type Register struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is clock.Now but in tests.
	clock func() time.Duration
	// Named counts the answers that named a limit, Used the rights with which something was
	// sent, and Kept the sends that were kept back for want of one.
	Named atomic.Uint64
	Used  atomic.Uint64
	Kept  atomic.Uint64

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
	unreadable bounded.Lines
}

// start is what one start of a back end has said.
type start struct {
	pool  string
	word  word
	lines bounded.Lines
}

// New returns a register of nothing.
func New(headers vocabulary.Headers, logger *slog.Logger) *Register {
	return &Register{headers: headers, logger: logger, clock: clock.Now, starts: map[coordapi.BackendID]*start{},
		announced: map[coordapi.BackendID]struct{}{}, untold: map[coordapi.BackendID]struct{}{}}
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
		g.Named.Add(1)
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
func (g *Register) hear(from pushback.Backend, s *start, w word, status int) {
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
func (g *Register) makeRoom(now time.Duration) {
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
func (g *Register) Limited(id coordapi.BackendID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limited(id)
}

func (g *Register) limited(id coordapi.BackendID) bool {
	if s := g.starts[id]; s != nil && s.word.limited {
		return true
	}
	_, is := g.announced[id]
	return is
}

// Look returns nil if something may be sent to a start with a right, else an error marked
// ErrNoRight.
func (g *Register) Look(id coordapi.BackendID, r *Right) error {
	return g.look(id, r, r.holds)
}

// Spend is Look just before the write: it uses the right up.
func (g *Register) Spend(id coordapi.BackendID, r *Right) error {
	err := g.look(id, r, r.spend)
	if err == nil && r != nil && !r.free() {
		g.Used.Add(1)
	}
	return err
}

func (g *Register) look(id coordapi.BackendID, r *Right, holds func(time.Duration, coordapi.BackendID) bool) error {
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
	g.Kept.Add(1)
	return fmt.Errorf("%w, and no right is held", ErrNoRight)
}

// doubt tells the leader once more of a limit that has been heard here and not there: it has
// said that the start may be sent to freely.
func (g *Register) doubt(id coordapi.BackendID, r *Right) {
	if s := g.starts[id]; r != nil && r.free() && s != nil && s.word.limited {
		g.untold[id] = struct{}{}
	}
}

// GiveBack notes that nothing will be sent with a right any more. One that was used, or is
// nil, stays as it is.
func (g *Register) GiveBack(r *Right) {
	if r == nil || r.free() || r.spent.Swap(true) {
		return
	}
	g.Lost(r.number)
}

// Lost notes rights that nothing will be sent with, by their numbers: a placement or claim
// may have been granted of which nothing was heard, or that a right was not used may not have
// been heard. A nil register has none.
func (g *Register) Lost(numbers ...uint64) {
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
func (g *Register) Unused() []uint64 {
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
func (g *Register) Announced(ids []coordapi.BackendID) {
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

// News returns the words that the leader has not been told. A nil register has none.
func (g *Register) News() []coordapi.LimitWord {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.untold) == 0 {
		return nil
	}
	now := g.clock()
	out := make([]coordapi.LimitWord, 0, len(g.untold))
	for id := range g.untold {
		if s := g.starts[id]; s != nil {
			out = append(out, s.word.tell(now, id, s.pool))
		}
	}
	clear(g.untold)
	return out
}

// TellAgain makes News return all limits that hold once more: a new leader may not know
// them. A nil register has none.
func (g *Register) TellAgain() {
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

// Untold makes News return words once more that no leader has taken. A nil register has
// none.
func (g *Register) Untold(words []coordapi.LimitWord) {
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

// InForce is how many starts may be sent to with a right only.
func (g *Register) InForce() int {
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
