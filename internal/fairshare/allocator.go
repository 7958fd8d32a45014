package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

const (
	// demandTime is the time constant of the rates of demand. With 1 s, a demand that falls from 3
	// times the capacity to 0.8 would be above the capacity for 2.4 s.
	demandTime = 500 * time.Millisecond
	// runTimeWindow is the time constant of the mean run times of classes. It is longer, because
	// classes have few answers while they are refused.
	runTimeWindow = 5 * time.Second
	// minReportTime is how long a pool must have been reported before shares are computed.
	minReportTime = time.Second
	// forgetAfter is how long a class is kept without reports.
	forgetAfter = 10 * time.Second
	// minRuns is the number of recent answers, decayed like the run times, below which the mean run
	// time of a class is not known and that of the pool counts.
	minRuns = 8
	// queueFactor is the number of requests at the back ends at which the pool is full, as a multiple
	// of their slots. With 1.1, a pool whose demand is its capacity refuses 8 % of the requests in the
	// test's model, and with 1.25 it refuses 4 %. With 1.5, tenants within their share lose 5 % while
	// another one floods the pool with long requests.
	queueFactor = 1.25
	// minDrainFactor bounds the reduction of the admitted work while more requests are at the back
	// ends than that. Without a reduction, a queue that built up before the shares would stay. With
	// 0.5, a surge to 3 times the capacity costs a tenth of the goodput for 4 s.
	minDrainFactor = 0.25
	// limitedHold is how long a pool counts as limited after its last shares, so that a demand about
	// equal to the capacity does not begin and end shares with each announcement.
	limitedHold = 2 * time.Second
	// MaxShares bounds the list of announced shares, and maxClasses the classes that are kept.
	MaxShares  = 256
	maxClasses = 4096
	// maxTenantParts bounds the result of TenantParts.
	maxTenantParts = 32
)

// Allocator computes shares from the reports of all routers. The zero value is ready to use. It is
// not safe for concurrent use.
type Allocator struct {
	pools   map[string]*pool
	classes int
	parts   []TenantPart
	limited []string
}

// TenantPart is the part of a tenant's requested work at a pool that is admitted.
type TenantPart struct {
	Pool, Tenant string
	Part         float64
}

// pool holds the demand of one pool.
type pool struct {
	since time.Duration
	// limitedUntil is the end of the time in which the pool counts as limited.
	limitedUntil time.Duration
	classes      map[Class]*demand
	// runs and work are those of all classes.
	runs, work decay.Sum
	// slots are those of the last computation, 0 before it, and running is the smoothed number of
	// requests at the back ends.
	slots      int
	running    float64
	computedAt time.Duration
}

type demand struct {
	at         time.Duration
	asked      decay.Sum
	runs, work decay.Sum
}

// Report adds what a router reports.
func (a *Allocator) Report(now time.Duration, demands []Demand) {
	if a.pools == nil {
		a.pools = map[string]*pool{}
	}
	for _, d := range demands {
		if d.Asked < 0 || d.Runs < 0 || !(d.Work >= 0) || math.IsInf(d.Work, 0) {
			continue
		}
		p := a.pools[d.Pool]
		if p == nil {
			p = &pool{since: now, classes: map[Class]*demand{}}
			a.pools[d.Pool] = p
		}
		c := p.classes[d.Class]
		if c == nil {
			if a.classes >= maxClasses {
				continue
			}
			a.classes++
			c = &demand{}
			p.classes[d.Class] = c
		}
		c.at = now
		c.asked.Add(now, demandTime, float64(d.Asked))
		// Time that requests waited at the back ends is not run time. On average it is the part by
		// which the requests there exceed their slots.
		run := d.Work * min(1, 1/max(p.load(), 1))
		c.runs.Add(now, runTimeWindow, float64(d.Runs))
		c.work.Add(now, runTimeWindow, run)
		p.runs.Add(now, runTimeWindow, float64(d.Runs))
		p.work.Add(now, runTimeWindow, run)
	}
}

// perSecond returns the rate of a sum with demandTime. It corrects for a sum that began recently.
func (p *pool) perSecond(now time.Duration, s *decay.Sum) float64 {
	age := max(now-p.since, minReportTime/2)
	return s.Value(now, demandTime) / demandTime.Seconds() / (1 - math.Exp(-age.Seconds()/demandTime.Seconds()))
}

