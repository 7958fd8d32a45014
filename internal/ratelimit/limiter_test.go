package ratelimit

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quinceridge.example/quinceridge/internal/coordapi"
)

func newTestBank() *Limiter {
	b := NewLimiter(slog.New(slog.DiscardHandler))
	b.SetLeading(true)
	b.SetLease(1 << 62)
	return b
}

func limited(id string, rate float64) []coordapi.LimitReport {
	return []coordapi.LimitReport{{ID: coordapi.BackendID(id), Pool: "p", Limited: true, Rate: rate}}
}

func over(id string) []coordapi.LimitReport {
	return []coordapi.LimitReport{{ID: coordapi.BackendID(id)}}
}

// wish is a request of a router for a back end.
func wish(number int, id string) Request {
	return Request{Router: "r", Number: uint64(number), Backend: coordapi.BackendID(id)}
}

// allowed is what a back end that names a rate bears in a window of four seconds.
func allowed(rate float64) int { return int(1.5*rate*4) + 5 }

// most is the largest count of ascending times within any four seconds.
func most(times []time.Duration) int {
	out, first := 0, 0
	for i, at := range times {
		for times[first] <= at-4*time.Second {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// Whatever is asked, by however many, with rights used at once, at the end of their term or
// given back, told twice, over changes of the leader whose successor knows nothing of what was
// granted: no window holds more than the back end bears.
func TestNoWindowHoldsMoreThanABackEndBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.01, 0.2, 0.4, 1, 1.3, 5, 40, 500}).Draw(t, "rate")
		demand := rapid.Float64Range(0.5, 8).Draw(t, "demand") * max(rate, 1)
		changes := rapid.SliceOfN(rapid.IntRange(0, 16_000), 0, 3).Draw(t, "changes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b := newTestBank()
		b.Observe(0, limited("a", rate))
		var times []time.Duration
		number := 0
		for now := time.Duration(0); now < 16*time.Second; {
			now += time.Duration(random.ExpFloat64() / demand * float64(time.Second))
			for i, at := range changes {
				if at >= 0 && now >= time.Duration(at)*time.Millisecond {
					changes[i] = -1
					b = newTestBank()
					b.Observe(now, limited("a", rate))
				}
			}
			number++
			v := b.Take(now, wish(number, "a"))
			switch {
			case !v.Granted:
			case random.IntN(10) == 0:
				back := []uint64{uint64(number)}
				b.Unused(now, "r", back)
				b.Unused(now, "r", back)
			default:
				// Used within its term, and on its way for a quarter of a second at most.
				times = append(times, now+time.Duration(random.Int64N(int64(PermitTTL+250*time.Millisecond))))
			}
		}
		sortTimes(times)
		if got := most(times); got > allowed(rate) {
			t.Fatalf("%d in four seconds, allowed %d", got, allowed(rate))
		}
	})
}

// A limit is what a back end takes: while more is asked for than that, it gets it.
func TestABackEndGetsWhatItTakes(t *testing.T) {
	for _, rate := range []float64{0.2, 0.4, 1, 1.3, 5, 40, 500} {
		b := newTestBank()
		b.Observe(0, limited("a", rate))
		random := rand.New(rand.NewPCG(1, 1))
		length, got, number := 100*time.Second, 0, 0
		for now := time.Duration(0); now < length; number++ {
			now += time.Duration(random.ExpFloat64() / (3 * rate) * float64(time.Second))
			if b.Take(now, wish(number, "a")).Granted {
				got++
			}
		}
		assert.Assert(t, float64(got) >= 0.95*rate*length.Seconds(), "%d at %v", got, rate)
	}
}

func TestARightThatWasNotUsedIsThereForOthersOnce(t *testing.T) {
	b := newTestBank()
	b.Observe(0, limited("a", 1))
	assert.Assert(t, b.Take(0, wish(1, "a")).Granted)
	assert.Assert(t, !b.Take(0, wish(2, "a")).Granted)
	b.Unused(0, "other", []uint64{1})
	assert.Assert(t, !b.Take(0, wish(3, "a")).Granted, "another router's number")
	b.Unused(0, "r", []uint64{1, 1})
	assert.Assert(t, b.Take(0, wish(4, "a")).Granted)
	b.Unused(0, "r", []uint64{1})
	assert.Assert(t, !b.Take(0, wish(5, "a")).Granted)
	// One of a router that died comes back as the rate goes on.
	v := b.Take(0, wish(6, "a"))
	assert.Assert(t, v.Wait > 0 && v.Wait <= time.Second, "%v", v.Wait)
	assert.Assert(t, b.Take(v.Wait, wish(7, "a")).Granted)
}

