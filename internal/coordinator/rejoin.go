package coordinator

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// rejoinHeartbeats is the number of consecutive heartbeats after which a departed start is
	// registered again. Each must have a higher sequence than the one before and arrive at least
	// rejoinMinSpacing after it: delayed heartbeats arrive singly or in a burst.
	rejoinHeartbeats = 3
	// rejoinMinSpacing is a fraction of the heartbeat interval.
	rejoinMinSpacing = 0.5
	// maxRejoining bounds the number of tracked rejoin attempts, about 100 B each.
	maxRejoining = 4096
)

// rejoining tracks the heartbeats of a departed start.
type rejoining struct {
	at         time.Duration
	sequence   coordapi.Sequence
	heartbeats int
}

// rejoin registers a start again that departed because it was silent, for example during a
// network partition, once it has sent enough heartbeats. It would otherwise stay out for as long as it
// runs. Starts that have left, or whose address
// another back end has, stay departed. It returns the ID of the new row.
func (s *Server) rejoin(now time.Duration, d *state.Deployment, start state.Start, b *coordapi.Heartbeat) (id string, rejoined bool) {
	if !d.HasDeparted(start) || b.Backend.Draining || s.hasLeft(d, start) || s.hasSuccessor(now, d, start, b.Backend.Address) {
		delete(s.soft.rejoining, start)
		return "", false
	}
	r := s.soft.rejoining[start]
	minSpacing := time.Duration(rejoinMinSpacing * float64(s.settings.BackendHeartbeat))
	switch {
	case b.Sequence <= r.sequence || (r.heartbeats > 0 && now-r.at < minSpacing):
		// A late heartbeat, or one of a delayed burst.
		return "", false
	case now-r.at > silentLimit(s.settings.BackendHeartbeat):
		r.heartbeats = 0
	}
	r = rejoining{at: now, sequence: b.Sequence, heartbeats: r.heartbeats + 1}
	if len(s.soft.rejoining) >= maxRejoining {
		clear(s.soft.rejoining)
	}
	s.soft.rejoining[start] = r
	if r.heartbeats < rejoinHeartbeats {
		return "", false
	}
	delete(s.soft.rejoining, start)
	id = d.ReturnedRowID(start)
	s.logger.Info("departed back end registered again", "part", "registry", "backend", id, "sequence", b.Sequence)
	return id, true
}

// hasSuccessor reports whether there is another start of the back end, or another back end that
// sends heartbeats from its address.
func (s *Server) hasSuccessor(now time.Duration, d *state.Deployment, start state.Start, address string) bool {
	if other, known := d.Current(start.Name); known && !start.Matches(other.Start()) {
		return true
	}
	holder, held := d.Backends[s.soft.holders[address]]
	return held && holder.Address == address && s.soft.silentFor(now, holder.ID) <= silentLimit(s.settings.BackendHeartbeat)
}
