package coordinator

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// returnBeats is how many heartbeats in a row, each later than the one before and at
	// least a part of an interval behind it, show that a back end which was taken for gone
	// speaks: one that was held up on its way comes alone, some that were come together.
	returnBeats = 3
	// returnPart is that part of an interval.
	returnPart = 0.5
	// maxReturning bounds how many are watched for that, 100 B each.
	maxReturning = 4096
)

// returning is a start that was taken for gone and speaks.
type returning struct {
	at       time.Duration
	sequence coordapi.Sequence
	beats    int
}

// returns lets a start in again that was taken for gone for its silence, once it has spoken
// for a while: it may only have been cut off, and would stay out for as long as it runs.
// One that drains, or whose address another has by now, stays out. It returns the ID of its
// new row.
func (s *Server) returns(now time.Duration, d *state.Deployment, start state.Start, b *coordapi.Heartbeat) (id string, back bool) {
	if !d.HasDeparted(start) || b.Backend.Draining || s.soft.left[d.RowID(start)] || s.soft.left[start.Name] || s.hasSuccessor(now, d, start, b.Backend.Address) {
		delete(s.soft.returning, start)
		return "", false
	}
	r := s.soft.returning[start]
	least := time.Duration(returnPart * float64(s.settings.BackendHeartbeat))
	switch {
	case b.Sequence <= r.sequence || (r.beats > 0 && now-r.at < least):
		// Late, or of a heap that was held up: it tells nothing new of whether it lives.
		return "", false
	case now-r.at > silentLimit(s.settings.BackendHeartbeat):
		r.beats = 0
	}
	r = returning{at: now, sequence: b.Sequence, beats: r.beats + 1}
	if len(s.soft.returning) >= maxReturning {
		clear(s.soft.returning)
	}
	s.soft.returning[start] = r
	if r.beats < returnBeats {
		return "", false
	}
	delete(s.soft.returning, start)
	id = d.ReturnedRowID(start)
	s.logger.Info("back end that was taken for gone is back", "part", "registry", "backend", id, "sequence", b.Sequence)
	return id, true
}

// hasSuccessor tells whether there is another start of a back end, or another back end is
// heard of at its address.
func (s *Server) hasSuccessor(now time.Duration, d *state.Deployment, start state.Start, address string) bool {
	if other, known := d.Current(start.Name); known && !start.Matches(other.Start()) {
		return true
	}
	holder, held := d.Backends[s.soft.holders[address]]
	return held && holder.Address == address && s.soft.quiet(now, holder.ID) <= silentLimit(s.settings.BackendHeartbeat)
}
