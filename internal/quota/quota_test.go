package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var tolerance = Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000, LeaderChanges: 2}

// use is an amount that was admitted.
type use struct {
	at     time.Duration
	amount Amount
}

// maxInWindow returns the largest amount admitted within any window.
func maxInWindow(uses []use, window time.Duration) Amount {
	var most, sum Amount
	first := 0
	for _, u := range uses {
		sum += u.amount
		for uses[first].at <= u.at-window {
			sum -= uses[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// No window exceeds the limit and its tolerance, whatever the demand and over two changes of the
// leader that lose all state.
func TestLimiterBoundsUsageInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: Amount(rapid.Float64Range(1000, 600_000).Draw(t, "rate")), Burst: Amount(rapid.Float64Range(0, 600_000).Draw(t, "burst"))}
		largest := rapid.Float64Range(2000, 60_000).Draw(t, "largest")
		demand := rapid.Float64Range(0.5, 20).Draw(t, "demand")
		changes := rapid.SliceOfN(rapid.IntRange(0, 20_000), 2, 2).Draw(t, "changes")
		levels := rapid.IntRange(1, 3).Draw(t, "levels")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limiter := NewLimiter(tolerance)
		limiter.SetLimits(0, map[string]Limit{"a": limit})
		var uses []use
		for now := time.Duration(0); now < 24*time.Second; {
			now += time.Duration(random.ExpFloat64() * largest / 2 / (demand * float64(limit.Rate)) * float64(time.Second))
			for i, at := range changes {
				if at >= 0 && now >= time.Duration(at)*time.Millisecond {
					changes[i] = -1
					limiter = NewLimiter(tolerance)
					limiter.SetLimits(now, map[string]Limit{"a": limit})
				}
			}
			amount := Amount(random.Float64() * largest)
			if _, admitted := limiter.TakeUrgent(now, "a", amount, random.IntN(levels)); admitted {
				uses = append(uses, use{now, amount})
			}
		}
		allowed := (limit.Rate*8+limit.Burst)*1.1 + tolerance.Slack
		if most := maxInWindow(uses, tolerance.Window); most > allowed {
			t.Fatalf("%.0f within a window, allowed %.0f", most, allowed)
		}
	})
}

// Guards against requests that wait and then run in a window that has its own share of the limit: with
// amounts counted at the arrival, two seconds of waiting exceed the tolerance.
func TestWaitingRequestsKeepToLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: Amount(rapid.Float64Range(50_000, 600_000).Draw(t, "rate")), Burst: Amount(rapid.Float64Range(0, 600_000).Draw(t, "burst"))}
		demand := rapid.Float64Range(0.5, 10).Draw(t, "demand")
		longest := rapid.Float64Range(0, 4).Draw(t, "longest wait")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limiter := NewLimiter(tolerance)
		limiter.SetLimits(-10*time.Second, map[string]Limit{"a": limit})
		var uses, waiting []use
		// Waits grow for three seconds and end together, as in a surge.
		released := 3 * time.Second
		settle := func(now time.Duration) {
			waiting = slices.DeleteFunc(waiting, func(u use) bool {
				if u.at > now {
					return false
				}
				runs := random.IntN(10) > 0
				limiter.Settle(now, Settlement{Tenant: "a", Amount: u.amount, Used: runs})
				if runs {
					uses = append(uses, use{now, u.amount})
				}
				return true
			})
		}
		for now := time.Duration(0); now < 20*time.Second; {
			now += time.Duration(random.ExpFloat64() * 5000 / (demand * float64(limit.Rate)) * float64(time.Second))
			settle(now)
			if now > released {
				released += 3 * time.Second
			}
			amount := Amount(random.Float64() * 10_000)
			if _, admitted := limiter.TakeUrgent(now, "a", amount, random.IntN(2)); !admitted {
				continue
			}
			if until := min(released, now+time.Duration(longest*float64(time.Second))); until > now {
				limiter.Hold(now, "a", amount)
				waiting = append(waiting, use{until, amount})
			} else {
				uses = append(uses, use{now, amount})
			}
		}
		allowed := (limit.Rate*8+limit.Burst)*1.1 + tolerance.Slack
		if most := maxInWindow(uses, tolerance.Window); most > allowed {
			t.Fatalf("%.0f within a window, allowed %.0f", most, allowed)
		}
	})
}

