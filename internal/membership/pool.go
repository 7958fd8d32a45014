// Package membership maintains a router's view of its back ends. It combines the list and the load
// reports of the control node with the results of the router's own requests, and builds the
// snapshots that placement works on.
package membership

import (
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Durations of the health checks.
const (
	// initialSuspicion is the time for which a machine is suspect after a failed request. It
	// doubles with each further failure, up to maxSuspicion.
	initialSuspicion = time.Second
	maxSuspicion     = 8 * time.Second
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 3 * time.Second
	// ReportLag is the assumed age of a load report when the control node receives it.
	ReportLag = 250 * time.Millisecond
	// TypicalServiceTime is the assumed time for which a sequence occupies a decode slot.
	TypicalServiceTime = 700 * time.Millisecond
)

// dispatch is work that the router sent and that no load report includes yet.
type dispatch struct {
	at     time.Duration
	tokens int
}

type entry struct {
	machine controlapi.Machine
	key     uint64
	load    controlapi.LoadRow
	// reportedAt is the time of the load's measurement, by the router's clock.
	reportedAt   time.Duration
	reported     bool
	unreported   []dispatch // sent after reportedAt
	failures     int        // since the last success
	suspectUntil time.Duration
	// refusedWork is set once the machine itself rejected new work, which may be before the
	// control node lists it as leaving.
	refusedWork bool
}

func (e *entry) leaving() bool { return e.refusedWork || e.machine.Leaving }

// Pool is the set of known back ends. It is safe for concurrent use. Time is an argument, so that
// the simulator can use it.
type Pool struct {
	// prefillRate returns the prompt tokens per second of an engine that serves a model.
	prefillRate func(model string) float64

	mu      sync.Mutex
	order   []string
	entries map[string]*entry
}

// NewPool returns an empty pool. The prefillRate function returns the prompt tokens per second of
// an engine that serves a model.
func NewPool(prefillRate func(model string) float64) *Pool {
	return &Pool{prefillRate: prefillRate, entries: map[string]*entry{}}
}

// SetMachines replaces the list of machines. The state of a machine is kept if its incarnation is
// the same.
func (p *Pool) SetMachines(machines []controlapi.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.entries
	p.entries = make(map[string]*entry, len(machines))
	p.order = p.order[:0]
	for _, m := range machines {
		e := previous[m.ID]
		if e == nil || e.machine.Incarnation != m.Incarnation {
			e = &entry{key: scheduling.EndpointKey(m.ID)}
		}
		if e.machine.Leaving && !m.Leaving {
			e.refusedWork = false // the machine is no longer leaving
		}
		e.machine = m
		p.entries[m.ID] = e
		p.order = append(p.order, m.ID)
	}
}

// SetLoad records a load report of a machine. A report with a negative age is ignored: the machine
// has never reported its load.
func (p *Pool) SetLoad(now time.Duration, id string, row controlapi.LoadRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || row[controlapi.LoadAge] < 0 {
		return
	}
	e.load = row
	e.reported = true
	e.reportedAt = now - time.Duration(row[controlapi.LoadAge])*time.Millisecond - ReportLag
	e.dropReported()
}

// dropReported drops dispatched work that the last load report includes.
func (e *entry) dropReported() {
	kept := e.unreported[:0]
	for _, d := range e.unreported {
		if d.at > e.reportedAt {
			kept = append(kept, d)
		}
	}
	e.unreported = kept
}

// RecordDispatch records that a request with the given number of uncached prompt tokens was sent to
// a machine.
func (p *Pool) RecordDispatch(now time.Duration, id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.unreported = append(e.unreported, dispatch{at: now, tokens: tokens})
	}
}

// RecordFailure records that a machine could not be reached or that its connection was lost, and
// makes the machine suspect for a time.
func (p *Pool) RecordFailure(now time.Duration, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return
	}
	suspicion := initialSuspicion << min(e.failures, 3)
	e.failures++
	e.suspectUntil = now + min(suspicion, maxSuspicion)
}

// RecordSuccess records a response of a machine and ends its suspicion.
func (p *Pool) RecordSuccess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.failures, e.suspectUntil = 0, 0
	}
}

// MarkDraining records that a machine rejected new work because it is leaving.
func (p *Pool) MarkDraining(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.refusedWork = true
	}
}

// MarkReplaced records that a machine no longer runs the given incarnation. It is excluded until
// the control node lists the new one.
func (p *Pool) MarkReplaced(id, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.machine.Incarnation != incarnation {
		return
	}
	e.machine.Incarnation = ""
}

// Address returns the address of a machine, or "" if it is not listed.
func (p *Pool) Address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		return e.machine.Address
	}
	return ""
}

// Snapshot returns the engines with their estimated waiting times and health at now.
func (p *Pool) Snapshot(now time.Duration) *scheduling.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &scheduling.Snapshot{Endpoints: make([]scheduling.Endpoint, 0, len(p.order))}
	for _, id := range p.order {
		e := p.entries[id]
		if e.machine.Role != controlapi.RoleEngine || e.machine.Incarnation == "" {
			continue
		}
		s.Endpoints = append(s.Endpoints, p.endpoint(now, e))
	}
	s.Summarize()
	return s
}

func (p *Pool) endpoint(now time.Duration, e *entry) scheduling.Endpoint {
	waiting := e.load[controlapi.LoadPrefillTokens]
	sequences := e.load[controlapi.LoadRunning] + e.load[controlapi.LoadWaiting]
	for _, d := range e.unreported {
		waiting += d.tokens
		sequences++
	}
	slots := max(e.machine.DecodeSlots, 1)
	wait := time.Duration(float64(waiting) / p.prefillRate(e.machine.Model) * float64(time.Second))
	if excess := sequences - slots; excess > 0 {
		wait += TypicalServiceTime * time.Duration(excess) / time.Duration(slots)
	}
	return scheduling.Endpoint{
		ID:             e.machine.ID,
		Key:            e.key,
		Zone:           e.machine.Zone,
		Model:          e.machine.Model,
		WeightsVersion: e.machine.WeightsVersion,
		Incarnation:    e.machine.Incarnation,
		State:          e.state(now),
		Wait:           wait,
	}
}

func (e *entry) state(now time.Duration) scheduling.State {
	switch {
	case e.leaving():
		return scheduling.Leaving
	case now < e.suspectUntil || !e.reported || now-e.reportedAt > maxReportAge:
		// An engine without a recent load report, such as one in a zone that the control
		// node does not cover, is used only if no other can serve.
		return scheduling.Suspect
	}
	return scheduling.Live
}

// Application is an application worker.
type Application struct {
	ID      string
	Address string
	Zone    string
	Suspect bool
}

// Applications returns the application workers that accept new work.
func (p *Pool) Applications(now time.Duration) []Application {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Application
	for _, id := range p.order {
		e := p.entries[id]
		if e.machine.Role != controlapi.RoleApplication || e.leaving() {
			continue
		}
		out = append(out, Application{ID: id, Address: e.machine.Address, Zone: e.machine.Zone, Suspect: now < e.suspectUntil})
	}
	return out
}
