package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/inventory"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/telemetry"
)

// Timeouts in ticks. The lease is a fifth shorter than the election timeout, which bounds the
// tolerated difference in clock rates.
const (
	heartbeatTicks = 2
	leaseTicks     = 16
	electionTicks  = 20
)

const (
	listInterval   = time.Second
	statusInterval = 250 * time.Millisecond
)

// Server is a running control node: a Core with sockets, a clock and a disk. A single
// goroutine owns the Core; the others pass functions to it through the loop.
type Server struct {
	settings  settings.Control
	logger    *slog.Logger
	core      *Core
	inventory *inventory.Inventory
	counters  *peer.Counters
	peers     *peer.Client
	listener  *peer.Server
	status    *listener.Server
	// guard bounds the connections of all listeners, as capacity divides them.
	guard    *listener.Guard
	capacity listener.Capacity
	loop     *Loop
	started  time.Duration
	cancel   context.CancelFunc
	failure  error
	metrics  *serverMetrics
	lastRole raft.Role
}

// NewServer opens the data directory and restores its state. Start runs the node.
func NewServer(config settings.Control, logger *slog.Logger) (*Server, error) {
	s := &Server{settings: config, logger: telemetry.Part(logger, "control"), counters: &peer.Counters{},
		started: clock.Now()}
	s.loop = NewLoop(s.now)
	core, err := NewCore(s.coreConfig(), vfs.Default, config.DataDirectory, s.now())
	if err != nil {
		return nil, err
	}
	s.core = core
	s.guard, s.capacity = listener.NewProcessGuard(config.MemoryLimit, config.DescriptorLimit, s.logger)
	s.peers = peer.NewClient(s.counters)
	s.inventory = inventory.New(inventory.Config{Source: config.Listen, Platform: config.Platform,
		ListInterval: listInterval, StatusInterval: statusInterval, Zones: config.WatchZones})
	return s, nil
}

func (s *Server) coreConfig() CoreConfig {
	initial := raft.Membership{Addresses: map[uint64]string{}}
	if !s.settings.Join {
		for _, p := range s.settings.Peers {
			initial.Voters = append(initial.Voters, p.ID)
			initial.Addresses[p.ID] = p.Address
		}
	}
	return CoreConfig{
		Raft: raft.Config{
			ID:                s.settings.ID,
			ElectionTimeout:   electionTicks * s.settings.Tick,
			HeartbeatInterval: heartbeatTicks * s.settings.Tick,
			LeaseDuration:     leaseTicks * s.settings.Tick,
			Random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Initial:       initial,
		SnapshotEvery: s.settings.SnapshotEvery,
		Lease:         s.settings.RouterLease,
		OnNoSpace:     func(err error) { s.logger.Error("log not compacted for want of space", "error", err.Error()) },
		Bootstrap:     state.Trust{Operators: s.settings.Operators, Approvals: s.settings.Approvals},
	}
}

// now returns the time since the node was created, by a monotonic clock that continues while
// the process is suspended.
func (s *Server) now() time.Duration { return clock.Since(s.started) }

// Start opens the sockets and starts the goroutines of the node.
func (s *Server) Start() error {
	peers, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	status, err := net.Listen("tcp", s.settings.Status)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for status")
	}
	clock.LogIfUnavailable(s.logger)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	registry := telemetry.NewRegistry()
	registry.MustRegister(s.guard)
	s.metrics = newServerMetrics(registry, s.counters)
	go s.guard.Run(ctx)
	go s.run(ctx)
	go s.inventory.Run(ctx)
	go s.runOrders(ctx)
	s.listener = peer.Serve(s.guard.Listen(peers, listener.Config{Name: "peers", Connections: s.capacity.Clients, Messages: true}), s.counters, s.handle)
	s.serveStatus(status, registry)
	s.logger.Info("started", "id", s.settings.ID, "listen", s.settings.Listen, "applied", s.core.Machine().Applied())
	return nil
}

// Done returns a channel that is closed when the node has stopped, also after a disk failure.
func (s *Server) Done() <-chan struct{} { return s.loop.Stopped() }

// Failure returns the error that stopped the node, or nil. Call it only after Done is closed.
func (s *Server) Failure() error { return s.failure }

// Stop transfers leadership if the node is the leader, and shuts the node down.
func (s *Server) Stop(ctx context.Context) error {
	s.loop.StepDown(ctx, func() *Core { return s.core }, s.settings.Tick)
	err := s.shutdown()
	s.logger.Info("stopped")
	return err
}

// Kill shuts the node down without a transfer of leadership, as a crash would.
func (s *Server) Kill() { _ = s.shutdown() }

func (s *Server) shutdown() error {
	s.cancel()
	<-s.loop.Stopped()
	s.listener.Close()
	s.peers.Close()
	_ = s.status.Close()
	return errors.CombineErrors(s.failure, s.core.Close())
}

// run owns the core. Queued events are run in batches that share a disk sync.
func (s *Server) run(ctx context.Context) {
	defer s.loop.MarkStopped()
	ticker := time.NewTicker(s.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case event := <-s.loop.Events():
			s.loop.Run(event)
		}
		s.core.Tick(s.now())
		messages, err := s.core.Pump(s.now())
		if err != nil {
			s.failure = err
			s.logger.Error("disk failed, stopping the node", "error", err)
			return
		}
		s.send(messages)
		s.observeRole()
	}
}

func (s *Server) send(messages []raft.Message) {
	addresses := s.core.Status().Membership.Addresses
	for _, m := range messages {
		if address := addresses[m.To]; address != "" {
			s.peers.Send(address, controlapi.KindRaft, m)
		}
	}
}

func (s *Server) observeRole() {
	status := s.core.Status()
	s.metrics.observe(status, s.core)
	if status.Role == s.lastRole {
		return
	}
	s.lastRole = status.Role
	s.logger.Info("role changed", "role", string(status.Role), "term", status.Term, "leader", status.Leader)
}

func (s *Server) serveStatus(inner net.Listener, registry *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler(registry))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	s.status = s.guard.Bind(&http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug)}, listener.CountBodies)
	bounded := s.status.Listen(inner, listener.Config{Name: "status", Connections: s.capacity.Status, WriteTimeout: listener.DefaultWriteTimeout})
	go func() {
		if err := s.status.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("listener failed", "listener", "status", "error", err.Error())
		}
	}()
}

// ready serves the readiness check. The node is ready if it is the leader or has one.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	known := false
	s.loop.Do(r.Context(), func(now time.Duration) {
		known = s.core.HoldsLease(now) || s.core.Status().Leader != 0
	})
	if !known {
		http.Error(w, "no leader is known", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
