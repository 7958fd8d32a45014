package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
	"quinceridge.example/quinceridge/internal/telemetry"
)

const (
	// stateName is the file that keeps agent.Durable.
	stateName = "router.json"
	// authorityTick is how often the right to take work is looked at.
	authorityTick = 100 * time.Millisecond
	// holdTimeout bounds a question to another router.
	holdTimeout = 400 * time.Millisecond
)

// rollout is the controller that drives the agent: heartbeats to control,
// questions to other routers, and the board's Config and LeaseState.
//
// Lock order: rollout.mu only; it is held over a sync of the state file, so
// that nothing leaves before what it rests on is durable.
type rollout struct {
	logger    *slog.Logger
	file      *storage.File
	control   *controlclient.Client
	peers     *peer.Client
	clock     processClock
	heartbeat time.Duration
	config    *board.Writer[board.Config]
	authority *board.Writer[board.LeaseState]
	ready     chan struct{}
	readyOnce sync.Once

	mu    sync.Mutex
	agent *agent.Agent
	shown controlapi.BundleID
	mode  agent.Mode
}

func newRollout(r *Router, fs vfs.FS, clock processClock) (*rollout, error) {
	o := &rollout{logger: telemetry.Part(r.logger, "rollout"), control: r.control, peers: r.peers, clock: clock,
		heartbeat: r.settings.Heartbeat, ready: make(chan struct{})}
	var err error
	if o.config, err = r.board.Config.Claim("rollout"); err != nil {
		return nil, err
	}
	if o.authority, err = r.board.LeaseState.Claim("rollout"); err != nil {
		return nil, err
	}
	if o.file, err = storage.OpenFile(fs, r.settings.DataDirectory, stateName); err != nil {
		return nil, err
	}
	var durable agent.PersistentState
	if data := o.file.Content(); len(data) > 0 {
		if err := json.Unmarshal(data, &durable); err != nil {
			return nil, errors.Wrapf(storage.ErrCorrupt, "%s: %v", stateName, err)
		}
	}
	self := state.Router{Name: r.settings.Name, Region: r.settings.Region, Zone: r.settings.Zone, Peer: r.settings.PeerListen}
	o.agent = agent.New(self, durable, clock.now())
	o.publish()
	return o, nil
}

// run sends heartbeats until the context ends.
func (o *rollout) run(ctx context.Context) {
	heartbeats := time.NewTicker(o.heartbeat)
	defer heartbeats.Stop()
	looks := time.NewTicker(authorityTick)
	defer looks.Stop()
	o.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			o.beat(ctx)
		case <-looks.C:
			o.update(func(time.Duration) error { return nil })
		}
	}
}

// update runs a step of the agent, makes its outcome durable and shows it on
// the board.
func (o *rollout) update(step func(now time.Duration) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := step(o.clock.now()); err != nil {
		o.logger.Warn("bundle was not taken", "error", err)
	}
	o.save()
	o.publish()
}

// save makes the agent's state durable. The router cannot go on without it.
func (o *rollout) save() {
	if !o.agent.Dirty() {
		return
	}
	data, err := json.Marshal(o.agent.PersistentState())
	if err == nil {
		err = o.file.Replace(data)
	}
	if err != nil {
		o.logger.Error("state cannot be made durable; no new work is taken", "error", err)
		return
	}
	o.agent.MarkSaved()
}

// publish shows mode and bundle on the board. While the state is not durable
// the router takes no work.
func (o *rollout) publish() {
	mode := o.agent.Mode(o.clock.now())
	if o.agent.Dirty() {
		mode = agent.ModeNone
	}
	if held := o.agent.InForce(); held != nil && held.BundleID != o.shown && !o.agent.Dirty() {
		b, err := bundle.Parse(held.Canonical)
		if err != nil {
			o.logger.Error("bundle cannot be read", "version", held.BundleID.Version, "error", err)
			return
		}
		o.config.Store(board.NewConfig(held.BundleID, b))
		o.shown = held.BundleID
		o.logger.Info("bundle in force", "version", held.BundleID.Version, "digest", held.BundleID.Digest[:12])
	}
	if mode != o.mode {
		o.logger.Info("mode changed", "mode", string(mode))
		o.mode = mode
	}
	o.authority.Store(&board.LeaseState{Mode: mode, Routers: len(o.agent.PersistentState().Registry.Members)})
	if mode != agent.ModeNone {
		o.readyOnce.Do(func() { close(o.ready) })
	}
}

// beat renews the lease, and asks the other routers when control is lost. A
// staged bundle is acknowledged at once.
func (o *rollout) beat(ctx context.Context) {
	for range 3 {
		if !o.renew(ctx) {
			break
		}
	}
	o.mu.Lock()
	wants := o.agent.ShouldQueryPeers(o.clock.now())
	o.mu.Unlock()
	if wants {
		o.askPeers(ctx)
	}
}

// renew sends one heartbeat. It tells whether another one has news to bring.
func (o *rollout) renew(ctx context.Context) (again bool) {
	o.mu.Lock()
	if o.agent.Dirty() {
		o.mu.Unlock()
		o.update(func(time.Duration) error { return nil })
		return false
	}
	sent := o.clock.now()
	request := o.agent.LeaseRequest()
	o.mu.Unlock()
	reply, err := o.control.Lease(ctx, request)
	if err != nil {
		o.logger.Debug("heartbeat failed", "error", err)
		return false
	}
	o.update(func(time.Duration) error { return o.agent.HandleLeaseReply(sent, reply) })
	return len(reply.Offers) > 0 || reply.Registry != nil
}

// askPeers asks the other routers whether they have lost control too.
func (o *rollout) askPeers(ctx context.Context) {
	o.mu.Lock()
	sent := o.clock.now()
	peers := o.agent.PeersToQuery(sent)
	requests := make([]controlapi.PeerLeaseRequest, len(peers))
	for i, router := range peers {
		requests[i] = o.agent.PeerLeaseRequest(router.Name)
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var group sync.WaitGroup
	for i, router := range peers {
		group.Go(func() {
			var reply controlapi.PeerLeaseReply
			if err := o.peers.Call(ctx, router.Peer, controlapi.KindPeerLease, requests[i], &reply); err != nil {
				return
			}
			o.update(func(now time.Duration) error { return o.agent.HandlePeerLeaseReply(now, sent, router.Name, reply) })
		})
	}
	group.Wait()
}

// handleHold answers another router.
func (o *rollout) handleHold(request controlapi.PeerLeaseRequest) (controlapi.PeerLeaseReply, error) {
	var reply controlapi.PeerLeaseReply
	o.update(func(now time.Duration) error {
		reply = o.agent.HandlePeerLeaseRequest(now, request)
		return nil
	})
	return reply, nil
}
