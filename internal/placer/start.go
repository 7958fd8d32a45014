package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// newTime is the time after its first message for which a leader is new: it does not know of the
	// requests that its predecessor placed.
	newTime = time.Second
	// settleTime is the time for which a new leader grants nothing from a queue after it got a request
	// that the former leader had queued. Routers report their loads within this time in all but the
	// largest deployments.
	settleTime = 300 * time.Millisecond
)

// start is the state of a placer that is new. It is ready to use.
type start struct {
	// firstMessage is the time of the first message of a router, 0 before it, and settledAt the time
	// before which nothing is granted from queues.
	firstMessage time.Duration
	settledAt    time.Duration
	// announced are the loads by engine that routers report, with the placements that may not be in
	// them yet. recent are the placements of the last settleTime.
	announced map[string]coordapi.Load
	recent    []recentPlacement
}

// recentPlacement is a placement that the routers may not have reported yet.
type recentPlacement struct {
	at     time.Duration
	engine string
	memory int
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

// announce records the loads that routers report and returns them with the recent placements.
func (s *start) announce(now time.Duration, loads []coordapi.Load) []coordapi.Load {
	s.announced = map[string]coordapi.Load{}
	for _, l := range loads {
		if l.Engine {
			s.announced[l.ID] = l
		}
	}
	for len(s.recent) > 0 && now-s.recent[0].at > settleTime {
		s.recent = s.recent[1:]
	}
	for _, r := range s.recent {
		s.add(r)
	}
	out := make([]coordapi.Load, 0, len(s.announced))
	for _, l := range s.announced {
		out = append(out, l)
	}
	return out
}

// placed records a placement. It returns the load of its engine while the placer is new.
func (s *start) placed(now time.Duration, choice *backends.Choice) []coordapi.Load {
	if !s.isNew(now) {
		s.announced, s.recent = nil, nil
		return nil
	}
	r := recentPlacement{now, choice.ID, choice.Work.Most}
	s.recent = append(s.recent, r)
	if s.announced == nil {
		return nil
	}
	s.add(r)
	return []coordapi.Load{s.announced[r.engine]}
}

func (s *start) add(r recentPlacement) {
	l := s.announced[r.engine]
	s.announced[r.engine] = coordapi.Load{ID: r.engine, Running: l.Running + 1, Memory: l.Memory + r.memory, Prompt: l.Prompt, Engine: true}
}

// SetAnnouncedLoads sets the loads that all routers report. A new leader counts them, since it knows
// of no running requests.
func (p *Placer) SetAnnouncedLoads(now time.Duration, loads []coordapi.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.start.firstMessage > 0 && p.start.isNew(now) {
		p.pool.SetAnnouncedLoads(now, p.start.announce(now, loads))
	}
}
