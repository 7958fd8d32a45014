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
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/telemetry"
)

// Durations in ticks. The lease is below the election timeout by a fifth, which
// bounds how far clocks may drift apart meanwhile.
const (
	heartbeatTicks = 2
	leaseTicks     = 16
	electionTicks  = 20
)

const (
	listInterval   = time.Second
	statusInterval = 250 * time.Millisecond
)

// Server is a running control node: a Core with sockets, a clock and a disk.
// One goroutine owns the Core; all others hand it functions to run.
type Server struct {
	settings  settings.Control
	logger    *slog.Logger
	core      *Core
	inventory *inventory.Inventory
	counters  *peer.Counters
	peers     *peer.Client
	listener  *peer.Server
	status    *http.Server
	loop      *Loop
	started   time.Duration
	cancel    context.CancelFunc
	failure   error
	metrics   *serverMetrics
	lastRole  raft.Role
}

// NewServer provisions a node: it opens the data folder and reads what it
// holds. Start runs it.
func NewServer(config settings.Control, logger *slog.Logger) (*Server, error) {
	s := &Server{settings: config, logger: telemetry.Part(logger, "control"), counters: &peer.Counters{},
		started: clock.Now()}
	s.loop = NewLoop(s.now)
	core, err := NewCore(s.coreConfig(), vfs.Default, config.DataDirectory, s.now())
	if err != nil {
		return nil, err
	}
	s.core = core
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
		Bootstrap:     state.Trust{Operators: s.settings.Operators, Approvals: s.settings.Approvals},
	}
}

// now is the node's own monotonic clock. It goes on while the process is
// stopped by a signal.
func (s *Server) now() time.Duration { return clock.Since(s.started) }

// Start opens the sockets and begins to take part.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	status, err := net.Listen("tcp", s.settings.Status)
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "listen for status")
	}
	clock.LogIfUnavailable(s.logger)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	registry := telemetry.NewRegistry()
	s.metrics = newServerMetrics(registry, s.counters)
	go s.run(ctx)
	go s.inventory.Run(ctx)
	go s.runOrders(ctx)
	s.listener = peer.Serve(listener, s.counters, s.handle)
	s.serveStatus(status, registry)
	s.logger.Info("started", "id", s.settings.ID, "listen", s.settings.Listen, "applied", s.core.Machine().Applied())
	return nil
}

// Done is closed when the node has stopped by itself, after a failure of its
// disk.
func (s *Server) Done() <-chan struct{} { return s.loop.Stopped() }

// Failure says why the node stopped by itself.
func (s *Server) Failure() error { return s.failure }

// Stop hands over leadership, if any, and ends the node.
func (s *Server) Stop(ctx context.Context) error {
	s.loop.StepDown(ctx, func() *Core { return s.core }, s.settings.Tick)
	err := s.end()
	s.logger.Info("stopped")
	return err
}

// Kill ends the node without handing over, as a crash would.
func (s *Server) Kill() { _ = s.end() }

func (s *Server) end() error {
	s.cancel()
	<-s.loop.Stopped()
	s.listener.Close()
	s.peers.Close()
	_ = s.status.Close()
	return errors.CombineErrors(s.failure, s.core.Close())
}

// run owns the core. It groups waiting events so that they share a sync.
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
			s.logger.Error("disk failed; the node stops", "error", err)
			return
		}
		s.send(messages)
		s.noteRole()
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

func (s *Server) noteRole() {
	status := s.core.Status()
	s.metrics.observe(status, s.core)
	if status.Role == s.lastRole {
		return
	}
	s.lastRole = status.Role
	s.logger.Info("role changed", "role", string(status.Role), "term", status.Term, "leader", status.Leader)
}

func (s *Server) serveStatus(listener net.Listener, registry *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler(registry))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	s.status = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.status.Serve(listener) }()
}

// ready tells whether the node follows or is a leader.
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
