// Package periodic runs work at even intervals, and waits between two tries.
package periodic

import (
	"context"
	"time"
)

// Run calls work each time the interval is over, until the context ends. The
// first call comes after one interval. Work that takes longer than an interval
// delays the next call; calls never overlap.
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

// Sleep waits, or until the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
