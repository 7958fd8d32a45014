package state

import (
	"encoding/json"
	"sort"
)

// rememberedDepartures is how many departed back ends are remembered at least, and as
// many as there are rows beyond that: a tenth of a large deployment may depart at once,
// and a heartbeat that arrives late must not bring one of them back. A watcher that is
// further behind gets the whole list.
const rememberedDepartures = 1024

// Configure puts a configuration in force. The highest version holds, and the
// first content of a version stays.
type Configure struct {
	Version uint64 `json:"version"`
	// Document is the configuration as the operator sent it.
	Document json.RawMessage `json:"document"`
}

// NameWeights names a new version of a model's weights.
type NameWeights struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// Backend is a registered back end. An ID is one start of one process.
type Backend struct {
	ID string `json:"id"`
	// Instance is how the back end names itself, empty if that is the ID, and Born when it
	// started by its own clock, 0 if it does not say.
	Instance string    `json:"instance,omitempty"`
	Born     UnixMilli `json:"born,omitempty"`
	Pool     string    `json:"pool"`
	Address  string    `json:"address"`
	Zone     string    `json:"zone,omitempty"`
	Slots    int       `json:"slots,omitempty"`
	// Draining back ends get no new work. The mark is never taken back.
	Draining bool `json:"draining,omitempty"`
	// Weights maps models to the version that the back end holds.
	Weights map[string]int `json:"weights,omitempty"`
	// Loading is the order under way, nil for none.
	Loading *Loading `json:"loading,omitempty"`
	// Orders counts the orders that the back end took.
	Orders int `json:"orders,omitempty"`
	// Revision is the log index of the row's last change, and Enrolled of its first: of
	// two back ends at one address the later one took the other's place.
	Revision         uint64 `json:"revision"`
	EnrolledRevision uint64 `json:"enrolled,omitempty"`
}

// IsEngine tells a model engine from a plain back end.
func (b *Backend) IsEngine() bool { return len(b.Weights) > 0 }

// Loading is an order to load weights that is under way.
type Loading struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// Enrol adds a back end or changes its row. A row of a departed back end is
// not taken.
type Enrol struct {
	Backends []Backend `json:"backends"`
}

// Depart removes back ends for good.
type Depart struct {
	IDs []string `json:"ids"`
}

// Hold notes which control node gives orders from now on.
type Hold struct {
	Holder string `json:"holder"`
}

// Departure is a back end that is gone.
type Departure struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	// Engine says that it was a model engine.
	Engine bool `json:"engine,omitempty"`
	// Born is when it had started, 0 if it did not say.
	Born UnixMilli `json:"born,omitempty"`
}

// WeightsVersion is a named version of a model's weights.
type WeightsVersion struct {
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Revision uint64 `json:"revision"`
}

// Deployment is the replicated state of what routers serve by.
type Deployment struct {
	// Version and Document are the configuration in force; Version is 0 for
	// none.
	Version  uint64          `json:"version,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	// ConfigurationRevision, WeightsAt and BackendsAt are the log indexes of the last
	// changes.
	ConfigurationRevision uint64             `json:"configured_at,omitempty"`
	WeightsRevision       uint64             `json:"weights_at,omitempty"`
	BackendsRevision      uint64             `json:"backends_at,omitempty"`
	Weights               []WeightsVersion   `json:"weights,omitempty"`
	Backends              map[string]Backend `json:"backends,omitempty"`
	Departed              []Departure        `json:"departed,omitempty"`
	// CompactedRevision is the revision up to which departures were forgotten.
	CompactedRevision uint64 `json:"forgotten_at,omitempty"`
	// Holder gave the last order to a back end.
	Holder string `json:"holder,omitempty"`
	// Blocked are the requests that are kept from back ends, Cleared those that were
	// until lately, and BlockedAt the log index of the last change of both.
	Blocked         []BlockedRequest `json:"blocked,omitempty"`
	Cleared         []ClearedRequest `json:"cleared,omitempty"`
	BlockedRevision uint64           `json:"blocked_at,omitempty"`
	order           rowOrder
}

func (d *Deployment) init() {
	if d.Backends == nil {
		d.Backends = map[string]Backend{}
	}
	d.order.rebuild(d)
}

func (m *Machine) configure(index uint64, c *Configure) Result {
	d := &m.data.Deployment
	if c.Version > d.Version {
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
	return Result{Code: CodeOK}
}

func (m *Machine) enrolOne(index uint64, b Backend) {
	d := &m.data.Deployment
	if d.departed(b.ID) {
		return
	}
	b.EnrolledRevision = index
	if old, known := d.Backends[b.ID]; known {
		b.Draining = b.Draining || old.Draining
		b.EnrolledRevision = old.EnrolledRevision
	}
	b.Revision = index
	d.order.count(d.Backends[b.ID], -1)
	d.order.count(b, 1)
	d.Backends[b.ID] = b
	d.order.found(d, b)
	d.BackendsRevision = index
	d.order.changed(d, b.ID, index)
}

func (m *Machine) depart(index uint64, e *Depart) Result {
	d := &m.data.Deployment
	for _, id := range e.IDs {
		if d.departed(id) {
			continue
		}
		old := d.Backends[id]
		d.order.count(old, -1)
		delete(d.Backends, id)
		d.Departed = append(d.Departed, Departure{ID: id, Revision: index, Engine: old.IsEngine(), Born: old.Born})
		d.order.gone[id] = old.Born
		d.order.left(old)
		d.BackendsRevision = index
	}
	for len(d.Departed) > max(rememberedDepartures, len(d.Backends)) {
		d.CompactedRevision = d.Departed[0].Revision
		delete(d.order.gone, d.Departed[0].ID)
		d.Departed = d.Departed[1:]
	}
	return Result{Code: CodeOK}
}

func (m *Machine) hold(h *Hold) Result {
	m.data.Deployment.Holder = h.Holder
	return Result{Code: CodeOK}
}

// departed tells whether a back end is known to be gone.
func (d *Deployment) departed(id string) bool {
	_, gone := d.order.gone[id]
	return gone
}

// HasChangesSince tells whether Changed knows all that happened after a revision.
func (d *Deployment) HasChangesSince(since uint64) bool {
	return since != 0 && since >= d.CompactedRevision
}

// ChangedSince returns the rows that changed after a revision, and the back ends
// that departed since. At revision 0 the rows are all there are.
func (d *Deployment) ChangedSince(since uint64) (rows []Backend, gone []Departure) {
	rows = d.order.since(d, since)
	if since == 0 {
		return rows, nil
	}
	first := sort.Search(len(d.Departed), func(i int) bool { return d.Departed[i].Revision > since })
	return rows, d.Departed[first:]
}

// EngineCount is how many of the back ends are model engines.
func (d *Deployment) EngineCount() int { return d.order.engines }

// LatestWeights returns the highest named version of a model, 0 for none.
func (d *Deployment) LatestWeights(model string) int {
	newest := 0
	for _, w := range d.Weights {
		if w.Model == model {
			newest = max(newest, w.Version)
		}
	}
	return newest
}

// Revision returns the log index of the last change that routers follow.
func (d *Deployment) Revision() uint64 {
	return max(d.ConfigurationRevision, d.BackendsRevision, d.BlockedRevision)
}

// Deployment returns the deployment's state. Callers must not change it.
func (m *Machine) Deployment() *Deployment { return &m.data.Deployment }
