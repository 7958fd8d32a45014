package ratelimit

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const routeTimeout = 30 * time.Second

// brittleLimiter returns a limiter with a brittle plain back end "b".
func brittleLimiter() *Limiter {
	l := NewLimiter(slog.New(slog.DiscardHandler))
	l.SetLeading(-time.Hour, true)
	l.SetLease(time.Hour)
	l.SetLongestTimeout(routeTimeout)
	l.Observe(0, brittleReport("b", true, 1))
	return l
}

// take asks for a permit for one of slots.
func take(l *Limiter, now time.Duration, router string, number uint64, slots int) bool {
	return l.Take(now, Request{Router: router, Number: number, Backend: "b", Slots: slots, Finishes: true}).Granted
}

// running is a router's report of requests at "b".
func running(n int) []coordapi.Load { return []coordapi.Load{{ID: "b", Running: n}} }

// Guards against a brittle back end that gets a request beyond its slots while a long one runs.
func TestBrittleBackendGetsNothingBesideLongRequest(t *testing.T) {
	for _, length := range []time.Duration{6 * time.Second, 12 * time.Second, 20 * time.Second} {
		for _, period := range []time.Duration{53 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(length, period), func(t *testing.T) {
				l := brittleLimiter()
				assert.Assert(t, take(l, 0, "r1", 1, 1))
				reported, beyond := time.Duration(0), 0
				for now := 10 * time.Millisecond; now < length; now += 10 * time.Millisecond {
					if now-reported >= period {
						reported = now
						l.ReportLoads(now, "r1", running(1))
						l.ReportLoads(now, "r2", nil)
					}
					if take(l, now, "r2", uint64(now), 1) {
						beyond++
					}
				}
				assert.Equal(t, beyond, 0)
				l.Finished("r1", []uint64{1})
				assert.Assert(t, take(l, length, "r2", 1, 1))
				l.Finished("r1", []uint64{1})
				l.Unused(length, "r1", []uint64{1})
				assert.Assert(t, !take(l, length, "r2", 2, 1), "a permit is freed once")
			})
		}
	}
}

// Guards against slots that stay taken after an end that was not reported.
func TestPermitEndsAfterLostEnd(t *testing.T) {
	const reported = 8 * time.Second
	// freed reports each 100 ms what r1 runs, and returns when the slot is free.
	freed := func(l *Limiter, slots int, report func(now time.Duration)) time.Duration {
		for now := 100 * time.Millisecond; ; now += 100 * time.Millisecond {
			report(now)
			if take(l, now, "r2", uint64(now), slots) {
				return now
			}
		}
	}
	for name, c := range map[string]struct {
		slots  int
		report func(l *Limiter, now time.Duration)
		until  time.Duration
	}{
		"never reported": {slots: 1, report: func(*Limiter, time.Duration) {}, until: grantRetention},
		"no engine's load counts": {slots: 1, until: grantRetention, report: func(l *Limiter, now time.Duration) {
			l.ReportLoads(now, "r1", []coordapi.Load{{ID: "b", Running: 1, Engine: true}})
		}},
		"no other router's load counts": {slots: 1, until: grantRetention, report: func(l *Limiter, now time.Duration) {
			l.ReportLoads(now, "r3", running(1))
		}},
		"router is lost": {slots: 1, until: reported + reportTTL, report: func(l *Limiter, now time.Duration) {
			if now <= reported {
				l.ReportLoads(now, "r1", running(1))
			}
		}},
		"router runs nothing": {slots: 1, until: reported + reportTTL, report: func(l *Limiter, now time.Duration) {
			n := 0
			if now <= reported {
				n = 1
			}
			l.ReportLoads(now, "r1", running(n))
		}},
		"router runs another request": {slots: 2, until: reported + reportTTL, report: func(l *Limiter, now time.Duration) {
			n := 1
			if now <= reported {
				n = 2
			}
			l.ReportLoads(now, "r1", running(n))
		}},
		"router reports it for ever": {slots: 1, until: routeTimeout, report: func(l *Limiter, now time.Duration) {
			l.ReportLoads(now, "r1", running(1))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l := brittleLimiter()
			assert.Assert(t, take(l, 0, "r1", 1, c.slots))
			if c.slots == 2 {
				assert.Assert(t, take(l, 0, "r1", 2, c.slots))
			}
			at := freed(l, c.slots, func(now time.Duration) { c.report(l, now) })
			assert.Assert(t, at > c.until && at <= c.until+100*time.Millisecond, "%v instead of %v", at, c.until)
		})
	}
}

// Guards against a long request that is counted no more because a new one of the same router is.
func TestPermitOfLongRequestIsHeldBesideNewOnes(t *testing.T) {
	l := brittleLimiter()
	assert.Assert(t, take(l, 0, "r1", 1, 2))
	short, begun := uint64(2), -time.Second
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		// Requests of 1 s follow each other, and begin 0.3 s after their grants.
		if now-begun >= time.Second {
			l.Finished("r1", []uint64{short})
			short, begun = short+1, now
			assert.Assert(t, take(l, now, "r1", short, 2), "%v", now)
		}
		n := 2
		if now-begun < 300*time.Millisecond {
			n = 1
		}
		l.ReportLoads(now, "r1", running(n))
		assert.Assert(t, !take(l, now, "r2", uint64(now), 2), "%v", now)
	}
}

// Guards against permits of routers that report no ends which outlast PermitTTL.
func TestPermitOfOlderRouterExpiresAlthoughItReportsLoads(t *testing.T) {
	l := brittleLimiter()
	older := Request{Router: "older", Number: 1, Backend: "b", Slots: 1}
	assert.Assert(t, l.Take(0, older).Granted)
	l.ReportLoads(PermitTTL, "older", running(1))
	older.Number = 2
	assert.Assert(t, l.Take(PermitTTL+1, older).Granted)
}
