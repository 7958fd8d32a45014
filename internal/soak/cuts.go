package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// cutDetection is the time after a cut within which routers need not serve yet.
	cutDetection = time.Second
	// minCutDuration and maxCutDuration bound the duration of a cut.
	minCutDuration = 500 * time.Millisecond
	maxCutDuration = 6 * time.Second
	// minCutCalls is the number of calls at cut routers from which their share is checked.
	minCutCalls = 30
	// minCutShare is the share of the calls at other routers that are served, of which cut routers must
	// serve as much.
	minCutShare = 2.0 / 3
	// checkCutRouters is the name of the check in KNOWN-RED.txt.
	checkCutRouters = "soak-cut-routers"
)

// cuts holds the routers that are cut from all back ends, by the IP addresses of their connections. It
// is safe for concurrent use. A nil cuts holds none.
type cuts struct {
	mu sync.Mutex
	// active counts the cuts by address.
	active map[string]int
	past   []cut
}

// cut is one cut of some routers, by their names.
type cut struct {
	routers  []string
	from, to time.Duration
}

func (c *cuts) isCut(source string) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[source] > 0
}

func (c *cuts) add(sources map[string]bool, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = map[string]int{}
	}
	for source := range sources {
		c.active[source] += change
	}
}

// cutRouters cuts up to half of the routers from all back ends, also from those that start meanwhile:
// open connections are reset, and new ones as soon as they are accepted.
func (s *Soak) cutRouters(ctx context.Context, r *rand.Rand) {
	shuffled := slices.Clone(s.routers)
	r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	chosen := shuffled[:1+r.IntN(max(len(shuffled)/2, 1))]
	made, sources := cut{from: s.now()}, map[string]bool{}
	for _, p := range chosen {
		made.routers = append(made.routers, p.name)
		sources[p.source] = true
	}
	s.cuts.add(sources, 1)
	for _, b := range s.listBackends() {
		b.proxy.resetFrom(sources)
	}
	wait(ctx, minCutDuration+time.Duration(r.Int64N(int64(maxCutDuration-minCutDuration))))
	s.cuts.add(sources, -1)
	made.to = s.now()
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	s.cuts.past = append(s.cuts.past, made)
}

// checkCuts compares what cut routers served with what the others served in the same times. Calls at
// routers with another fault are left out.
func (s *Soak) checkCuts(calls []*call) {
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	for _, c := range calls {
		wasCut, beside := s.cutState(c)
		if !wasCut && !beside {
			continue
		}
		if c.flood || s.disturbed(c.sent, func(d *disturbance) bool { return d.router == c.router }) {
			continue
		}
		served := 0
		if c.served() {
			served = 1
		}
		if wasCut && !s.someRouterServes(c.sent) {
			continue
		}
		if wasCut {
			s.report.CutCalls++
			s.report.CutServed += served
		} else {
			s.report.BesideCalls++
			s.report.BesideServed += served
		}
	}
	r := &s.report
	if r.CutCalls < minCutCalls || r.BesideCalls < minCutCalls {
		return
	}
	cutShare, besideShare := float64(r.CutServed)/float64(r.CutCalls), float64(r.BesideServed)/float64(r.BesideCalls)
	if cutShare < minCutShare*besideShare {
		s.recordCheck(checkCutRouters, "routers that were cut from all back ends served %d of %d calls, the others %d of %d", r.CutServed, r.CutCalls, r.BesideServed, r.BesideCalls)
	}
}

// someRouterServes reports whether a router was neither cut nor had another fault at a time, so that
// cut routers could pass requests on.
func (s *Soak) someRouterServes(at time.Duration) bool {
	return slices.ContainsFunc(s.routers, func(p *program) bool {
		isCut := slices.ContainsFunc(s.cuts.past, func(k cut) bool { return k.from <= at && at < k.to && slices.Contains(k.routers, p.name) })
		return !isCut && !s.disturbed(at, func(d *disturbance) bool { return d.router == p.name })
	})
}

// cutState reports whether a call went to a router that was cut, after cutDetection and until the cut
// ended, and whether it went to another one in the same time.
func (s *Soak) cutState(c *call) (wasCut, beside bool) {
	for _, k := range s.cuts.past {
		switch {
		case c.sent < k.from || c.sent >= k.to:
		case c.sent < k.from+cutDetection && slices.Contains(k.routers, c.router):
			return false, false
		case c.sent < k.from+cutDetection:
		case slices.Contains(k.routers, c.router):
			wasCut = true
		default:
			beside = true
		}
	}
	return wasCut, beside && !wasCut
}
