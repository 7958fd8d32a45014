package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

const (
	// quietTime is how much longer than it reads an engine with waiting requests
	// may show no sign of life: routers report first events within a second.
	quietTime = time.Second
	// quietLeast is how many requests must wait for it: one may be held up by
	// something else.
	quietLeast = 3
)

const (
	// firstReportDelay is assumed before reports were heard: routers have something to
	// say to the leader several times a second.
	firstReportDelay = 200 * time.Millisecond
	// reportGain is the weight of one report in the mean delay, and reportFactor how
	// many times the mean a report may take.
	reportGain   = 0.02
	reportFactor = 2
)

// await notes a request that an engine has not begun to answer.
func (r *row) await(now time.Duration) {
	if r.unbegun == 0 {
		r.quietFrom, r.readFrom = now, now
	}
	r.unbegun++
}

// quiet tells whether an engine has stopped to answer, for all that routers have
// reported. One that crashes without closing its connections says nothing; its
// heartbeats are missed seconds later. It is asked again once those that wait for
// it have given up.
func (p *Pool) quiet(now time.Duration, r *row, rate speed.TokensPerMs) bool {
	return p.drains && r.unbegun >= quietLeast && now-r.quietFrom > quietTime+rate.Wait(p.unreadOf(r.quietFrom, r, rate))
}

// UnresponsiveEngines is how many engines have stopped to answer, for all that routers have
// reported.
func (p *Pool) UnresponsiveEngines(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.rows {
		if r.IsEngine() && p.quiet(now, r, entry(p.reading, r.Pool).Rate()) {
			n++
		}
	}
	return n
}
