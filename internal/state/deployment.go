package state

import (
	"cmp"
	"encoding/json"
	"sort"

	"quinceridge.example/quinceridge/internal/isolation"
)

// minRetainedDepartures is the least number of departures that are retained. A larger
// deployment retains as many as it has rows: many back ends may depart at once, and a late
// heartbeat must not add one again. A watcher that is further behind gets the full list.
const minRetainedDepartures = 1024

// Configure puts a configuration in force if its version is higher than that of the
// configuration in force.
type Configure struct {
	Version uint64 `json:"version"`
	// Document is the configuration as the operator sent it.
	Document json.RawMessage `json:"document"`
	// Tenants are those of the document, nil if the proposer did not list them. A build that ignores them
	// loses the history of shared prompts, and routers use a scope that needs none.
	Tenants *isolation.Tenants `json:"tenants,omitempty"`
}

// NameWeights publishes a new version of a model's weights.
type NameWeights struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// SoftwareVersion is the version of a back end's software, not of the weights that it holds. It is
// empty if the back end does not report it.
type SoftwareVersion string

// Backend is the row of a registered back end. Each start of a back end has a row of its own.
type Backend struct {
	ID string `json:"id"`
	// Instance is the name that the back end uses for itself, empty if it equals ID. Born is
	// its start time by its own clock, 0 if not reported.
	Instance string    `json:"instance,omitempty"`
	Born     UnixMilli `json:"born,omitempty"`
	Pool     string    `json:"pool"`
	Address  string    `json:"address"`
	Zone     string    `json:"zone,omitempty"`
	Slots    int       `json:"slots,omitempty"`
	// Software is the version of the back end's software.
	Software SoftwareVersion `json:"software,omitempty"`
	// Draining is set for a back end that gets no new work. Once set it stays set.
	Draining bool `json:"draining,omitempty"`
	// LeftBefore is the wall-clock time of a leave without a start time that another start may
	// have sent: it binds every start of the back end that began before. 0 means none.
	LeftBefore UnixMilli `json:"left_before,omitempty"`
	// Weights maps models to the version that the back end has loaded. It is empty for a back
	// end that is not a model engine.
	Weights map[string]int `json:"weights,omitempty"`
	// Loading is the load order in progress, nil for none.
	Loading *Loading `json:"loading,omitempty"`
	// Orders counts the orders that the back end has accepted.
	Orders int `json:"orders,omitempty"`
	// Revision is the log index of the row's last change and EnrolledRevision that of its
	// first. Of two back ends at one address, the one that enrolled later replaced the other.
	Revision         uint64 `json:"revision"`
	EnrolledRevision uint64 `json:"enrolled,omitempty"`
}

// IsEngine reports whether the back end is a model engine.
func (b *Backend) IsEngine() bool { return len(b.Weights) > 0 }

// Loading is an order to load weights that is in progress.
type Loading struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// Enrol adds back ends or updates their rows, and records levels of the tenants' limits. Rows of departed back ends are ignored, except that
// a draining one is recorded in the departure.
type Enrol struct {
	Backends []Backend `json:"backends"`
	// TenantLevels replaces the recorded levels of the tenants' limits; nil leaves them. A build that
	// ignores it loses nothing: a leader without levels starts with almost empty buckets.
	TenantLevels *TenantLevels `json:"tenant_levels,omitempty"`
}

// TenantLevels are the levels that the buckets of tenants' limits keep (quota.Levels), by tenant, in
// the unit of the tenant's limit. Tenants that are not listed keep nothing.
type TenantLevels struct {
	Levels map[string]float64 `json:"levels"`
}

// Depart removes back ends permanently. The ID of a row that does not exist records that its
// start has left.
type Depart struct {
	IDs []string `json:"ids"`
}

// Hold makes a control node the one that issues orders to back ends.
type Hold struct {
	Holder string `json:"holder"`
}

// Departure records a back end that has departed.
type Departure struct {
	ID string `json:"id"`
	// Revision is the log index of the departure.
	Revision uint64 `json:"revision"`
	// Engine is set if the back end was a model engine.
	Engine bool `json:"engine,omitempty"`
	// Instance is the name that the back end uses for itself, empty if it equals ID. Born is
	// its start time, 0 if it was not reported.
	Instance string    `json:"instance,omitempty"`
	Born     UnixMilli `json:"born,omitempty"`
	// Draining is set if the back end has left, before or after its row was removed. Its start
	// must not return.
	Draining bool `json:"draining,omitempty"`
	// Software is that of the row.
	Software SoftwareVersion `json:"software,omitempty"`
	// Pool is that of the row.
	Pool string `json:"pool,omitempty"`
	// LeftBefore is that of the row.
	LeftBefore UnixMilli `json:"left_before,omitempty"`
}

