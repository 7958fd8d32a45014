package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sortTimes(times []time.Duration) { slices.Sort(times) }

// strategy decides whether one of several routers may send.
type strategy interface {
	allow(now time.Duration, router int) bool
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration, rate, depth float64) bool {
	b.level = min(b.level+rate*(now-b.at).Seconds(), depth)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// evenSplit gives each router an even share of the rate and, at first, a fraction of a request,
// so that shares below one request add up.
type evenSplit struct {
	buckets []bucket
	rate    float64
}

func (s *evenSplit) allow(now time.Duration, router int) bool {
	return s.buckets[router].take(now, s.rate/float64(len(s.buckets)), 1)
}

// independent lets each router use the whole rate by itself.
type independent struct {
	buckets []bucket
	rate    float64
}

func (s *independent) allow(now time.Duration, router int) bool {
	return s.buckets[router].take(now, s.rate, 1)
}

// sampled lets requests pass with a chance that is set once a second from the demand of the
// second before.
type sampled struct {
	rate, chance float64
	requests     int
	at           time.Duration
	random       *rand.Rand
}

func (s *sampled) allow(now time.Duration, _ int) bool {
	if now-s.at >= time.Second {
		s.chance = min(s.rate/max(float64(s.requests), 1), 1)
		s.requests, s.at = 0, now
	}
	s.requests++
	return s.random.Float64() < s.chance
}

// leaderGranted lets the leader grant a permit for each request.
type leaderGranted struct {
	limiter *Limiter
	number  int
}

func (g *leaderGranted) allow(now time.Duration, _ int) bool {
	g.number++
	return g.limiter.Take(now, request(g.number, "a")).Granted
}

// strategies returns the strategies by name, for a number of routers and a rate.
func strategies(routers int, rate float64, random *rand.Rand) map[string]strategy {
	fullBuckets := func() []bucket { return slices.Repeat([]bucket{{level: 1}}, routers) }
	partialBuckets := make([]bucket, routers)
	for i := range partialBuckets {
		partialBuckets[i].level = random.Float64()
	}
	limiter := newTestLimiter()
	limiter.Observe(0, limited("a", rate))
	return map[string]strategy{
		"each alone":        &independent{fullBuckets(), rate},
		"even split":        &evenSplit{partialBuckets, rate},
		"sampled by demand": &sampled{rate: rate, chance: 1, random: random},
		"permits":           &leaderGranted{limiter: limiter},
	}
}

// outcome is the load that a back end received.
type outcome struct {
	// most is the largest count in four seconds, used the share of the rate that was used.
	most int
	used float64
}

// simulate makes requests at four times the rate, first at all routers and then at one alone.
func simulate(s strategy, routers int, rate float64, random *rand.Rand) outcome {
	const length = 40 * time.Second
	var times []time.Duration
	for now := time.Duration(0); now < length; {
		now += time.Duration(random.ExpFloat64() / (4 * rate) * float64(time.Second))
		router := random.IntN(routers)
		if now > length/2 {
			router = 0
		}
		if s.allow(now, router) {
			times = append(times, now+time.Duration(random.Int64N(int64(50*time.Millisecond))))
		}
	}
	sortTimes(times)
	return outcome{maxInWindow(times), float64(len(times)) / (rate * length.Seconds())}
}

// Compares four ways to share a rate between few and many routers. Independent buckets exceed
// the rate, an even split leaves shares of idle routers unused, and sampling exceeds it at
// times. Permits use the rate in full and never exceed it.
func TestPermitsKeepToRateWithAnyRouterCount(t *testing.T) {
	for _, routers := range []int{7, 300, 985} {
		for _, rate := range []float64{0.2, 0.4, 1, 1.3, 10, 500} {
			random := rand.New(rand.NewPCG(uint64(routers), uint64(rate*10)))
			for name, s := range strategies(routers, rate, random) {
				got := simulate(s, routers, rate, random)
				t.Logf("%4d routers, %5.1f a second, %-18s most %5d in 4 s of %5d allowed, %.2f of the rate used", routers, rate, name, got.most, allowed(rate), got.used)
				if name == "permits" {
					assert.Assert(t, got.most <= allowed(rate), "%d routers at %v: %d", routers, rate, got.most)
					assert.Assert(t, got.used >= 0.8, "%d routers at %v: %v", routers, rate, got.used)
				}
			}
		}
	}
}
