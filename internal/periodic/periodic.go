// Package periodic runs functions at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls work at every interval until the context ends, first after one interval. Calls never
// overlap: slow work delays the next call.
func Run(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work(ctx)
		}
	}
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Await calls a function that waits. It returns false if the context ends first; the call then goes on.
func Await(ctx context.Context, wait func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
