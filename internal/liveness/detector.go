package liveness

import (
	"maps"
	"slices"
	"time"
)

const (
	// minOverdue is the number of overdue streams from which an engine may be unresponsive. Two
	// suffice if the engine has no others.
	minOverdue = 3
	// reportTTL is how long a report counts. It exceeds the longest interval of reports, 1 s.
	reportTTL = 1500 * time.Millisecond
	// idleTime is the time without running streams after which an engine leaves the list. New
	// requests then show whether it responds.
	idleTime = 2 * time.Second
	// MaxListed bounds the list of unresponsive engines, which all routers receive.
	MaxListed = 256
)

// Detector finds unresponsive engines from the reports of all routers. It is not safe for
// concurrent use. The zero value is ready.
type Detector struct {
	engines map[string]*engineReports
	// reported maps routers to their last report, while it counts.
	reported map[string]*routerReport
	// listed is sorted and replaced when it changes.
	listed []string
}

// engineReports holds the last reports on an engine by router.
type engineReports struct {
	reports map[string]report
	// newest is the time of the newest event that any router reported.
	newest time.Duration
	// listedAt is when the engine was listed, 0 if it is not, and runningAt when it last had
	// running streams.
	listedAt  time.Duration
	runningAt time.Duration
}

type report struct {
	Stall
	at time.Duration
}

// routerReport is when a router reported, and on which engines.
type routerReport struct {
	at      time.Duration
	engines []string
}

// Engine describes an engine as the leader knows it apart from the reports.
type Engine struct {
	// Streams is the number of placed requests that have begun.
	Streams int
	// Silent is set if the engine's heartbeats are overdue.
	Silent bool
}

// Change is an engine that enters or leaves the list.
type Change struct {
	Engine string
	Listed bool
	// Streams, Overdue and Active are the sums of the reports in force, and Age is the age of the
	// newest event.
	Streams, Overdue, Active int
	Age                      time.Duration
}

// Report replaces a router's last report.
func (d *Detector) Report(now time.Duration, router string, stalls []Stall) {
	d.drop(router)
	if len(stalls) == 0 {
		return
	}
	if d.engines == nil {
		d.engines, d.reported = map[string]*engineReports{}, map[string]*routerReport{}
	}
	stalls = stalls[:min(len(stalls), MaxStalls)]
	ids := make([]string, 0, len(stalls))
	for _, s := range stalls {
		e := d.engines[s.Engine]
		if e == nil {
			e = &engineReports{reports: map[string]report{}}
			d.engines[s.Engine] = e
		}
		if _, repeated := e.reports[router]; !repeated {
			ids = append(ids, s.Engine)
		}
		e.reports[router] = report{s, now}
		e.newest = max(e.newest, now-max(s.Age, 0))
	}
	d.reported[router] = &routerReport{now, ids}
}

// drop removes a router's last report.
func (d *Detector) drop(router string) {
	last := d.reported[router]
	if last == nil {
		return
	}
	for _, id := range last.engines {
		delete(d.engines[id].reports, router)
	}
	delete(d.reported, router)
}

// expireReports drops the reports of routers that no longer report. A router has another name after
// a restart.
func (d *Detector) expireReports(now time.Duration) {
	for router, last := range d.reported {
		if now-last.at > reportTTL {
			d.drop(router)
		}
	}
}

// Event records an event that a router reported otherwise than by a Stall. Events of engines without
// reports are ignored.
func (d *Detector) Event(at time.Duration, engine string) {
	if e := d.engines[engine]; e != nil {
		e.newest = max(e.newest, at)
	}
}

// Listed returns the unresponsive engines as of the last Check, sorted. The result is not modified
// later.
func (d *Detector) Listed() []string { return d.listed }

// Check updates the list of unresponsive engines and returns its changes. Engine returns what the
// leader knows of an engine; known is false if it has no row.
func (d *Detector) Check(now time.Duration, engine func(id string) (state Engine, known bool)) []Change {
	d.expireReports(now)
	if len(d.engines) == 0 {
		return nil
	}
	var changes []Change
	listed := len(d.listed)
	for _, id := range slices.Sorted(maps.Keys(d.engines)) {
		e := d.engines[id]
		state, known := engine(id)
		c, stalled := e.evaluate(now, state)
		c.Engine = id
		switch {
		case e.listedAt == 0 && known && stalled && listed < MaxListed:
			e.listedAt = now
			listed++
		case e.listedAt > 0 && (!known || e.recovered(now, state)):
			e.listedAt = 0
			listed--
		default:
			if !known || (e.listedAt == 0 && len(e.reports) == 0) {
				d.forget(id)
			}
			continue
		}
		c.Listed = e.listedAt > 0
		changes = append(changes, c)
		if !known {
			d.forget(id)
		}
	}
	if len(changes) > 0 {
		d.listed = nil
		for _, id := range slices.Sorted(maps.Keys(d.engines)) {
			if d.engines[id].listedAt > 0 {
				d.listed = append(d.listed, id)
			}
		}
	}
	return changes
}

// evaluate sums up the reports in force and decides whether the engine's streams have stopped. A
// report shows that only if it was made EventWindow after the newest event of any router: the
// streams of an older one may have had events since.
func (e *engineReports) evaluate(now time.Duration, state Engine) (sum Change, stalled bool) {
	overdue := 0
	for _, r := range e.reports {
		sum.Streams += r.Streams
		sum.Overdue += r.Overdue
		sum.Active += r.Active
		if r.at-e.newest > EventWindow {
			overdue += r.Overdue
		}
	}
	if sum.Streams > 0 {
		e.runningAt = now
	}
	sum.Age = now - e.newest
	return sum, overdue >= minOverdue || (overdue == 2 && max(sum.Streams, state.Streams) == 2)
}

// recovered reports whether a listed engine leaves the list: an event since then was reported, or
// there are no streams by which it could show one and its heartbeats arrive. Earlier events do not
// count: routers whose streams were not overdue yet report theirs late, when most streams have been
// resumed elsewhere and too few are left to list the engine again.
func (e *engineReports) recovered(now time.Duration, state Engine) bool {
	return e.newest > e.listedAt || (!state.Silent && now-e.runningAt > idleTime)
}

// forget removes an engine. Reports that named it are ignored.
func (d *Detector) forget(id string) {
	for router := range d.engines[id].reports {
		last := d.reported[router]
		last.engines = slices.DeleteFunc(last.engines, func(other string) bool { return other == id })
	}
	delete(d.engines, id)
}
