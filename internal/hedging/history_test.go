package hedging

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against histories of silences, losses and full pools in which a router ends an attempt whose
// engine goes on within the patience of its caller, runs a request more than twice at once, or sends
// events twice or not at all.
func TestHistoriesOfSilencesKeepThePromise(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		engines, slots := rapid.IntRange(2, 5).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "slots")
		p := newPlay(rapid.Uint64().Draw(t, "seed"), after, engines, slots)
		p.unbounded = rapid.Bool().Draw(t, "unbounded")
		const first, last = time.Second, 3 * time.Second
		p.arrivals(rapid.SampledFrom([]float64{0.3, 0.7, 1, 1.5}).Draw(t, "load"), first, last)
		at := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(1200, 3800).Draw(t, "at")) * ms })
		for range rapid.IntRange(0, 6).Draw(t, "silences") {
			from := at.Draw(t, "from")
			ids := rapid.SliceOfNDistinct(rapid.IntRange(0, engines-1), 1, engines, rapid.ID[int]).Draw(t, "silent")
			p.silence(engineIDs(ids...), from, from+time.Duration(rapid.IntRange(50, 5000).Draw(t, "for"))*ms)
		}
		for range rapid.IntRange(0, 2).Draw(t, "losses") {
			id := rapid.IntRange(0, engines-1).Draw(t, "lost")
			p.remove(engineIDs(id)[0], at.Draw(t, "lost at"), rapid.Bool().Draw(t, "stops"))
		}
		p.drain(last, last+drainTime)
		for _, fault := range p.faults {
			t.Error(fault)
		}
	})
}

func engineIDs(numbers ...int) (ids []string) {
	for _, n := range numbers {
		ids = append(ids, fmt.Sprintf("e%02d", n))
	}
	return ids
}
