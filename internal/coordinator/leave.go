package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// ErrUnknownStart means that a leave without a start time names a back end that is not known. It
// cannot be recorded so that it binds the start that sent it and no later one. The back end may
// repeat it once a heartbeat has been accepted.
var ErrUnknownStart = errors.New("the back end is not known and the leave has no start time")

// What the registry holds of a back end that leaves, for the log.
const (
	heldRow         = "row"
	heldDrainingRow = "draining row"
	heldDeparture   = "departure"
	heldLeave       = "leave"
	heldNothing     = "nothing"
)

// leave records that a start of a back end leaves. It binds that start until its process ends:
// its row is marked as draining, or added as such before its first heartbeat, and it is not
// registered again once the row is removed. The leave is acknowledged when that is committed.
func (s *Server) leave(ctx context.Context, l coordapi.Leave) (coordapi.Reply, error) {
	held, changed := "", false
	reply, revision, err := s.commitChange(ctx, func(now time.Duration) (registryChange, error) {
		change, found, err := s.leaveChange(now, state.Start{Name: l.ID, Born: l.Born})
		held, changed = found, found != heldDrainingRow && found != heldLeave
		return change, err
	})
	if held != "" {
		s.logger.Info("leave handled", "part", "registry", "backend", l.ID, "born", l.Born, "held", held, "changed", changed && err == nil,
			"revision", revision, "error", errorText(err))
	}
	return reply, err
}

// leaveChange returns the change that records that a start leaves, and what was held of it.
func (s *Server) leaveChange(now time.Duration, start state.Start) (change registryChange, held string, err error) {
	d := s.core.Machine().Deployment()
	if start.Born == 0 {
		return s.leaveWithoutStartTime(now, d, start.Name)
	}
	return s.leaveOfStart(now, d, start)
}

// recentIntervals is the number of heartbeat intervals within which a back end that has not been
// restarted sends a heartbeat.
const recentIntervals = 1.5

// leaveWithoutStartTime returns the change that records a leave without a start time. It binds every
// known start of the back end, since any of them may have sent it: the latest known one is not the
// one that began last if the clock was set back. If no recent heartbeat of the latest known start
// was received, the back end may have been restarted, and the leave also binds starts that are not
// known yet and began before it.
func (s *Server) leaveWithoutStartTime(now time.Duration, d *state.Deployment, name string) (change registryChange, held string, err error) {
	known, is := s.currentStart(d, name)
	if is {
		change, held, err = s.leaveOfStart(now, d, known)
	} else {
		change, held, err = leaveOfDepartures(d.Departures(name))
	}
	if err != nil {
		return change, held, err
	}
	if !is || !s.receivedRecently(now, d.RowID(known)) {
		s.addLeftBefore(d, name, &change)
	}
	if s.addOtherStarts(d, name, &change) && (held == heldLeave || held == heldDrainingRow) {
		held = heldDeparture
	}
	return change, held, nil
}

// addLeftBefore adds to the change of a leave that it binds starts that began before it.
func (s *Server) addLeftBefore(d *state.Deployment, name string, change *registryChange) {
	if len(change.rows) == 0 {
		change.rows = s.leaveRecords(d, name)
	}
	leftBefore := state.UnixMilli(time.Now().UnixMilli())
	s.soft.recordLeftBefore(name, leftBefore)
	for i := range change.rows {
		change.rows[i].LeftBefore = leftBefore
	}
}

// addOtherStarts adds to the change of a leave that it binds the starts of a back end that have
// departed or been superseded. It reports whether there are any that had not left.
func (s *Server) addOtherStarts(d *state.Deployment, name string, change *registryChange) (added bool) {
	var rows []state.Backend
	for _, departure := range d.Departures(name) {
		rows = append(rows, s.drainDeparted(d, departure.ID)...)
	}
	for _, id := range d.Superseded() {
		if row, known := s.rowBatcher.row(d, id); known && row.Name() == name && !row.Draining {
			rows = append(rows, s.drainChange(row, true).rows...)
		}
	}
	for _, row := range rows {
		if !slices.ContainsFunc(change.rows, func(r state.Backend) bool { return r.ID == row.ID }) {
			change.rows = append(change.rows, row)
			added = true
		}
	}
	return added
}

// receivedRecently reports whether a recent heartbeat of a back end was received.
func (s *Server) receivedRecently(now time.Duration, id string) bool {
	last, received := s.soft.heartbeats[id]
	return received && now-last.at <= time.Duration(recentIntervals*float64(s.settings.BackendHeartbeat))
}

// leaveRecords returns the rows to commit so that a further leave of a back end is recorded in its
// row or, without one, in its departures.
func (s *Server) leaveRecords(d *state.Deployment, name string) []state.Backend {
	if row, known := d.Current(name); known {
		row, _ = s.rowBatcher.row(d, row.ID)
		return []state.Backend{row}
	}
	var rows []state.Backend
	for _, departure := range d.Departures(name) {
		rows = append(rows, departureRow(&departure))
	}
	return rows
}

// departureRow returns the row to commit so that a departure records that its start has left.
func departureRow(departure *state.Departure) state.Backend {
	return state.Backend{ID: departure.ID, Instance: departure.Instance, Draining: true}
}

