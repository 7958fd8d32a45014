package fairshare

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// shareTTL is how long announced shares hold, a few announcements.
	shareTTL = 2 * time.Second
	// maxReportAge is the age from which unreported demand is dropped: a leader that received it at
	// once would take it for a surge.
	maxReportAge = 2 * time.Second
	// maxDemands bounds a report. Classes beyond it are not reported, and admitted.
	maxDemands = 128
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request before jitter of up
	// to half of it.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Gate is a router's side. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	shares      map[Class]Share
	announcedAt time.Duration
	demands     map[Class]*Demand
	reportedAt  time.Duration
}

// NewGate returns a gate that admits everything until shares are announced.
func NewGate() *Gate { return &Gate{demands: map[Class]*Demand{}} }

// SetShares replaces the shares announced by the leader.
func (g *Gate) SetShares(now time.Duration, shares []Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcedAt, g.shares = now, nil
	if len(shares) > 0 {
		g.shares = make(map[Class]Share, len(shares))
	}
	for _, s := range shares {
		g.shares[s.Class] = s
	}
}

// Admit counts a request and decides whether it may run. Draw and jitter are uniform in [0, 1). A
// refused request may be sent again after retryAfter; over is set if its tenant asks for more than
// its equal share.
func (g *Gate) Admit(now time.Duration, class Class, draw, jitter float64) (retryAfter time.Duration, over, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.demand(class); d != nil {
		d.Asked++
	}
	share, limited := g.shares[class]
	if !limited || now-g.announcedAt > shareTTL || draw < share.Part {
		return 0, false, true
	}
	// The smaller the share, the fewer attempts are of use.
	wait := min(float64(minRetryAfter)/max(share.Part, 1e-3), float64(maxRetryAfter))
	return time.Duration(wait * (1 + jitter/2)), share.Over, false
}

// Ran counts a complete answer, and the time from sending the request to the end of the answer.
func (g *Gate) Ran(class Class, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.demand(class); d != nil {
		d.Runs++
		d.Work += float64(took) / float64(time.Millisecond)
	}
}

// demand returns what is to be reported of a class, nil if there is too much.
func (g *Gate) demand(class Class) *Demand {
	d := g.demands[class]
	if d == nil && len(g.demands) < maxDemands {
		d = &Demand{Class: class}
		g.demands[class] = d
	}
	return d
}

// Demands returns the demand since the last call, sorted by class, and nothing if that is too long
// ago.
func (g *Gate) Demands(now time.Duration) []Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Demand
	if now-g.reportedAt <= maxReportAge {
		for _, d := range g.demands {
			out = append(out, *d)
		}
		slices.SortFunc(out, func(a, b Demand) int { return a.compare(b.Class) })
	}
	g.reportedAt = now
	clear(g.demands)
	return out
}

// Shares returns the shares that are in force.
func (g *Gate) Shares(now time.Duration) []Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.announcedAt > shareTTL {
		return nil
	}
	return slices.SortedFunc(maps.Values(g.shares), func(a, b Share) int { return a.compare(b.Class) })
}
