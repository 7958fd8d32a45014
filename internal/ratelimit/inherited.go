package ratelimit

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// settleTime is the time from the beginning of a leadership within which the routers report what
	// they run. Brittle back ends get no permits before.
	settleTime = time.Second
	// inheritTime is the least time from the beginning of a leadership for which these reports count beside
	// the leader's own permits, and loadTimeout that after which a router's last report does not count any more.
	inheritTime = grantRetention
	loadTimeout = 1500 * time.Millisecond
)

// routerLoad is what a router runs at plain back ends beyond the permits of this leader, as of its last
// report.
type routerLoad struct {
	at      time.Duration
	running map[coordapi.BackendID]int
}

// inheritedUntil returns the end of the time in which requests may run that a former leader has permitted: none
// runs for longer than the longest time.
func (l *Limiter) inheritedUntil() time.Duration {
	return l.leadingSince + max(l.longestTimeout, inheritTime)
}

// ReportLoads records what a router runs: its permits are held for it, and for a time it may include requests
// that a former leader has permitted.
func (l *Limiter) ReportLoads(now time.Duration, router string, loads []coordapi.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdReported(now, router, loads)
	if !l.leading || now >= l.inheritedUntil() {
		l.loads = nil
		return
	}
	before, known := l.loads[router]
	settled := now >= l.leadingSince+settleTime
	after := routerLoad{now, map[coordapi.BackendID]int{}}
	for _, load := range loads {
		if load.Engine {
			continue
		}
		id := coordapi.BackendID(load.ID)
		var inherited int
		switch {
		case !settled:
			inherited = load.Running
		case known:
			inherited = l.stillInherited(now, router, id, load.Running, before.running[id])
		default:
			// What it ran when the leadership began is unknown.
			inherited = load.Running - l.permitsBefore(now, router, id)
		}
		if inherited > 0 {
			after.running[id] = inherited
		}
	}
	if l.loads == nil {
		l.loads = map[string]routerLoad{}
	}
	l.loads[router] = after
}

// stillInherited returns how many requests of a router at a back end have no permit of this leader, by a report
// of now and the number before it: 0 stays, as only this leader's permits have added to it.
func (l *Limiter) stillInherited(now time.Duration, router string, id coordapi.BackendID, running, before int) int {
	a := l.accounts[id]
	switch {
	case before == 0:
		return 0
	case a == nil || !a.isBrittle():
		return running - l.permitsBefore(now-reportSkew, router, id)
	}
	// The report includes the permits of which it is certain that they are in use.
	return min(running-l.permitsBefore(now-useDelay, router, id), before)
}

// permitsBefore returns the number of this leader's permits that a router got before a time for a back end.
func (l *Limiter) permitsBefore(at time.Duration, router string, id coordapi.BackendID) int {
	a := l.accounts[id]
	if a == nil {
		return 0
	}
	count := 0
	for key := range a.running {
		if key.router == router && l.issued[key].at < at {
			count++
		}
	}
	return count
}

// inheritedRunning returns the number of requests that run at a back end beyond those with a permit of this
// leader.
func (l *Limiter) inheritedRunning(now time.Duration, id coordapi.BackendID) int {
	if now >= l.inheritedUntil() {
		return 0
	}
	total := 0
	for _, load := range l.loads {
		if now-load.at <= loadTimeout {
			total += load.running[id]
		}
	}
	return total
}
