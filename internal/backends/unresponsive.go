package backends

import (
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

const (
	// firstEventGrace is the time without a first event, beyond the expected prefill time, after
	// which an engine with waiting requests counts as unresponsive. It exceeds the routers' report
	// interval.
	firstEventGrace = time.Second
	// minUnanswered is the least number of waiting requests: a single one may be delayed for other
	// reasons.
	minUnanswered = 3
)

const (
	// initialReportDelay is the report delay assumed before the first report.
	initialReportDelay = 200 * time.Millisecond
	// reportWeight is the weight of one report in the mean delay. maxReportDelays is the multiple
	// of the mean after which a report is overdue.
	reportWeight    = 0.02
	maxReportDelays = 2
)

// recordSent records a request that the engine has not begun to answer.
func (r *row) recordSent(now time.Duration) {
	if r.unanswered == 0 {
		r.lastProgress, r.prefillStart = now, now
	}
	r.unanswered++
}

// unresponsive reports whether an engine no longer answers, according to the routers' reports. This
// detects a crash that leaves connections open sooner than missing heartbeats do. The engine is
// eligible again once the waiting requests have ended.
func (p *Pool) unresponsive(now time.Duration, r *row, rate speed.TokensPerMs) bool {
	return p.central && r.unanswered >= minUnanswered && now-r.lastProgress > firstEventGrace+r.prefillRate(rate).Wait(p.remainingPrefill(r.lastProgress, r, rate))
}

// UnresponsiveEngines returns the number of engines that no longer answer, according to the
// routers' reports.
func (p *Pool) UnresponsiveEngines(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.rows {
		if r.IsEngine() && p.unresponsive(now, r, entry(p.prefill, r.Pool).Rate()) {
			n++
		}
	}
	return n
}
