package state

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// rowOrder is the order in which rows changed, so that asking for what changed since a
// revision costs what changed and not what there is: it is asked for each step of what
// routers are told, and 0.7 us among 300 rows as among 20,000 (BenchmarkView of package
// coordinator). It follows from the rows and is no part of a snapshot.
type rowOrder struct {
	// changes are in rising order of their revisions. A row's last change is the one
	// whose revision it has; those before it are dropped when half of all are of that
	// kind.
	changes []rowChange
	// gone are the departed IDs that are remembered, with when those had started.
	gone map[string]UnixMilli
	// current maps the names of back ends to the rows of their present starts, and
	// superseded are rows of starts before.
	current    map[string]string
	superseded map[string]struct{}
	// engines counts the rows of model engines.
	engines int
}

// rowChange is a change of a row.
type rowChange struct {
	id       string
	revision uint64
}

// spareChanges is how many replaced changes are kept in any case: rebuilding a
// short order for every few changes gains nothing.
const spareChanges = 1024

// rebuild makes the order from the rows, as after a snapshot.
func (o *rowOrder) rebuild(d *Deployment) {
	o.changes = make([]rowChange, 0, len(d.Backends))
	o.engines = 0
	o.current, o.superseded = make(map[string]string, len(d.Backends)), map[string]struct{}{}
	for id, b := range d.Backends {
		o.count(b, 1)
		o.found(d, b)
		o.changes = append(o.changes, rowChange{id, b.Revision})
	}
	slices.SortFunc(o.changes, func(a, b rowChange) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.id, b.id))
	})
	o.gone = make(map[string]UnixMilli, len(d.Departed))
	for _, departure := range d.Departed {
		o.gone[departure.ID] = departure.Born
	}
}

// changed notes the change of a row.
func (o *rowOrder) changed(d *Deployment, id string, revision uint64) {
	if len(o.changes) >= 2*len(d.Backends)+spareChanges {
		o.changes = slices.DeleteFunc(o.changes, func(c rowChange) bool { return !d.isLast(c) })
	}
	o.changes = append(o.changes, rowChange{id, revision})
}

// count adds a row to the engines, if it is one, or takes it away.
func (o *rowOrder) count(b Backend, sign int) {
	if b.IsEngine() {
		o.engines += sign
	}
}

// since returns the rows that changed after a revision, by ID.
func (o *rowOrder) since(d *Deployment, revision uint64) []Backend {
	first := sort.Search(len(o.changes), func(i int) bool { return o.changes[i].revision > revision })
	var rows []Backend
	for _, c := range o.changes[first:] {
		if d.isLast(c) {
			rows = append(rows, d.Backends[c.id])
		}
	}
	slices.SortFunc(rows, func(a, b Backend) int { return strings.Compare(a.ID, b.ID) })
	// An entry may change a row twice.
	return slices.CompactFunc(rows, func(a, b Backend) bool { return a.ID == b.ID })
}

// isLast tells whether a change is its row's last.
func (d *Deployment) isLast(c rowChange) bool {
	b, known := d.Backends[c.id]
	return known && b.Revision == c.revision
}
