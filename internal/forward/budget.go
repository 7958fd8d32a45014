package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetParts is into how many parts a window is divided.
	budgetParts = 20
	// ratioShare and burstShare are the parts of the common budget that a
	// router counts on: the requests of one router are uneven, and the count of
	// routers is a moment old.
	ratioShare = 0.7
	burstShare = 0.6
)

// BudgetConfig bounds the repeats of all routers together, for each pool.
type BudgetConfig struct {
	// Ratio is how many repeats there may be for each request, and Burst how
	// many beyond, in Window.
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// budget is a router's part of the common retry budget. It is safe for
// concurrent use.
type budget struct {
	config BudgetConfig
	// lender may be nil.
	lender SharedBudget
	// draw returns random numbers in [0, 1).
	draw    func() float64
	mu      sync.Mutex
	windows map[string]*window
	// lentAt is when the lender answered last; 0 for never.
	lentAt time.Duration
}

// window counts requests and repeats of a pool in the parts of a window.
type window struct {
	// draw is in [0, 1) and stays: what is left of the router's share after whole repeats is
	// one more for that part of all routers. Among 985 routers that have 0.9 of a
	// repeat each nine of ten may repeat, where none could, and all together repeat
	// as often as their shares add up to (TestSharesBelowOneRepeatAddUp).
	draw     float64
	part     int64
	requests [budgetParts + 1]int
	repeats  [budgetParts + 1]int
}

func newBudget(config BudgetConfig, lender SharedBudget) *budget {
	return &budget{config: config, lender: lender, draw: rand.Float64, windows: map[string]*window{}}
}

// at returns a pool's window, moved on to now.
func (b *budget) at(now time.Duration, pool string) *window {
	w := b.windows[pool]
	if w == nil {
		w = &window{draw: b.draw()}
		b.windows[pool] = w
	}
	part := int64(now / (b.config.Window / budgetParts))
	for steps := 0; w.part < part && steps <= budgetParts; steps++ {
		w.part++
		w.requests[w.part%(budgetParts+1)] = 0
		w.repeats[w.part%(budgetParts+1)] = 0
	}
	w.part = part
	return w
}

// Request counts a request for a pool.
func (b *budget) Request(now time.Duration, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, pool)
	w.requests[w.part%(budgetParts+1)]++
}

// Repeat takes one repeat: of what this router's own requests allow, else of the burst that
// all have together. That is lent by who knows of all routers, since those that meet a crash
// need most of it and the others none. While nobody lends, an even part is this router's, but
// not before what was lent is out of the window.
func (b *budget) Repeat(ctx context.Context, now time.Duration, pool string, routers int) bool {
	if b.spend(now, pool, 0) {
		return true
	}
	if granted, lent := b.borrow(ctx, now, pool); lent {
		return granted
	}
	return b.Spend(now, pool, routers)
}

// borrow asks for one of the common burst. Lent says that some of it is or may be lent out:
// there was an answer, or was one within the window.
func (b *budget) borrow(ctx context.Context, now time.Duration, pool string) (granted, lent bool) {
	if b.lender == nil {
		return false, false
	}
	granted, answered := b.lender.Repeat(ctx, pool, b.config.Burst, b.config.Window)
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.lentAt = now
	}
	return granted, answered || (b.lentAt > 0 && now < b.lentAt+b.config.Window)
}

// Spend takes one repeat of this router's even part, if there is one.
func (b *budget) Spend(now time.Duration, pool string, routers int) bool {
	return b.spend(now, pool, burstShare*b.config.Burst/float64(max(routers, 1)))
}

// spend takes one repeat, if the router's requests and its part of the burst allow it.
func (b *budget) spend(now time.Duration, pool string, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, pool)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := ratioShare*b.config.Ratio*float64(requests) + burst
	if float64(repeats+1) > allowed+w.draw {
		return false
	}
	w.repeats[w.part%(budgetParts+1)]++
	return true
}
