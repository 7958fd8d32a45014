// Package inventory is a control node's picture of the back ends: the
// platform's list of machines and the engines' own reports, both of which lag.
// It is soft state, kept by each control node alone; routers take it as advice
// and engines refuse what does not fit.
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
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/platformapi"
)

// Config says what is polled and how often.
type Config struct {
	// Source names this node's picture in answers.
	Source string
	// Platform is the address of the platform's list.
	Platform string
	// ListInterval and StatusInterval are the times between two polls.
	ListInterval   time.Duration
	StatusInterval time.Duration
	// Zones limits engine reports to these zones. Empty means all.
	Zones []string
}

// pollers bounds how many engines are asked at once.
const pollers = 32

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

// report is an engine's latest status and when it came.
type report struct {
	status engineapi.Status
	at     time.Duration
}

// New returns an empty inventory.
func New(config Config) *Inventory {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: 2048, IdleConnTimeout: time.Minute}
	return &Inventory{config: config, client: &http.Client{Transport: transport, Timeout: time.Second},
		reports: map[string]report{}, heads: newHeadTable()}
}

// Run polls until the context ends.
func (i *Inventory) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { pollNowAnd(ctx, i.config.ListInterval, i.pollList) })
	group.Go(func() { pollNowAnd(ctx, i.config.StatusInterval, i.pollEngines) })
	group.Wait()
	i.client.CloseIdleConnections()
}

// pollNowAnd polls at once and then at each interval.
func pollNowAnd(ctx context.Context, interval time.Duration, poll func(context.Context)) {
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
	slots := make(chan struct{}, pollers)
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

// rebuild joins the list with the reports. The revision rises only when a
// machine's own data changed, not with load.
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

// View answers a router. The machine list is left out when the router has it.
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

// unknownAge marks the load of an engine that never reported.
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

// Machines returns the present list.
func (i *Inventory) Machines() []controlapi.Machine {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.machines
}
