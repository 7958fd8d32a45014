package placer

import (
	"math"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// newTime is the time after its first message for which a leader waits for the loads of routers
	// before it grants requests that its predecessor had queued.
	newTime = time.Second
	// settleTime is the time for which a new leader grants nothing from a queue after it got a request
	// that the former leader had queued. Routers report their loads within this time in all but the
	// largest deployments.
	settleTime = 300 * time.Millisecond
)

// start is the state that a placer needs because it did not see the placements of its predecessor. It
// is ready to use.
type start struct {
	// firstMessage is the time of the first message of a router, 0 before it, and settledAt the time
	// before which nothing is granted from queues.
	firstMessage time.Duration
	settledAt    time.Duration
	// inherited are the loads by router and engine of the running requests of which this leader has no
	// placements, and totals their sums by engine. None ends for its age before expiresAt.
	inherited map[string]map[string]coordapi.Load
	totals    map[string]coordapi.Load
	expiresAt time.Duration
}

func (s *start) begin(now time.Duration) {
	if s.firstMessage == 0 {
		s.firstMessage = now
	}
}

// settle holds grants back after a request that the former leader had queued: the engines were full
// then.
func (s *start) settle(now time.Duration) {
	if s.isNew(now) {
		s.settledAt = s.firstMessage + settleTime
	}
}

func (s *start) isNew(now time.Duration) bool { return now-s.firstMessage < newTime }

// inherit replaces the inherited loads of a router and returns the IDs of the engines concerned.
func (s *start) inherit(router string, loads map[string]coordapi.Load) (engines []string) {
	if s.totals == nil {
		s.inherited, s.totals = map[string]map[string]coordapi.Load{}, map[string]coordapi.Load{}
	}
	for id, l := range s.inherited[router] {
		s.totals[id] = coordapi.Load{Running: s.totals[id].Running - l.Running, Memory: s.totals[id].Memory - l.Memory}
		engines = append(engines, id)
	}
	for id, l := range loads {
		s.totals[id] = coordapi.Load{Running: s.totals[id].Running + l.Running, Memory: s.totals[id].Memory + l.Memory}
		if _, before := s.inherited[router][id]; !before {
			engines = append(engines, id)
		}
	}
	s.inherited[router] = loads
	if len(loads) == 0 {
		delete(s.inherited, router)
	}
	return engines
}

// inheritedLoads returns the part of a router's announced loads at engines that exceeds the placements
// which may be in them. A placement whose reply is still on its way is not in them; it hides a request
// of before until the next announcement. That is preferred to counting a request twice.
func (r *router) inheritedLoads(announced []coordapi.Load) map[string]coordapi.Load {
	placed := map[string]coordapi.Load{}
	for _, a := range r.open {
		l := placed[a.engine]
		placed[a.engine] = coordapi.Load{Running: l.Running + 1, Memory: l.Memory + a.memory}
	}
	loads := map[string]coordapi.Load{}
	for _, l := range announced {
		if more := l.Running - placed[l.ID].Running; l.Engine && more > 0 {
			loads[l.ID] = coordapi.Load{Running: more, Memory: max(l.Memory-placed[l.ID].Memory, 0)}
		}
	}
	return loads
}

// inheritTime is the time from a router's first message for which its inherited loads count: no request
// of before runs longer.
func (p *Placer) inheritTime() time.Duration { return max(p.longestTimeout, newTime) }

// SetLongestTimeout sets the longest time that a request may take.
func (p *Placer) SetLongestTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestTimeout, p.start.expiresAt = timeout, 0
}

// ApplyLoads applies the loads that a router announces. What exceeds the placements of this leader was
// placed by its predecessor, or by the router itself, or runs on after its placement ended because the
// router was silent. It counts for as long as it is announced.
func (p *Placer) ApplyLoads(now time.Duration, name string, loads []coordapi.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.router(now, name)
	if end := r.since + p.inheritTime(); now < end {
		p.inherit(name, r.inheritedLoads(loads))
		p.start.expiresAt = min(p.start.expiresAt, end)
	}
}

func (p *Placer) inherit(router string, loads map[string]coordapi.Load) {
	for _, id := range p.start.inherit(router, loads) {
		p.pool.SetInheritedLoad(id, p.start.totals[id].Running, p.start.totals[id].Memory)
	}
}

// expireInherited ends the inherited loads of routers that have reported for inheritTime.
func (p *Placer) expireInherited(now time.Duration) {
	if len(p.start.inherited) == 0 || now < p.start.expiresAt {
		return
	}
	p.start.expiresAt = math.MaxInt64
	for name := range p.start.inherited {
		if end := p.routers[name].since + p.inheritTime(); now < end {
			p.start.expiresAt = min(p.start.expiresAt, end)
			continue
		}
		p.inherit(name, nil)
	}
	if len(p.start.inherited) == 0 {
		p.start.inherited, p.start.totals = nil, nil
	}
}
