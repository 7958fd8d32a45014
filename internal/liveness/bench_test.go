package liveness

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCheckStreams measures a router's check of 1,000 streams at 90 engines that are in time.
func BenchmarkCheckStreams(b *testing.B) {
	t, now := running()
	for i := range 1000 {
		t.begin(now, fmt.Sprint("e", i%90), func(*Stream) {})
	}
	for b.Loop() {
		t.Check(now + 100*ms)
	}
}

// BenchmarkCheckEngines measures a leader's check while 985 routers report stalls at 64 engines each.
func BenchmarkCheckEngines(b *testing.B) {
	var d Detector
	now := 10 * time.Second
	for r := range 985 {
		var stalls []Stall
		for i := range MaxStalls {
			stalls = append(stalls, Stall{Engine: fmt.Sprint("e", (r+i)%90), Streams: 3, Overdue: 1, Age: 500 * ms})
		}
		d.Report(now, fmt.Sprint("r", r), stalls)
	}
	for b.Loop() {
		d.Check(now, present)
	}
}
