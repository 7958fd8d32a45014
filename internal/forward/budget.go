package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetSlots is the number of slots of a sliding window.
	budgetSlots = 20
	// ratioShare and burstShare are the parts of the shared budget that a router uses: load
	// differs between routers, and the number of routers may be out of date.
	ratioShare = 0.7
	burstShare = 0.6
)

// BudgetConfig bounds the retries of all routers together, per pool.
type BudgetConfig struct {
	// Ratio is the number of retries per request, and Burst the number of further retries per
	// Window.
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// budget is a router's part of the shared retry budget. It is safe for concurrent use.
type budget struct {
	config BudgetConfig
	// sharedBudget may be nil.
	sharedBudget SharedBudget
	// draw returns random numbers in [0, 1).
	draw    func() float64
	mu      sync.Mutex
	windows map[string]*window
	// lastReplyAt is when sharedBudget last replied; 0 for never.
	lastReplyAt time.Duration
}

// window counts requests and retries of a pool in a sliding window.
type window struct {
	// draw is in [0, 1) and constant. It rounds the router's share up or down, so that shares
	// below one retry add up to the budget over all routers. Of 985 routers with 0.9 of a retry
	// each, nine in ten may retry; rounded down, none could.
	draw     float64
	slot     int64
	requests [budgetSlots + 1]int
	retries  [budgetSlots + 1]int
}

func newBudget(config BudgetConfig, sharedBudget SharedBudget) *budget {
	return &budget{config: config, sharedBudget: sharedBudget, draw: rand.Float64, windows: map[string]*window{}}
}

// windowAt returns a pool's window, advanced to now.
func (b *budget) windowAt(now time.Duration, pool string) *window {
	w := b.windows[pool]
	if w == nil {
		w = &window{draw: b.draw()}
		b.windows[pool] = w
	}
	slot := int64(now / (b.config.Window / budgetSlots))
	for steps := 0; w.slot < slot && steps <= budgetSlots; steps++ {
		w.slot++
		w.requests[w.slot%(budgetSlots+1)] = 0
		w.retries[w.slot%(budgetSlots+1)] = 0
	}
	w.slot = slot
	return w
}

// CountRequest counts a request for a pool.
func (b *budget) CountRequest(now time.Duration, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, pool)
	w.requests[w.slot%(budgetSlots+1)]++
}

// AllowRetry spends one retry: of the share that this router's requests allow, else of the
// burst. The leader grants retries of the burst, since the routers that observe a crash need
// most of it. Without a leader the router uses an even part of the burst, once all retries that
// the leader may have granted are out of the window.
func (b *budget) AllowRetry(ctx context.Context, now time.Duration, pool string, routers int) bool {
	if b.spend(now, pool, 0) {
		return true
	}
	if granted, shared := b.borrow(ctx, now, pool); shared {
		return granted
	}
	return b.SpendLocal(now, pool, routers)
}

// borrow asks for one retry of the shared burst. Shared is true if retries of the burst are or
// may be granted elsewhere: if there was a reply now or within the window.
func (b *budget) borrow(ctx context.Context, now time.Duration, pool string) (granted, shared bool) {
	if b.sharedBudget == nil {
		return false, false
	}
	granted, answered := b.sharedBudget.Repeat(ctx, pool, b.config.Burst, b.config.Window)
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.lastReplyAt = now
	}
	return granted, answered || (b.lastReplyAt > 0 && now < b.lastReplyAt+b.config.Window)
}

// SpendLocal spends one retry of this router's even part of the budget, if there is one.
func (b *budget) SpendLocal(now time.Duration, pool string, routers int) bool {
	return b.spend(now, pool, burstShare*b.config.Burst/float64(max(routers, 1)))
}

// spend spends one retry, if the router's requests and the given part of the burst allow it.
func (b *budget) spend(now time.Duration, pool string, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, pool)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := ratioShare*b.config.Ratio*float64(requests) + burst
	if float64(retries+1) > allowed+w.draw {
		return false
	}
	w.retries[w.slot%(budgetSlots+1)]++
	return true
}
