package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// urgencyDemand plays 60 seconds of small urgent requests and large other ones at the given rates,
// and returns the shares of their amounts that were admitted.
func urgencyDemand(limiter *Limiter, urgent, others Amount) (urgentShare, otherShare float64) {
	random := rand.New(rand.NewPCG(1, 1))
	sizes := [2]Amount{1000, 9000}
	rates := [2]Amount{urgent, others}
	var next [2]time.Duration
	var asked, got [2]Amount
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		for urgency := range 2 {
			for ; next[urgency] <= now; next[urgency] += time.Duration(random.ExpFloat64() * float64(sizes[urgency]/rates[urgency]) * float64(time.Second)) {
				asked[urgency] += sizes[urgency]
				if _, admitted := limiter.TakeUrgent(now, "a", sizes[urgency], urgency); admitted {
					got[urgency] += sizes[urgency]
				}
			}
		}
	}
	return float64(got[0] / asked[0]), float64(got[1] / asked[1])
}

func limitedTenant() *Limiter {
	limiter := NewLimiter(tolerance)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 100_000, Burst: 100_000}})
	return limiter
}

// Guards against refusing the small urgent requests of a tenant beyond its limit as often as the
// large others that make it exceed the limit.
func TestUrgentRequestsOfTenantBeyondLimitAreAdmittedFirst(t *testing.T) {
	urgent, others := urgencyDemand(limitedTenant(), 30_000, 270_000)
	assert.Assert(t, urgent > 0.99, "%v", urgent)
	// The others get what is left of the limit.
	assert.Assert(t, others > 0.9*70_000/270_000, "%v", others)
}

// Guards against starving less urgent requests of a tenant whose urgent ones alone exceed the limit.
func TestLessUrgentRequestsKeepAFloor(t *testing.T) {
	urgent, others := urgencyDemand(limitedTenant(), 300_000, 100_000)
	assert.Assert(t, others > 0.9*urgencyFloor*100_000/100_000*(1-urgencyFloor), "%v", others)
	assert.Assert(t, urgent > 0.9*(1-urgencyFloor)*100_000/300_000, "%v", urgent)
}

// Guards against differences between requests of one urgency, whatever it is.
func TestOneUrgencyIsAdmittedAsWithoutUrgency(t *testing.T) {
	plain, last := limitedTenant(), limitedTenant()
	random := rand.New(rand.NewPCG(2, 1))
	for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
		amount := Amount(random.IntN(9000))
		wait, admitted := plain.Take(now, "a", amount)
		lastWait, lastAdmitted := last.TakeUrgent(now, "a", amount, 5)
		assert.Equal(t, admitted, lastAdmitted)
		assert.Equal(t, wait, lastWait)
	}
}

// Guards against refusing plain requests, which routers admit by themselves, because requests that
// take a hundred times as much exceed the limit.
func TestRoutersAdmitATenthOfALimit(t *testing.T) {
	limiter := limitedTenant()
	part := func(charge Amount) float64 {
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			limiter.TakeUrgent(now, "a", 9000, 1)
			limiter.Charge(now, "a", charge/100)
			if now%(80*time.Millisecond) == 0 {
				limiter.Shares(now)
			}
		}
		shares := limiter.Shares(10 * time.Second)
		assert.Equal(t, len(shares), 1)
		assert.Assert(t, shares[0].Part < 0.5, "other requests are admitted as before: %v", shares[0].Part)
		return shares[0].Plain
	}
	assert.Equal(t, part(5000), 1.0)
	limiter = limitedTenant()
	assert.Assert(t, part(50_000) < 1)
}