// simulate asks for amounts at a mean rate, and returns the admitted shares of small and large
// ones.
func simulate(limiter *Limiter, random *rand.Rand, from, until time.Duration, rate Amount) (small, large float64) {
	var asked, got [2]int
	for now := from; now < until; {
		now += time.Duration(random.ExpFloat64() * 5000 / float64(rate) * float64(time.Second))
		kind := random.IntN(2)
		amount := Amount(1000 + 8000*kind)
		asked[kind]++
		if _, admitted := limiter.Take(now, "a", amount); admitted {
			got[kind]++
		}
	}
	return float64(got[0]) / float64(asked[0]), float64(got[1]) / float64(asked[1])
}

// At 0.8 of its rate a tenant with a second's burst is never refused. Nearer to the rate, random
// arrivals alone exceed the burst.
func TestLimiterAdmitsAllBelowLimit(t *testing.T) {
	limiter := NewLimiter(tolerance)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 100_000, Burst: 100_000}})
	small, large := simulate(limiter, rand.New(rand.NewPCG(1, 1)), 2*time.Second, 2000*time.Second, 80_000)
	assert.Assert(t, small > 0.999 && large > 0.999, "%v %v", small, large)
}

// A tenant gets at least what a token bucket without tolerance admits.
func TestTenantGetsFullLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 100_000, Burst: Amount(rapid.Float64Range(10_000, 300_000).Draw(t, "burst"))}
		demand := rapid.Float64Range(0.5, 3).Draw(t, "demand")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limiter := NewLimiter(tolerance)
		limiter.SetLimits(-10*time.Second, map[string]Limit{"a": limit})
		level, at := limit.Burst, time.Duration(0)
		var exact, got Amount
		for now := time.Duration(0); now < 30*time.Second; {
			now += time.Duration(random.ExpFloat64() * 5000 / (demand * float64(limit.Rate)) * float64(time.Second))
			amount := Amount(1000 + random.IntN(8000))
			level, at = min(level+limit.Rate*Amount((now-at).Seconds()), limit.Burst), now
			if level >= amount {
				level -= amount
				exact += amount
			}
			if _, admitted := limiter.Take(now, "a", amount); admitted {
				got += amount
			}
		}
		if got < exact*0.999 {
			t.Fatalf("got %.0f of %.0f", got, exact)
		}
	})
}

func TestLimiterTreatsSizesAlikeAboveLimit(t *testing.T) {
	limiter := NewLimiter(tolerance)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 100_000, Burst: 100_000}})
	small, large := simulate(limiter, rand.New(rand.NewPCG(1, 2)), 0, 200*time.Second, 200_000)
	assert.Assert(t, small > 0.48 && small < 0.52, "%v", small)
	assert.Assert(t, large > 0.48 && large < 0.52, "%v", large)
}

func TestChangedLimitHoldsAtOnce(t *testing.T) {
	limiter := NewLimiter(tolerance)
	random := rand.New(rand.NewPCG(1, 3))
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 200_000, Burst: 200_000}, "b": {Rate: 1}})
	simulate(limiter, random, 0, 10*time.Second, 100_000)
	limiter.SetLimits(10*time.Second, map[string]Limit{"a": {Rate: 20_000, Burst: 20_000}})
	small, large := simulate(limiter, random, 12*time.Second, 100*time.Second, 100_000)
	assert.Assert(t, small < 0.23 && large < 0.23, "%v %v", small, large)
	limiter.SetLimits(100*time.Second, map[string]Limit{"a": {Rate: 200_000, Burst: 200_000}})
	small, large = simulate(limiter, random, 100*time.Second+300*time.Millisecond, 110*time.Second, 100_000)
	assert.Assert(t, small == 1 && large == 1, "%v %v", small, large)
	_, admitted := limiter.Take(110*time.Second, "b", 1e9)
	assert.Assert(t, admitted, "a tenant without a limit")
}

