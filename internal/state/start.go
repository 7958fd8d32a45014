package state

import (
	"cmp"
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

// Name returns the name that the back end used for itself.
func (p *Departure) Name() string { return cmp.Or(p.Instance, p.ID) }

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
	_, departed := d.departedID(s)
	return departed
}

// HasLeft reports whether a start whose departure is retained had left, before or after that.
func (d *Deployment) HasLeft(s Start) bool {
	id, departed := d.departedID(s)
	return departed && d.indexes.departed[id].Draining
}

// LeftBefore returns the latest LeftBefore of a back end's rows and retained departures, 0 for
// none.
func (d *Deployment) LeftBefore(name string) UnixMilli { return d.indexes.leftBefore[name] }

// Departure returns the departure of a row, if it is retained.
func (d *Deployment) Departure(id string) (Departure, bool) {
	departure, departed := d.indexes.departed[id]
	return departure, departed
}

// Departures returns the retained departures of a back end, whatever their start. Its cost
// depends on the number of all departures.
func (d *Deployment) Departures(name string) []Departure {
	var out []Departure
	for _, departure := range d.Departed {
		if departure.Name() == name {
			out = append(out, departure)
		}
	}
	return out
}

// DepartedID returns the row ID under which the departure of a start is retained, empty if there
// is none.
func (d *Deployment) DepartedID(s Start) string {
	if id, departed := d.departedID(s); departed {
		return id
	}
	return ""
}

func (d *Deployment) departedID(s Start) (id string, departed bool) {
	if departure, departed := d.indexes.departed[s.Name]; departed && (departure.Born == s.Born || s.Born == 0) {
		return s.Name, true
	}
	id = LaterRowID(s)
	_, departed = d.indexes.departed[id]
	return id, departed
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
		return LaterRowID(s)
	}
	if departure, departed := d.indexes.departed[s.Name]; departed && departure.Born != s.Born {
		return LaterRowID(s)
	}
	return s.Name
}

const (
	// returnedMark occurs in the IDs of rows whose starts returned after they departed.
	returnedMark = "~~"
	// formerMark ends the former row ID in the ID of such a row. Builds up to level 3 put the
	// back end's name in its place, followed by returnedMark only.
	formerMark = "~~~"
)

// returnedRow returns the row of a start that returned after it departed.
func (d *Deployment) returnedRow(s Start) (Backend, bool) {
	b, known := d.Current(s.Name)
	return b, known && strings.Contains(b.ID, returnedMark) && s.Matches(b.Start())
}

// ReturnedRowID returns a new row ID for a start that returns after it departed. Its former ID
// remains departed, so that a late heartbeat cannot add that row again on a node of any build.
func (d *Deployment) ReturnedRowID(s Start) string {
	former, departed := d.departedID(s)
	if !departed {
		former = s.Name
	}
	return former + formerMark + strconv.FormatUint(d.Revision(), 36)
}

// RowReturnedFrom returns the row with which the start of a departure has been registered again.
func (d *Deployment) RowReturnedFrom(departure Departure) (Backend, bool) {
	for _, id := range append(d.Superseded(), d.indexes.current[departure.Name()]) {
		if id != departure.ID && FormerRowID(id) == departure.ID {
			return d.Backends[id], true
		}
	}
	return Backend{}, false
}

// FormerRowID returns the ID of the first row of the start that a row belongs to. It differs from
// the row's own ID if the start has returned after it departed.
func FormerRowID(id string) string {
	if end := strings.LastIndex(id, formerMark); end >= 0 {
		return id[:end]
	}
	return id
}

// LaterRowID returns the ID of a start's row if it is not the first start of its back end.
func LaterRowID(s Start) string { return s.Name + laterMark + strconv.FormatInt(int64(s.Born), 36) }

// laterMark precedes the start time in the row ID of a later start.
const laterMark = "~"

// LaterStart returns the start of a back end that a row ID names, or false for the row of a first start.
func LaterStart(name, id string) (Start, bool) {
	id = FormerRowID(id)
	text, later := strings.CutPrefix(id, name+laterMark)
	if !later {
		return Start{}, false
	}
	born, err := strconv.ParseInt(text, 36, 64)
	return Start{Name: name, Born: UnixMilli(born)}, err == nil && born > 0
}

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
