package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// beat notes a heartbeat. A heartbeat that changes the row is acknowledged
// only once the change is durable on a majority.
func (s *Server) beat(ctx context.Context, b coordapi.Heartbeat) (coordapi.Reply, error) {
	var refused error
	reply, err := s.enrol(ctx, func(now time.Duration) (state.Backend, bool) {
		b.Backend.Instance = ""
		start := b.Backend.Start()
		id, counts := s.returns(now, s.core.Machine().Deployment(), start, &b)
		if !counts {
			id, counts = s.rowFor(now, start)
		}
		if !counts {
			return state.Backend{}, false
		}
		b.Backend.ID = id
		if id != start.Name {
			b.Backend.Instance = start.Name
		}
		if _, left := s.soft.leftEarly[start]; left {
			b.Backend.Draining = true
		}
		old, known := s.enrolment.row(s.core.Machine().Deployment(), b.Backend.ID)
		var enrols bool
		if enrols, refused = s.pools.taken(old, known, b.Backend.Pool); !enrols {
			return old, false
		}
		s.noteStart(start, b.Backend.ID)
		if !s.soft.heard(now, b.Backend.ID, b.Sequence) && known {
			return old, s.enrolment.ahead(b.Backend.ID) != nil
		}
		row, changed := merged(old, known, b.Backend)
		if changed {
			s.logger.Info("back end changed", "part", "registry", "backend", row.ID, "pool", row.Pool, "address", row.Address,
				"draining", row.Draining, "sequence", b.Sequence)
		}
		return row, changed || s.enrolment.ahead(row.ID) != nil
	})
	if refused != nil {
		s.RecordUnreadable(b.Backend.Name(), refused)
		return reply, refused
	}
	return reply, err
}

// merged lays a heartbeat over the row that is held. What orders have changed
// stays: the heartbeat may be older.
func merged(old state.Backend, known bool, beat state.Backend) (state.Backend, bool) {
	if !known {
		return beat, true
	}
	row := old
	// A replica of a build that lacks the field may have dropped it.
	row.Instance = beat.Instance
	row.Pool, row.Address, row.Zone, row.Slots = beat.Pool, beat.Address, beat.Zone, beat.Slots
	row.Draining = old.Draining || beat.Draining
	if beat.Born != 0 {
		row.Born = beat.Born
	}
	for model, version := range beat.Weights {
		if version > row.Weights[model] {
			row.Weights = raised(row.Weights, model, version)
		}
	}
	same := row.Instance == old.Instance && row.Pool == old.Pool && row.Address == old.Address && row.Zone == old.Zone && row.Slots == old.Slots &&
		row.Draining == old.Draining && row.Born == old.Born && sameWeights(row.Weights, old.Weights)
	return row, !same
}

func raised(weights map[string]int, model string, version int) map[string]int {
	out := map[string]int{model: version}
	for m, v := range weights {
		if m != model {
			out[m] = v
		}
	}
	return out
}

func sameWeights(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for model, version := range a {
		if b[model] != version {
			return false
		}
	}
	return true
}

// drain marks back ends as draining that have said so in an answer: a router may know it
// seconds before a heartbeat tells the leader, and the leader places for the others.
// By is who was told. A mark that is lost with the leadership is told again, by routers
// to each leader and by the back end's heartbeat.
func (s *Server) drain(by string, ids []coordapi.BackendID) {
	if len(ids) == 0 {
		return
	}
	s.loop.Offer(func(now time.Duration) {
		if s.core == nil || !s.core.HoldsLease(now) {
			return
		}
		for _, id := range ids {
			s.drainOne(by, id)
		}
	})
}

func (s *Server) drainOne(by string, id coordapi.BackendID) {
	row, known := s.enrolment.row(s.core.Machine().Deployment(), string(id))
	if !known || row.Draining {
		return
	}
	row.Draining = true
	s.logger.Info("back end drains", "part", "registry", "backend", id, "pool", row.Pool, "told_by", by)
	s.enrolment.add(row, func(err error) {
		if err != nil {
			s.logger.Warn("drain lost", "part", "registry", "backend", id, "error", err.Error())
		}
	})
}

// leave marks a back end as draining. The row stays until it is silent, so
// that a late heartbeat cannot bring it back.
func (s *Server) leave(ctx context.Context, l coordapi.Leave) (coordapi.Reply, error) {
	return s.enrol(ctx, func(now time.Duration) (state.Backend, bool) {
		start := state.Start{Name: l.ID, Born: l.Born}
		id, counts := s.rowFor(now, start)
		if !counts {
			return state.Backend{}, false
		}
		row, known := s.enrolment.row(s.core.Machine().Deployment(), id)
		if !known {
			s.leaveEarly(start)
		}
		if known && !row.Draining {
			row.Draining = true
			s.logger.Info("back end leaves", "part", "registry", "backend", row.ID)
			return row, true
		}
		return row, s.enrolment.ahead(id) != nil
	})
}
