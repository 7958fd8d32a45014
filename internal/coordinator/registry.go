package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// acceptHeartbeat records a heartbeat. A heartbeat that changes the row is acknowledged only once
// the change is committed.
func (s *Server) acceptHeartbeat(ctx context.Context, b coordapi.Heartbeat) (coordapi.Reply, error) {
	var rejected error
	reply, err := s.commitRow(ctx, func(now time.Duration) (state.Backend, bool) {
		b.Backend.Instance = ""
		start := b.Backend.Start()
		id, counts := s.rejoin(now, s.core.Machine().Deployment(), start, &b)
		if !counts {
			id, counts = s.rowIDFor(now, start)
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
		old, known := s.rowBatcher.row(s.core.Machine().Deployment(), b.Backend.ID)
		var accepted bool
		if accepted, rejected = s.pools.checkHeartbeat(old, known, b.Backend.Pool); !accepted {
			return old, false
		}
		s.recordStart(start, b.Backend.ID)
		if !s.soft.heartbeat(now, b.Backend.ID, b.Sequence) && known {
			return old, s.rowBatcher.uncommitted(b.Backend.ID) != nil
		}
		row, changed := mergeHeartbeat(old, known, b.Backend)
		if changed {
			s.logger.Info("back end changed", "part", "registry", "backend", row.ID, "pool", row.Pool, "address", row.Address,
				"draining", row.Draining, "sequence", b.Sequence)
		}
		return row, changed || s.rowBatcher.uncommitted(row.ID) != nil
	})
	if rejected != nil {
		s.RecordUnreadable(b.Backend.Name(), rejected)
		return reply, rejected
	}
	return reply, err
}

// mergeHeartbeat returns the row after a heartbeat, and whether it differs from the old one. A
// drain and newer weights are kept, because the heartbeat may be older than an order.
func mergeHeartbeat(old state.Backend, known bool, beat state.Backend) (state.Backend, bool) {
	if !known {
		return beat, true
	}
	row := old
	// A replica of a build without this field may have dropped it.
	row.Instance = beat.Instance
	row.Pool, row.Address, row.Zone, row.Slots = beat.Pool, beat.Address, beat.Zone, beat.Slots
	row.Draining = old.Draining || beat.Draining
	if beat.Born != 0 {
		row.Born = beat.Born
	}
	for model, version := range beat.Weights {
		if version > row.Weights[model] {
			row.Weights = withVersion(row.Weights, model, version)
		}
	}
	same := row.Instance == old.Instance && row.Pool == old.Pool && row.Address == old.Address && row.Zone == old.Zone && row.Slots == old.Slots &&
		row.Draining == old.Draining && row.Born == old.Born && sameWeights(row.Weights, old.Weights)
	return row, !same
}

// withVersion returns a copy of weights in which a model has the given version.
func withVersion(weights map[string]int, model string, version int) map[string]int {
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

// markDraining marks back ends as draining that reported it in an answer, which a router or this
// node may receive before a heartbeat does. by is the receiver of the answer. Marks that are lost
// with the leadership are reported again by routers and by the back end's heartbeat.
func (s *Server) markDraining(by string, ids []coordapi.BackendID) {
	if len(ids) == 0 {
		return
	}
	s.loop.Offer(func(now time.Duration) {
		if s.core == nil || !s.core.HoldsLease(now) {
			return
		}
		for _, id := range ids {
			s.markOneDraining(by, id)
		}
	})
}

func (s *Server) markOneDraining(by string, id coordapi.BackendID) {
	row, known := s.rowBatcher.row(s.core.Machine().Deployment(), string(id))
	if !known || row.Draining {
		return
	}
	row.Draining = true
	s.logger.Info("back end is draining", "part", "registry", "backend", id, "pool", row.Pool, "told_by", by)
	s.rowBatcher.add(row, func(err error) {
		if err != nil {
			s.logger.Warn("outcome of drain unknown", "part", "registry", "backend", id, "error", err.Error())
		}
	})
}

// leave marks a back end as draining. The row is kept until the back end is silent, so that a
// late heartbeat does not register it again.
func (s *Server) leave(ctx context.Context, l coordapi.Leave) (coordapi.Reply, error) {
	held, changed, revision := "", false, uint64(0)
	reply, err := s.commitRow(ctx, func(now time.Duration) (state.Backend, bool) {
		start := state.Start{Name: l.ID, Born: l.Born}
		revision = s.core.Machine().Applied()
		id, counts := s.rowIDFor(now, start)
		if !counts {
			held = "other start"
			return state.Backend{}, false
		}
		row, known := s.rowBatcher.row(s.core.Machine().Deployment(), id)
		if !known {
			held = "nothing"
			s.recordEarlyLeave(start)
		}
		if known && !row.Draining {
			held, changed = "row", true
			row.Draining = true
			s.logger.Info("back end is leaving", "part", "registry", "backend", row.ID)
			return row, true
		}
		if known {
			held = "draining row"
		}
		return row, s.rowBatcher.uncommitted(id) != nil
	})
	if held != "" {
		s.logger.Info("leave handled", "part", "registry", "backend", l.ID, "born", l.Born, "held", held, "changed", changed, "revision", revision,
			"error", errorText(err))
	}
	return reply, err
}
