package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRunCallsWorkOncePerIntervalUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Run(ctx, time.Second, func(context.Context) { calls++ })
		assert.Equal(t, calls, 3)
	})
}

func TestAwaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Assert(t, Await(ctx, func() { time.Sleep(999 * time.Millisecond) }))
		assert.Assert(t, !Await(ctx, func() { time.Sleep(time.Minute) }))
		// A bubble's goroutines have to end.
		time.Sleep(time.Hour)
	})
}
