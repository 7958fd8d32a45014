package backends

import (
	"math/rand/v2"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/reachability"
)

// SetPaths sets the detector of lost paths. It must be called before the pool is used.
func (p *Pool) SetPaths(paths *reachability.Detector) { p.paths = paths }

// PathKnown reports whether failures at a back end may be reported to others: not while the path of
// this process to its pool is lost or being checked.
func (p *Pool) PathKnown(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	return r == nil || p.paths.Verdict(r.Pool) == reachability.Reachable
}

// sortTroubles splits troubles into those to report now and those to report once the path to their
// pool has been checked. Failures to reach engines over a lost path are dropped, as they are not the
// engines'.
func (p *Pool) sortTroubles(troubles []coordapi.Trouble) (report, later []coordapi.Trouble) {
	for _, t := range troubles {
		r := p.rows[t.ID]
		if r == nil || (t.Kind != coordapi.Failed && t.Kind != coordapi.Unreachable) {
			report = append(report, t)
			continue
		}
		switch p.paths.Verdict(r.Pool) {
		case reachability.Reachable:
			report = append(report, t)
		case reachability.Checking:
			later = append(later, t)
		case reachability.Lost:
		}
	}
	return report, later
}

// Sample returns the addresses of up to size random back ends of a pool that are up according to the
// coordinators.
func (p *Pool) Sample(pool string, size int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sample []string
	seen := 0
	for _, r := range p.rows {
		if r.Pool != pool || r.noHeartbeat || r.unlisted || r.wrongInstance || r.Draining {
			continue
		}
		seen++
		if len(sample) < size {
			sample = append(sample, r.Address)
		} else if i := rand.IntN(seen); i < size {
			sample[i] = r.Address
		}
	}
	return sample
}

// ForgetFailures drops what this process has observed of failures at the back ends of a pool, after
// they turned out to be failures of its own path.
func (p *Pool) ForgetFailures(pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rows {
		if r.Pool == pool {
			p.index.activate(r)
			r.failureRate, r.busyUntil = 0, 0
		}
	}
}
