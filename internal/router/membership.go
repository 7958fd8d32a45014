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
	// machinesName is the file that keeps the last list of machines. It is a
	// hint for the next start and may be stale.
	machinesName = "machines.json"
	// viewInterval is the time between two questions for machines and load. In
	// a large fleet it is largeInterval, to stay within the budget of bytes.
	viewInterval  = 250 * time.Millisecond
	largeInterval = 500 * time.Millisecond
	largeFleet    = 100
	// machinesSaved is the least time between two writes of the file.
	machinesSaved = 5 * time.Second
)

// membershipController keeps the pool and the board's Machines up to date.
type membershipController struct {
	logger  *slog.Logger
	control *controlclient.Client
	clock   processClock
	pool    *membership.Pool
	// directory is fed with the chain heads that engines hold.
	directory *scheduling.Directory
	// lastChange numbers the last change of heads that was taken.
	lastChange uint64
	writer     *board.Writer[board.Machines]
	file       *storage.File
	ready      chan struct{}
	once       sync.Once

	current board.Machines
	saved   time.Duration
	unsaved bool
}

func newMembership(r *Router, pool *membership.Pool, directory *scheduling.Directory, clock processClock) (*membershipController, error) {
	m := &membershipController{logger: telemetry.Part(r.logger, "membership"), control: r.control, clock: clock,
		pool: pool, directory: directory, ready: make(chan struct{}), saved: -machinesSaved}
	var err error
	if m.writer, err = r.board.Machines.Claim("membership"); err != nil {
		return nil, err
	}
	if m.file, err = storage.OpenFile(vfs.Default, r.settings.DataDirectory, machinesName); err != nil {
		return nil, err
	}
	var kept board.Machines
	if json.Unmarshal(m.file.Content(), &kept) == nil && len(kept.Machines) > 0 {
		m.take(kept)
	}
	return m, nil
}

// run asks for views until the context ends.
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
	if len(m.current.Machines) > largeFleet {
		return largeInterval
	}
	return viewInterval
}

func (m *membershipController) poll(ctx context.Context) {
	reply, err := m.control.View(ctx, controlapi.ViewRequest{Revision: m.current.Revision, Source: m.current.Source, AfterChange: m.lastChange})
	if err != nil {
		m.logger.Debug("view failed", "error", err)
		return
	}
	if reply.Machines != nil {
		m.take(board.Machines{Revision: reply.Revision, Source: reply.Source, Machines: reply.Machines, Watched: reply.Watched})
		m.unsaved = true
	}
	reported := m.current.Reported()
	if len(reply.Load) == len(reported) {
		for i, row := range reply.Load {
			m.pool.SetLoad(m.clock.now(), reported[i].ID, row)
		}
	}
	m.takeHeads(&reply)
	if len(m.current.Machines) > 0 {
		m.once.Do(func() { close(m.ready) })
	}
	m.save()
}

// takeHeads brings the directory up to date.
func (m *membershipController) takeHeads(reply *controlapi.ViewReply) {
	if reply.WholeHeads {
		m.directory.Clear()
	}
	for _, change := range reply.Heads {
		endpoint := scheduling.EndpointKey(change.Engine)
		switch change.Kind {
		case controlapi.HeadAdded:
			m.directory.Add(endpoint, change.Head)
		case controlapi.HeadDropped:
			m.directory.Remove(endpoint, change.Head)
		case controlapi.HeadsForgotten:
			m.directory.RemoveEndpoint(endpoint)
		}
	}
	m.lastChange = reply.LastChange
}

func (m *membershipController) take(machines board.Machines) {
	m.current = machines
	m.pool.SetMachines(machines.Machines)
	m.writer.Store(&machines)
}

func (m *membershipController) save() {
	now := m.clock.now()
	if !m.unsaved || now-m.saved < machinesSaved {
		return
	}
	data, err := json.Marshal(m.current)
	if err == nil {
		err = m.file.Replace(data)
	}
	if err != nil {
		m.logger.Warn("list of machines was not kept", "error", err)
	}
	m.saved, m.unsaved = now, false
}
