package placer

import (
	"fmt"
	"testing"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
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

// newFullPlacer returns a placer whose engines are full, with a number of waiting requests.
func newFullPlacer(b *testing.B, engines, waiting int) *Placer {
	b.Helper()
	p := newTestPlacer(engines)
	now := time.Second
	ask := func(router string, number uint64) *coordapi.Place {
		ask := longPrompt(router, number, fmt.Sprint("key-", number%2000))
		ask.Own, ask.Most, ask.Slots, ask.Patience = 0, 10, 2, time.Hour
		ask.Account, ask.Wait, ask.Deadline = fmt.Sprint("tenant-", number%16), true, time.Hour
		return ask
	}
	running := p.router(now, "running")
	for number := range uint64(2 * engines) {
		one := ask("running", number)
		q := p.query(now, one)
		q.Room = true
		// A choice among thousands of busy engines takes too long for the preparation.
		choice := backends.Choice{ID: fmt.Sprintf("e%03d", number/2), Version: 1, Versioned: true, Work: backends.Work{Most: 10}}
		p.begin(now, running, one, q, &choice, 0)
	}
	for number := range uint64(waiting) {
		if placed := p.Place(now, ask("waiting", number)); !placed.Queued {
			b.Fatalf("%d: %+v", number, placed)
		}
	}
	return p
}

// BenchmarkQueue measures one request that ends and the grant to one that waits, with as many
// requests waiting all the time. BenchmarkPlace is the same without a queue.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{90, 1000}, {90, 10_000}, {10_000, 10_000}} {
		b.Run(fmt.Sprintf("engines=%d/waiting=%d", size.engines, size.waiting), func(b *testing.B) {
			p := newFullPlacer(b, size.engines, size.waiting)
			b.ReportAllocs()
			b.ResetTimer()
			tried := p.tried
			for i := range b.N {
				now := time.Second + time.Duration(i+1)*minPassInterval
				ask := longPrompt("waiting", uint64(size.waiting+i), fmt.Sprint("key-", i%2000))
				ask.Own, ask.Most, ask.Slots, ask.Patience = 0, 10, 2, time.Hour
				ask.Account, ask.Wait, ask.Deadline = fmt.Sprint("tenant-", i%16), true, time.Hour
				if i < 2*size.engines {
					p.ApplyReports(now, "running", &coordapi.Reports{Ended: []uint64{uint64(i)}})
				}
				p.Place(now, ask)
				p.Step(now)
				p.Await(now, now, &coordapi.Await{Router: "waiting", Session: p.routers["waiting"].session, Acknowledged: p.routers["waiting"].sequence})
			}
			b.ReportMetric(float64(p.tried-tried)/float64(b.N), "tries/op")
		})
	}
}

// BenchmarkPass measures a pass that finds no capacity.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{90, 10_000}, {10_000, 10_000}} {
		b.Run(fmt.Sprintf("engines=%d/waiting=%d", size.engines, size.waiting), func(b *testing.B) {
			p := newFullPlacer(b, size.engines, size.waiting)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Step(time.Second + time.Duration(i+1)*passInterval)
			}
		})
	}
}
