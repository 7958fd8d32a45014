package forward

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/quota"
)

// fleetOf returns the budgets of a number of routers, each with a draw of its own, and
// what they all have together for a number of requests each.
func fleetOf(routers, requests int, config BudgetConfig) (budgets []*budget, common float64) {
	for i := range routers {
		b := newBudget(config, nil)
		b.draw = func() float64 { return (float64(i) + 0.5) / float64(routers) }
		for range requests {
			b.Request(time.Second, "api")
		}
		budgets = append(budgets, b)
	}
	return budgets, config.Ratio*float64(routers*requests) + config.Burst
}

// spent is how many repeats all routers get of a number that each wants.
func spent(budgets []*budget, wanted int) int {
	count := 0
	for _, b := range budgets {
		for range wanted {
			if b.Spend(2*time.Second, "api", len(budgets)) {
				count++
			}
		}
	}
	return count
}

// An even share of a common budget was below one repeat for each of 985 routers with two
// requests in the window: none of them repeated anything, beside 1,430 that they had
// together.
func TestSharesBelowOneRepeatAddUp(t *testing.T) {
	config := BudgetConfig{Ratio: 0.2, Burst: 1040, Window: 10 * time.Second}
	for _, routers := range []int{10, 100, 985, 2000, 5000} {
		budgets, common := fleetOf(routers, 2, config)
		got := spent(budgets, 200)
		assert.Assert(t, float64(got) >= 0.55*common, "%d of %.0f among %d routers", got, common, routers)
		assert.Assert(t, float64(got) <= common, "%d of %.0f among %d routers", got, common, routers)
	}
}

// The draw stays, so that what all routers get does not grow with the time that they want
// it for.
func TestADrawStays(t *testing.T) {
	config := BudgetConfig{Ratio: 0.2, Burst: 1040, Window: 10 * time.Second}
	budgets, _ := fleetOf(3000, 0, config)
	first := spent(budgets, 1)
	assert.Equal(t, spent(budgets, 1), 0, "the window is spent")
	for _, b := range budgets {
		assert.Equal(t, b.Spend(60*time.Second, "api", len(budgets)), b.windows["api"].draw >= 1-burstShare*config.Burst/3000)
	}
	assert.Assert(t, first > 600 && first < 650, "%d", first)
}

// lender lends as the leader does; nobody does while it is down.
type lender struct {
	repeats *quota.SharedRetries
	now     time.Duration
	down    bool
}

func (l *lender) Repeat(_ context.Context, pool string, burst float64, window time.Duration) (granted, answered bool) {
	if l.down {
		return false, false
	}
	return l.repeats.Take(l.now, pool, burst, window, 1), true
}

// crash plays a rack of back ends that ends under 400 requests of 40 of 295 routers, beside
// 900 requests a second of all, and returns how many of them may be repeated.
func crash(l *lender) int {
	const routers, met, lost = 295, 40, 400
	random := rand.New(rand.NewPCG(5, 1))
	config := BudgetConfig{Ratio: 0.2, Burst: 400, Window: 10 * time.Second}
	var budgets []*budget
	for range routers {
		b := newBudget(config, nil)
		if l != nil {
			b.lender = l
		}
		b.draw = random.Float64
		budgets = append(budgets, b)
	}
	for now := 10 * time.Second; now < 20*time.Second; now += time.Second / 900 {
		budgets[random.IntN(routers)].Request(now, "api")
	}
	if l != nil {
		l.now = 9 * time.Second
		l.repeats.Take(l.now, "api", config.Burst, config.Window, 1)
		l.now = 20 * time.Second
	}
	served := 0
	for i := range lost {
		if budgets[i%met].Repeat(context.Background(), 20*time.Second, "api", routers) {
			served++
		}
	}
	return served
}

// What routers far from a crash don't need is there for those that met it: of 400 requests
// that ended with their back ends 206 could go on elsewhere with an even split of the burst,
// and 359 with one that is lent.
func TestTheBurstIsThereForThoseWhoMeetACrash(t *testing.T) {
	even := crash(nil)
	lent := crash(&lender{repeats: quota.NewSharedRetries()})
	t.Logf("of 400: %d with an even part of the burst, %d with a lent one", even, lent)
	assert.Assert(t, lent >= even+100)
}

// Without a leader no router takes its even part of a burst that may have been lent already.
func TestTheEvenPartWaitsUntilWhatWasLentIsOver(t *testing.T) {
	l := &lender{repeats: quota.NewSharedRetries()}
	config := BudgetConfig{Burst: 100, Window: 10 * time.Second}
	b := newBudget(config, l)
	b.draw = func() float64 { return 0 }
	l.down = true
	assert.Assert(t, b.Repeat(context.Background(), time.Second, "api", 10), "nobody has lent any")
	l.down = false
	b.Repeat(context.Background(), 2*time.Second, "api", 10)
	l.down = true
	assert.Assert(t, !b.Repeat(context.Background(), 11*time.Second, "api", 10))
	assert.Assert(t, b.Repeat(context.Background(), 12*time.Second, "api", 10))
}
