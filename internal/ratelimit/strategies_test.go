package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sortTimes(times []time.Duration) { slices.Sort(times) }

// way is how a number of routers decide whether one of them may send.
type way interface {
	may(now time.Duration, router int) bool
}

// bucket fills at a rate up to its depth.
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

// split: each router keeps to an even part, and begins with a part of one request, so that
// parts below one add up.
type split struct {
	buckets []bucket
	rate    float64
}

func (s *split) may(now time.Duration, router int) bool {
	return s.buckets[router].take(now, s.rate/float64(len(s.buckets)), 1)
}

// eachAlone: each router keeps to the rate by itself.
type eachAlone struct {
	buckets []bucket
	rate    float64
}

func (s *eachAlone) may(now time.Duration, router int) bool {
	return s.buckets[router].take(now, s.rate, 1)
}

// sampled: each sends with a chance that is announced once a second, by what was asked for in
// the second before.
type sampled struct {
	rate, part float64
	asked      int
	at         time.Duration
	random     *rand.Rand
}

func (s *sampled) may(now time.Duration, _ int) bool {
	if now-s.at >= time.Second {
		s.part = min(s.rate/max(float64(s.asked), 1), 1)
		s.asked, s.at = 0, now
	}
	s.asked++
	return s.random.Float64() < s.part
}

// granted: the leader grants each right, which is used a moment later.
type granted struct {
	bank   *Limiter
	number int
}

func (g *granted) may(now time.Duration, _ int) bool {
	g.number++
	return g.bank.Take(now, wish(g.number, "a")).Granted
}

// waysOf are the ways for a number of routers and a rate.
func waysOf(routers int, rate float64, random *rand.Rand) map[string]way {
	full := func() []bucket { return slices.Repeat([]bucket{{level: 1}}, routers) }
	parts := make([]bucket, routers)
	for i := range parts {
		parts[i].level = random.Float64()
	}
	bank := newTestBank()
	bank.Observe(0, limited("a", rate))
	return map[string]way{
		"each alone":        &eachAlone{full(), rate},
		"even split":        &split{parts, rate},
		"sampled by demand": &sampled{rate: rate, part: 1, random: random},
		"rights":            &granted{bank: bank},
	}
}

// played is what a back end got.
type played struct {
	// most is the largest count in four seconds, and used the part of the rate.
	most int
	used float64
}

// play lets routers ask for four times the rate at which a back end takes requests, all of
// them or one alone, which it moves to in the middle.
func play(w way, routers int, rate float64, random *rand.Rand) played {
	const length = 40 * time.Second
	var times []time.Duration
	for now := time.Duration(0); now < length; {
		now += time.Duration(random.ExpFloat64() / (4 * rate) * float64(time.Second))
		router := random.IntN(routers)
		if now > length/2 {
			router = 0
		}
		if w.may(now, router) {
			times = append(times, now+time.Duration(random.Int64N(int64(50*time.Millisecond))))
		}
	}
	sortTimes(times)
	return played{most(times), float64(len(times)) / (rate * length.Seconds())}
}

// Four ways to keep routers together to a rate, at a few routers, hundreds and a thousand.
// Counting alone sends up to as many times the rate as there are routers; an even split
// leaves unused what the routers without requests hold; a chance that follows demand does
// neither, but goes over at the start, and by luck. Rights do what is asked for at any size.
func TestRightsKeepToTheRateAndUseItAtAnySize(t *testing.T) {
	for _, routers := range []int{7, 300, 985} {
		for _, rate := range []float64{0.2, 0.4, 1, 1.3, 10, 500} {
			random := rand.New(rand.NewPCG(uint64(routers), uint64(rate*10)))
			for name, w := range waysOf(routers, rate, random) {
				got := play(w, routers, rate, random)
				t.Logf("%4d routers, %5.1f a second, %-18s most %5d in 4 s of %5d allowed, %.2f of the rate used", routers, rate, name, got.most, allowed(rate), got.used)
				if name == "rights" {
					assert.Assert(t, got.most <= allowed(rate), "%d routers at %v: %d", routers, rate, got.most)
					assert.Assert(t, got.used >= 0.8, "%d routers at %v: %v", routers, rate, got.used)
				}
			}
		}
	}
}
