package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// limitPause is the longest time between two faults of limits.
	limitPause = 4 * time.Second
	// limitWindow, limitOvershoot and limitSlack say what a back end that names a limit bears:
	// within the window so much more than it allows, from senders that have had its word for
	// underWay, all from limitBinds after it named it first.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitBinds     = 3 * time.Second
	// reporters is who asks for reports: they name nobody.
	reporters = "coordinators"
)

// limitRates are what some back ends of a pool take in a second, and poolRates what each
// does when all of a pool take only so much: enough for half of the callers.
var (
	limitRates = []string{"0", "0.2", "0.4", "1", "1.3", "5"}
	poolRates  = []string{"10", "20"}
)

// naming is the limit that a back end names, and what it was sent meanwhile. It is safe for
// concurrent use.
type naming struct {
	mu   sync.Mutex
	text string
	rate float64
	// from is when it was first named.
	from time.Duration
	// told is when each sender first had an answer that named it.
	told map[string]time.Duration
	// sent is what came from each sender within the last window.
	sent []sending
}

type sending struct {
	at     time.Duration
	sender string
}

// begin names a limit from the next answer on; an empty one ends it.
func (n *naming) begin(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.text, n.from, n.told, n.sent = text, 0, map[string]time.Duration{}, nil
	n.rate, _ = strconv.ParseFloat(text, 64)
}

// nameLimit notes what arrives, and names the limit in the answer.
func (b *backend) nameLimit(w http.ResponseWriter, sender string) {
	n := &b.limit
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.text == "" {
		return
	}
	now := b.soak.now()
	if n.from == 0 {
		n.from = now
	}
	n.sent = append(n.sent, sending{now, sender})
	for n.sent[0].at <= now-limitWindow {
		n.sent = n.sent[1:]
	}
	if now >= n.from+limitBinds {
		b.checkLimit(now, n)
	}
	if _, told := n.told[sender]; !told {
		n.told[sender] = now
	}
	w.Header().Set(names.Limit, n.text)
}

// checkLimit notes a breach if more has come than the back end bears, but for what came from
// senders that were at fault.
func (b *backend) checkLimit(now time.Duration, n *naming) {
	count := 0
	for _, s := range n.sent {
		told, is := n.told[s.sender]
		if is && s.at >= told+underWay && !b.soak.atFault(b, s.sender, now-limitWindow) {
			count++
		}
	}
	allowed := int(limitOvershoot*n.rate*limitWindow.Seconds()) + limitSlack
	if count > allowed {
		b.soak.breach("%v: %s takes %s a second and got %d in %v, allowed %d", now, b.id, n.text, count, limitWindow, allowed)
	}
}

// atFault tells whether a sender or a back end's link was at fault at some time since a
// moment, contact before it included.
func (s *Soak) atFault(b *backend, sender string, since time.Duration) bool {
	if sender != reporters {
		return s.faulty(b, sender, since)
	}
	for _, c := range s.coordinators {
		if s.faulty(b, c.name, since) {
			return true
		}
	}
	return false
}

// injectLimits lets back ends take only so much from all until the context ends. It has a
// random source of its own, so that a seed's other faults are the ones that it always had.
func (s *Soak) injectLimits(ctx context.Context) {
	if s.config.Older != "" {
		// Builds before this one read nothing of it.
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 8))
	for wait(ctx, time.Duration(r.Int64N(int64(limitPause)))) {
		s.begin(ctx, r, fault{"back ends take only so much", (*Soak).nameLimits}, 1)
		wait(ctx, limitBinds)
	}
}

// nameLimits makes one back end, some of a pool or all of it name a limit for a while, and in
// one of two runs another one after it.
func (s *Soak) nameLimits(ctx context.Context, r *rand.Rand) {
	pool := poolEngines
	if r.IntN(2) == 0 {
		pool = poolWorkers
	}
	rates, share := limitRates, 2+r.IntN(3)
	if r.IntN(4) == 0 {
		rates, share = poolRates, 1
	}
	var chosen []*backend
	for i, b := range s.listBackends() {
		if b.pool == pool && i%share == 0 {
			chosen = append(chosen, b)
		}
	}
	for range 1 + r.IntN(2) {
		rate := rates[r.IntN(len(rates))]
		for _, b := range chosen {
			b.limit.begin(rate)
		}
		wait(ctx, limitBinds+2*between(r))
	}
	for _, b := range chosen {
		b.limit.begin("")
	}
}
