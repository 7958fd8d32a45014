package ratelimit

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// settleTime is the time from the beginning of a leadership within which the routers report what
	// they run. Brittle back ends get no permits before.
	settleTime = time.Second
	// inheritTime is the time from the beginning of a leadership for which these reports count beside the
	// leader's own permits, which are held no longer, and loadTimeout that after which a router's last
	// report does not count any more.
	inheritTime = grantRetention
	loadTimeout = 1500 * time.Millisecond
)

// routerLoad is what a router runs at plain back ends beyond the permits of this leader, as of its last
// report.
type routerLoad struct {
	at      time.Duration
	running map[coordapi.BackendID]int
}

// ReportLoads records what a router runs: its permits are held for it, and for a time it may include requests
// that a former leader has permitted.
func (l *Limiter) ReportLoads(now time.Duration, router string, loads []coordapi.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdReported(now, router, loads)
	if !l.leading || now >= l.leadingSince+inheritTime {
		l.loads = nil
		return
	}
	running := map[coordapi.BackendID]int{}
	before, known := l.loads[router]
	for _, load := range loads {
		id := coordapi.BackendID(load.ID)
		if load.Engine {
			continue
		}
		running[id] = max(load.Running-l.reportedPermits(now, router, id), 0)
		if known && now >= l.leadingSince+settleTime {
			// Only this leader's permits have added to what the router ran then.
			if before.running[id] == 0 {
				running[id] = 0
			}
		}
	}
	if l.loads == nil {
		l.loads = map[string]routerLoad{}
	}
	l.loads[router] = routerLoad{now, running}
}

// reportedPermits returns the number of this leader's permits that a router's report of now includes: a
// permit is used some time after its grant, and the report was made some time ago.
func (l *Limiter) reportedPermits(now time.Duration, router string, id coordapi.BackendID) int {
	a := l.accounts[id]
	if a == nil {
		return 0
	}
	count := 0
	for key := range a.running {
		if key.router == router && now-l.issued[key].at > reportSkew {
			count++
		}
	}
	return count
}

// inheritedRunning returns the number of requests that run at a back end beyond those with a permit of this
// leader.
func (l *Limiter) inheritedRunning(now time.Duration, id coordapi.BackendID) int {
	if now >= l.leadingSince+inheritTime {
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
