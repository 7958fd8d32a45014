package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/storage"
	"quinceridge.example/quinceridge/internal/telemetry"
)

const (
	// machinesFile stores the last list of machines, for use after a restart until a newer one is
	// received.
	machinesFile = "machines.json"
	// pollInterval is the interval of requests for the list of machines and their load. With more
	// than largeFleetSize machines it is largeFleetPollInterval, to limit the traffic.
	pollInterval           = 250 * time.Millisecond
	largeFleetPollInterval = 500 * time.Millisecond
	largeFleetSize         = 100
	// saveInterval is the minimum interval between two writes of machinesFile.
	saveInterval = 5 * time.Second
)

// membershipController polls control for views and updates the pool, the directory and the
// board's Machines.
type membershipController struct {
	logger    *slog.Logger
	control   *controlclient.Client
	clock     processClock
	pool      *membership.Pool
	directory *scheduling.Directory
	// lastChange is the number of the last change of heads that was applied.
	lastChange uint64
	writer     *board.Writer[board.Machines]
	file       *storage.File
	// ready is closed by readyOnce after the first successful poll with a list of machines.
	ready     chan struct{}
	readyOnce sync.Once

	current board.Machines
	savedAt time.Duration
	unsaved bool
}

// newMembership returns a controller that starts with the stored list of machines, if any.
func newMembership(r *Router, pool *membership.Pool, directory *scheduling.Directory, clock processClock) (*membershipController, error) {
	m := &membershipController{logger: telemetry.Part(r.logger, "membership"), control: r.control, clock: clock,
		pool: pool, directory: directory, ready: make(chan struct{}), savedAt: -saveInterval}
	var err error
	if m.writer, err = r.board.Machines.Claim("membership"); err != nil {
		return nil, err
	}
	if m.file, err = storage.OpenFile(vfs.Default, r.settings.DataDirectory, machinesFile); err != nil {
		return nil, err
	}
	var stored board.Machines
	if json.Unmarshal(m.file.Content(), &stored) == nil && len(stored.Machines) > 0 {
		m.setMachines(stored)
	}
	return m, nil
}

// run polls control until the context is done.
func (m *membershipController) run(ctx context.Context) {
	for {
		started := m.clock.now()
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.interval() - (m.clock.now() - started)):
		}
	}
}

func (m *membershipController) interval() time.Duration {
	if len(m.current.Machines) > largeFleetSize {
		return largeFleetPollInterval
	}
	return pollInterval
}

// poll requests a view and applies it.
func (m *membershipController) poll(ctx context.Context) {
	reply, err := m.control.View(ctx, controlapi.ViewRequest{Revision: m.current.Revision, Source: m.current.Source, AfterChange: m.lastChange})
	if err != nil {
		m.logger.Debug("view request failed", "error", err)
		return
	}
	if reply.Machines != nil {
		m.setMachines(board.Machines{Revision: reply.Revision, Source: reply.Source, Machines: reply.Machines, Watched: reply.Watched})
		m.unsaved = true
	}
	reported := m.current.InWatchedZones()
	if len(reply.Load) == len(reported) {
		for i, row := range reply.Load {
			m.pool.SetLoad(m.clock.now(), reported[i].ID, row)
		}
	}
	m.applyHeads(&reply)
	if len(m.current.Machines) > 0 {
		m.readyOnce.Do(func() { close(m.ready) })
	}
	m.save()
}

// applyHeads applies the changes of heads in the reply to the directory.
func (m *membershipController) applyHeads(reply *controlapi.ViewReply) {
	if reply.FullHeads {
		m.directory.Clear()
	}
	for _, change := range reply.Heads {
		endpoint := scheduling.EndpointKey(change.Engine)
		switch change.Kind {
		case controlapi.HeadAdded:
			m.directory.Add(endpoint, change.Head)
		case controlapi.HeadRemoved:
			m.directory.Remove(endpoint, change.Head)
		case controlapi.HeadsCleared:
			m.directory.RemoveEndpoint(endpoint)
		}
	}
	m.lastChange = reply.LastChange
}

func (m *membershipController) setMachines(machines board.Machines) {
	m.current = machines
	m.pool.SetMachines(machines.Machines)
	m.writer.Store(&machines)
}

// save writes the list of machines if it has changed, at most once per saveInterval.
func (m *membershipController) save() {
	now := m.clock.now()
	if !m.unsaved || now-m.savedAt < saveInterval {
		return
	}
	data, err := json.Marshal(m.current)
	if err == nil {
		err = m.file.Replace(data)
	}
	if err != nil {
		m.logger.Warn("cannot store the list of machines", "error", err)
	}
	m.savedAt, m.unsaved = now, false
}
