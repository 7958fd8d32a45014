package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// pushbackUse selects what the pushbacks of engines affect.
type pushbackUse struct {
	// perRouter makes a router skip an engine that pushed it back. shared makes the placer prefer
	// other engines for all routers.
	perRouter, shared bool
}

// surgeResult counts the outcomes of a surge.
type surgeResult struct {
	served, refused int
	// rejected counts requests at engines that shed, and maxRepeated
	// the most from one router to one engine during a pushback.
	rejected, maxRepeated int
}

const (
	surgeRouters = 7
	surgeEngines = 12
	surgeLength  = 20 * time.Second
	shedFrom     = 6 * time.Second
	shedUntil    = 15 * time.Second
	shedWait     = 3 * time.Second
	surgeSends   = 4
)

// surge simulates 50 requests per second by seven routers to twelve engines. For nine seconds four
// of the engines shed a fraction of the requests and push back the router for three seconds.
func surge(seed uint64, k pushbackUse, shed float64) surgeResult {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newTestPlacer(surgeEngines)
	var out surgeResult
	until := map[[2]string]time.Duration{}
	repeated := map[[2]string]int{}
	ended := map[string][]uint64{}
	troubles := map[string][]coordapi.Trouble{}
	number := uint64(0)
	for now := time.Duration(0); now < surgeLength; now += 20 * time.Millisecond {
		router := fmt.Sprint("r", r.IntN(surgeRouters))
		var tried []string
		served := false
		for range surgeSends {
			number++
			ask := longPrompt(router, number, fmt.Sprint("key ", r.IntN(40)))
			ask.Shared, ask.Own, ask.Most = 200, 600, 1000
			ask.Tried = append(ask.Tried, tried...)
			if k.perRouter {
				ask.Tried = append(ask.Tried, pushedBackEngines(until, router, now)...)
			}
			ask.Reports = coordapi.Reports{Ended: ended[router], Troubles: troubles[router]}
			ended[router], troubles[router] = nil, nil
			placed := p.Place(now, ask)
			if placed.ID == "" {
				break
			}
			sheds := placed.ID < "e004" && now >= shedFrom && now < shedUntil && r.Float64() < shed
			pair := [2]string{router, placed.ID}
			if now < until[pair] {
				repeated[pair]++
				out.maxRepeated = max(out.maxRepeated, repeated[pair])
			}
			if !sheds {
				served = true
				p.ApplyReports(now, router, &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: 20 * time.Millisecond}}})
				ended[router] = append(ended[router], number)
				break
			}
			out.rejected++
			if now >= until[pair] {
				repeated[pair] = 0
			}
			until[pair] = max(until[pair], now+shedWait)
			trouble := coordapi.Trouble{ID: placed.ID, Kind: coordapi.Busy}
			if k.shared {
				trouble.For = shedWait
			}
			troubles[router] = append(troubles[router], trouble)
			ended[router] = append(ended[router], number)
			tried = append(tried, placed.ID)
		}
		if served {
			out.served++
		} else {
			out.refused++
		}
	}
	return out
}

// pushedBackEngines returns the engines that have pushed back a router.
func pushedBackEngines(until map[[2]string]time.Duration, router string, now time.Duration) []string {
	var out []string
	for pair, end := range until {
		if pair[0] == router && now < end {
			out = append(out, pair[1])
		}
	}
	return out
}

// A router must send nothing to an engine that pushed it back. Sharing pushbacks must avoid most of
// the other routers' rejections without losing engines that still serve.
func TestSurgeWithEnginesThatPushBack(t *testing.T) {
	for _, shed := range []float64{1, 0.1} {
		var sums [3]surgeResult
		for seed := range uint64(10) {
			for i, k := range []pushbackUse{{}, {perRouter: true}, {perRouter: true, shared: true}} {
				got := surge(seed, k, shed)
				sums[i].rejected += got.rejected
				sums[i].refused += got.refused
				sums[i].served += got.served
				sums[i].maxRepeated = max(sums[i].maxRepeated, got.maxRepeated)
			}
		}
		ignored, perRouter, shared := sums[0], sums[1], sums[2]
		t.Logf("shedding %.0f%%: pushbacks ignored %+v, per router %+v, shared %+v", 100*shed, ignored, perRouter, shared)
		assert.Assert(t, ignored.maxRepeated > 2)
		assert.Equal(t, perRouter.maxRepeated, 0)
		assert.Equal(t, shared.maxRepeated, 0)
		assert.Assert(t, perRouter.rejected < ignored.rejected)
		assert.Assert(t, shared.rejected < perRouter.rejected)
		assert.Equal(t, shared.refused, 0)
		assert.Equal(t, shared.served, perRouter.served)
	}
}
