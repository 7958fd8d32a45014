package backends

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/liveness"
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

// notResponding reports whether the leader takes an engine for one that does not respond: its
// heartbeats are overdue, or its running streams have stopped.
func (r *row) notResponding() bool { return r.noHeartbeat || r.listed }

// EngineState returns what the leader's list of unresponsive engines depends on. Known is false if
// the back end has no row or is no engine.
func (p *Pool) EngineState(id string) (state liveness.Engine, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	if r == nil || !r.IsEngine() {
		return state, false
	}
	return liveness.Engine{Streams: max(r.running-r.unanswered, 0), Silent: r.noHeartbeat}, true
}

// minResponding is the part of a pool's engines that has to respond for the pool to be in service.
const minResponding = 0.25

// Pauses reports whether nearly all engines of a pool do not respond. They may go on with what they run.
func (p *Pool) Pauses(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index == nil || len(p.notes.Silent)+len(p.notes.Unresponsive) == 0 {
		return false
	}
	stopped := map[string]struct{}{}
	for _, id := range slices.Concat(p.notes.Silent, p.notes.Unresponsive) {
		if r := p.rows[id]; r != nil && r.Pool == pool && r.IsEngine() {
			stopped[id] = struct{}{}
		}
	}
	all := p.index.pool(pool).size()
	return float64(all-len(stopped)) < minResponding*float64(all)
}

// NotResponding reports whether the leader takes a back end for one that does not respond. It returns
// false for one without a row.
func (p *Pool) NotResponding(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[id]
	return r != nil && r.notResponding()
}

// EngineStatus returns whether the leader lists the attempt's engine as unresponsive, and whether
// nothing more can arrive from it: its row was removed, or it is listed and its heartbeats are
// overdue.
func (a *Attempt) EngineStatus() (listed, lost bool) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	listed = slices.Contains(p.notes.Unresponsive, a.backendID)
	removed := a.row != nil && a.row.removed && p.rows[a.backendID] == nil
	return listed, removed || (listed && slices.Contains(p.notes.Silent, a.backendID))
}
