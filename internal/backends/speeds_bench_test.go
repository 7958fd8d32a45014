package backends

import (
	"fmt"
	"testing"
	"time"

	"quinceridge.example/quinceridge/internal/state"
)

// BenchmarkChooseAmongEngines measures a choice among different numbers of engines of equal and of
// different speeds, with the reports of 500 requests in flight.
func BenchmarkChooseAmongEngines(b *testing.B) {
	const inFlight = 500
	for name, speeds := range map[string][]float64{"equal": {1}, "mixed": {0.7, 0.7, 1.7}} {
		for _, count := range []int{90, 810, 9675} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				p := NewCentralPool()
				var rows []state.Backend
				speedOf := map[string]float64{}
				for i := range count {
					r := state.Backend{ID: fmt.Sprintf("e%05d", i), Pool: "llm", Address: fmt.Sprint("a:", i), Zone: fmt.Sprint("z", i%4), Slots: 48,
						Weights: map[string]int{"m": 1}}
					speedOf[r.ID] = speeds[i%len(speeds)]
					rows = append(rows, r)
				}
				p.Apply(rows, nil, true)
				var open []*Attempt
				now := time.Duration(0)
				step := func(i int) {
					now += time.Millisecond
					q := Query{Pool: "llm", Zone: "z1", Model: "m", Key: fmt.Sprint("k", i%2000), Shared: 6300, Target: 500 * time.Millisecond, Slots: 48,
						Capacity: 113_000, Work: Work{Prompt: 2890, Most: 9200}}
					choice, _ := p.Choose(now, &q)
					a := p.Begin(now, &choice, &q, func(error) {})
					a.FirstEventReported(now, time.Duration((50+float64(choice.Ahead+2890)/92)/speedOf[choice.ID]*float64(time.Millisecond)))
					if open = append(open, a); len(open) > inFlight {
						open[0].End(now)
						open = open[1:]
					}
				}
				for i := range 8000 {
					step(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					step(i)
				}
			})
		}
	}
}