func TestOnlyALeaderWithItsLeaseGrants(t *testing.T) {
	b := NewLimiter(slog.New(slog.DiscardHandler))
	b.Observe(0, limited("a", 1))
	assert.Assert(t, b.Take(0, wish(1, "a")).Unlimited, "a node that does not lead knows of none")
	b.SetLeading(true)
	b.Observe(0, limited("a", 100))
	assert.Assert(t, !b.Take(0, wish(1, "a")).Allowed(), "it has no lease yet")
	b.SetLease(time.Second)
	assert.Assert(t, b.Take(time.Second-1, wish(2, "a")).Granted)
	assert.Assert(t, !b.Take(time.Second, wish(3, "a")).Allowed(), "another may lead by now")
	b.SetLeading(false)
	ids, _ := b.Limited()
	assert.Equal(t, len(ids), 0)
}

// Routers tell of what they heard within a second or so, each at its own time.
func TestALimitHoldsUntilANewerWordComes(t *testing.T) {
	b := newTestBank()
	at := func(now time.Duration, rate float64, limited bool, sent, heard time.Duration) {
		b.Observe(now, []coordapi.LimitReport{{ID: "a", Pool: "p", Limited: limited, Rate: rate, SentAgo: now - sent, ReceivedAgo: now - heard}})
	}
	holds := func(now time.Duration) bool { return !b.Take(now, wish(0, "a")).Unlimited }
	at(time.Second, 1, true, 800*time.Millisecond, 900*time.Millisecond)
	at(time.Second, 0, false, 850*time.Millisecond, 950*time.Millisecond)
	assert.Assert(t, holds(time.Second), "it crossed")
	at(2*time.Second, 0, false, 1500*time.Millisecond, 1600*time.Millisecond)
	assert.Assert(t, !holds(2*time.Second))
	at(3*time.Second, 1, true, 700*time.Millisecond, 950*time.Millisecond)
	assert.Assert(t, !holds(3*time.Second), "told late")
	at(4*time.Second, 2, true, 3500*time.Millisecond, 3600*time.Millisecond)
	assert.Assert(t, holds(4*time.Second), "named again")
	// Nobody sends, so nobody hears: it stands, and the next that is sent asks.
	assert.Assert(t, holds(time.Hour))
	b.Remove([]string{"a"})
	assert.Assert(t, !holds(time.Hour), "it is that start's")
}

// One that takes nothing is asked now and then whether it still needs that.
func TestOneThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	b := newTestBank()
	b.Observe(0, limited("a", 0))
	got := 0
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		if b.Take(now, wish(int(now), "a")).Granted {
			got++
		}
	}
	assert.Assert(t, got >= 19 && got <= 22, "%d", got)
}

// share plays demands at one back end and returns what part of each is granted. Every
// demand asks at its rate, in requests a second.
func share(rate float64, demands map[coordapi.Claimant]float64) map[coordapi.Claimant]float64 {
	b := newTestBank()
	b.Observe(0, limited("a", rate))
	random := rand.New(rand.NewPCG(7, 1))
	who := slices.SortedFunc(maps.Keys(demands), func(x, y coordapi.Claimant) int { return cmp.Compare(demands[x], demands[y]) })
	asked, got := map[coordapi.Claimant]float64{}, map[coordapi.Claimant]float64{}
	const step = time.Millisecond
	number := 0
	for now := time.Duration(0); now < 200*time.Second; now += step {
		for _, c := range who {
			if random.Float64() >= demands[c]*step.Seconds() {
				continue
			}
			number++
			w := wish(number, "a")
			w.Claimant = c
			asked[c]++
			if b.Take(now, w).Granted {
				got[c]++
			}
		}
	}
	for c := range got {
		got[c] /= asked[c]
	}
	return got
}

// The scarce places go to the more urgent first; what these leave is used by the others.
func TestTheMoreUrgentGoFirst(t *testing.T) {
	urgent, other := coordapi.Claimant{Urgency: 0}, coordapi.Claimant{Urgency: 3}
	alone := share(5, map[coordapi.Claimant]float64{urgent: 3})
	got := share(5, map[coordapi.Claimant]float64{urgent: 3, other: 7})
	assert.Assert(t, got[urgent] > alone[urgent]-0.05, "%v, alone %v", got, alone)
	assert.Assert(t, got[other]*7 > 1.5, "what is left: %v", got)
	got = share(5, map[coordapi.Claimant]float64{urgent: 20, other: 20})
	assert.Assert(t, got[urgent] > 10*got[other], "%v", got)
	assert.Assert(t, got[urgent]*20+got[other]*20 > 4.75, "%v", got)
}

