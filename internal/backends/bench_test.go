package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// newBusyPool returns a central pool of engines that each run requests with one of 2,000 shared
// parts; full is the share of the engines without a free slot.
func newBusyPool(engines int, full float64) *Pool {
	p := NewCentralPool()
	var rows []state.Backend
	for i := range engines {
		rows = append(rows, state.Backend{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i), Zone: fmt.Sprint("z", i%3), Slots: 64,
			Weights: map[string]int{"m": 1}})
	}
	p.Apply(rows, nil, true)
	random := rand.New(rand.NewPCG(1, 2))
	for i, row := range rows {
		requests := 5 + random.IntN(5)
		if float64(i) < full*float64(engines) {
			requests = 64
		}
		for range requests {
			q := busyQuery(random.IntN(2000))
			a := p.Begin(0, &Choice{ID: row.ID, Version: 1, Versioned: true, Work: Work{Prompt: 100, Most: q.Work.Most}}, &q, func(error) {})
			a.FirstEventReported(0, 20*time.Millisecond)
		}
	}
	return p
}

func busyQuery(part int) Query {
	return Query{Pool: "llm", Model: "m", Zone: "z1", Key: fmt.Sprint("k", part), Shared: 6300, Slots: 64, Capacity: 1 << 20, Target: time.Second,
		GapTarget: 400 * time.Millisecond, Patience: 200 * time.Millisecond, Work: Work{Prompt: 2890, Most: 9246},
		Parts: []coordapi.Part{{Hash: coordapi.PartHash(part), Tokens: 6300}}}
}

// BenchmarkChoose measures a choice among busy engines without hard limits, with them, and while
// requests wait.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{90, 810, 9675} {
		for _, full := range []float64{0, 0.9} {
			p := newBusyPool(engines, full)
			for _, kind := range []string{"unlimited", "room", "contended"} {
				b.Run(fmt.Sprintf("engines=%d/full=%v/%s", engines, full, kind), func(b *testing.B) {
					b.ReportAllocs()
					for i := range b.N {
						q := busyQuery(i % 2000)
						q.Room, q.Contended = kind != "unlimited", kind == "contended"
						choice, found := p.Choose(time.Second, &q)
						assert.Assert(b, found && choice.Considered == engines)
					}
				})
			}
		}
	}
}
