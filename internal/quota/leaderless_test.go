package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaderless is a deployment whose leader is gone from lostAt to backAt. One tenant sends requests
// for engines, which the leader admits while there is one, and requests to plain pools, which only
// routers admit. Rates and sizes are in tokens.
type leaderless struct {
	limit          Limit
	engines, plain Amount
	// surge multiplies the demand while there is no leader.
	surge          Amount
	lostAt, backAt time.Duration
}

const (
	leaderlessRouters = 16
	engineTokens      = 9000
	plainTokens       = 500
	announceInterval  = 130 * time.Millisecond
	reportInterval    = 50 * time.Millisecond
)

// run plays 30 seconds and returns what was admitted, and to plain pools.
func (d leaderless) run(seed uint64) (all, plain []use) {
	random := rand.New(rand.NewPCG(seed, 1))
	var gates [leaderlessRouters]*Gate
	for i := range gates {
		gates[i] = NewGate()
	}
	leader := NewLimiter(tolerance)
	leader.SetLimits(0, map[string]Limit{"a": d.limit})
	next := func(rate, size Amount) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(size/rate) * float64(time.Second))
	}
	var nextEngine, nextPlain time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		led, surge := now < d.lostAt || now >= d.backAt, d.surge
		if led {
			surge = 1
		}
		if now == d.backAt {
			leader = NewLimiter(tolerance)
			leader.SetLimits(now, map[string]Limit{"a": d.limit})
		}
		for ; nextEngine <= now; nextEngine += next(d.engines*surge, engineTokens) {
			admitted := false
			if led {
				_, admitted = leader.Take(now, "a", engineTokens)
			} else {
				_, admitted = gates[random.IntN(leaderlessRouters)].Admit(now, "a", engineTokens, false, random.Float64())
			}
			if admitted {
				all = append(all, use{now, engineTokens})
			}
		}
		for ; nextPlain <= now; nextPlain += next(d.plain*surge, plainTokens) {
			if _, admitted := gates[random.IntN(leaderlessRouters)].Admit(now, "a", plainTokens, true, random.Float64()); admitted {
				all, plain = append(all, use{now, plainTokens}), append(plain, use{now, plainTokens})
			}
		}
		if led && now%reportInterval == 0 {
			for _, g := range gates {
				for _, s := range g.Spent() {
					leader.Charge(now, s.Tenant, s.Amount)
				}
			}
		}
		if led && now%announceInterval == 0 {
			shares := leader.Shares(now)
			for _, g := range gates {
				g.SetShares(now, shares)
			}
		}
	}
	return all, plain
}

func (d leaderless) allowed() Amount {
	return (d.limit.Rate*Amount(tolerance.Window.Seconds())+d.limit.Burst)*Amount(1+tolerance.Overshoot) + tolerance.Slack
}

// between returns the uses from a time until another.
func between(uses []use, from, to time.Duration) (out []use) {
	for _, u := range uses {
		if u.at >= from && u.at < to {
			out = append(out, u)
		}
	}
	return out
}

func total(uses []use) (sum Amount) {
	for _, u := range uses {
		sum += u.amount
	}
	return sum
}

// eachLeaderless runs a check for demands of one tenant within and beyond its limit, at engines and at
// plain pools.
func eachLeaderless(surge Amount, check func(d leaderless, all, plain []use)) {
	for _, plain := range []Amount{5000, 50_000, 300_000} {
		for _, engines := range []Amount{1000, 50_000, 300_000} {
			d := leaderless{limit: Limit{Rate: 100_000, Burst: 100_000}, engines: engines, plain: plain, surge: surge, lostAt: 10 * time.Second, backAt: 20 * time.Second}
			for seed := range uint64(3) {
				all, plain := d.run(seed)
				check(d, all, plain)
			}
		}
	}
}

// Guards against a tenant that exceeds its limit at plain pools, whose requests the leader never
// refuses: with a leader, while there is none, after the shares have lapsed, and at a new leader. Also
// guards against routers that refuse all of them in the first seconds without a leader.
func TestTenantLimitHoldsWithoutLeader(t *testing.T) {
	eachLeaderless(1, func(d leaderless, all, plain []use) {
		most := maxInWindow(all, tolerance.Window)
		assert.Assert(t, most <= d.allowed(), "%+v: %.0f of %.0f", d, most, d.allowed())
		// Routers may always admit a tenth of the rate.
		least := 0.5 * min(d.plain, 0.1*d.limit.Rate)
		got := total(between(plain, d.lostAt, d.lostAt+shareTTL)) / Amount(shareTTL.Seconds())
		t.Logf("%.0f a second asked of engines and %.0f of plain pools: at most %.0f of %.0f in a window, %.0f a second at plain pools in the first seconds without a leader", d.engines, d.plain, most, d.allowed(), got)
		assert.Assert(t, got >= least, "%+v: %.0f a second to plain pools without a leader", d, got)
	})
}

// Guards against a tenant that asks for three times as much once there is no leader, and goes on to
// exceed its limit after the shares have lapsed, or keeps a part of its demand for good.
func TestLapsedSharesKeepRisingDemandWithinLimit(t *testing.T) {
	eachLeaderless(3, func(d leaderless, all, plain []use) {
		lapsed := between(all, d.lostAt+shareTTL, d.backAt)
		most := maxInWindow(lapsed, tolerance.Window)
		assert.Assert(t, most <= d.allowed(), "%+v: %.0f of %.0f", d, most, d.allowed())
		last := total(between(all, d.backAt-2*time.Second, d.backAt)) / 2
		assert.Assert(t, last <= d.limit.Rate, "%+v: %.0f a second at last", d, last)
	})
}
