package coordinator

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// acceptHeartbeat records a heartbeat. A heartbeat that changes the registry is acknowledged only
// once the change is committed.
func (s *Server) acceptHeartbeat(ctx context.Context, b coordapi.Heartbeat) (coordapi.Reply, error) {
	reply, _, err := s.commitChange(ctx, func(now time.Duration) (registryChange, error) { return s.heartbeatChange(now, &b) })
	if errors.Is(err, ErrUnknownPool) {
		s.RecordUnreadable(b.Backend.Name(), err)
	}
	return reply, err
}

// heartbeatChange returns the change that a heartbeat makes. It sets the row ID and the instance
// in the heartbeat.
func (s *Server) heartbeatChange(now time.Duration, b *coordapi.Heartbeat) (registryChange, error) {
	d := s.core.Machine().Deployment()
	b.Backend.Instance = ""
	start := b.Backend.Start()
	id, counts := s.rejoin(now, d, start, b)
	if !counts {
		id, counts = s.rowIDFor(now, start)
	}
	if !counts {
		if !b.Backend.Draining {
			return registryChange{}, nil
		}
		change, held, err := s.leaveChange(now, start)
		if err == nil && change.parts() > 0 {
			s.logger.Info("back end is draining", "part", "registry", "backend", start.Name, "born", start.Born, "held", held)
		}
		return change, err
	}
	b.Backend.ID = id
	if id != start.Name {
		b.Backend.Instance = start.Name
	}
	old, known := s.rowBatcher.row(d, id)
	if !known && s.mayHaveLeft(d, start) {
		b.Backend.Draining = true
	}
	if accepted, err := s.pools.checkHeartbeat(old, known, &b.Backend); !accepted {
		return registryChange{}, err
	}
	if !known {
		if err := s.checkRoom(d, start); err != nil {
			return registryChange{}, err
		}
	}
	s.recordStart(start, id)
	if !s.soft.heartbeat(now, id, b.Sequence) && known {
		return s.drainChange(old, b.Backend.Draining), nil
	}
	row, changed := mergeHeartbeat(old, known, b.Backend)
	if changed {
		s.logger.Info("back end changed", "part", "registry", "backend", row.ID, "pool", row.Pool, "address", row.Address,
			"software", row.Software, "draining", row.Draining, "sequence", b.Sequence)
		return registryChange{rows: []state.Backend{row}}, nil
	}
	return s.awaitRow(row), nil
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
	// A heartbeat that a coordinator of an older build passed on lacks it.
	row.Software = cmp.Or(beat.Software, old.Software)
	for model, version := range beat.Weights {
		if version > row.Weights[model] {
			row.Weights = withVersion(row.Weights, model, version)
		}
	}
	same := row.Instance == old.Instance && row.Pool == old.Pool && row.Address == old.Address && row.Zone == old.Zone && row.Slots == old.Slots &&
		row.Draining == old.Draining && row.Born == old.Born && row.Software == old.Software && sameWeights(row.Weights, old.Weights)
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
