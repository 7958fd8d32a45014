// Package edge assembles a diskless router: the listeners for callers and readiness, and the
// connection to the coordinators.
package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/follower"
	"quinceridge.example/quinceridge/internal/forward"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/version"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// drainNotice is how long a stopping router still accepts requests, while load balancers
	// notice that it is not ready.
	drainNotice = 2300 * time.Millisecond
	// statusTimeout is the time for which a stop waits for checks and metrics that are being answered.
	statusTimeout = 50 * time.Millisecond
	// overdueInterval is the time between checks for requests whose deadline passed while the
	// machine was suspended. They may outlast it by this much.
	overdueInterval = 250 * time.Millisecond
	// memoryDivisor divides the memory limit to give the budget of buffers. The process limits its
	// heap to three quarters; the rest of that is for tables and for garbage.
	memoryDivisor = 2
)

// Edge is a running router.
type Edge struct {
	settings settings.DisklessRouter
	logger   *slog.Logger
	follower *follower.Follower
	handler  *forward.Handler
	peers    *peer.Client
	// connections are those to back ends.
	connections *upstream.Pool
	callers     *listener.Server
	readiness   *listener.Server
	metrics     *listener.Server
	// relayed serves the requests that other routers pass on; nil if the settings name no address.
	relayed *listener.Server
	// guard bounds the connections of all listeners, as capacity divides them.
	guard    *listener.Guard
	capacity listener.Capacity
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New assembles a router. Headers are the names in use on the wire, status is the request for a back end's
// start time, and decode reads the configuration.
func New(config settings.DisklessRouter, headers vocabulary.Headers, status upstream.Status, decode follower.Decode, logger *slog.Logger) *Edge {
	e := &Edge{settings: config, logger: logger, peers: peer.NewClient(&peer.Counters{})}
	pool, paths := backends.NewPool(config.Zone), reachability.NewDetector()
	saved, tenants, pushbacks := forward.NewSaved(), quota.NewGate(), pushback.New(headers, logger)
	limits, fairShares, streams := ratelimit.New(headers, logger), fairshare.NewGate(), liveness.NewStreams()
	pool.SetPushbacks(pushbacks)
	pool.SetPaths(paths)
	var relays *relay.Selector
	if config.RelayListen != "" {
		relays = relay.NewSelector(config.Zone)
	}
	e.follower = follower.New(follower.Config{Name: config.Name, Zone: config.Zone, Seeds: config.Coordinators(), Lease: config.ServingLease(),
		Decode: decode, Pool: pool, Saved: saved, Quota: tenants, FairShares: fairShares, Streams: streams, Pushbacks: pushbacks, Limits: limits, Peers: e.peers, Logger: logger,
		Relays: follower.Relays{Address: config.RelayListen, Selector: relays, Lost: paths.Lost}})
	buffers := memory.NewBudget(int64(config.MemoryLimit) << 20 / memoryDivisor)
	connections := upstream.NewPool(headers.RequestID, pushbacks, limits)
	connections.SetMemory(buffers)
	connections.SetStatus(status)
	if config.Source != "" {
		connections.SetSource(net.ParseIP(config.Source))
	}
	e.connections = connections
	// Other routers' responses say nothing of their back ends' pushbacks and limits that concerns this one.
	relayConnections := upstream.NewPool(headers.RequestID, pushback.New(headers, logger), ratelimit.New(headers, logger))
	relayConnections.SetMemory(buffers)
	forwardConfig := forward.Config{Name: config.Name, Headers: headers, Source: e.follower, Placer: e.follower, Queue: e.follower, Claimer: e.follower, SharedBudget: e.follower, Observer: e.follower, Resumptions: e.follower, Pool: pool, Saved: saved, Quota: tenants,
		FairShares: fairShares, Streams: streams, Paths: paths, Upstream: connections, Memory: buffers, Pushbacks: pushbacks, Limits: limits, Logger: logger,
		Budget: forward.BudgetConfig{Ratio: config.RetryRatio, Burst: config.RetryBurst, Window: config.RetryWindow}}
	if relays != nil {
		forwardConfig.Relays, forwardConfig.RelayConnections = relays, relayConnections
	}
	e.handler = forward.New(forwardConfig)
	e.follower.OnAnnouncement(e.handler.RecordAnnouncement)
	e.guard, e.capacity = listener.NewGuard(buffers, logger), listener.CapacityOf(config.DescriptorLimit, buffers)
	e.callers = e.newServer(e.handler, listener.HandlerCountsBodies)
	if relays != nil {
		e.relayed = e.newServer(http.HandlerFunc(e.handler.ServeRelayed), listener.HandlerCountsBodies)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", e.writeMetrics)
	mux.HandleFunc("/", e.ready)
	e.readiness = e.newServer(mux, listener.CountBodies)
	e.metrics = e.newServer(mux, listener.CountBodies)
	return e
}

// newServer returns a server whose connections the guard bounds.
func (e *Edge) newServer(handler http.Handler, bodies listener.Bodies) *listener.Server {
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug)}
	return e.guard.Bind(server, bodies)
}

// callerLimits returns the limits of the configuration in force.
func (e *Edge) callerLimits() listener.Limits {
	table := e.follower.Table()
	if table == nil {
		return listener.DefaultLimits()
	}
	return listener.Limits{HeadBytes: table.Limits.MaxHeaderBytes, HeadTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}

// ready serves the readiness check.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if e.handler.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if version, cause := e.follower.Undecodable(); cause != nil {
		_, _ = fmt.Fprintf(w, "cannot decode configuration %d: %v\n", version, cause)
	}
}

