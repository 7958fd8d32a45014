package bounded

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLineLimiterBoundsLinesWithinSecond(t *testing.T) {
	var l LineLimiter
	allowed := func(now time.Duration, limit int) (n int) {
		for range 10 {
			if l.Allow(now, limit) {
				n++
			}
		}
		return n
	}
	// The clock may begin anywhere: the second counts from the first line.
	assert.Equal(t, allowed(900*time.Millisecond, 1), 1)
	assert.Equal(t, allowed(1899*time.Millisecond, 1), 0)
	assert.Equal(t, allowed(1900*time.Millisecond, 4), 4)
	assert.Equal(t, allowed(time.Hour, 4), 4)
}

func ExampleDropOldest() {
	seen := map[string]time.Duration{"a": 3, "b": 1, "c": 2}
	DropOldest(seen, 2, func(at time.Duration) time.Duration { return at })
	fmt.Println(seen)
	DropOldest(seen, 5, func(at time.Duration) time.Duration { return at })
	fmt.Println(len(seen))
	// Output:
	// map[a:3ns]
	// 0
}