// A request larger than the whole bucket is still served.
func TestFullBucketAdmitsRequestLargerThanBurst(t *testing.T) {
	limiter := NewLimiter(Tolerance{Window: time.Second})
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 100, Burst: 100}})
	after, admitted := limiter.Take(0, "a", 1000)
	assert.Assert(t, !admitted && after > 0)
	_, admitted = limiter.Take(2*time.Second, "a", 1000)
	assert.Assert(t, admitted)
	_, admitted = limiter.Take(3*time.Second, "a", 1000)
	assert.Assert(t, !admitted)
}

// Refused callers are spaced at the rate, so that they are not refused together again.
func TestTakeSpacesRefusedCallers(t *testing.T) {
	limiter := NewLimiter(Tolerance{Window: time.Second})
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 1000, Burst: 500}})
	limiter.Charge(time.Second, "a", 500)
	for i := range 4 {
		after, admitted := limiter.Take(time.Second, "a", 100)
		assert.Assert(t, !admitted)
		assert.Equal(t, after, time.Duration(i+1)*100*time.Millisecond)
	}
}

func TestReleasedAmountCanBeUsed(t *testing.T) {
	limiter := NewLimiter(Tolerance{Window: time.Second})
	limiter.SetLimits(0, nil)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 1, Burst: 100}})
	_, admitted := limiter.Take(0, "a", 100)
	assert.Assert(t, admitted)
	_, admitted = limiter.Take(0, "a", 100)
	assert.Assert(t, !admitted)
	limiter.Charge(0, "a", -100)
	_, admitted = limiter.Take(0, "a", 100)
	assert.Assert(t, admitted)
}

// A gate admits by the announced shares, and less and less once announcements stop.
func TestGateAdmitsAnnouncedShare(t *testing.T) {
	gate := NewGate()
	admitted := func(now time.Duration) (n int) {
		for i := range 100 {
			if _, ok := gate.Admit(now, "a", 2, false, float64(i)/100); ok {
				n++
			}
		}
		return n
	}
	gate.SetShares(0, []Share{{Tenant: "a", Part: 0.4}})
	assert.Equal(t, admitted(shareTTL), 40)
	assert.Equal(t, admitted(shareTTL+shareHalfLife), 20)
	gate.Release("a", 20)
	assert.DeepEqual(t, gate.Spent(), []Spent{{Tenant: "a", Amount: 100}})
	assert.Equal(t, len(gate.Spent()), 0)
	gate.SetShares(3*time.Second, nil)
	assert.Equal(t, admitted(3*time.Second), 100)
}

func TestOnlyTenantsAboveLimitAreAnnounced(t *testing.T) {
	limiter := NewLimiter(Tolerance{Window: time.Second})
	limiter.SetLimits(0, nil)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 100, Burst: 300}, "b": {Rate: 100, Burst: 1000}})
	limiter.Charge(time.Second, "a", 1000)
	limiter.Take(time.Second, "a", 300)
	limiter.Take(time.Second, "b", 300)
	shares := limiter.Shares(time.Second)
	assert.Equal(t, len(shares), 1)
	assert.Equal(t, shares[0].Tenant, "a")
	assert.Assert(t, shares[0].Part > 0.7 && shares[0].Part < 0.8, "%v", shares[0].Part)
	assert.Equal(t, len(limiter.Shares(time.Minute)), 0)
}

