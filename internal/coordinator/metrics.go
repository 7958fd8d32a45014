package coordinator

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/version"
)

// serveMetrics starts the metrics listener if the settings contain its address.
func (s *Server) serveMetrics() error {
	if s.settings.Metrics == "" {
		return nil
	}
	inner, err := net.Listen("tcp", s.settings.Metrics)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", s.writeMetrics)
	s.registerOperatorRoutes(mux)
	s.metrics = s.serveHTTP(inner, mux, listener.Config{Name: "metrics", Connections: s.capacity.Status, WriteTimeout: listener.DefaultWriteTimeout})
	return nil
}

// writeMetrics writes the metrics of the node as text.
func (s *Server) writeMetrics(w http.ResponseWriter, r *http.Request) {
	version.WriteTo(w)
	_, _ = s.guard.WriteTo(w)
	gauge := func(name string, value any) { fmt.Fprintf(w, "quinceridge_%s %v\n", name, value) }
	gauge("buffer_bytes", s.guard.Budget().Used())
	gauge("buffer_limit_bytes", s.guard.Budget().Limit())
	gauge("peer_received_bytes_total", s.counters.BytesIn.Load())
	gauge("peer_sent_bytes_total", s.counters.BytesOut.Load())
	gauge("peer_received_messages_total", s.counters.MessagesIn.Load())
	gauge("peer_sent_messages_total", s.counters.MessagesOut.Load())
	for carries, sent := range s.counters.Sent() {
		fmt.Fprintf(w, "quinceridge_peer_sent_bytes_total{carries=%q} %d\n", carries, sent.Bytes)
		fmt.Fprintf(w, "quinceridge_peer_sent_messages_total{carries=%q} %d\n", carries, sent.Messages)
	}
	gauge("entries_unreadable_total", s.unreadable.Load())
	gauge("backends_refused_total", s.refusedBackends.Load())
	placements, routers := s.placer.OpenPlacements()
	gauge("placements_open", placements)
	gauge("placements_routers", routers)
	gauge("engines_quiet", s.placer.UnresponsiveEngines(s.now()))
	gauge("engines_reading_share", fmt.Sprintf("%.3f", s.placer.PrefillShare(s.now())))
	s.placer.WriteMetrics(w, s.now())
	for _, e := range s.placer.EngineSpeeds(s.now()) {
		fmt.Fprintf(w, "quinceridge_engine_speed{engine=%q} %.2f\n", e.ID, e.Factor)
		fmt.Fprintf(w, "quinceridge_engine_work{engine=%q} %.2f\n", e.ID, e.Work)
	}
	for _, share := range s.tenantLimits.announcedShares() {
		fmt.Fprintf(w, "quinceridge_limit_admitted_part{tenant=%q} %.3f\n", share.Tenant, share.Part)
	}
	tenants, records := s.tenantLimits.levelRecords()
	gauge("limit_levels_recorded", tenants)
	gauge("limit_level_records_total", records)
	granted, denied, unused := s.backendLimits.Counts()
	gauge("limit_rights_granted_total", granted)
	gauge("limit_rights_denied_total", denied)
	gauge("limit_rights_unused_total", unused)
	gauge("limit_rights_unused_seconds_total", s.backendLimits.IdleTime().Seconds())
	streams, dropped := s.streams.Len()
	gauge("stream_records", streams)
	gauge("stream_records_dropped_total", dropped)
	s.loop.Do(r.Context(), func(time.Duration) {
		gauge("requests_suspected", len(s.blocker.suspects))
		gauge("block_trials_open", len(s.blocker.announcedTrials))
		requests, parts := s.core.Machine().Deployment().CountBlocked()
		gauge("requests_blocked", requests)
		gauge("prompt_parts_blocked", parts)
		status := s.core.Status()
		syncs, bytes := s.core.Syncs()
		leads := 0
		if status.Role == raft.Leader {
			leads = 1
		}
		gauge("leader", leads)
		gauge("term", status.Term)
		gauge("log_committed", status.Commit)
		gauge("log_applied", status.Applied)
		gauge("voters", len(status.Membership.Voters))
		gauge("disk_syncs_total", syncs)
		gauge("disk_bytes_total", bytes)
		gauge("configuration_version", s.core.Machine().Deployment().Version)
		gauge("backends", len(s.core.Machine().Deployment().Backends))
		gauge("backends_silent", len(s.soft.silent))
		gauge("engines_unresponsive", len(s.soft.unresponsive))
		gauge("backends_limited", len(s.soft.limited))
		gauge("routers", s.soft.watchers())
		for _, part := range s.soft.fairShares.allocator.TenantParts() {
			fmt.Fprintf(w, "quinceridge_pool_share{pool=%q,tenant=%q} %.3f\n", part.Pool, part.Tenant, part.Part)
		}
		gauge("orders_under_way", len(s.rollout.running))
		for version, count := range s.core.Machine().Deployment().SoftwareVersions() {
			fmt.Fprintf(w, "quinceridge_backends_by_software{pool=%q,software=%q} %d\n", version.Pool, string(version.Software), count)
		}
	})
}
