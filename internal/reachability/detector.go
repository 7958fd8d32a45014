// Package reachability detects that this process has lost the path to all back ends of a pool while
// the coordinators still receive their heartbeats.
//
// A failed connect shows neither whether the back end is down nor whether others are. A Detector
// therefore asks for a check: connects to several back ends of the pool at once. The path is lost if
// none of them succeeds, and is checked again until they do.
package reachability

import (
	"slices"
	"sync"
	"time"
)

const (
	// CheckSize is the number of back ends to which a check connects. A back end that is down may
	// be among them, so that one is not enough.
	CheckSize = 4
	// RecheckSize is the number of back ends to which a check connects while the path is lost. All
	// must be reached, since a path to few back ends does not carry the pool's requests.
	RecheckSize = 2
	// recheckInterval is the time between two checks while the path is lost.
	recheckInterval = 400 * time.Millisecond
	// checkPause is the time without a check after one that reached a back end. It bounds the
	// connects to a pool in which a back end keeps failing.
	checkPause = 500 * time.Millisecond
	// respondedWindow is the time after a response within which open connections to the pool are
	// taken to work although no new one can be opened, and trialInterval the time between two
	// requests that find out.
	respondedWindow = time.Second
	trialInterval   = 500 * time.Millisecond
)

// Verdict is what a Detector knows of the path to a pool.
type Verdict int

const (
	// Reachable is the verdict without evidence to the contrary.
	Reachable Verdict = iota
	// Checking means that an attempt failed and a check is running.
	Checking
	// Lost means that no back end of the pool can be reached.
	Lost
)

// Detector keeps the verdict on each pool. It is safe for concurrent use. Times are those of one
// steady clock. A nil Detector finds all pools reachable.
type Detector struct {
	mu    sync.Mutex
	pools map[string]*path
}

// path is the path to one pool.
type path struct {
	verdict Verdict
	// connectedAt is the time of the last successful connect, and checkedAt the end of the last
	// check.
	connectedAt, checkedAt time.Duration
	checking               bool
	// respondedAt is the time of the last response, and triedAt that of the last trial.
	respondedAt, triedAt time.Duration
	// since is when the verdict became Lost.
	since time.Duration
}

// NewDetector returns a Detector that finds all pools reachable.
func NewDetector() *Detector { return &Detector{pools: map[string]*path{}} }

func (d *Detector) path(pool string) *path {
	p := d.pools[pool]
	if p == nil {
		// Times before the start of the clock allow a check at once.
		p = &path{connectedAt: -checkPause, checkedAt: -checkPause, respondedAt: -respondedWindow, triedAt: -trialInterval}
		d.pools[pool] = p
	}
	return p
}

// Connected records a successful connect to a back end of a pool.
func (d *Detector) Connected(now time.Duration, pool string) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.path(pool).connectedAt = now
}

// Responded records a response of a back end of a pool.
func (d *Detector) Responded(now time.Duration, pool string) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.path(pool).respondedAt = now
}

// MayTry reports whether a request may be sent to a pool from here although the path is lost: while
// open connections get responses, which an overloaded pool sends as well, and else as a trial now and
// then.
func (d *Detector) MayTry(now time.Duration, pool string) bool {
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(pool)
	if p.verdict != Lost || now-p.respondedAt < respondedWindow {
		return true
	}
	if now-p.triedAt < trialInterval {
		return false
	}
	p.triedAt = now
	return true
}

// Failed records that a connect failed, or that an open connection was lost, in an attempt that was
// started at a time. It reports whether the caller must run a check and pass its result to Checked.
func (d *Detector) Failed(now, started time.Duration, pool string) (check bool) {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(pool)
	if p.checking || p.verdict == Lost || p.connectedAt > started || now-p.checkedAt < checkPause {
		return false
	}
	p.checking, p.verdict = true, Checking
	return true
}

// Due returns the pools whose lost path must be checked again. The caller must pass the results to
// Checked.
func (d *Detector) Due(now time.Duration) []string {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []string
	for name, p := range d.pools {
		if p.verdict == Lost && !p.checking && now-p.checkedAt >= recheckInterval {
			p.checking = true
			due = append(due, name)
		}
	}
	return due
}

// Result is the result of a check.
type Result struct {
	// Tried is the number of back ends to which a connect was tried, and Reached the number of those
	// that were reached.
	Tried, Reached int
}

// Checked records the end of a check. It returns the verdict, whether it has changed between Lost and
// the others, and for how long the path was lost.
func (d *Detector) Checked(now time.Duration, pool string, r Result) (verdict Verdict, changed bool, lostFor time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(pool)
	before := p.verdict
	p.checking, p.checkedAt = false, now
	switch {
	case before == Lost && r.Tried > 0 && r.Reached < r.Tried, before != Lost && r.Tried > 0 && r.Reached == 0:
		p.verdict = Lost
	default:
		p.verdict = Reachable
	}
	if p.verdict == Lost && before != Lost {
		p.since = now
	}
	return p.verdict, (p.verdict == Lost) != (before == Lost), now - p.since
}

// Verdict returns the verdict on the path to a pool.
func (d *Detector) Verdict(pool string) Verdict {
	if d == nil {
		return Reachable
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[pool]; p != nil {
		return p.verdict
	}
	return Reachable
}

// Lost returns the pools to which the path is lost, sorted.
func (d *Detector) Lost() []string {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var lost []string
	for name, p := range d.pools {
		if p.verdict == Lost {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// LostFor returns for how long the path to a pool has been lost; 0 if it is not.
func (d *Detector) LostFor(now time.Duration, pool string) time.Duration {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[pool]; p != nil && p.verdict == Lost {
		return now - p.since
	}
	return 0
}
