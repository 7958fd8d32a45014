package coordinator

import (
	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/state"
)

// maxBackends is the number of rows up to which back ends with new names are registered. Each row takes
// memory at all coordinators and routers, and a sender may invent names.
const maxBackends = 1 << 15

// ErrTooManyBackends means that a heartbeat or a leave names a new back end while the table of back ends is
// full. It may be repeated.
var ErrTooManyBackends = errors.New("the table of back ends is full")

// checkRoom returns ErrTooManyBackends if a start that has no row is that of a new back end and the table is
// full. Restarts of known back ends, whose former rows depart, may take as many rows again.
func (s *Server) checkRoom(d *state.Deployment, start state.Start) error {
	limit := s.maxBackends
	if _, known := d.Current(start.Name); known {
		limit *= 2
	}
	if len(d.Backends)+s.rowBatcher.pending() < limit {
		return nil
	}
	count := s.refusedBackends.Add(1)
	if s.refusedLines.Allow(s.now(), 1) {
		s.logger.Warn("table of back ends is full", "part", "registry", "backend", start.Name, "backends", len(d.Backends), "limit", limit, "total", count)
	}
	return ErrTooManyBackends
}