// WeightsVersion is a published version of a model's weights.
type WeightsVersion struct {
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Revision uint64 `json:"revision"`
}

// Deployment is the replicated state that routers serve from.
type Deployment struct {
	// Version and Document are the configuration in force. Version is 0 for none.
	Version  uint64          `json:"version,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	// SharedPrompts is the history of the prompts that tenants share, nil if it is not known.
	SharedPrompts *isolation.History `json:"shared_prompts,omitempty"`
	// ConfigurationRevision, WeightsRevision and BackendsRevision are the log indexes of the
	// last change of each.
	ConfigurationRevision uint64             `json:"configured_at,omitempty"`
	WeightsRevision       uint64             `json:"weights_at,omitempty"`
	BackendsRevision      uint64             `json:"backends_at,omitempty"`
	Weights               []WeightsVersion   `json:"weights,omitempty"`
	Backends              map[string]Backend `json:"backends,omitempty"`
	Departed              []Departure        `json:"departed,omitempty"`
	// CompactedRevision is the highest log index of the departures that were discarded.
	CompactedRevision uint64 `json:"forgotten_at,omitempty"`
	// Holder is the control node that issues orders to back ends, empty for none.
	Holder string `json:"holder,omitempty"`
	// TenantLevels are the recorded levels of the tenants' limits, and TenantLevelsRevision is the log
	// index of the last record.
	TenantLevels         map[string]float64 `json:"tenant_levels,omitempty"`
	TenantLevelsRevision uint64             `json:"tenant_levels_at,omitempty"`
	// Blocked lists the blocked requests and Cleared those that were unblocked, both oldest
	// first. BlockedRevision is the log index of the last change of either.
	Blocked         []BlockedRequest `json:"blocked,omitempty"`
	Cleared         []ClearedRequest `json:"cleared,omitempty"`
	BlockedRevision uint64           `json:"blocked_at,omitempty"`
	indexes         backendIndexes
}

func (d *Deployment) init() {
	if d.Backends == nil {
		d.Backends = map[string]Backend{}
	}
	d.indexes.rebuild(d)
}

func (m *Machine) configure(index uint64, c *Configure) Result {
	d := &m.data.Deployment
	if c.Version > d.Version {
		before := d.SharedPrompts
		if d.Version == 0 {
			before = isolation.First()
		}
		d.SharedPrompts = isolation.Next(before, c.Version, c.Tenants)
		d.Version, d.Document, d.ConfigurationRevision = c.Version, c.Document, index
	}
	return Result{Code: CodeOK, Version: d.Version}
}

func (m *Machine) nameWeights(index uint64, n *NameWeights) Result {
	d := &m.data.Deployment
	for _, w := range d.Weights {
		if w.Model == n.Model && w.Version >= n.Version {
			return Result{Code: CodeOK}
		}
	}
	d.Weights = append(d.Weights, WeightsVersion{Model: n.Model, Version: n.Version, Revision: index})
	d.WeightsRevision = index
	return Result{Code: CodeOK}
}

func (m *Machine) enrol(index uint64, e *Enrol) Result {
	for _, b := range e.Backends {
		m.enrolOne(index, b)
	}
	if e.TenantLevels != nil {
		m.data.Deployment.TenantLevels, m.data.Deployment.TenantLevelsRevision = e.TenantLevels.Levels, index
	}
	return Result{Code: CodeOK}
}

func (m *Machine) enrolOne(index uint64, b Backend) {
	d := &m.data.Deployment
	if d.isDeparted(b.ID) {
		if b.Draining {
			d.setDepartureDraining(b.ID, b.LeftBefore)
		}
		return
	}
	b.EnrolledRevision = index
	if old, known := d.Backends[b.ID]; known {
		// A leader of an older build drops the version.
		b.Software = cmp.Or(b.Software, old.Software)
		b.Draining = b.Draining || old.Draining
		b.LeftBefore = max(b.LeftBefore, old.LeftBefore)
		b.EnrolledRevision = old.EnrolledRevision
	}
	b.Revision = index
	d.indexes.count(d.Backends[b.ID], -1)
	d.indexes.count(b, 1)
	d.Backends[b.ID] = b
	d.indexes.addRow(d, b)
	d.indexes.addLeave(b.Name(), b.LeftBefore)
	d.BackendsRevision = index
	d.indexes.recordChange(d, b.ID, index)
}

func (m *Machine) depart(index uint64, e *Depart) Result {
	d := &m.data.Deployment
	for _, id := range e.IDs {
		if d.isDeparted(id) {
			continue
		}
		old, known := d.Backends[id]
		d.indexes.count(old, -1)
		delete(d.Backends, id)
		departure := Departure{ID: id, Revision: index, Engine: old.IsEngine(), Instance: old.Instance, Born: old.Born, Draining: !known || old.Draining,
			LeftBefore: old.LeftBefore, Software: old.Software, Pool: old.Pool}
		d.Departed = append(d.Departed, departure)
		d.indexes.departed[id] = departure
		d.indexes.removeRow(old)
		d.BackendsRevision = index
		if former, returned := d.departedID(old.Start()); returned && former != id && old.Draining {
			d.setDepartureDraining(former, old.LeftBefore)
		}
	}
	for len(d.Departed) > max(minRetainedDepartures, len(d.Backends)) {
		d.CompactedRevision = d.Departed[0].Revision
		delete(d.indexes.departed, d.Departed[0].ID)
		d.indexes.removeLeave(&d.Departed[0])
		d.Departed = d.Departed[1:]
	}
	return Result{Code: CodeOK}
}

func (m *Machine) hold(h *Hold) Result {
	m.data.Deployment.Holder = h.Holder
	return Result{Code: CodeOK}
}

// setDepartureDraining records that the start of a retained departure has left.
func (d *Deployment) setDepartureDraining(id string, leftBefore UnixMilli) {
	departure := d.indexes.departed[id]
	departure.Draining, departure.LeftBefore = true, max(departure.LeftBefore, leftBefore)
	d.indexes.departed[id] = departure
	d.indexes.addLeave(departure.Name(), departure.LeftBefore)
	first := sort.Search(len(d.Departed), func(i int) bool { return d.Departed[i].Revision >= departure.Revision })
	for i := first; i < len(d.Departed); i++ {
		if d.Departed[i].ID == id {
			d.Departed[i] = departure
			return
		}
	}
}

// isDeparted reports whether a departure of this ID is retained.
func (d *Deployment) isDeparted(id string) bool {
	_, departed := d.indexes.departed[id]
	return departed
}

// HasChangesSince reports whether ChangedSince is complete for a revision, that is, whether no
// later departure was discarded. It is false for revision 0.
func (d *Deployment) HasChangesSince(since uint64) bool {
	return since != 0 && since >= d.CompactedRevision
}

// ChangedSince returns the rows that changed and the back ends that departed after a revision.
// Revision 0 gives all rows and no departures.
func (d *Deployment) ChangedSince(since uint64) (rows []Backend, departed []Departure) {
	rows = d.indexes.since(d, since)
	if since == 0 {
		return rows, nil
	}
	first := sort.Search(len(d.Departed), func(i int) bool { return d.Departed[i].Revision > since })
	return rows, d.Departed[first:]
}

// PoolSoftware is a software version of the back ends of a pool.
type PoolSoftware struct {
	Pool     string
	Software SoftwareVersion
}

// SoftwareVersions returns the number of back ends by pool and software version, except of those that
// report none. It must not be changed.
func (d *Deployment) SoftwareVersions() map[PoolSoftware]int { return d.indexes.software }

// EngineCount returns the number of back ends that are model engines.
func (d *Deployment) EngineCount() int { return d.indexes.engines }

// LatestWeights returns the highest published version of a model's weights, 0 for none.
func (d *Deployment) LatestWeights(model string) int {
	newest := 0
	for _, w := range d.Weights {
		if w.Model == model {
			newest = max(newest, w.Version)
		}
	}
	return newest
}

// Revision returns the log index of the last change that routers need.
func (d *Deployment) Revision() uint64 {
	return max(d.ConfigurationRevision, d.BackendsRevision, d.BlockedRevision)
}

// Deployment returns the deployment's state. Callers must not change it.
func (m *Machine) Deployment() *Deployment { return &m.data.Deployment }
