package forward

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/quota"
)

// newBudgets returns the budgets of a number of routers, each with its own draw, and the
// retries that the shared budget allows in total after a number of requests to each router.
func newBudgets(routers, requests int, config BudgetConfig) (budgets []*budget, common float64) {
	for i := range routers {
		b := newBudget(config, nil)
		b.draw = func() float64 { return (float64(i) + 0.5) / float64(routers) }
		for range requests {
			b.CountRequest(time.Second, "api")
		}
		budgets = append(budgets, b)
	}
	return budgets, config.Ratio*float64(routers*requests) + config.Burst
}

// spend returns how many retries the routers get in total if each asks for wanted retries.
func spend(budgets []*budget, wanted int) int {
	count := 0
	for _, b := range budgets {
		for range wanted {
			if b.SpendLocal(2*time.Second, "api", len(budgets)) {
				count++
			}
		}
	}
	return count
}

// Guards against a shared budget of which no router has a whole retry, so that none is used.
func TestFractionalSharesAddUpToBudget(t *testing.T) {
	config := BudgetConfig{Ratio: 0.2, Burst: 1040, Window: 10 * time.Second}
	for _, routers := range []int{10, 100, 985, 2000, 5000} {
		budgets, common := newBudgets(routers, 2, config)
		got := spend(budgets, 200)
		assert.Assert(t, float64(got) >= 0.55*common, "%d of %.0f among %d routers", got, common, routers)
		assert.Assert(t, float64(got) <= common, "%d of %.0f among %d routers", got, common, routers)
	}
}

// A draw made anew per retry would let the total grow with the number of retries requested.
func TestDrawIsConstant(t *testing.T) {
	config := BudgetConfig{Ratio: 0.2, Burst: 1040, Window: 10 * time.Second}
	budgets, _ := newBudgets(3000, 0, config)
	first := spend(budgets, 1)
	assert.Equal(t, spend(budgets, 1), 0, "the window is spent")
	for _, b := range budgets {
		assert.Equal(t, b.SpendLocal(60*time.Second, "api", len(budgets)), b.windows["api"].draw >= 1-burstShare*config.Burst/3000)
	}
	assert.Assert(t, first > 600 && first < 650, "%d", first)
}

// sharedBudget grants retries as the leader does, unless it is down.
type sharedBudget struct {
	retries *quota.SharedRetries
	now     time.Duration
	down    bool
}

func (l *sharedBudget) Repeat(_ context.Context, pool string, burst float64, window time.Duration) (granted, answered bool) {
	if l.down {
		return false, false
	}
	return l.retries.Take(l.now, pool, burst, window, 1), true
}

// simulateCrash ends 400 requests of 40 out of 295 routers, which receive 900 requests a second
// in total, and returns how many of the 400 may be retried.
func simulateCrash(l *sharedBudget) int {
	const routers, met, lost = 295, 40, 400
	random := rand.New(rand.NewPCG(5, 1))
	config := BudgetConfig{Ratio: 0.2, Burst: 400, Window: 10 * time.Second}
	var budgets []*budget
	for range routers {
		b := newBudget(config, nil)
		if l != nil {
			b.sharedBudget = l
		}
		b.draw = random.Float64
		budgets = append(budgets, b)
	}
	for now := 10 * time.Second; now < 20*time.Second; now += time.Second / 900 {
		budgets[random.IntN(routers)].CountRequest(now, "api")
	}
	if l != nil {
		l.now = 9 * time.Second
		l.retries.Take(l.now, "api", config.Burst, config.Window, 1)
		l.now = 20 * time.Second
	}
	served := 0
	for i := range lost {
		if budgets[i%met].AllowRetry(context.Background(), 20*time.Second, "api", routers) {
			served++
		}
	}
	return served
}

// With an even split, the burst of routers that observe no crash would stay unused.
func TestSharedBurstServesRoutersThatObserveCrash(t *testing.T) {
	even := simulateCrash(nil)
	shared := simulateCrash(&sharedBudget{retries: quota.NewSharedRetries()})
	t.Logf("of 400: %d with an even part of the burst, %d with a shared one", even, shared)
	assert.Assert(t, shared >= even+100)
}

// Without a leader, a router must not use its even part of a burst that the leader may have
// granted to others.
func TestEvenPartIsUnusedWhileGrantsAreInWindow(t *testing.T) {
	l := &sharedBudget{retries: quota.NewSharedRetries()}
	config := BudgetConfig{Burst: 100, Window: 10 * time.Second}
	b := newBudget(config, l)
	b.draw = func() float64 { return 0 }
	l.down = true
	assert.Assert(t, b.AllowRetry(context.Background(), time.Second, "api", 10), "no retry was granted before")
	l.down = false
	b.AllowRetry(context.Background(), 2*time.Second, "api", 10)
	l.down = true
	assert.Assert(t, !b.AllowRetry(context.Background(), 11*time.Second, "api", 10))
	assert.Assert(t, b.AllowRetry(context.Background(), 12*time.Second, "api", 10))
}
