package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// knowledge is what is made of an engine's word that it wants nothing for a while.
type knowledge struct {
	// asked keeps the router that was asked from it, and told lets who places for all
	// prefer other engines for the others.
	asked, told bool
}

// played is what callers of a surge got, and what engines that shed were sent.
type played struct {
	served, refused int
	// turnedAway counts arrivals at engines that shed, and most those of one router at one
	// engine within a wait.
	turnedAway, most int
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

// surge plays 50 requests a second at seven routers and twelve engines, of which four shed a
// part of what comes for nine seconds and want nothing from whom they turn away for
// three.
func surge(seed uint64, k knowledge, shed float64) played {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newTestPlacer(surgeEngines)
	var out played
	until := map[[2]string]time.Duration{}
	within := map[[2]string]int{}
	ended := map[string][]uint64{}
	troubles := map[string][]coordapi.Trouble{}
	number := uint64(0)
	for now := time.Duration(0); now < surgeLength; now += 20 * time.Millisecond {
		router := fmt.Sprint("r", r.IntN(surgeRouters))
		var tried []string
		served := false
		for range surgeSends {
			number++
			ask := long(router, number, fmt.Sprint("key ", r.IntN(40)))
			ask.Shared, ask.Own, ask.Most = 200, 600, 1000
			ask.Tried = append(ask.Tried, tried...)
			if k.asked {
				ask.Tried = append(ask.Tried, barred(until, router, now)...)
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
				within[pair]++
				out.most = max(out.most, within[pair])
			}
			if !sheds {
				served = true
				p.ApplyReports(now, router, &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: 20 * time.Millisecond}}})
				ended[router] = append(ended[router], number)
				break
			}
			out.turnedAway++
			if now >= until[pair] {
				within[pair] = 0
			}
			until[pair] = max(until[pair], now+shedWait)
			trouble := coordapi.Trouble{ID: placed.ID, Kind: coordapi.Busy}
			if k.told {
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

// barred are the engines that want nothing from a router.
func barred(until map[[2]string]time.Duration, router string, now time.Duration) []string {
	var out []string
	for pair, end := range until {
		if pair[0] == router && now < end {
			out = append(out, pair[1])
		}
	}
	return out
}

// The load of the incident, and one where engines shed a tenth of what comes. A router that
// was asked sends nothing for the wait; the others are spared most of the tries that would
// find out the same, and lose no engine that still serves.
func TestASurgeBesideEnginesThatPushBack(t *testing.T) {
	for _, shed := range []float64{1, 0.1} {
		var sums [3]played
		for seed := range uint64(10) {
			for i, k := range []knowledge{{}, {asked: true}, {asked: true, told: true}} {
				got := surge(seed, k, shed)
				sums[i].turnedAway += got.turnedAway
				sums[i].refused += got.refused
				sums[i].served += got.served
				sums[i].most = max(sums[i].most, got.most)
			}
		}
		nothing, asked, told := sums[0], sums[1], sums[2]
		t.Logf("shedding %.0f in 100: nothing known %+v, by who was asked %+v, told to all %+v", 100*shed, nothing, asked, told)
		assert.Assert(t, nothing.most > 2)
		assert.Equal(t, asked.most, 0)
		assert.Equal(t, told.most, 0)
		assert.Assert(t, asked.turnedAway < nothing.turnedAway)
		assert.Assert(t, told.turnedAway < asked.turnedAway)
		assert.Equal(t, told.refused, 0)
		assert.Equal(t, told.served, asked.served)
	}
}