func ExampleLimiter() {
	limiter := NewLimiter(Tolerance{Window: time.Second})
	limiter.SetLimits(0, map[string]Limit{"shop": {Rate: 1000, Burst: 500}})
	_, admitted := limiter.Take(time.Second, "shop", 500)
	fmt.Println(admitted)
	after, admitted := limiter.Take(time.Second, "shop", 500)
	fmt.Println(after, admitted)
	// Output:
	// true
	// 500ms false
}

// BenchmarkTake measures one decision among many tenants.
func BenchmarkTake(b *testing.B) {
	limiter := NewLimiter(tolerance)
	limits := map[string]Limit{}
	for i := range 1000 {
		limits[fmt.Sprint("t", i)] = Limit{Rate: 1e6, Burst: 1e6}
	}
	limiter.SetLimits(0, limits)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limiter.Take(time.Duration(i)*time.Millisecond, "t7", 9000)
	}
}

// greedy returns what a tenant gets within a window that takes all it can at each moment, from a
// full bucket and over changes of the leader.
func greedy(limit Limit, changes ...time.Duration) (sum, tolerancePart Amount) {
	limiter := NewLimiter(tolerance)
	limiter.SetLimits(-100*time.Second, map[string]Limit{"a": limit})
	tolerancePart = limiter.tolerancePart(limit)
	for now := time.Duration(0); now < tolerance.Window; now += 10 * time.Millisecond {
		if slices.Contains(changes, now) {
			limiter = NewLimiter(tolerance)
			limiter.SetLimits(now, map[string]Limit{"a": limit})
		}
		for {
			if _, admitted := limiter.Take(now, "a", tolerancePart); !admitted {
				break
			}
			sum += tolerancePart
		}
	}
	return sum, tolerancePart
}

// Two changes of the leader at any times within a window keep to the tolerance, along with the
// part for what routers admit by themselves.
func TestTwoLeaderChangesInWindowKeepTolerance(t *testing.T) {
	limit := Limit{Rate: 100_000, Burst: 100_000}
	allowed := (limit.Rate*8+limit.Burst)*Amount(1+tolerance.Overshoot) + tolerance.Slack
	var most, part Amount
	for first := 50 * time.Millisecond; first < 2*time.Second; first += 50 * time.Millisecond {
		for second := first + 50*time.Millisecond; second < 4*time.Second; second += 50 * time.Millisecond {
			sum, p := greedy(limit, first, second)
			most, part = max(most, sum), p
		}
	}
	t.Logf("%.0f within a window beside %.0f of the routers, allowed %.0f", most, part, allowed)
	assert.Assert(t, most+part <= allowed)
}

// A bucket's level must not be taken for one in the unit of a new limit: an overdraft of tokens would refuse
// requests for minutes, and the other way round a level would admit next to nothing.
func TestLevelKeepsItsPartWhenUnitChanges(t *testing.T) {
	tokens, requests := Limit{Rate: 10_000, Burst: 100_000, Unit: Tokens}, Limit{Rate: 10, Burst: 100}
	for _, c := range []struct {
		name          string
		before, after Limit
		part          Amount
	}{
		{"overdrawn tokens", tokens, requests, -0.1},
		{"half of the tokens", tokens, requests, 0.5},
		{"half of the requests", requests, tokens, 0.5},
	} {
		l := NewLimiter(Tolerance{Window: 8 * time.Second, Overshoot: 0.1})
		l.SetLimits(0, map[string]Limit{"a": c.before})
		a := l.accounts["a"]
		a.level, a.kept = c.part*l.capacity(c.before), 0
		l.SetLimits(0, map[string]Limit{"a": c.after})
		assert.Assert(t, math.Abs(float64(a.level-c.part*l.capacity(c.after))) < 1e-6, "%s: %v", c.name, a.level)
		level := a.level
		l.SetLimits(0, map[string]Limit{"a": {Rate: c.after.Rate, Burst: 2 * c.after.Burst, Unit: c.after.Unit}})
		assert.Equal(t, a.level, level, "the unit is the same")
	}
}
