package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// recorder commits the levels of limiters within a delay, as the replicated log does.
type recorder struct {
	random    *rand.Rand
	delay     time.Duration
	committed Levels
	pending   Levels
	due       time.Duration
}

// step commits a pending record that is due and proposes the next one.
func (r *recorder) step(now time.Duration, l *Limiter) {
	if r.pending != nil && now >= r.due {
		r.committed, r.pending = r.pending, nil
		l.LevelsRecorded(r.committed)
	}
	if r.pending == nil {
		if r.pending = l.DueLevels(now); r.pending != nil {
			r.due = now + time.Duration(r.random.Int64N(int64(r.delay)))
		}
	}
}

// next returns the limiter of a new leader. A pending record is committed or lost.
func (r *recorder) next(now time.Duration, limit Limit) *Limiter {
	if r.pending != nil && r.random.IntN(2) == 0 {
		r.committed = r.pending
	}
	r.pending = nil
	l := NewLimiter(tolerance)
	l.Restore(r.committed)
	l.SetLimits(now, map[string]Limit{"a": limit})
	return l
}

// Guards against a leader that starts with more than its predecessor left: no window exceeds the limit
// and its tolerance, whatever the demand, the delay of records and the times of two leader changes.
func TestRecordedLevelsKeepToLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 400_000, Burst: Amount(rapid.Float64Range(0, 1_200_000).Draw(t, "burst"))}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		demand := 1 + random.Float64()*19
		// Demand comes in bursts, and the leader changes soon after the begin of two of them, when
		// levels fall fastest.
		period := 1000 + random.IntN(3000)
		changes := rapid.SliceOfNDistinct(rapid.IntRange(1, 4), 2, 2, rapid.ID[int]).Draw(t, "changes")
		for i := range changes {
			changes[i] = changes[i]*period + random.IntN(400)
		}
		r := &recorder{random: random, delay: 200 * time.Millisecond}
		limiter := r.next(0, limit)
		var uses []use
		for now := time.Duration(0); now < 24*time.Second; {
			now += time.Duration(random.ExpFloat64() * 5000 / (demand * float64(limit.Rate)) * float64(time.Second))
			if in := int(now/time.Millisecond) % period; in > period/2 {
				// Records are due in pauses too.
				r.step(now, limiter)
				now += time.Duration(min(period-in, 20)) * time.Millisecond
				continue
			}
			r.step(now, limiter)
			for i, at := range changes {
				if at >= 0 && now >= time.Duration(at)*time.Millisecond {
					changes[i] = -1
					limiter = r.next(now, limit)
				}
			}
			amount := Amount(random.Float64() * 10_000)
			if _, admitted := limiter.TakeUrgent(now, "a", amount, random.IntN(2)); !admitted {
				continue
			}
			// A successor may start with any record that was proposed. Two parts of the tolerance are
			// for the overdraft and for what is admitted before the first record.
			a, part := limiter.accounts["a"], limiter.tolerancePart(limit)
			if left := a.level - a.waiting; left < max(r.committed["a"], r.pending["a"])-2*part-1 {
				t.Fatalf("%v: level %.0f, recorded %.0f and %.0f", now, left, r.committed["a"], r.pending["a"])
			}
			if random.IntN(10) == 0 {
				limiter.Hold(now, "a", amount)
				used := random.IntN(2) == 0
				limiter.Settle(now, Settlement{Tenant: "a", Amount: amount, Used: used})
				if !used {
					continue
				}
			}
			uses = append(uses, use{now, amount})
		}
		allowed := (limit.Rate*8+limit.Burst)*1.1 + tolerance.Slack
		if most := maxInWindow(uses, tolerance.Window); most > allowed {
			t.Fatalf("%.0f within a window, allowed %.0f", most, allowed)
		}
	})
}

// afterOutage returns the share of the amounts that a new leader admits in the 300 ms after an outage
// of a second, in which the callers of a tenant with three quarters of its rate return together.
func afterOutage(record bool) float64 {
	limit := Limit{Rate: 400_000, Burst: 400_000}
	r := &recorder{random: rand.New(rand.NewPCG(1, 1)), delay: commitDelay}
	limiter := r.next(0, limit)
	const demand, amount = 300_000, 10_000
	ask := func(from, until time.Duration, rate float64) float64 {
		asked, admitted := 0, 0
		for now := from; now < until; now += time.Duration(amount / rate * float64(time.Second)) {
			if record {
				r.step(now, limiter)
			}
			asked++
			if _, ok := limiter.Take(now, "a", amount); ok {
				admitted++
			}
		}
		return float64(admitted) / float64(asked)
	}
	ask(0, 10*time.Second, demand)
	limiter = r.next(11*time.Second, limit)
	return ask(11*time.Second, 11300*time.Millisecond, demand*(1/0.3+1))
}

// commitDelay is more than a commit takes.
const commitDelay = 40 * time.Millisecond

// Guards against refusals of tenants within their limits after a loss of all machines.
func TestRecordedLevelsServeCallersThatReturnAfterOutage(t *testing.T) {
	with, without := afterOutage(true), afterOutage(false)
	t.Logf("admitted with records %.3f, without %.3f", with, without)
	assert.Assert(t, with > 0.99)
	assert.Assert(t, without < 0.95)
}

// Guards against records that are written without need: a tenant with steady demand below its limit
// needs none once its bucket is full.
func TestSteadyDemandNeedsNoRecords(t *testing.T) {
	limiter := NewLimiter(tolerance)
	limiter.SetLimits(0, map[string]Limit{"a": {Rate: 400_000, Burst: 400_000}})
	records := 0
	for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
		limiter.Take(now, "a", 10_000)
		if levels := limiter.DueLevels(now); levels != nil {
			limiter.LevelsRecorded(levels)
			records++
		}
	}
	assert.Assert(t, records <= 4, "%d records", records)
}

// Guards against a tenant whose demand rises to four times its rate and that is refused while its
// bucket is not empty, as the level to keep is recorded.
func TestRecordsFollowRisingDemand(t *testing.T) {
	limit := Limit{Rate: 400_000, Burst: 400_000}
	r := &recorder{random: rand.New(rand.NewPCG(1, 2)), delay: commitDelay}
	limiter := r.next(0, limit)
	now, refusedAt := 5*time.Second, time.Duration(0)
	for at := time.Duration(0); at < now; at += 50 * time.Millisecond {
		r.step(at, limiter)
	}
	for ; refusedAt == 0; now += 6250 * time.Microsecond {
		r.step(now, limiter)
		if _, admitted := limiter.Take(now, "a", 10_000); !admitted {
			refusedAt = now
		}
	}
	// The bucket of 400,000 and more empties at 1.2 M tokens a second net.
	assert.Assert(t, refusedAt > 5*time.Second+330*time.Millisecond, "refused at %v", refusedAt)
}

// Guards against records that grow with the number of tenants and follow each other without end.
func TestManyTenantsAreNotRecorded(t *testing.T) {
	for tenants, recorded := range map[int]bool{maxRecordedLevels: true, maxRecordedLevels + 1: false} {
		limits := map[string]Limit{}
		for i := range tenants {
			limits[strconv.Itoa(i)] = Limit{Rate: 1000, Burst: 1000}
		}
		limiter := NewLimiter(tolerance)
		limiter.SetLimits(0, limits)
		levels := limiter.DueLevels(time.Minute)
		assert.Equal(t, len(levels) > 0, recorded, "%d tenants", tenants)
		limiter.LevelsRecorded(levels)
		assert.Equal(t, len(limiter.DueLevels(2*time.Minute)), 0, "levels that have not changed")
	}
}
