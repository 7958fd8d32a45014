package state

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// backendIndexes are indexes over a deployment's rows and departures. They are derived from
// these and not part of a snapshot.
type backendIndexes struct {
	// changes is ordered by revision, so that the cost of finding the rows changed after a
	// revision depends on their number and not on the number of rows. A change whose row has
	// a higher revision is stale; stale changes are removed in bulk.
	changes []rowChange
	// departed are the retained departures by ID.
	departed map[string]Departure
	// leftBefore maps names to the latest LeftBefore of rows and retained departures.
	leftBefore map[string]UnixMilli
	// current maps the name of each back end to the row ID of its current start. superseded
	// holds the row IDs of earlier starts.
	current    map[string]string
	superseded map[string]struct{}
	// engines is the number of model engines.
	engines int
	// software is the number of back ends by pool and software version.
	software map[PoolSoftware]int
}

// rowChange is a change of a row by the log entry at revision.
type rowChange struct {
	id       string
	revision uint64
}

// staleChangesSlack is the number of stale changes to tolerate in addition to one for each
// row, so that a short list is not compacted for every few changes.
const staleChangesSlack = 1024

// rebuild builds all indexes from the deployment's rows and departures.
func (x *backendIndexes) rebuild(d *Deployment) {
	x.changes = make([]rowChange, 0, len(d.Backends))
	x.software = map[PoolSoftware]int{}
	x.engines, x.leftBefore = 0, map[string]UnixMilli{}
	x.current, x.superseded = make(map[string]string, len(d.Backends)), map[string]struct{}{}
	for id, b := range d.Backends {
		x.count(b, 1)
		x.addRow(d, b)
		x.addLeave(b.Name(), b.LeftBefore)
		x.changes = append(x.changes, rowChange{id, b.Revision})
	}
	slices.SortFunc(x.changes, func(a, b rowChange) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.id, b.id))
	})
	x.departed = make(map[string]Departure, len(d.Departed))
	for _, departure := range d.Departed {
		x.departed[departure.ID] = departure
		x.addLeave(departure.Name(), departure.LeftBefore)
	}
}

// addLeave records the LeftBefore of a row or departure.
func (x *backendIndexes) addLeave(name string, leftBefore UnixMilli) {
	if leftBefore > x.leftBefore[name] {
		x.leftBefore[name] = leftBefore
	}
}

// removeLeave drops the LeftBefore of a departure that is not retained any more.
func (x *backendIndexes) removeLeave(departure *Departure) {
	if departure.LeftBefore != 0 && x.leftBefore[departure.Name()] == departure.LeftBefore {
		delete(x.leftBefore, departure.Name())
	}
}

// recordChange appends a change of a row, and first removes stale ones if there are many.
func (x *backendIndexes) recordChange(d *Deployment, id string, revision uint64) {
	if len(x.changes) >= 2*len(d.Backends)+staleChangesSlack {
		x.changes = slices.DeleteFunc(x.changes, func(c rowChange) bool { return !d.isLast(c) })
	}
	x.changes = append(x.changes, rowChange{id, revision})
}

// count adds sign to the numbers of back ends of the row's kind and software version.
func (x *backendIndexes) count(b Backend, sign int) {
	if b.IsEngine() {
		x.engines += sign
	}
	version := PoolSoftware{b.Pool, b.Software}
	if version.Software == "" {
		return
	}
	if x.software[version] += sign; x.software[version] == 0 {
		delete(x.software, version)
	}
}

// since returns the rows that changed after a revision, sorted by ID.
func (x *backendIndexes) since(d *Deployment, revision uint64) []Backend {
	first := sort.Search(len(x.changes), func(i int) bool { return x.changes[i].revision > revision })
	var rows []Backend
	for _, c := range x.changes[first:] {
		if d.isLast(c) {
			rows = append(rows, d.Backends[c.id])
		}
	}
	slices.SortFunc(rows, func(a, b Backend) int { return strings.Compare(a.ID, b.ID) })
	// A log entry may change a row twice.
	return slices.CompactFunc(rows, func(a, b Backend) bool { return a.ID == b.ID })
}

// isLast reports whether a change is the last one of its row.
func (d *Deployment) isLast(c rowChange) bool {
	b, known := d.Backends[c.id]
	return known && b.Revision == c.revision
}
