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

func newTestLimiter() *Limiter {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.SetLeading(-time.Hour, true)
	l.SetLease(1 << 62)
	return l
}

func limited(id string, rate float64) []coordapi.LimitReport {
	return []coordapi.LimitReport{{ID: coordapi.BackendID(id), Pool: "p", Limited: true, Rate: rate}}
}

func unlimited(id string) []coordapi.LimitReport {
	return []coordapi.LimitReport{{ID: coordapi.BackendID(id)}}
}

// request returns a request of a router for a back end.
func request(number int, id string) Request {
	return Request{Router: "r", Number: uint64(number), Backend: coordapi.BackendID(id)}
}

// allowed returns how many requests a back end with a limit accepts within four seconds.
func allowed(rate float64) int { return int(1.5*rate*4) + 5 }

// maxInWindow returns the largest count of ascending times within any four seconds.
func maxInWindow(times []time.Duration) int {
	out, first := 0, 0
	for i, at := range times {
		for times[first] <= at-4*time.Second {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// Permits are used at once, at the end of their TTL or released, some twice, over changes of the
// leader that lose all state. No window may hold more requests than the back end accepts.
func TestLimiterBoundsRequestsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.01, 0.2, 0.4, 1, 1.3, 5, 40, 500}).Draw(t, "rate")
		demand := rapid.Float64Range(0.5, 8).Draw(t, "demand") * max(rate, 1)
		changes := rapid.SliceOfN(rapid.IntRange(0, 16_000), 0, 3).Draw(t, "changes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		l := newTestLimiter()
		l.Observe(0, limited("a", rate))
		var times []time.Duration
		number := 0
		for now := time.Duration(0); now < 16*time.Second; {
			now += time.Duration(random.ExpFloat64() / demand * float64(time.Second))
			for i, at := range changes {
				if at >= 0 && now >= time.Duration(at)*time.Millisecond {
					changes[i] = -1
					l = newTestLimiter()
					l.Observe(now, limited("a", rate))
				}
			}
			number++
			v := l.Take(now, request(number, "a"))
			switch {
			case !v.Granted:
			case random.IntN(10) == 0:
				back := []uint64{uint64(number)}
				l.Unused(now, "r", back)
				l.Unused(now, "r", back)
			default:
				// Used within PermitTTL, and a quarter of a second under way at most.
				times = append(times, now+time.Duration(random.Int64N(int64(PermitTTL+250*time.Millisecond))))
			}
		}
		sortTimes(times)
		if got := maxInWindow(times); got > allowed(rate) {
			t.Fatalf("%d in four seconds, allowed %d", got, allowed(rate))
		}
	})
}

// With enough demand a back end gets its full rate.
func TestLimiterUsesFullRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.4, 1, 1.3, 5, 40, 500} {
		l := newTestLimiter()
		l.Observe(0, limited("a", rate))
		random := rand.New(rand.NewPCG(1, 1))
		length, got, number := 100*time.Second, 0, 0
		for now := time.Duration(0); now < length; number++ {
			now += time.Duration(random.ExpFloat64() / (3 * rate) * float64(time.Second))
			if l.Take(now, request(number, "a")).Granted {
				got++
			}
		}
		assert.Assert(t, float64(got) >= 0.95*rate*length.Seconds(), "%d at %v", got, rate)
	}
}

func TestReleasedPermitIsReusableOnce(t *testing.T) {
	l := newTestLimiter()
	l.Observe(0, limited("a", 1))
	assert.Assert(t, l.Take(0, request(1, "a")).Granted)
	assert.Assert(t, !l.Take(0, request(2, "a")).Granted)
	l.Unused(0, "other", []uint64{1})
	assert.Assert(t, !l.Take(0, request(3, "a")).Granted, "permit of another router")
	l.Unused(0, "r", []uint64{1, 1})
	assert.Assert(t, l.Take(0, request(4, "a")).Granted)
	l.Unused(0, "r", []uint64{1})
	assert.Assert(t, !l.Take(0, request(5, "a")).Granted)
	// A permit lost with its router is replaced by the refill.
	v := l.Take(0, request(6, "a"))
	assert.Assert(t, v.Wait > 0 && v.Wait <= time.Second, "%v", v.Wait)
	assert.Assert(t, l.Take(v.Wait, request(7, "a")).Granted)
}