// mayHaveLeft reports whether a start that is not known yet may have sent a leave without a start
// time.
func (s *Server) mayHaveLeft(d *state.Deployment, start state.Start) bool {
	return start.Born != 0 && start.Born <= max(s.soft.leftBefore[start.Name], d.LeftBefore(start.Name))
}

// maxLeftBefore bounds softState.leftBefore, which is needed only until a leave is committed.
const maxLeftBefore = 4096

func (t *softState) recordLeftBefore(name string, leftBefore state.UnixMilli) {
	if len(t.leftBefore) >= maxLeftBefore {
		clear(t.leftBefore)
	}
	t.leftBefore[name] = leftBefore
}

// leaveOfStart returns the change that records that a start leaves. Its start time is 0 only if the
// back end reports none.
func (s *Server) leaveOfStart(now time.Duration, d *state.Deployment, start state.Start) (change registryChange, held string, err error) {
	if d.HasDeparted(start) {
		return s.leaveOfDeparted(d, start)
	}
	id := d.RowID(start)
	if row, known := s.rowBatcher.row(d, id); known {
		if row.Draining {
			return s.awaitRow(row), heldDrainingRow, nil
		}
		s.logger.Info("back end is leaving", "part", "registry", "backend", row.ID)
		return s.drainChange(row, true), heldRow, nil
	}
	if start.Born == 0 {
		return registryChange{}, heldNothing, ErrUnknownStart
	}
	if s.compareStart(now, d, start) == olderStart {
		// A row would supersede that of the latest start.
		change.departed = state.LaterRowID(start)
		return change, heldNothing, nil
	}
	if err := s.checkRoom(d, start); err != nil {
		return change, heldNothing, err
	}
	s.recordStart(start, id)
	row := state.Backend{ID: id, Born: start.Born, Draining: true}
	if id != start.Name {
		row.Instance = start.Name
	}
	change.rows = []state.Backend{row}
	return change, heldNothing, nil
}

// leaveOfDeparted returns the change that records the leave of a departed start.
func (s *Server) leaveOfDeparted(d *state.Deployment, start state.Start) (change registryChange, held string, err error) {
	change.rows = s.drainDeparted(d, d.DepartedID(start))
	if len(change.rows) == 0 {
		return change, heldLeave, nil
	}
	return change, heldDeparture, nil
}

// drainDeparted returns the rows to commit so that the start of a departed row counts as having
// left, also if it has been registered again or is about to be.
func (s *Server) drainDeparted(d *state.Deployment, id string) []state.Backend {
	departure, departed := d.Departure(id)
	if !departed {
		return nil
	}
	var rows []state.Backend
	if !departure.Draining {
		rows = append(rows, departureRow(&departure))
	}
	row, returned := s.rowBatcher.returning(id)
	if !returned {
		row, returned = d.RowReturnedFrom(departure)
	}
	if returned && !row.Draining {
		row.Draining = true
		rows = append(rows, row)
	}
	return rows
}

// leaveOfDepartures returns the change that records the leave of a back end without a start time
// of which only departures are known: it binds each of these starts.
func leaveOfDepartures(departures []state.Departure) (change registryChange, held string, err error) {
	if len(departures) == 0 {
		return registryChange{}, heldNothing, ErrUnknownStart
	}
	for _, departure := range departures {
		if !departure.Draining {
			change.rows = append(change.rows, departureRow(&departure))
		}
	}
	if len(change.rows) == 0 {
		return registryChange{}, heldLeave, nil
	}
	return change, heldDeparture, nil
}

// hasLeft reports whether a departed start has left, according to committed and uncommitted
// changes.
func (s *Server) hasLeft(d *state.Deployment, start state.Start) bool {
	return d.HasLeft(start) || s.rowBatcher.uncommitted(d.DepartedID(start)) != nil
}

// drainChange returns the change that marks a row as draining if drains is set. Without one to
// make it waits for the row, if that is uncommitted.
func (s *Server) drainChange(row state.Backend, drains bool) registryChange {
	if !drains || row.Draining {
		return s.awaitRow(row)
	}
	row.Draining = true
	return registryChange{rows: []state.Backend{row}}
}

// awaitRow returns the change that waits for a row, if that is uncommitted.
func (s *Server) awaitRow(row state.Backend) registryChange {
	if s.rowBatcher.uncommitted(row.ID) == nil {
		return registryChange{}
	}
	return registryChange{rows: []state.Backend{row}}
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
	d := s.core.Machine().Deployment()
	rows := s.drainDeparted(d, string(id))
	if _, departed := d.Departure(string(id)); !departed {
		row, known := s.rowBatcher.row(d, string(id))
		if !known || row.Draining {
			return
		}
		row.Draining = true
		rows = []state.Backend{row}
	}
	for _, row := range rows {
		s.logger.Info("back end is draining", "part", "registry", "backend", row.ID, "pool", row.Pool, "told_by", by)
		s.rowBatcher.add(row, func(err error) {
			if err != nil {
				s.logger.Warn("outcome of drain unknown", "part", "registry", "backend", id, "error", err.Error())
			}
		})
	}
}
