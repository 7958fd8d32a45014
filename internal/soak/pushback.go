package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults of what back ends say in answers, and of their names. They have a random source
// of their own, so that a seed's other faults are the ones that it always had.
var answerFaults = []fault{
	{"back ends push back", (*Soak).pushBack},
	{"a back end says in answers that it drains", (*Soak).drainInAnswers},
	{"back ends start again under their names", (*Soak).startAgain},
}

const (
	answerFaultPause = 3 * time.Second
	// longestPushback is the longest that a back end asks for, and shortestPushback the
	// shortest: time enough for many requests after underWay.
	longestPushback  = 4 * time.Second
	shortestPushback = time.Second
	// underWay is how long after its answer a back end may still get what was sent
	// before, and spared how many requests of a router it bears from then on.
	underWay = 500 * time.Millisecond
	spared   = 2
)

// asked is what a back end has asked of those that send to it, by their names. It is safe for
// concurrent use.
type asked struct {
	mu    sync.Mutex
	waits map[string][]*waiting
	// drains is when it first said to each that it drains.
	drains map[string]time.Duration
}

// waiting is a time for which a back end wants nothing.
type waiting struct {
	from, to time.Duration
	arrived  int
}

func newAsked() *asked {
	return &asked{waits: map[string][]*waiting{}, drains: map[string]time.Duration{}}
}

// injectAnswers brings the faults of answers about until the context ends. Builds before
// this one read nothing of them, and keep out what starts again under its name.
func (s *Soak) injectAnswers(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 3))
	for wait(ctx, time.Duration(r.Int64N(int64(2*answerFaultPause)))) {
		s.begin(ctx, r, answerFaults[r.IntN(len(answerFaults))], 1)
	}
}

// pushBack makes one back end, some of a pool or all of it turn all requests away for a
// while and ask for a time without any.
func (s *Soak) pushBack(ctx context.Context, r *rand.Rand) {
	pool, share := poolEngines, r.IntN(4)
	if r.IntN(2) == 0 {
		pool = poolWorkers
	}
	length := shortestPushback + time.Duration(r.Int64N(int64(longestPushback-shortestPushback)))
	var chosen []*backend
	for i, b := range s.listBackends() {
		if b.pool == pool && (share == 0 || i%share == 0) {
			chosen = append(chosen, b)
			b.wants.Store(int64(length))
		}
	}
	wait(ctx, between(r))
	for _, b := range chosen {
		b.wants.Store(0)
	}
}

// drainInAnswers lets a back end leave that tells those who send to it before it tells the
// coordinators.
func (s *Soak) drainInAnswers(ctx context.Context, r *rand.Rand) {
	s.leave(ctx, pick(r, s.listBackends()), func(b *backend) {
		b.announces.Store(true)
		wait(ctx, between(r))
	})
}

// startAgain ends one back end or some and starts others under their names at once, before
// anyone sees that they are silent, or later.
func (s *Soak) startAgain(ctx context.Context, r *rand.Rand) {
	pause := time.Duration(r.IntN(2)) * between(r)
	for range 1 + r.IntN(3) {
		b := pick(r, s.listBackends())
		if !s.remove(b) {
			continue
		}
		b.crash()
		s.group.Go(func() {
			wait(ctx, pause)
			s.addNamed(b.pool, b.id)
		})
	}
}

// arrives checks what a back end asked of who sends to it, answers with what it asks now
// and returns false if that is all.
func (b *backend) arrives(w http.ResponseWriter, sender string) bool {
	now := b.soak.now()
	b.asked.mu.Lock()
	defer b.asked.mu.Unlock()
	b.checkAsked(now, sender)
	if b.announces.Load() {
		w.Header().Set(names.Draining, "1")
		if _, said := b.asked.drains[sender]; !said {
			b.asked.drains[sender] = now
		}
	}
	length := time.Duration(b.wants.Load())
	if length == 0 {
		return true
	}
	b.asked.waits[sender] = append(b.asked.waits[sender], &waiting{from: now + underWay, to: now + length})
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", length.Seconds()))
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// checkAsked notes a breach if something comes that the back end had asked not to get. It
// is excused if the sender was at fault since, or the back end's link.
func (b *backend) checkAsked(now time.Duration, sender string) {
	s := b.soak
	for _, w := range b.asked.waits[sender] {
		if now < w.from || now >= w.to {
			continue
		}
		w.arrived++
		if w.arrived > spared && !s.faulty(b, sender, w.from-underWay) {
			s.breach("%v: %s got %d requests by %s within the %v for which it wanted none", now, b.id, w.arrived, sender, w.to-w.from+underWay)
		}
	}
	if said, does := b.asked.drains[sender]; does && now > said+drainBinds+slack && !s.faulty(b, sender, said) {
		s.breach("%v: %s got a request by %s %v after it had said to it that it drains", now, b.id, sender, now-said)
	}
}

// faulty tells whether a program or a back end's link was at fault at some time since a
// moment, contact before it included.
func (s *Soak) faulty(b *backend, sender string, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if (d.program == sender || d.backend == b) && (d.to < 0 || d.to+contact >= since) {
			return true
		}
	}
	return false
}

// cutOff lets something happen to a back end's link, and notes when.
func (s *Soak) cutOff(b *backend, happen func()) {
	d := &disturbance{backend: b, from: s.now(), to: -1}
	s.mu.Lock()
	s.disturbances = append(s.disturbances, d)
	s.mu.Unlock()
	happen()
	s.mu.Lock()
	defer s.mu.Unlock()
	d.to = s.now()
}
