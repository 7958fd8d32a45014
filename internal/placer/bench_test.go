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

// benchmarkTime exceeds the time that passes in a benchmark: in it, requests must neither expire nor
// miss their targets, since those that miss them are refused while as many arrive as are granted.
const benchmarkTime = 10_000 * time.Hour

// fullAsk returns a request that waits while both slots of all engines are taken.
func fullAsk(router string, number uint64) *coordapi.Place {
	ask := longPrompt(router, number, fmt.Sprint("key-", number%2000))
	ask.Own, ask.Most, ask.Slots, ask.Target, ask.Patience = 0, 10, 2, benchmarkTime, time.Hour
	ask.Account, ask.Wait, ask.Deadline = fmt.Sprint("tenant-", number%16), true, benchmarkTime
	return ask
}

// newFullPlacer returns a placer whose engines are full, with a number of waiting requests of the
// router "waiting". Those of the router "running" have the numbers from 0 to 2*engines-1.
func newFullPlacer(b *testing.B, engines, waiting int) *Placer {
	b.Helper()
	p := newTestPlacer(engines)
	now := time.Second
	running := p.router(now, "running")
	for number := range uint64(2 * engines) {
		one := fullAsk("running", number)
		q := p.query(now, one)
		q.Room = true
		// A choice among thousands of busy engines takes too long for the preparation.
		choice := backends.Choice{ID: fmt.Sprintf("e%03d", number/2), Version: 1, Versioned: true, Work: backends.Work{Most: 10}}
		p.begin(now, running, one, q, &choice, 0)
	}
	for number := range uint64(waiting) {
		if placed := p.Place(now, fullAsk("waiting", number)); !placed.Queued {
			b.Fatalf("%d: %+v", number, placed)
		}
	}
	return p
}

// queueSizes are numbers of engines and of waiting requests.
var queueSizes = []struct{ engines, waiting int }{{90, 10_000}, {810, 10_000}, {10_000, 10_000}}

// BenchmarkQueue measures one request that ends and the grant to one that waits, with as many
// requests waiting all the time. BenchmarkPlace is the same without a queue.
func BenchmarkQueue(b *testing.B) {
	for _, size := range append(queueSizes, struct{ engines, waiting int }{90, 1000}) {
		b.Run(fmt.Sprintf("engines=%d/waiting=%d", size.engines, size.waiting), func(b *testing.B) {
			p := newFullPlacer(b, size.engines, size.waiting)
			var granted []uint64
			b.ReportAllocs()
			b.ResetTimer()
			tried := p.tried
			for i := range b.N {
				now := time.Second + time.Duration(i+1)*minPassInterval
				router, ended := "running", uint64(i)
				if i >= 2*size.engines {
					router, ended, granted = "waiting", granted[0], granted[1:]
				}
				p.ApplyReports(now, router, &coordapi.Reports{Ended: []uint64{ended}})
				p.Place(now, fullAsk("waiting", uint64(size.waiting+i)))
				p.Step(now)
				reply, _, _ := p.Await(now, now, &coordapi.Await{Router: "waiting", Session: p.routers["waiting"].session, Acknowledged: p.routers["waiting"].sequence - 1})
				for _, outcome := range reply.Outcomes {
					granted = append(granted, outcome.Number)
				}
				if len(reply.Outcomes) != 1 || p.queues["llm"].Len() != size.waiting {
					b.Fatalf("%d: %d outcomes, %d waiting", i, len(reply.Outcomes), p.queues["llm"].Len())
				}
			}
			b.ReportMetric(float64(p.tried-tried)/float64(b.N), "tries/op")
		})
	}
}

// BenchmarkPass measures a pass that finds no capacity.
func BenchmarkPass(b *testing.B) {
	for _, size := range queueSizes {
		b.Run(fmt.Sprintf("engines=%d/waiting=%d", size.engines, size.waiting), func(b *testing.B) {
			p := newFullPlacer(b, size.engines, size.waiting)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Second + time.Duration(i+1)*passInterval
				// A router that reports nothing loses its requests after routerTimeout.
				p.ApplyReports(now, "running", &coordapi.Reports{})
				p.ApplyReports(now, "waiting", &coordapi.Reports{})
				p.Step(now)
			}
			if waiting := p.queues["llm"].Len(); waiting != size.waiting {
				b.Fatalf("%d waiting", waiting)
			}
		})
	}
}
