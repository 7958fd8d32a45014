// Package router assembles a router process. It creates the components, starts the controllers, and
// drains requests before it stops.
package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"

	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/claims"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/gateway"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/telemetry"
	"quinceridge.example/quinceridge/internal/trace"
)

// lastAnswersTime is the time after the drain limit in which errors are sent to callers who have no response yet.
const lastAnswersTime = 500 * time.Millisecond

// startTimeout is the time for which Start waits for a lease and a list of machines. After it, the
// router listens without being ready.
const startTimeout = 3 * time.Second

// Router is one router process.
type Router struct {
	settings   settings.Router
	logger     *slog.Logger
	board      *board.Board
	counters   *peer.Counters
	peers      *peer.Client
	control    *controlclient.Client
	claims     *claims.Client
	rollout    *rollout
	membership *membershipController
	traces     *trace.Recorder
	gateway    *gateway.Gateway
	draining   *board.Writer[bool]

	listener *peer.Server
	callers  *listener.Server
	// guard bounds the connections of all listeners, as capacity divides them.
	guard    *listener.Guard
	capacity listener.Capacity
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New returns a router that is not yet started. It loads the last bundle and list of machines from
// the data directory.
func New(config settings.Router, logger *slog.Logger) (*Router, error) {
	r := &Router{settings: config, logger: telemetry.Part(logger, "router"), board: &board.Board{}, counters: &peer.Counters{},
		traces: trace.NewRecorder()}
	r.guard, r.capacity = listener.NewProcessGuard(config.MemoryLimit, config.DescriptorLimit, r.logger)
	r.peers = peer.NewClient(r.counters)
	r.control = controlclient.New(r.peers, config.Control)
	r.claims = claims.New(r.control)
	clock.LogIfUnavailable(r.logger)
	clock := newClock()
	directory := scheduling.NewDirectory()
	policies := newPolicies(r.board, directory)
	pool := membership.NewPool(policies.prefillRate)
	var err error
	if r.rollout, err = newRollout(r, vfs.Default, clock); err != nil {
		return nil, err
	}
	if r.membership, err = newMembership(r, pool, directory, clock); err != nil {
		return nil, err
	}
	if r.draining, err = r.board.Draining.Claim("router"); err != nil {
		return nil, err
	}
	dispatcher := dispatch.New(dispatch.Config{Pool: pool, Policy: policies.policy, Now: clock.now,
		Logger: telemetry.Part(logger, "dispatch")})
	registry := telemetry.NewRegistry()
	registry.MustRegister(r.guard)
	r.registerMetrics(registry)
	r.gateway = gateway.New(gateway.Config{Zone: config.Zone, MaxBody: config.MaxBody, Board: r.board,
		Pool: pool, Dispatcher: dispatcher, Claims: r.claims, Traces: r.traces, Logger: logger, Registry: registry, Now: clock.now})
	return r, nil
}

// Start starts the router. Before it listens for callers, it waits up to startTimeout for a lease
// and a list of machines, so that it can serve the first requests.
func (r *Router) Start() error {
	peerListener, err := net.Listen("tcp", r.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	r.waitReady(r.startControllers(peerListener))
	callers, err := net.Listen("tcp", r.settings.Listen)
	if err != nil {
		r.shutdown()
		return errors.Wrap(err, "listen for callers")
	}
	r.callers = r.guard.Bind(r.gateway.Server(), listener.CountBodies)
	go r.serve(r.callers.Listen(callers, listener.Config{Name: "callers", Connections: r.capacity.Clients, WriteTimeout: listener.DefaultWriteTimeout}))
	r.logger.Info("started", "listen", r.settings.Listen)
	return nil
}

// serve serves callers until the HTTP server is shut down.
func (r *Router) serve(callers net.Listener) {
	if err := r.callers.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		r.logger.Error("HTTP server failed", "error", err)
	}
}

// waitReady waits until both controllers are ready, up to startTimeout.
func (r *Router) waitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, ready := range []<-chan struct{}{r.rollout.ready, r.membership.ready} {
		select {
		case <-ready:
		case <-ctx.Done():
			return
		}
	}
}

// Stop drains the router and stops it. Requests in progress may finish within the drain limit,
// after which their connections are closed. New requests on open connections are rejected as not run.
func (r *Router) Stop(ctx context.Context) error {
	draining := true
	r.draining.Store(&draining)
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainLimit)
	defer cancel()
	err := r.callers.Shutdown(ctx)
	if err != nil {
		r.logger.Warn("drain limit reached; closing connections with requests in progress", "limit", r.settings.DrainLimit)
		r.gateway.EndRequests()
		r.callers.ShutdownWithin(context.Background(), lastAnswersTime)
	}
	r.shutdown()
	r.logger.Info("stopped")
	return errors.Wrap(err, "drain")
}

// shutdown stops the controllers and the peer server, and waits for the controllers.
func (r *Router) shutdown() {
	r.cancel()
	r.listener.Close()
	r.group.Wait()
	r.peers.Close()
}

// registerMetrics registers metrics of the traffic with control and peers, and of the bundle.
func (r *Router) registerMetrics(registry *prometheus.Registry) {
	counter := func(name, help string, value func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "quinceridge", Subsystem: "peer",
			Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	counter("received_bytes_total", "Bytes read from control and peers.", r.counters.BytesIn.Load)
	counter("sent_bytes_total", "Bytes written to control and peers.", r.counters.BytesOut.Load)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "quinceridge", Name: "bundle_version",
		Help: "Version of the bundle in force here."}, func() float64 {
		if config := r.board.Config.Load(); config != nil {
			return float64(config.BundleID.Version)
		}
		return 0
	}))
}

// processClock measures the time since its creation at the start of the process.
type processClock struct{ started time.Duration }

func newClock() processClock { return processClock{started: clock.Now()} }

func (c processClock) now() time.Duration { return clock.Since(c.started) }
