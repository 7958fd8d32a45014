package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers who were refused came back together after a quarter of a second to a half,
// and 2,444 units of worth were refused a second time, their last.
func TestRefusedCallersComeBackOneBehindTheOther(t *testing.T) {
	var r returns
	now := time.Second
	for range 400 {
		now += 2 * time.Millisecond
		r.served.add(now, servedTime, 1)
	}
	// Some 280 of the last second count, so that 70 may come back in a second.
	first := r.refuse(now, 300*time.Millisecond)
	assert.Equal(t, first, 300*time.Millisecond)
	second := r.refuse(now, 300*time.Millisecond)
	step := second - first
	assert.Assert(t, step > 10*time.Millisecond && step < 20*time.Millisecond, "%v", step)
	for range 1000 {
		assert.Assert(t, r.refuse(now, 300*time.Millisecond) <= mostReturn)
	}
	assert.Equal(t, r.refuse(now+time.Minute, 0), leastReturn, "those have come back long ago")
}