// load returns the number of requests at the back ends as a multiple of the number at which they are
// full.
func (p *pool) load() float64 {
	if p.slots <= 0 {
		return 0
	}
	return p.running / (queueFactor * float64(p.slots))
}

// setUse takes the present slots and the requests at them.
func (p *pool) setUse(now time.Duration, use Use) {
	keep := math.Exp(-(now - p.computedAt).Seconds() / demandTime.Seconds())
	p.slots, p.running, p.computedAt = use.Slots, keep*p.running+(1-keep)*float64(use.Running), now
}

// capacity is the work in ms that the back ends run in a second.
func (p *pool) capacity() float64 { return queueFactor * float64(p.slots) * 1000 }

// runTime returns the mean run time of a class in ms, 0 if it is not known.
func (p *pool) runTime(now time.Duration, c *demand) float64 {
	if runs := c.runs.Value(now, runTimeWindow); runs >= minRuns {
		return c.work.Value(now, runTimeWindow) / runs
	}
	if runs := p.runs.Value(now, runTimeWindow); runs >= minRuns {
		return p.work.Value(now, runTimeWindow) / runs
	}
	return 0
}

// Active reports whether any demand is known.
func (a *Allocator) Active() bool { return len(a.pools) > 0 }

// Use is the use of the serving back ends of a pool.
type Use struct {
	// Slots is the number of requests that they run at once, 0 if that is not known.
	Slots int
	// Running is the number of requests that they run or queue.
	Running int
}

// Shares returns the classes that are not admitted whole, at most MaxShares.
func (a *Allocator) Shares(now time.Duration, use func(pool string) Use) []Share {
	a.parts, a.limited = nil, nil
	var out []Share
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[name]
		a.forget(now, name, p)
		p.setUse(now, use(name))
		if p.slots <= 0 || now-p.since < minReportTime {
			continue
		}
		if shares := a.poolShares(now, name, p); len(shares) > 0 {
			p.limitedUntil = now + limitedHold
			out = append(out, shares...)
		}
		if now < p.limitedUntil {
			a.limited = append(a.limited, name)
		}
	}
	if len(out) > MaxShares {
		// The classes with the smallest parts free the most capacity.
		slices.SortStableFunc(out, func(x, y Share) int { return cmp.Compare(x.Part, y.Part) })
		out = out[:MaxShares]
	}
	return out
}

func (a *Allocator) forget(now time.Duration, name string, p *pool) {
	maps.DeleteFunc(p.classes, func(_ Class, c *demand) bool {
		old := now-c.at > forgetAfter
		if old {
			a.classes--
		}
		return old
	})
	if len(p.classes) == 0 {
		delete(a.pools, name)
	}
}

func (a *Allocator) poolShares(now time.Duration, name string, p *pool) []Share {
	var claims []claim
	tenants := map[string]float64{}
	for class, c := range p.classes {
		asked := p.perSecond(now, &c.asked) * p.runTime(now, c)
		if asked > 0 {
			claims = append(claims, claim{class: class, asked: asked})
			tenants[class.Tenant] += asked
		}
	}
	total := 0.0
	for _, asked := range tenants {
		total += asked
	}
	if total <= p.capacity() {
		return nil
	}
	capacity := p.capacity() * min(max(1/max(p.load(), 1), minDrainFactor), 1)
	allocate(capacity, claims)
	equal := capacity / float64(len(tenants))
	granted := map[string]float64{}
	var out []Share
	for _, c := range claims {
		granted[c.class.Tenant] += c.granted
		if c.granted < c.asked {
			out = append(out, Share{Class: c.class, Part: math.Round(c.granted/c.asked*1e4) / 1e4, Over: tenants[c.class.Tenant] > equal})
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(granted)) {
		if len(a.parts) < maxTenantParts {
			a.parts = append(a.parts, TenantPart{Pool: name, Tenant: tenant, Part: granted[tenant] / tenants[tenant]})
		}
	}
	return out
}

// TenantParts returns what tenants of limited pools get by the last Shares, at most 32.
func (a *Allocator) TenantParts() []TenantPart { return a.parts }

// Limited returns the pools that have had shares recently as of the last Shares, sorted.
func (a *Allocator) Limited() []string { return a.limited }
