package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// maxEnrolled is how many rows one entry of the log carries at most: some 60 KB, which
// a disk of 120 MB/s writes in half a millisecond.
const maxEnrolled = 256

// enrolment gathers changes of rows into entries of the log. While one entry is under
// way the changes that come wait for the next, so that an idle group commits each at
// once and a busy one few entries: 2,000 rows that wait take 8 entries
// (TestManyRowsAreCommittedInFewEntries), where one each is 210 a second in a group of
// five. It belongs to the run goroutine.
type enrolment struct {
	// gathered are the rows that wait, in order, and byID the same by back end.
	gathered []*enrolling
	byID     map[string]*enrolling
	// under are the rows of the entry under way, nil for none.
	under map[string]*enrolling
}

// enrolling is a row that is to be committed, and who waits for it.
type enrolling struct {
	row  state.Backend
	done []func(error)
}

func (e *enrolling) finish(err error) {
	for _, done := range e.done {
		done(err)
	}
}

// row returns the newest row of a back end: one that waits or is under way, else the
// committed one.
func (e *enrolment) row(d *state.Deployment, id string) (row state.Backend, known bool) {
	if ahead := e.ahead(id); ahead != nil {
		return ahead.row, true
	}
	row, known = d.Backends[id]
	return row, known
}

// ahead returns the newest row of a back end that is not committed yet, nil for none.
func (e *enrolment) ahead(id string) *enrolling {
	if waits := e.byID[id]; waits != nil {
		return waits
	}
	return e.under[id]
}

// add lets a row be committed. Done is called once it is, or with an error when that is
// not known.
func (e *enrolment) add(row state.Backend, done func(error)) {
	if waits := e.byID[row.ID]; waits != nil {
		waits.row = row
		waits.done = append(waits.done, done)
		return
	}
	if e.byID == nil {
		e.byID = map[string]*enrolling{}
	}
	waits := &enrolling{row: row, done: []func(error){done}}
	e.byID[row.ID] = waits
	e.gathered = append(e.gathered, waits)
}

// due tells whether an entry may be proposed.
func (e *enrolment) due() bool { return e.under == nil && len(e.gathered) > 0 }

// next returns the rows of the next entry, which is under way from then on. It returns
// none while another is, or if nothing waits.
func (e *enrolment) next() []state.Backend {
	if !e.due() {
		return nil
	}
	count := min(len(e.gathered), maxEnrolled)
	rows := make([]state.Backend, count)
	e.under = make(map[string]*enrolling, count)
	for i, waits := range e.gathered[:count] {
		rows[i] = waits.row
		e.under[waits.row.ID] = waits
		delete(e.byID, waits.row.ID)
	}
	e.gathered = e.gathered[count:]
	return rows
}

// finished ends the entry under way.
func (e *enrolment) finished(err error) {
	under := e.under
	e.under = nil
	for _, waits := range under {
		waits.finish(err)
	}
}

// lose answers all that wait when the leadership or the replica ends.
func (e *enrolment) lose() {
	gathered := e.gathered
	e.gathered, e.byID = nil, nil
	for _, waits := range gathered {
		waits.finish(control.ErrLeadershipChanged)
	}
	e.finished(control.ErrLeadershipChanged)
}

// proposeRows proposes the next entry of rows, if one is due.
func (s *Server) proposeRows(now time.Duration) {
	rows := s.enrolment.next()
	if rows == nil {
		return
	}
	command := state.Command{Enrol: &state.Enrol{Backends: rows}}
	err := s.core.Propose(now, command, func(_ state.Result, err error) { s.enrolment.finished(err) })
	if err != nil {
		s.enrolment.finished(errors.Mark(err, ErrUnavailable))
	}
}

// enrol runs work as the leader and waits until the row that it returns is committed.
// Work returns false when there is nothing to wait for.
func (s *Server) enrol(ctx context.Context, work func(now time.Duration) (state.Backend, bool)) (coordapi.Reply, error) {
	done := make(chan error, 1)
	waits := false
	reply, err := s.asLeader(ctx, func(now time.Duration) {
		var row state.Backend
		if row, waits = work(now); waits {
			s.enrolment.add(row, func(err error) { done <- err })
		}
	})
	if err != nil || reply.NotLeader || !waits {
		return reply, err
	}
	return reply, outcome(ctx, done)
}
