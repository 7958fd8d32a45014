package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// reportTTL is how long a permit is held after its router last reported the request as running.
	// Routers that run requests report at least once per second.
	reportTTL = 3 * time.Second
	// useDelay is the time after a grant within which a report may not include its request.
	useDelay = PermitTTL + reportSkew
)

// SetLongestTimeout sets the longest time that a request may take. No permit is held for longer.
func (l *Limiter) SetLongestTimeout(timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestTimeout = timeout
}

// holdReported holds the permits of the requests that a router reports as running.
func (l *Limiter) holdReported(now time.Duration, router string, loads []coordapi.Load) {
	if len(l.accounts) == 0 {
		return
	}
	for _, load := range loads {
		if a := l.accounts[coordapi.BackendID(load.ID)]; a != nil && a.isBrittle() && !load.Engine {
			l.hold(now, a, router, load.Running)
		}
	}
}

// hold holds as many permits of a router at a back end as it runs requests there. Reports name no
// permits: if they are more than the requests, the oldest are those whose ends were lost. Permits of routers
// that report no ends are not held.
func (l *Limiter) hold(now time.Duration, a *account, router string, requests int) {
	a.countRunning(now)
	var keys []grantKey
	for key, held := range a.running {
		if key.router == router && held.finishes && now-l.issued[key].at > useDelay {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y grantKey) int {
		return cmp.Or(cmp.Compare(l.issued[y].at, l.issued[x].at), cmp.Compare(y.number, x.number))
	})
	for _, key := range keys[:min(len(keys), max(requests, 0))] {
		held := a.running[key]
		held.until = min(max(held.until, now+reportTTL), l.issued[key].at+max(l.longestTimeout, grantRetention))
		a.running[key] = held
	}
}

// holds reports whether a permit is held for a request that has not ended.
func (l *Limiter) holds(now time.Duration, key grantKey, g grant) bool {
	a := l.accounts[g.backend]
	if a == nil {
		return false
	}
	held, is := a.running[key]
	return is && now <= held.until
}