func TestOnlyLeaderWithLeaseGrants(t *testing.T) {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.Observe(0, limited("a", 1))
	assert.Assert(t, l.Take(0, request(1, "a")).Unlimited, "a follower has no limits")
	l.SetLeading(-time.Hour, true)
	l.Observe(0, limited("a", 100))
	assert.Assert(t, !l.Take(0, request(1, "a")).Allowed(), "it has no lease yet")
	l.SetLease(time.Second)
	assert.Assert(t, l.Take(time.Second-1, request(2, "a")).Granted)
	assert.Assert(t, !l.Take(time.Second, request(3, "a")).Allowed(), "the lease has ended")
	l.SetLeading(0, false)
	ids, _ := l.Limited()
	assert.Equal(t, len(ids), 0)
}

// Routers report what they observed up to a second or so later, and in any order.
func TestLimitHoldsUntilNewerReport(t *testing.T) {
	l := newTestLimiter()
	at := func(now time.Duration, rate float64, limited bool, sent, received time.Duration) {
		l.Observe(now, []coordapi.LimitReport{{ID: "a", Pool: "p", Limited: limited, Rate: rate, SentAgo: now - sent, ReceivedAgo: now - received}})
	}
	holds := func(now time.Duration) bool { return !l.Take(now, request(0, "a")).Unlimited }
	at(time.Second, 1, true, 800*time.Millisecond, 900*time.Millisecond)
	at(time.Second, 0, false, 850*time.Millisecond, 950*time.Millisecond)
	assert.Assert(t, holds(time.Second), "order unknown")
	at(2*time.Second, 0, false, 1500*time.Millisecond, 1600*time.Millisecond)
	assert.Assert(t, !holds(2*time.Second))
	at(3*time.Second, 1, true, 700*time.Millisecond, 950*time.Millisecond)
	assert.Assert(t, !holds(3*time.Second), "reported late")
	at(4*time.Second, 2, true, 3500*time.Millisecond, 3600*time.Millisecond)
	assert.Assert(t, holds(4*time.Second), "limited again")
	// Without requests there are no observations: the limit holds.
	assert.Assert(t, holds(time.Hour))
	l.Remove([]string{"a"})
	assert.Assert(t, !holds(time.Hour), "limits end with their start")
}

// A back end that names a rate of 0 still gets a request now and then.
func TestZeroRateIsProbed(t *testing.T) {
	l := newTestLimiter()
	l.Observe(0, limited("a", 0))
	got := 0
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		if l.Take(now, request(int(now), "a")).Granted {
			got++
		}
	}
	assert.Assert(t, got >= 19 && got <= 22, "%d", got)
}

// grantedShare simulates demand for one back end, in requests a second by claimant, and returns
// the share of each that is granted.
func grantedShare(rate float64, demand map[coordapi.Claimant]float64) map[coordapi.Claimant]float64 {
	l := newTestLimiter()
	l.Observe(0, limited("a", rate))
	random := rand.New(rand.NewPCG(7, 1))
	claimants := slices.SortedFunc(maps.Keys(demand), func(x, y coordapi.Claimant) int { return cmp.Compare(demand[x], demand[y]) })
	requested, got := map[coordapi.Claimant]float64{}, map[coordapi.Claimant]float64{}
	const step = time.Millisecond
	number := 0
	for now := time.Duration(0); now < 200*time.Second; now += step {
		for _, c := range claimants {
			if random.Float64() >= demand[c]*step.Seconds() {
				continue
			}
			number++
			r := request(number, "a")
			r.Claimant = c
			requested[c]++
			if l.Take(now, r).Granted {
				got[c]++
			}
		}
	}
	for c := range got {
		got[c] /= requested[c]
	}
	return got
}

// Urgent requests get permits first; the others use what is left.
func TestUrgentRequestsGoFirst(t *testing.T) {
	urgent, other := coordapi.Claimant{Urgency: 0}, coordapi.Claimant{Urgency: 3}
	alone := grantedShare(5, map[coordapi.Claimant]float64{urgent: 3})
	got := grantedShare(5, map[coordapi.Claimant]float64{urgent: 3, other: 7})
	assert.Assert(t, got[urgent] > alone[urgent]-0.05, "%v, alone %v", got, alone)
	assert.Assert(t, got[other]*7 > 1.5, "what is left: %v", got)
	got = grantedShare(5, map[coordapi.Claimant]float64{urgent: 20, other: 20})
	assert.Assert(t, got[urgent] > 10*got[other], "%v", got)
	assert.Assert(t, got[urgent]*20+got[other]*20 > 4.75, "%v", got)
}

