package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// No window exceeds the common burst, whatever the demand and over changes of the leader.
func TestSharedRetriesBoundBurstInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		burst := rapid.Float64Range(3, 2000).Draw(t, "burst")
		demand := rapid.Float64Range(0.1, 5).Draw(t, "demand") * burst / window.Seconds()
		changes := rapid.SliceOfN(rapid.IntRange(0, 40_000), 0, 4).Draw(t, "changes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := NewSharedRetries()
		var uses []use
		for now := time.Duration(0); now < 40*time.Second; {
			now += time.Duration(random.ExpFloat64() / demand * float64(time.Second))
			for i, at := range changes {
				if at >= 0 && now >= time.Duration(at)*time.Millisecond {
					changes[i] = -1
					r = NewSharedRetries()
				}
			}
			if r.Take(now, "p", burst, window, 1) {
				uses = append(uses, use{now, 1})
			}
		}
		if most := maxInWindow(uses, window); float64(most) > burst {
			t.Fatalf("%.0f within a window, allowed %.1f", most, burst)
		}
	})
}

func TestSharedRetriesLendBurst(t *testing.T) {
	r := NewSharedRetries()
	lent := 0
	take := func(from, until time.Duration, share float64) (n int) {
		for now := from; now < until; now += 10 * time.Millisecond {
			if r.Take(now, "p", 54, 10*time.Second, share) {
				n++
			}
		}
		return n
	}
	r.Take(0, "p", 54, 10*time.Second, 1)
	lent = take(20*time.Second, 30*time.Second, 1)
	assert.Assert(t, lent >= 46 && lent <= 49, "%d of 54", lent)
	assert.Assert(t, !r.Take(30*time.Second, "p", 0, 10*time.Second, 1))
	assert.Assert(t, !r.Take(30*time.Second, "p", 54, 0, 1))
	take(40*time.Second, 60*time.Second, 0.5)
	lent = take(60*time.Second, 70*time.Second, 0.5)
	assert.Assert(t, lent >= 11 && lent <= 13, "half of the routers borrow: %d", lent)
}
