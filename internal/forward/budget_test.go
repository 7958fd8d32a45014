package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetOf returns the budgets of a number of routers, each with a draw of its own, and
// what they all have together for a number of requests each.
func fleetOf(routers, requests int, config BudgetConfig) (budgets []*budget, common float64) {
	for i := range routers {
		b := newBudget(config)
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