// A tenant with ten times as many requests takes nothing of another's even share.
func TestPermitsAreSharedBetweenTenants(t *testing.T) {
	small, large := coordapi.Claimant{Tenant: "small"}, coordapi.Claimant{Tenant: "large"}
	got := grantedShare(10, map[coordapi.Claimant]float64{small: 4, large: 40})
	alone := grantedShare(10, map[coordapi.Claimant]float64{small: 4})
	assert.Assert(t, got[small] > alone[small]-0.1, "%v, alone %v", got, alone)
	assert.Assert(t, got[small]*4+got[large]*40 > 9.5, "nothing is left unused: %v", got)
	got = grantedShare(10, map[coordapi.Claimant]float64{large: 40})
	assert.Assert(t, got[large]*40 > 9.5, "alone it gets all: %v", got)
}

// Refused callers are spaced at the total rate of the pool, within a bound.
func TestRetryAfterSpacesRefusedCallers(t *testing.T) {
	l := newTestLimiter()
	l.Observe(0, limited("a", 3))
	l.Observe(0, limited("b", 1))
	for i := range 10 {
		assert.Equal(t, l.RetryAfter(0, "p"), time.Duration(i+1)*250*time.Millisecond)
	}
	for range 100 {
		assert.Assert(t, l.RetryAfter(0, "p") <= maxRetryAfter)
	}
	assert.Equal(t, l.RetryAfter(time.Minute, "p"), 250*time.Millisecond)
	l.Observe(2*time.Minute, unlimited("a"))
	assert.Equal(t, l.RetryAfter(2*time.Minute, "p"), time.Second)
	assert.Equal(t, l.RetryAfter(2*time.Minute, "other"), time.Duration(0))
}

// Reported rates and times are clamped to what a response can carry.
func TestReportedRatesAreClamped(t *testing.T) {
	l := newTestLimiter()
	for i, rate := range []float64{-5, 1e308, 1e308, 3} {
		l.Observe(0, []coordapi.LimitReport{{ID: "a", Pool: "p", Limited: true, Rate: rate, SentAgo: -time.Hour, ReceivedAgo: -time.Hour}})
		l.Observe(0, limited(fmt.Sprint(i), rate))
	}
	l.Remove([]string{"a", "0", "1", "2"})
	assert.Equal(t, l.RetryAfter(0, "p"), time.Second/3)
}

func TestLimiterStateIsBounded(t *testing.T) {
	l := newTestLimiter()
	for i := range 5 * maxBackends {
		l.Observe(0, limited(fmt.Sprint(i), 1))
	}
	assert.Equal(t, len(l.accounts), 4*maxBackends)
	for i := range 1000 {
		r := request(i, "0")
		r.Claimant.Tenant = fmt.Sprint(i)
		l.Take(time.Duration(i)*time.Second, r)
	}
	assert.Assert(t, len(l.issued) <= 2*int(grantRetention/time.Second), "%d", len(l.issued))
	assert.Assert(t, len(l.accounts["0"].granted) <= maxTenants)
}

func ExampleLimiter() {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.SetLeading(-time.Hour, true)
	l.SetLease(time.Minute)
	l.Observe(0, []coordapi.LimitReport{{ID: "engine-7", Pool: "chat", Limited: true, Rate: 2}})
	fmt.Println(l.Take(0, Request{Router: "r1", Number: 1, Backend: "engine-7"}).Granted)
	fmt.Println(l.Take(0, Request{Router: "r2", Number: 1, Backend: "engine-7"}).Wait)
	fmt.Println(l.RetryAfter(0, "chat"))
	// Output:
	// true
	// 500ms
	// 500ms
}

// BenchmarkTake measures one decision among a thousand limited back ends.
func BenchmarkTake(b *testing.B) {
	limiter := newTestLimiter()
	for i := range 1000 {
		limiter.Observe(0, limited(fmt.Sprint(i), 1e6))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limiter.Take(time.Duration(i)*time.Microsecond, request(i, "7"))
	}
}

func brittleReport(id string, plain bool, brittle float64) []coordapi.LimitReport {
	return []coordapi.LimitReport{{ID: coordapi.BackendID(id), Pool: "app", Brittle: brittle, Plain: plain}}
}

