package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// observeFor adds noisy samples of an engine with a speed for a time and returns its end. The
// expected waits are those of an engine with the pool's speed.
func observeFor(r *Relative, random *rand.Rand, now, length time.Duration, perSecond, speed float64) time.Duration {
	end := now + length
	for {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if now > end {
			return end
		}
		expected := time.Duration(60+random.IntN(150)) * time.Millisecond
		r.Observe(now, expected, time.Duration(float64(expected)/speed*(0.7+0.6*random.Float64())))
	}
}

func TestRelativeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := rapid.Float64Range(0.2, 3).Draw(t, "speed")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var r Relative
		now := observeFor(&r, random, 0, 4*time.Second, 20, speed)
		assert.Assert(t, r.RelativeError(now) < 0.15, "%v", r.RelativeError(now))
		off := r.Factor(now)/speed - 1
		assert.Assert(t, math.Abs(off) < 0.25, "estimated %v, not %v", r.Factor(now), speed)
	})
}

// An engine that slows down or recovers must be noticed within two seconds.
func TestRelativeFollowsChanges(t *testing.T) {
	for _, slow := range []float64{0.1, 0.3, 0.5} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			var r Relative
			now := observeFor(&r, random, 0, 5*time.Second, 20, 1)
			assert.Assert(t, math.Abs(r.Factor(now)-1) < 0.2, "%v", r.Factor(now))
			now = observeFor(&r, random, now, 2*time.Second, 20, slow)
			assert.Assert(t, r.Factor(now) < 2*slow, "%v instead of %v", r.Factor(now), slow)
			now = observeFor(&r, random, now, 2*time.Second, 20, 1)
			assert.Assert(t, r.Factor(now) > 0.7, "%v", r.Factor(now))
		}
	}
}

// Guards against an engine that counts as slow because of one stall.
func TestSingleStallHasLittleEffect(t *testing.T) {
	var r Relative
	now := observeFor(&r, rand.New(rand.NewPCG(1, 1)), 0, 2*time.Second, 20, 1)
	before := r.Factor(now)
	r.Observe(now, 100*time.Millisecond, 5*time.Second)
	assert.Assert(t, r.Factor(now) > 0.85*before, "%v after %v", r.Factor(now), before)
}

// Guards against an engine that is avoided for ever because nothing shows that it has recovered.
func TestRelativeIsForgottenWithoutSamples(t *testing.T) {
	var r Relative
	now := observeFor(&r, rand.New(rand.NewPCG(1, 1)), 0, 3*time.Second, 20, 0.2)
	assert.Assert(t, r.Factor(now+time.Second) < 0.3, "%v", r.Factor(now+time.Second))
	assert.Assert(t, r.Factor(now+30*time.Second) > 0.7, "%v", r.Factor(now+30*time.Second))
	assert.Equal(t, r.Age(now+time.Second) > 900*time.Millisecond, true)
}

// Few samples must not be taken for more than they show.
func TestRelativeIsShrunkWhileSamplesAreFew(t *testing.T) {
	var r Relative
	assert.Equal(t, r.Factor(0), 1.0)
	assert.Equal(t, r.RelativeError(0), 1.0)
	assert.Assert(t, !r.Known())
	r.Observe(0, 100*time.Millisecond, 200*time.Millisecond)
	one := r.Factor(0)
	assert.Assert(t, one > 0.55 && one < 0.9, "%v", one)
	assert.Assert(t, r.RelativeError(0) > 0.2, "%v", r.RelativeError(0))
	for range 20 {
		r.Observe(0, 100*time.Millisecond, 200*time.Millisecond)
	}
	assert.Assert(t, r.Factor(0) < 0.55, "%v", r.Factor(0))
}

// Samples without an expected wait are ignored, and a clock that goes back slightly does no harm.
func TestRelativeToleratesImplausibleSamples(t *testing.T) {
	var r Relative
	r.Observe(0, 0, time.Second)
	r.Observe(0, time.Second, 0)
	r.Observe(0, -time.Second, time.Second)
	assert.Assert(t, !r.Known())
	r.Observe(time.Second, 100*time.Millisecond, 100*time.Millisecond)
	r.Observe(900*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond)
	assert.Equal(t, r.Factor(900*time.Millisecond), 1.0)
	assert.Equal(t, r.Age(900*time.Millisecond), time.Duration(0))
	now := time.Second
	for range 1000 {
		now += 10 * time.Millisecond
		r.Observe(now, 100*time.Millisecond, time.Hour)
	}
	assert.Equal(t, r.Factor(now), float64(minFactor))
}

func TestFactorToIsRelativeToReference(t *testing.T) {
	var r Relative
	for range 20 {
		r.Observe(0, 100*time.Millisecond, 150*time.Millisecond)
	}
	assert.Assert(t, math.Abs(r.FactorTo(0, 1.5)-1) < 0.02, "%v", r.FactorTo(0, 1.5))
	assert.Assert(t, math.Abs(r.FactorTo(0, 3)-2) < 0.1, "%v", r.FactorTo(0, 3))
}

func ExampleRelative() {
	var r Relative
	for i := range 40 {
		r.Observe(time.Duration(i)*50*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond)
	}
	fmt.Printf("%.2f\n", r.Factor(2*time.Second))
	// Output: 0.50
}

// Guards against engines that are told apart by the noise of waits of a few milliseconds.
func TestShortWaitsShowLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var r Relative
		now := time.Duration(0)
		for range 20 {
			now += 50 * time.Millisecond
			r.Observe(now, 3*time.Millisecond, time.Duration(3*random.ExpFloat64()*float64(time.Millisecond)))
		}
		assert.Assert(t, math.Abs(math.Log(r.Factor(now))) < 3*r.RelativeError(now), "%v with an error of %v", r.Factor(now), r.RelativeError(now))
		assert.Assert(t, math.Abs(r.Factor(now)-1) < 0.5, "%v", r.Factor(now))
	}
}