// A tenant that asks for ten times as much takes no more than its part from one that asks
// for less than that.
func TestTheScarcePlacesAreSharedBetweenTenants(t *testing.T) {
	small, large := coordapi.Claimant{Tenant: "small"}, coordapi.Claimant{Tenant: "large"}
	got := share(10, map[coordapi.Claimant]float64{small: 4, large: 40})
	alone := share(10, map[coordapi.Claimant]float64{small: 4})
	assert.Assert(t, got[small] > alone[small]-0.1, "%v, alone %v", got, alone)
	assert.Assert(t, got[small]*4+got[large]*40 > 9.5, "nothing is left unused: %v", got)
	got = share(10, map[coordapi.Claimant]float64{large: 40})
	assert.Assert(t, got[large]*40 > 9.5, "alone it gets all: %v", got)
}

// Those who are turned away come back one behind the other as the rates of the pool allow, and
// in a bounded time.
func TestThoseWhoAreTurnedAwayComeBackOneBehindTheOther(t *testing.T) {
	b := newTestBank()
	b.Observe(0, limited("a", 3))
	b.Observe(0, limited("b", 1))
	for i := range 10 {
		assert.Equal(t, b.RetryAfter(0, "p"), time.Duration(i+1)*250*time.Millisecond)
	}
	for range 100 {
		assert.Assert(t, b.RetryAfter(0, "p") <= longestRoom)
	}
	assert.Equal(t, b.RetryAfter(time.Minute, "p"), 250*time.Millisecond)
	b.Observe(2*time.Minute, over("a"))
	assert.Equal(t, b.RetryAfter(2*time.Minute, "p"), time.Second)
	assert.Equal(t, b.RetryAfter(2*time.Minute, "other"), time.Duration(0))
}

// What routers tell is taken for no more than an answer can say.
func TestFiguresOfOtherProcessesAreBounded(t *testing.T) {
	b := newTestBank()
	for i, rate := range []float64{-5, 1e308, 1e308, 3} {
		b.Observe(0, []coordapi.LimitReport{{ID: "a", Pool: "p", Limited: true, Rate: rate, SentAgo: -time.Hour, ReceivedAgo: -time.Hour}})
		b.Observe(0, limited(fmt.Sprint(i), rate))
	}
	b.Remove([]string{"a", "0", "1", "2"})
	assert.Equal(t, b.RetryAfter(0, "p"), time.Second/3)
}

func TestWhatTheBankKeepsIsBounded(t *testing.T) {
	b := newTestBank()
	for i := range 5 * maxKept {
		b.Observe(0, limited(fmt.Sprint(i), 1))
	}
	assert.Equal(t, len(b.starts), 4*maxKept)
	for i := range 1000 {
		w := wish(i, "0")
		w.Claimant.Tenant = fmt.Sprint(i)
		b.Take(time.Duration(i)*time.Second, w)
	}
	assert.Assert(t, len(b.grants) <= 2*int(grantKept/time.Second), "%d", len(b.grants))
	assert.Assert(t, len(b.starts["0"].granted) <= maxTenants)
}

func ExampleLimiter() {
	b := NewLimiter(slog.New(slog.DiscardHandler))
	b.SetLeading(true)
	b.SetLease(time.Minute)
	b.Observe(0, []coordapi.LimitReport{{ID: "engine-7", Pool: "chat", Limited: true, Rate: 2}})
	fmt.Println(b.Take(0, Request{Router: "r1", Number: 1, Backend: "engine-7"}).Granted)
	fmt.Println(b.Take(0, Request{Router: "r2", Number: 1, Backend: "engine-7"}).Wait)
	fmt.Println(b.RetryAfter(0, "chat"))
	// Output:
	// true
	// 500ms
	// 500ms
}

// BenchmarkTake is one decision of the leader beside a thousand back ends with a limit.
func BenchmarkTake(b *testing.B) {
	bank := newTestBank()
	for i := range 1000 {
		bank.Observe(0, limited(fmt.Sprint(i), 1e6))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		bank.Take(time.Duration(i)*time.Microsecond, wish(i, "7"))
	}
}
