// Package membership is a router's picture of its back ends: control's list and
// load reports, joined with what the router's own attempts show. It makes the
// snapshots that placement decides over.
package membership

import (
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Times of the health rules.
const (
	// firstSuspicion is how long an engine is avoided after one failed attempt.
	// It doubles with each further one up to longestSuspicion.
	firstSuspicion   = time.Second
	longestSuspicion = 8 * time.Second
	// staleReport is the age from which a load report does not count.
	staleReport = 3 * time.Second
	// ReportLag is how old a load report already is when control gets it.
	ReportLag = 250 * time.Millisecond
	// TypicalServiceTime is the assumed time that a sequence holds a decode slot.
	TypicalServiceTime = 700 * time.Millisecond
)

// dispatch is work that the router sent and that no report counts yet.
type dispatch struct {
	at     time.Duration
	tokens int
}

type entry struct {
	machine controlapi.Machine
	key     uint64
	load    controlapi.LoadRow
	// reportedAt is when the load was true, by the router's clock.
	reportedAt time.Duration
	reported   bool
	recent     []dispatch
	failures   int
	suspect    time.Duration
	// drained says that the machine itself refused new work, before control
	// told.
	drained bool
}

func (e *entry) leaving() bool { return e.drained || e.machine.Leaving }

// Pool holds the back ends. It is safe for concurrent use; time is an
// argument, so that the simulator runs it too.
type Pool struct {
	// prefillRate is an engine's prompt tokens a second, by model.
	prefillRate func(model string) float64

	mu      sync.Mutex
	order   []string
	entries map[string]*entry
}

// NewPool returns an empty pool.
func NewPool(prefillRate func(model string) float64) *Pool {
	return &Pool{prefillRate: prefillRate, entries: map[string]*entry{}}
}

// SetMachines replaces the list.
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
			e.drained = false // it is back
		}
		e.machine = m
		p.entries[m.ID] = e
		p.order = append(p.order, m.ID)
	}
}

// SetLoad notes a load report of a machine.
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
	e.forgetCounted()
}

// forgetCounted drops work that the report counts already.
func (e *entry) forgetCounted() {
	kept := e.recent[:0]
	for _, d := range e.recent {
		if d.at > e.reportedAt {
			kept = append(kept, d)
		}
	}
	e.recent = kept
}

// RecordDispatch notes that work of so many uncached tokens was sent to a machine.
func (p *Pool) RecordDispatch(now time.Duration, id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.recent = append(e.recent, dispatch{at: now, tokens: tokens})
	}
}

// RecordFailure notes that an attempt could not reach a machine or lost it.
func (p *Pool) RecordFailure(now time.Duration, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return
	}
	pause := firstSuspicion << min(e.failures, 3)
	e.failures++
	e.suspect = now + min(pause, longestSuspicion)
}

// RecordSuccess notes that a machine answered.
func (p *Pool) RecordSuccess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.failures, e.suspect = 0, 0
	}
}

// MarkDraining notes that a machine itself refused new work because it is leaving.
func (p *Pool) MarkDraining(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.drained = true
	}
}

// MarkReplaced notes that a machine was found in another incarnation. It is not
// used until control tells the new one.
func (p *Pool) MarkReplaced(id, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.machine.Incarnation != incarnation {
		return
	}
	e.machine.Incarnation = ""
}

// Address returns where a machine is reached.
func (p *Pool) Address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		return e.machine.Address
	}
	return ""
}

// Snapshot returns the engines as placement sees them at now.
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
	for _, d := range e.recent {
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
	case now < e.suspect || !e.reported || now-e.reportedAt > staleReport:
		// An engine whose load is not known, such as one of a zone that the
		// control node does not watch, serves only when no other can.
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

// Applications returns the application workers that take new work.
func (p *Pool) Applications(now time.Duration) []Application {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Application
	for _, id := range p.order {
		e := p.entries[id]
		if e.machine.Role != controlapi.RoleApplication || e.leaving() {
			continue
		}
		out = append(out, Application{ID: id, Address: e.machine.Address, Zone: e.machine.Zone, Suspect: now < e.suspect})
	}
	return out
}
