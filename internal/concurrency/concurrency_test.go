package concurrency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const target = 400 * time.Millisecond

// sample returns a first event at now that was sent at the given time and exceeds the expected
// wait.
func sample(sent, now, excess time.Duration) Sample {
	return Sample{Now: now, Sent: sent, Expected: now - sent - excess, Observed: now - sent, Target: target}
}

func TestStaticAllowsWholeCapacity(t *testing.T) {
	l := NewStatic()
	for range 10 {
		l.Observe(sample(0, 2*time.Second, time.Second))
	}
	assert.Equal(t, l.Factor(), 1.0)
}

// Guards against one burst of late first events that lowers the limit once for each of them.
func TestAdaptiveDecreasesOncePerChange(t *testing.T) {
	l := NewAdaptive()
	for range 10 {
		l.Observe(sample(time.Second, 2*time.Second, target/2+1))
	}
	once := l.Factor()
	assert.Equal(t, once, decrease)
	l.Observe(sample(2*time.Second, 3*time.Second, target/2+1))
	assert.Equal(t, l.Factor(), once*decrease)
	for i := range 40 {
		at := time.Duration(i) * time.Minute
		l.Observe(sample(at, at+time.Second, time.Second))
	}
	assert.Equal(t, l.Factor(), minFactor)
}

// Guards against a limit that stays low after the engine has recovered, or that exceeds the
// capacity.
func TestAdaptiveRecovers(t *testing.T) {
	l := NewAdaptive()
	l.Observe(sample(0, time.Second, time.Second))
	l.Observe(sample(0, time.Second, 0))
	assert.Equal(t, l.Factor(), decrease, "sent before the decrease")
	l.Observe(sample(time.Second, 2*time.Second, target/2))
	assert.Equal(t, l.Factor(), decrease, "neither late nor as expected")
	for range 99 {
		l.Observe(sample(time.Second, 2*time.Second, target/8))
		assert.Assert(t, l.Factor() < 1)
	}
	for range 10 {
		l.Observe(sample(time.Second, 2*time.Second, 0))
	}
	assert.Equal(t, l.Factor(), 1.0)
}

// A request without a target is never late.
func TestAdaptiveIgnoresDelayWithoutTarget(t *testing.T) {
	l := NewAdaptive()
	l.Observe(Sample{Now: time.Minute, Observed: time.Minute})
	assert.Equal(t, l.Factor(), 1.0)
}
