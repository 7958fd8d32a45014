// Package inventory maintains a control node's view of the back ends. It joins
// the platform's list of machines with the status of the engines, both of which
// lag behind. The view is soft state that each control node keeps for itself.
// Routers use it as a hint, and engines reject requests that do not fit.
package inventory

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/platformapi"
)

// Config selects what is polled and how often.
type Config struct {
	// Source identifies this node's view in replies.
	Source string
	// Platform is the address of the platform's machine list.
	Platform string
	// ListInterval and StatusInterval are the polling intervals of
	// the machine list and the engines.
	ListInterval   time.Duration
	StatusInterval time.Duration
	// Zones restricts the polling of engines to these zones. If empty, all zones are polled.
	Zones []string
}

// maxConcurrentPolls bounds the engines polled at the same time.
const maxConcurrentPolls = 32

// Inventory polls the platform and the engines. It is safe for concurrent use.
type Inventory struct {
	config Config
	client *http.Client

	mu       sync.RWMutex
	revision uint64
	machines []controlapi.Machine
	reports  map[string]report
	heads    headTable
}

// report is the latest status of an engine and the time it was received.
type report struct {
	status engineapi.Status
	at     time.Duration
}

// New returns an empty inventory.
func New(config Config) *Inventory {
	transport := httpwire.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: 2048, IdleConnTimeout: time.Minute})
	return &Inventory{config: config, client: &http.Client{Transport: transport, Timeout: time.Second},
		reports: map[string]report{}, heads: newHeadTable()}
}

// Run polls until the context is cancelled.
func (i *Inventory) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { pollEvery(ctx, i.config.ListInterval, i.pollList) })
	group.Go(func() { pollEvery(ctx, i.config.StatusInterval, i.pollEngines) })
	group.Wait()
	i.client.CloseIdleConnections()
}

// pollEvery polls at once and then at each interval.
func pollEvery(ctx context.Context, interval time.Duration, poll func(context.Context)) {
	poll(ctx)
	periodic.Run(ctx, interval, poll)
}

func (i *Inventory) pollList(ctx context.Context) {
	var list platformapi.List
	if err := i.get(ctx, "http://"+i.config.Platform+platformapi.PathMachines, &list); err != nil {
		return
	}
	machines := make([]controlapi.Machine, 0, len(list.Machines))
	for _, m := range list.Machines {
		machines = append(machines, controlapi.Machine{ID: m.ID, Role: controlapi.MachineRole(m.Role), Address: m.Address,
			Region: m.Region, Zone: m.Zone, Leaving: m.Leaving})
	}
	slices.SortFunc(machines, func(a, b controlapi.Machine) int { return strings.Compare(a.ID, b.ID) })
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rebuild(machines)
}

func (i *Inventory) pollEngines(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, m := range i.engines() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			i.pollEngine(ctx, m)
		})
	}
	group.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rebuild(slices.Clone(i.machines))
}

func (i *Inventory) engines() []controlapi.Machine {
	i.mu.RLock()
	defer i.mu.RUnlock()
	var out []controlapi.Machine
	for _, m := range i.machines {
		if m.Role == controlapi.RoleEngine && i.watches(m.Zone) {
			out = append(out, m)
		}
	}
	return out
}

func (i *Inventory) watches(zone string) bool {
	return len(i.config.Zones) == 0 || slices.Contains(i.config.Zones, zone)
}

func (i *Inventory) pollEngine(ctx context.Context, m controlapi.Machine) {
	i.pollEvents(ctx, m)
	var status engineapi.Status
	if err := i.get(ctx, "http://"+m.Address+engineapi.PathStatus, &status); err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports[m.ID] = report{status: status, at: clock.Now()}
}

// rebuild joins the machine list with the engines' status. The revision rises only when the data of
// a machine changes, not its load.
func (i *Inventory) rebuild(machines []controlapi.Machine) {
	listed := map[string]bool{}
	for n := range machines {
		m := &machines[n]
		listed[m.ID] = true
		r, known := i.reports[m.ID]
		if !known {
			continue
		}
		m.Incarnation = r.status.Incarnation
		m.Model = r.status.Model
		m.WeightsVersion = r.status.WeightsVersion
		m.DecodeSlots = r.status.DecodeSlots
		m.Leaving = m.Leaving || r.status.Draining
	}
	for id := range i.reports {
		if !listed[id] {
			delete(i.reports, id)
			i.heads.forget(id)
		}
	}
	if !slices.Equal(machines, i.machines) {
		i.machines = machines
		i.revision++
	}
}

func (i *Inventory) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := i.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "poll")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("poll: status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode poll")
}

// View returns the reply to a router. It omits the machine
// list if the router has the current revision.
func (i *Inventory) View(r controlapi.ViewRequest) controlapi.ViewReply {
	i.mu.RLock()
	defer i.mu.RUnlock()
	reply := controlapi.ViewReply{Revision: i.revision, Source: i.config.Source, LastChange: i.heads.last()}
	if r.Source != i.config.Source || r.Revision != i.revision {
		reply.Machines, reply.Watched = i.machines, i.config.Zones
	}
	after := r.AfterChange
	if r.Source != i.config.Source {
		after = 0
	}
	reply.Heads, reply.FullHeads = i.heads.since(after)
	now := clock.Now()
	for _, m := range i.machines {
		if i.watches(m.Zone) {
			reply.Load = append(reply.Load, i.row(m.ID, now))
		}
	}
	return reply
}

// unknownAge is the load age of an engine whose status was never received.
const unknownAge = -1

func (i *Inventory) row(id string, now time.Duration) controlapi.LoadRow {
	r, known := i.reports[id]
	if !known {
		return controlapi.LoadRow{controlapi.LoadAge: unknownAge}
	}
	return controlapi.LoadRow{
		controlapi.LoadRunning:       r.status.Running,
		controlapi.LoadWaiting:       r.status.Waiting,
		controlapi.LoadPrefillTokens: r.status.PrefillTokens,
		controlapi.LoadAge:           int((now - r.at).Milliseconds()),
	}
}

// Machines returns the current machine list. The caller must not modify it.
func (i *Inventory) Machines() []controlapi.Machine {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.machines
}