// However many routers ask, a brittle plain back end must not run more than its slots, and a permit must
// be free again once its request has ended, was not sent, or its router is lost.
func TestBrittleBackendRunsNoMoreThanItsSlots(t *testing.T) {
	const slots = 6
	for _, routers := range []int{7, 300, 985} {
		l := NewLimiter(slog.New(slog.DiscardHandler))
		l.SetLeading(-time.Hour, true)
		l.SetLease(time.Hour)
		l.Observe(0, brittleReport("b", true, 5))
		take := func(now time.Duration, router int, number uint64) Verdict {
			return l.Take(now, Request{Router: fmt.Sprint(router), Number: number, Backend: "b", Slots: slots, Finishes: true})
		}
		granted := []int{}
		for router := range routers {
			if v := take(time.Second, router, 1); v.Granted {
				assert.Assert(t, v.Running)
				granted = append(granted, router)
			} else {
				assert.Assert(t, v.Wait > 0 && !v.Unlimited)
			}
		}
		assert.Equal(t, len(granted), slots)
		assert.DeepEqual(t, l.Finished(fmt.Sprint(granted[0]), []uint64{1, 1, 7}), []coordapi.BackendID{"b"})
		l.Unused(time.Second, fmt.Sprint(granted[1]), []uint64{1})
		again := 0
		for router := range routers {
			if take(2*time.Second, router, 2).Granted {
				again++
			}
		}
		assert.Equal(t, again, 2)
		assert.Assert(t, take(time.Second+grantRetention+1, 0, 3).Granted, "permits of lost routers have expired")
	}
}

// Permits are needed only while a plain back end is brittle; what engines run is limited by placements.
func TestPermitsForBrittleBackends(t *testing.T) {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.SetLeading(-time.Hour, true)
	l.SetLease(time.Hour)
	l.Observe(0, brittleReport("plain", true, 5))
	l.Observe(0, brittleReport("engine", false, 5))
	ids, _ := l.Limited()
	assert.DeepEqual(t, ids, []coordapi.BackendID{"plain"})
	assert.DeepEqual(t, l.Brittle(), []string{"engine"})
	assert.Assert(t, l.Take(0, Request{Router: "r", Number: 1, Backend: "engine", Slots: 1}).Unlimited)
	l.Observe(2*time.Second, brittleReport("plain", true, 0))
	assert.Assert(t, l.Take(2*time.Second, Request{Router: "r", Number: 2, Backend: "plain", Slots: 1}).Unlimited)
	assert.Equal(t, len(l.List(2*time.Second)), 0)
}

// A router of an older build reports no ends: its permits must not hold the slots for seconds.
func TestPermitOfOlderRouterExpires(t *testing.T) {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.SetLeading(-time.Hour, true)
	l.SetLease(time.Hour)
	l.Observe(0, brittleReport("b", true, 5))
	older := Request{Router: "older", Number: 1, Backend: "b", Slots: 1}
	assert.Assert(t, l.Take(0, older).Granted)
	older.Number = 2
	assert.Assert(t, !l.Take(PermitTTL, older).Granted)
	assert.Assert(t, l.Take(PermitTTL+1, older).Granted)
}

// A new leader must count what runs at brittle back ends by permits of a former one.
func TestNewLeaderCountsRequestsOfFormerOne(t *testing.T) {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	begun := time.Minute
	l.SetLeading(begun, true)
	l.SetLease(time.Hour)
	l.Observe(begun, []coordapi.LimitReport{{ID: "b", Pool: "app", Plain: true, Brittle: 4}})
	take := func(now time.Duration, router string, number uint64) bool {
		return l.Take(now, Request{Router: router, Number: number, Backend: "b", Slots: 4, Finishes: true}).Granted
	}
	assert.Assert(t, !take(begun, "r1", 1), "no router has reported what it runs")
	settled := begun + settleTime
	l.ReportLoads(settled, "r1", []coordapi.Load{{ID: "b", Running: 1}, {ID: "engine", Running: 9, Engine: true}})
	l.ReportLoads(settled, "r2", []coordapi.Load{{ID: "b", Running: 2}})
	assert.Assert(t, take(settled, "r1", 2))
	assert.Assert(t, !take(settled, "r1", 3), "three run and one is permitted")
	// Its own permits are among what a router reports.
	later := settled + 2*reportSkew
	l.ReportLoads(later, "r1", []coordapi.Load{{ID: "b", Running: 2}})
	l.ReportLoads(later, "r2", []coordapi.Load{{ID: "b", Running: 2}})
	assert.Assert(t, !take(later, "r1", 4))
	l.ReportLoads(later, "r2", nil)
	assert.Assert(t, take(later, "r2", 1))
	assert.Assert(t, take(later, "r2", 2))
	assert.Assert(t, !take(later, "r2", 3))
	// A router that reports no more, and the end of the first seconds, free what they hold.
	assert.Assert(t, take(later+loadTimeout+1, "r2", 5))
	l.ReportLoads(begun+inheritTime-1, "r3", []coordapi.Load{{ID: "b", Running: 4}})
	assert.Assert(t, !take(begun+inheritTime-1, "r2", 6))
	assert.Assert(t, take(begun+inheritTime+3*time.Second, "r2", 7))
}
