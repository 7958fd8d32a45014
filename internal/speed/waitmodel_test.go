package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// circumstances draws the circumstances of a request.
func circumstances(random *rand.Rand) Circumstances {
	return Circumstances{Ahead: 600 + random.IntN(9000), Later: random.IntN(4000), Running: random.IntN(40)}
}

// wait returns the wait at an engine: 60 ms, 11 ms per 1,000 tokens ahead, 5 ms per 1,000 later ones
// and 1 ms for each running request.
func wait(c Circumstances) time.Duration {
	return 60*time.Millisecond + time.Duration(11*c.Ahead+5*c.Later)*time.Microsecond + time.Duration(c.Running)*time.Millisecond
}

func TestWaitModelLearnsCauses(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m WaitModel
	assert.Equal(t, m.Expected(circumstances(random)), time.Duration(0))
	for range 1000 {
		c := circumstances(random)
		m.Observe(c, time.Duration(float64(wait(c))*(0.7+0.6*random.Float64())))
	}
	for range 100 {
		c := circumstances(random)
		off := float64(m.Expected(c))/float64(wait(c)) - 1
		assert.Assert(t, math.Abs(off) < 0.1, "%v instead of %v for %+v", m.Expected(c), wait(c), c)
	}
}

// Guards against coefficients that are determined by noise when a circumstance never varies.
func TestWaitModelWithoutVariation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m WaitModel
	c := Circumstances{Ahead: 1000}
	for range 1000 {
		m.Observe(c, time.Duration(80+random.IntN(41))*time.Millisecond)
	}
	expected := m.Expected(c)
	assert.Assert(t, expected > 95*time.Millisecond && expected < 105*time.Millisecond, "%v", expected)
	c.Running = 10
	assert.Equal(t, m.Expected(c), expected)
}

// More work ahead never shortens the expected wait, even if the samples suggest so.
func TestWaitModelHasNoNegativeEffects(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m WaitModel
	for range 500 {
		c := circumstances(random)
		m.Observe(c, 100*time.Millisecond-time.Duration(c.Running)*time.Millisecond)
	}
	few, many := Circumstances{Ahead: 1000}, Circumstances{Ahead: 1000, Running: 40}
	assert.Assert(t, m.Expected(many) >= m.Expected(few), "%v, %v", m.Expected(many), m.Expected(few))
	m.Observe(few, 0)
	m.Observe(few, -time.Second)
	assert.Assert(t, m.Expected(few) > 0)
}
