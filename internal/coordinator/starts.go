package coordinator

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// startRelation relates the start that a message names to the latest known start of the back end.
// A start is one run of a back end's process, identified by name and start time.
type startRelation int

const (
	// currentStart is the latest known start, or the first one.
	currentStart startRelation = iota
	// newerStart means that the back end has been restarted.
	newerStart
	// olderStart is a start before the latest known one, or a departed one. The message is late,
	// or two processes have the same name; it is ignored.
	olderStart
)

// compareStart relates a start to the latest known one. A start with an earlier start time counts
// as newer once the latest known one is silent, because the clock may have been set back.
func (s *Server) compareStart(now time.Duration, d *state.Deployment, start state.Start) startRelation {
	if d.HasDeparted(start) {
		return olderStart
	}
	known, is := s.currentStart(d, start.Name)
	switch {
	case !is || start.Matches(known):
		return currentStart
	case start.After(known):
		return newerStart
	case s.soft.silentFor(now, d.RowID(known)) > silentLimit(s.settings.BackendHeartbeat):
		return newerStart
	}
	return olderStart
}

// currentStart returns the start of a back end that sent the last heartbeat, or else that of its
// committed row.
func (s *Server) currentStart(d *state.Deployment, name string) (state.Start, bool) {
	if start, found := s.soft.starts[name]; found {
		return start, true
	}
	row, known := d.Current(name)
	if !known {
		return state.Start{}, false
	}
	return row.Start(), true
}

// rowIDFor returns the row ID of the start that a message names, or false if that is an older
// start.
func (s *Server) rowIDFor(now time.Duration, start state.Start) (id string, counts bool) {
	d := s.core.Machine().Deployment()
	verdict := s.compareStart(now, d, start)
	if verdict == olderStart {
		s.logOlderStart(start)
		return "", false
	}
	if known, is := s.currentStart(d, start.Name); is && start.Born == 0 {
		// A message without a start time is attributed to the known start.
		start = known
	}
	return d.RowID(start), true
}

// recordStart makes a start the latest one of its back end; id is the ID of its row.
func (s *Server) recordStart(start state.Start, id string) {
	d := s.core.Machine().Deployment()
	known, is := s.currentStart(d, start.Name)
	if is && start.Born == 0 {
		return
	}
	if is && !start.Matches(known) {
		s.logger.Info("back end restarted", "part", "registry", "backend", id, "before", d.RowID(known), "born", start.Born, "born_before", known.Born)
	}
	s.soft.starts[start.Name] = start
}

// logOlderStart logs that an older start still sends messages, unless it was the last one logged
// for that name.
func (s *Server) logOlderStart(start state.Start) {
	if s.soft.loggedOlder[start.Name] == start.Born {
		return
	}
	s.soft.loggedOlder[start.Name] = start.Born
	present := s.soft.starts[start.Name]
	s.logger.Warn("ignoring message of an older start", "part", "registry", "backend", start.Name, "born", start.Born, "present", present.Born)
}

// removeSuperseded proposes to remove the rows of starts that a later start has superseded.
func (s *Server) removeSuperseded(now time.Duration, d *state.Deployment) {
	if now < s.soft.departedAt+silenceCheckInterval || !s.core.HoldsLease(now) {
		return
	}
	ids := d.Superseded()
	if len(ids) == 0 {
		return
	}
	s.soft.departedAt = now
	s.logger.Info("removing superseded starts", "part", "registry", "count", len(ids), "backends", truncateIDs(ids))
	s.propose(now, "registry", state.Command{Depart: &state.Depart{IDs: ids}})
}

// matchCurrentStart reports whether a heartbeat is of the current start according to a replica.
// If so, it sets the row ID and the instance in the heartbeat.
func matchCurrentStart(d *state.Deployment, b *coordapi.Heartbeat) bool {
	row, known := d.Current(b.Backend.Name())
	if !known || row.Born != b.Backend.Born {
		return false
	}
	b.Backend.ID, b.Backend.Instance = row.ID, row.Instance
	return true
}

// forgetStarts removes the starts of back ends without a row, once there are many.
func (t *softState) forgetStarts(d *state.Deployment) {
	if len(t.starts) <= 2*len(d.Backends)+minKeptHolders {
		return
	}
	for name := range t.starts {
		if _, known := d.Current(name); !known {
			delete(t.starts, name)
			delete(t.loggedOlder, name)
		}
	}
}
