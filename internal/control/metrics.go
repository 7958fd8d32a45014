package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/raft"
)

// serverMetrics are the metrics of a control node.
type serverMetrics struct {
	leading prometheus.Gauge
	term    prometheus.Gauge
	applied prometheus.Gauge
	version prometheus.Gauge
	syncs   prometheus.Gauge
	written prometheus.Gauge
}

func newServerMetrics(registry *prometheus.Registry, counters *peer.Counters) *serverMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "quinceridge", Subsystem: "control", Name: name, Help: help})
		registry.MustRegister(g)
		return g
	}
	counter := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "quinceridge", Subsystem: "peer", Name: name, Help: help}, value))
	}
	counter("received_bytes_total", "Bytes read from peers.", func() float64 { return float64(counters.BytesIn.Load()) })
	counter("sent_bytes_total", "Bytes written to peers.", func() float64 { return float64(counters.BytesOut.Load()) })
	return &serverMetrics{
		leading: gauge("leading", "1 while the node is the leader."),
		term:    gauge("term", "The consensus term."),
		applied: gauge("applied_index", "Index of the last applied entry."),
		version: gauge("bundle_version", "Version of the accepted bundle."),
		syncs:   gauge("syncs", "File syncs since start."),
		written: gauge("written_bytes", "Bytes made durable since start."),
	}
}

func (m *serverMetrics) observe(status raft.Status, core *Core) {
	leading := 0.0
	if status.Role == raft.Leader {
		leading = 1
	}
	m.leading.Set(leading)
	m.term.Set(float64(status.Term))
	m.applied.Set(float64(status.Applied))
	if head := core.Machine().Head(); head != nil {
		m.version.Set(float64(head.Version))
	}
	syncs, bytes := core.Syncs()
	m.syncs.Set(float64(syncs))
	m.written.Set(float64(bytes))
}
