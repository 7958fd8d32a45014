// Package bounded keeps what grows with the words of other processes within bounds: log
// lines, and what is remembered by name.
package bounded

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DropOldest removes a number of entries from a map, those with the earliest times.
func DropOldest[K comparable, V any](entries map[K]V, count int, at func(V) time.Duration) {
	byAge := slices.SortedFunc(maps.Keys(entries), func(a, b K) int { return cmp.Compare(at(entries[a]), at(entries[b])) })
	for _, key := range byAge[:min(count, len(byAge))] {
		delete(entries, key)
	}
}
