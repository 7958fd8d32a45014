package state

import (
	"strconv"
	"strings"
)

// UnixMilli is a wall-clock time in Unix milliseconds, by the clock of the process that
// reported it.
type UnixMilli int64

// Start identifies one start of a back end's process. A back end may restart under the same
// name; the new process has lost the state of the old one, and its sequence numbers restart.
type Start struct {
	// Name is the name that the back end uses for itself.
	Name string
	// Born is the start time, 0 if not reported.
	Born UnixMilli
}

// Matches reports whether two starts may be the same one. An unknown start time matches any,
// so Matches is not transitive.
func (s Start) Matches(other Start) bool {
	return s.Name == other.Name && (s.Born == other.Born || s.Born == 0 || other.Born == 0)
}

// After reports whether s is a later start of the same back end. It is false if either start
// time is unknown.
func (s Start) After(other Start) bool {
	return s.Name == other.Name && s.Born != 0 && other.Born != 0 && s.Born > other.Born
}

// Start returns the start that the row belongs to.
func (b *Backend) Start() Start { return Start{Name: b.Name(), Born: b.Born} }

// Name returns the name that the back end uses for itself, by which requests refer to it.
func (b *Backend) Name() string {
	if b.Instance != "" {
		return b.Instance
	}
	return b.ID
}

// Current returns the row of a back end's current start, which is the one that enrolled last.
func (d *Deployment) Current(name string) (Backend, bool) {
	b, known := d.Backends[d.indexes.current[name]]
	return b, known
}

// Superseded returns the IDs of the rows whose back ends have restarted since, in no particular
// order. These rows are to depart.
func (d *Deployment) Superseded() []string {
	var out []string
	for id := range d.indexes.superseded {
		out = append(out, id)
	}
	return out
}

// HasDeparted reports whether a departure of a start is retained and the start has not returned
// since.
func (d *Deployment) HasDeparted(s Start) bool {
	if _, back := d.returnedRow(s); back {
		return false
	}
	if born, departed := d.indexes.departed[s.Name]; departed && (born == s.Born || s.Born == 0) {
		return true
	}
	_, departed := d.indexes.departed[laterRowID(s)]
	return departed
}

// RowID returns the ID of a start's row, whether the row exists or is yet to be added. The row
// of a back end's first start has the back end's name as its ID, since routers of earlier builds
// address back ends by row ID. The IDs of later starts have the start time as a suffix.
func (d *Deployment) RowID(s Start) string {
	if b, back := d.returnedRow(s); back {
		return b.ID
	}
	if b, known := d.Backends[s.Name]; known {
		if s.Matches(b.Start()) {
			return s.Name
		}
		return laterRowID(s)
	}
	if born, departed := d.indexes.departed[s.Name]; departed && born != s.Born {
		return laterRowID(s)
	}
	return s.Name
}

// returnedMark occurs in the IDs of rows whose starts returned after they departed.
const returnedMark = "~~"

// returnedRow returns the row of a start that returned after it departed.
func (d *Deployment) returnedRow(s Start) (Backend, bool) {
	b, known := d.Current(s.Name)
	return b, known && strings.Contains(b.ID, returnedMark) && s.Matches(b.Start())
}

// ReturnedRowID returns a new row ID for a start that returns after it departed. Its former ID
// remains departed, so that a late heartbeat cannot add that row again on a node of any build.
func (d *Deployment) ReturnedRowID(s Start) string {
	return s.Name + returnedMark + strconv.FormatUint(d.Revision(), 36)
}

func laterRowID(s Start) string { return s.Name + "~" + strconv.FormatInt(int64(s.Born), 36) }

// addRow adds a row to current or superseded. Of a back end's rows, the one that enrolled last
// is current.
func (x *backendIndexes) addRow(d *Deployment, b Backend) {
	other, known := d.Backends[x.current[b.Name()]]
	switch {
	case !known || other.ID == b.ID:
		x.current[b.Name()] = b.ID
	case other.EnrolledRevision > b.EnrolledRevision || (other.EnrolledRevision == b.EnrolledRevision && other.Born > b.Born):
		x.superseded[b.ID] = struct{}{}
	default:
		x.superseded[other.ID] = struct{}{}
		x.current[b.Name()] = b.ID
	}
}

// removeRow removes a row from current and superseded.
func (x *backendIndexes) removeRow(b Backend) {
	delete(x.superseded, b.ID)
	if x.current[b.Name()] == b.ID {
		delete(x.current, b.Name())
	}
}
