package coordinator

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// maxLeft bounds how many starts are remembered that said they leave before they were
// known, 60 B each.
const maxLeft = 1024

// startIs is what a word of a back end's start is to the one that is known.
type startIs int

const (
	// present: the start that is known, or the first.
	present startIs = iota
	// newer: the back end has started again.
	newer
	// older: a start before the known one, or one that is gone. Its word is late, or two
	// processes have one name; either way it changes nothing.
	older
)

// judge tells which start a word is of. A start that says it is older than the known one
// is taken for newer once that one is silent: its clock may have been set back.
func (s *Server) judge(now time.Duration, d *state.Deployment, start state.Start) startIs {
	if d.HasDeparted(start) {
		return older
	}
	known, is := s.present(d, start.Name)
	switch {
	case !is || start.Matches(known):
		return present
	case start.After(known):
		return newer
	case s.soft.quiet(now, d.RowID(known)) > silentLimit(s.settings.BackendHeartbeat):
		return newer
	}
	return older
}

// present is the start of a back end that was heard of last, whether its row is committed
// or not.
func (s *Server) present(d *state.Deployment, name string) (state.Start, bool) {
	if start, heard := s.soft.starts[name]; heard {
		return start, true
	}
	row, known := d.Current(name)
	if !known {
		return state.Start{}, false
	}
	return row.Start(), true
}

// rowFor gives a word of a back end the ID of its start's row. It returns false if the
// word is of an older start.
func (s *Server) rowFor(now time.Duration, start state.Start) (id string, counts bool) {
	d := s.core.Machine().Deployment()
	verdict := s.judge(now, d, start)
	if verdict == older {
		s.noteOlder(start)
		return "", false
	}
	if known, is := s.present(d, start.Name); is && start.Born == 0 {
		// Who does not say when it started is taken for the start that is known.
		start = known
	}
	return d.RowID(start), true
}

// noteStart takes a start for the present one of its back end, whose row has an ID.
func (s *Server) noteStart(start state.Start, id string) {
	d := s.core.Machine().Deployment()
	known, is := s.present(d, start.Name)
	if is && start.Born == 0 {
		return
	}
	if is && !start.Matches(known) {
		s.logger.Info("back end started again", "part", "registry", "backend", id, "before", d.RowID(known), "born", start.Born, "born_before", known.Born)
	}
	s.soft.starts[start.Name] = start
}

// noteOlder says once of each back end that a start before its present one speaks.
func (s *Server) noteOlder(start state.Start) {
	if s.soft.olderNoted[start.Name] == start.Born {
		return
	}
	s.soft.olderNoted[start.Name] = start.Born
	present := s.soft.starts[start.Name]
	s.logger.Warn("a start before the present one speaks", "part", "registry", "backend", start.Name, "born", start.Born, "present", present.Born)
}

// leaveEarly remembers that a start leaves which is not known: its first heartbeat may be
// slower than its word that it leaves.
func (s *Server) leaveEarly(start state.Start) {
	if start.Born != 0 && len(s.soft.leftEarly) < maxLeft {
		s.soft.leftEarly[start] = struct{}{}
	}
}

// departSuperseded removes the rows of back ends that have started again since.
func (s *Server) departSuperseded(now time.Duration, d *state.Deployment) {
	if now < s.soft.departedAt+silenceEvery || !s.core.HoldsLease(now) {
		return
	}
	ids := d.Superseded()
	if len(ids) == 0 {
		return
	}
	s.soft.departedAt = now
	s.logger.Info("earlier starts removed", "part", "registry", "count", len(ids), "backends", firstOf(ids))
	s.propose(now, "registry", state.Command{Depart: &state.Depart{IDs: ids}})
}

// answersAs tells whether a heartbeat is of the present start for all that a replica
// knows, and gives it the ID of that one's row.
func answersAs(d *state.Deployment, b *coordapi.Heartbeat) bool {
	row, known := d.Current(b.Backend.Name())
	if !known || row.Born != b.Backend.Born {
		return false
	}
	b.Backend.ID, b.Backend.Instance = row.ID, row.Instance
	return true
}

// forgetStarts drops the starts of back ends that have no row any more, once they are many.
func (t *softState) forgetStarts(d *state.Deployment) {
	if len(t.starts) <= 2*len(d.Backends)+spareHolders {
		return
	}
	for name := range t.starts {
		if _, known := d.Current(name); !known {
			delete(t.starts, name)
			delete(t.olderNoted, name)
		}
	}
}
