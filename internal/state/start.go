package state

import (
	"strconv"
	"strings"
)

// UnixMilli is a time of day in milliseconds since 1970, by the clock of whoever says it.
type UnixMilli int64

// Start is one start of a back end as the back end names it. It may start again under the
// name that it had; it then holds and knows nothing of before, and counts anew.
type Start struct {
	Name string
	// Born is when it started, 0 if it does not say: then its name alone tells it apart.
	Born UnixMilli
}

// Matches tells whether two starts are one, for all that they say.
func (s Start) Matches(other Start) bool {
	return s.Name == other.Name && (s.Born == other.Born || s.Born == 0 || other.Born == 0)
}

// After tells whether a start is a later one of the same back end.
func (s Start) After(other Start) bool {
	return s.Name == other.Name && s.Born != 0 && other.Born != 0 && s.Born > other.Born
}

// Start names the start whose row it is.
func (b *Backend) Start() Start { return Start{Name: b.Name(), Born: b.Born} }

// Name is how the back end names itself. Requests name it so.
func (b *Backend) Name() string {
	if b.Instance != "" {
		return b.Instance
	}
	return b.ID
}

// Current returns the row of a back end's present start: the one that enrolled last.
func (d *Deployment) Current(name string) (Backend, bool) {
	b, known := d.Backends[d.order.current[name]]
	return b, known
}

// Superseded are the rows whose back ends have started again since. They are to depart.
func (d *Deployment) Superseded() []string {
	var out []string
	for id := range d.order.superseded {
		out = append(out, id)
	}
	return out
}

// HasDeparted tells whether a start is known to be gone, and has not come back.
func (d *Deployment) HasDeparted(s Start) bool {
	if _, back := d.returned(s); back {
		return false
	}
	if born, gone := d.order.gone[s.Name]; gone && (born == s.Born || s.Born == 0) {
		return true
	}
	_, gone := d.order.gone[laterID(s)]
	return gone
}

// RowID returns the ID of a start's row, whether it is there or to come. The first start of
// a back end has its name: routers of earlier builds name a back end by its row's ID when
// they send. Later ones have the time of their start behind it, so that everything that is
// kept by ID is kept by start.
func (d *Deployment) RowID(s Start) string {
	if b, back := d.returned(s); back {
		return b.ID
	}
	if b, known := d.Backends[s.Name]; known {
		if s.Matches(b.Start()) {
			return s.Name
		}
		return laterID(s)
	}
	if born, gone := d.order.gone[s.Name]; gone && born != s.Born {
		return laterID(s)
	}
	return s.Name
}

// returnedMark is in the IDs of rows whose starts were gone.
const returnedMark = "~~"

// returned is the row of a start that was gone and has come back.
func (d *Deployment) returned(s Start) (Backend, bool) {
	b, known := d.Current(s.Name)
	return b, known && strings.Contains(b.ID, returnedMark) && s.Matches(b.Start())
}

// ReturnedRowID is the ID of the row under which a start that was gone comes back: its former
// one stays gone, so that a late heartbeat can't bring it back on a node of any build.
func (d *Deployment) ReturnedRowID(s Start) string {
	return s.Name + returnedMark + strconv.FormatUint(d.Revision(), 36)
}

func laterID(s Start) string { return s.Name + "~" + strconv.FormatInt(int64(s.Born), 36) }

// found notes a row, whether its back end has others or not: the one that enrolled last
// is that of the present start.
func (o *rowOrder) found(d *Deployment, b Backend) {
	other, known := d.Backends[o.current[b.Name()]]
	switch {
	case !known || other.ID == b.ID:
		o.current[b.Name()] = b.ID
	case other.EnrolledRevision > b.EnrolledRevision || (other.EnrolledRevision == b.EnrolledRevision && other.Born > b.Born):
		o.superseded[b.ID] = struct{}{}
	default:
		o.superseded[other.ID] = struct{}{}
		o.current[b.Name()] = b.ID
	}
}

// left notes that a row is gone.
func (o *rowOrder) left(b Backend) {
	delete(o.superseded, b.ID)
	if o.current[b.Name()] == b.ID {
		delete(o.current, b.Name())
	}
}
