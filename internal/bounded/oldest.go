// Package bounded bounds what other processes can make grow: log lines, and maps with entries by
// name.
package bounded

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DropOldest removes the count entries with the earliest times from a map.
func DropOldest[K comparable, V any](entries map[K]V, count int, at func(V) time.Duration) {
	byAge := slices.SortedFunc(maps.Keys(entries), func(a, b K) int { return cmp.Compare(at(entries[a]), at(entries[b])) })
	for _, key := range byAge[:min(count, len(byAge))] {
		delete(entries, key)
	}
}