// writeMetrics serves the metrics.
func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	_, _ = e.handler.WriteTo(w)
	_, _ = e.guard.WriteTo(w)
	version, _ := e.follower.Undecodable()
	_, _ = fmt.Fprintf(w, "quinceridge_undecodable_configuration_version %d\n", version)
}

// Start opens the listeners and begins to follow the coordinators.
func (e *Edge) Start() error {
	clock.LogIfUnavailable(e.logger)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() { e.guard.Run(ctx) })
	e.group.Go(func() { e.follower.Run(ctx) })
	e.group.Go(func() { e.follower.Update(ctx) })
	e.group.Go(func() { e.follower.RunStreams(ctx) })
	e.group.Go(func() { periodic.Run(ctx, overdueInterval, e.handler.CancelOverdue) })
	e.group.Go(func() { periodic.Run(ctx, forward.StreamCheckInterval, e.handler.CheckStreams) })
	e.group.Go(func() { periodic.Run(ctx, forward.PathCheckInterval, e.handler.CheckPaths) })
	if e.relayed != nil {
		e.group.Go(func() { e.follower.UpdateRelays(ctx) })
		if err := e.listen(e.relayed, e.settings.RelayListen, listener.Config{Name: "relay", Connections: e.capacity.Internal}); err != nil {
			return err
		}
	}
	if err := e.listen(e.readiness, e.settings.Readiness, listener.Config{Name: "readiness", Connections: e.capacity.Status}); err != nil {
		return err
	}
	if err := e.listen(e.callers, e.settings.Listen, listener.Config{Name: "callers", Connections: e.capacity.Clients, Limits: e.callerLimits}); err != nil {
		return err
	}
	if e.settings.Metrics != "" {
		// A router without metrics still serves.
		if err := e.listen(e.metrics, e.settings.Metrics, listener.Config{Name: "metrics", Connections: e.capacity.Status}); err != nil {
			e.logger.Error("metrics listener failed", "part", "edge", "error", err.Error())
		}
	}
	e.logger.Info("started", "part", "edge", "listen", e.settings.Listen, "seeds", e.settings.Coordinators(), "build", version.Build(),
		"level", level.Current)
	return nil
}

// listen serves an address. Clients that read nothing are disconnected.
func (e *Edge) listen(server *listener.Server, address string, config listener.Config) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	bounded := e.handler.Listener(server.Listen(inner, config))
	e.group.Go(func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("listener failed", "part", "edge", "address", address, "error", err.Error())
		}
	})
	return nil
}

// shutdown lets the requests of callers and of other routers finish.
func (e *Edge) shutdown(ctx context.Context) error {
	if e.relayed == nil {
		return e.callers.Shutdown(ctx)
	}
	relayed := make(chan error, 1)
	go func() { relayed <- e.relayed.Shutdown(ctx) }()
	return errors.Join(e.callers.Shutdown(ctx), <-relayed)
}

// lastAnswersTime returns the time for the answers to requests that the stop ends. The rest of the time up to the limit
// of the stop is for their log lines.
func (e *Edge) lastAnswersTime() time.Duration {
	return (e.settings.StopLimit() - e.settings.DrainLimit()) * 3 / 4
}

// cut ends the requests that are still open, lets their last answers be sent, and closes their connections.
func (e *Edge) cut(ctx context.Context) {
	e.handler.EndRequests()
	last, cancel := context.WithTimeout(ctx, e.lastAnswersTime())
	defer cancel()
	if e.shutdown(last) == nil {
		return
	}
	_ = e.callers.Close()
	if e.relayed != nil {
		_ = e.relayed.Close()
	}
}

// Reload applies new seeds.
func (e *Edge) Reload(config settings.DisklessRouter) {
	e.follower.SetSeeds(config.Coordinators())
	e.logger.Info("settings reloaded", "part", "edge", "seeds", config.Coordinators())
}

// Stop reports the router as not ready, lets requests in progress finish within the drain limit,
// and releases everything. It returns within the stop limit, whatever still runs.
func (e *Edge) Stop() {
	end, release := context.WithTimeout(context.Background(), e.settings.StopLimit())
	defer release()
	drain, cancel := context.WithTimeout(end, e.settings.DrainLimit())
	defer cancel()
	e.handler.Stop(e.settings.DrainLimit())
	e.logger.Info("stopping", "part", "edge", "limit_ms", e.settings.DrainLimit().Milliseconds())
	time.Sleep(min(drainNotice, e.settings.DrainLimit()/2))
	err := e.shutdown(drain)
	for _, server := range []*listener.Server{e.readiness, e.metrics} {
		e.group.Go(func() { server.ShutdownWithin(end, statusTimeout) })
	}
	if err != nil {
		e.cut(end)
	}
	ended := periodic.Await(end, func() {
		e.handler.AwaitRequests()
		e.handler.Wait()
	})
	e.cancel()
	e.peers.Close()
	ended = periodic.Await(end, e.group.Wait) && ended
	e.guard.LogOutcomes("stopped", "part", "edge", "cut", strconv.FormatBool(err != nil), "ended", strconv.FormatBool(ended))
}
