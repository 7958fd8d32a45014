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
	// stateFile stores the agent's durable state.
	stateFile = "router.json"
	// leaseCheckInterval is the interval at which the router checks its lease.
	leaseCheckInterval = 100 * time.Millisecond
	// peerQueryTimeout is the timeout for queries to other routers.
	peerQueryTimeout = 400 * time.Millisecond
)

// rollout is the controller that runs the agent. It sends heartbeats to control, queries other
// routers when control is lost, and publishes the bundle in force and the mode of the router's
// lease on the board.
type rollout struct {
	logger     *slog.Logger
	file       *storage.File
	control    *controlclient.Client
	peers      *peer.Client
	clock      processClock
	heartbeat  time.Duration
	config     *board.Writer[board.Config]
	leaseState *board.Writer[board.LeaseState]
	// ready is closed by readyOnce once the router may accept requests.
	ready     chan struct{}
	readyOnce sync.Once

	// mu guards the fields below. It is held while the state file is synced, so that no message is
	// sent that depends on state that is not durable.
	mu    sync.Mutex
	agent *agent.Agent
	// published identifies the bundle that the board holds.
	published controlapi.BundleID
	mode      agent.Mode
}

// newRollout returns a controller that starts from the stored state. It returns storage.ErrCorrupt
// if the state cannot be decoded.
func newRollout(r *Router, fs vfs.FS, clock processClock) (*rollout, error) {
	o := &rollout{logger: telemetry.Part(r.logger, "rollout"), control: r.control, peers: r.peers, clock: clock,
		heartbeat: r.settings.Heartbeat, ready: make(chan struct{})}
	var err error
	if o.config, err = r.board.Config.Claim("rollout"); err != nil {
		return nil, err
	}
	if o.leaseState, err = r.board.LeaseState.Claim("rollout"); err != nil {
		return nil, err
	}
	if o.file, err = storage.OpenFile(fs, r.settings.DataDirectory, stateFile); err != nil {
		return nil, err
	}
	var durable agent.PersistentState
	if data := o.file.Content(); len(data) > 0 {
		if err := json.Unmarshal(data, &durable); err != nil {
			return nil, errors.Wrapf(storage.ErrCorrupt, "%s: %v", stateFile, err)
		}
	}
	self := state.Router{Name: r.settings.Name, Region: r.settings.Region, Zone: r.settings.Zone, Peer: r.settings.PeerListen}
	o.agent = agent.New(self, durable, clock.now())
	o.publish()
	return o, nil
}

// run sends heartbeats and checks the lease until the context is done.
func (o *rollout) run(ctx context.Context) {
	heartbeats := time.NewTicker(o.heartbeat)
	defer heartbeats.Stop()
	leaseChecks := time.NewTicker(leaseCheckInterval)
	defer leaseChecks.Stop()
	o.renewLease(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			o.renewLease(ctx)
		case <-leaseChecks.C:
			o.update(func(time.Duration) error { return nil })
		}
	}
}

// update runs a step of the agent, stores the resulting state and publishes it on the board.
func (o *rollout) update(step func(now time.Duration) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := step(o.clock.now()); err != nil {
		o.logger.Warn("bundle rejected", "error", err)
	}
	o.save()
	o.publish()
}

// save stores the agent's state if it has changed. After an error the state remains dirty, and the
// router accepts no new requests.
func (o *rollout) save() {
	if !o.agent.Dirty() {
		return
	}
	data, err := json.Marshal(o.agent.PersistentState())
	if err == nil {
		err = o.file.Replace(data)
	}
	if err != nil {
		o.logger.Error("cannot store state; accepting no new requests", "error", err)
		return
	}
	o.agent.MarkSaved()
}

// publish stores the mode and the bundle in force on the board. While the state is not durable, the
// mode is agent.ModeNone and the bundle stays as it was.
func (o *rollout) publish() {
	mode := o.agent.Mode(o.clock.now())
	if o.agent.Dirty() {
		mode = agent.ModeNone
	}
	if active := o.agent.InForce(); active != nil && active.BundleID != o.published && !o.agent.Dirty() {
		b, err := bundle.Parse(active.Canonical)
		if err != nil {
			o.logger.Error("cannot parse bundle", "version", active.BundleID.Version, "error", err)
			return
		}
		o.config.Store(board.NewConfig(active.BundleID, b))
		o.published = active.BundleID
		o.logger.Info("bundle in force", "version", active.BundleID.Version, "digest", active.BundleID.Digest[:12])
	}
	if mode != o.mode {
		o.logger.Info("mode changed", "mode", string(mode))
		o.mode = mode
	}
	o.leaseState.Store(&board.LeaseState{Mode: mode, Routers: len(o.agent.PersistentState().Registry.Members)})
	if mode != agent.ModeNone {
		o.readyOnce.Do(func() { close(o.ready) })
	}
}

// renewLease sends a heartbeat, followed by others if there is something to acknowledge, such as a
// staged bundle. It queries the other routers if control is lost.
func (o *rollout) renewLease(ctx context.Context) {
	for range 3 {
		if !o.sendHeartbeat(ctx) {
			break
		}
	}
	o.mu.Lock()
	shouldQuery := o.agent.ShouldQueryPeers(o.clock.now())
	o.mu.Unlock()
	if shouldQuery {
		o.queryPeers(ctx)
	}
}

// sendHeartbeat sends one heartbeat and reports whether the reply must be acknowledged by another.
func (o *rollout) sendHeartbeat(ctx context.Context) (again bool) {
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

// queryPeers queries the lease state of the other routers and applies their replies.
func (o *rollout) queryPeers(ctx context.Context) {
	o.mu.Lock()
	sent := o.clock.now()
	peers := o.agent.PeersToQuery(sent)
	requests := make([]controlapi.PeerLeaseRequest, len(peers))
	for i, router := range peers {
		requests[i] = o.agent.PeerLeaseRequest(router.Name)
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
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

// handlePeerLease replies to the query of another router that has lost control.
func (o *rollout) handlePeerLease(request controlapi.PeerLeaseRequest) (controlapi.PeerLeaseReply, error) {
	var reply controlapi.PeerLeaseReply
	o.update(func(now time.Duration) error {
		reply = o.agent.HandlePeerLeaseRequest(now, request)
		return nil
	})
	return reply, nil
}
