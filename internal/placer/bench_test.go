package placer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures a placement among different numbers of engines.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{12, 240, 810, 2400, 9675, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := newTestPlacer(count)
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				ask := longPrompt("r", uint64(i), fmt.Sprint("key-", i%2000))
				if i > 500 {
					ask.Ended = []uint64{uint64(i - 500)}
				}
				p.Place(now, ask)
			}
		})
	}
}
