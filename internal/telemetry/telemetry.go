// Package telemetry creates the loggers and metric registries of all processes.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quinceridge.example/quinceridge/internal/settings"
)

// partKey is the log attribute for the part of the process.
const partKey = "part"

// NewLogger returns a logger with the given settings. Each line includes the name of the
// process.
func NewLogger(out io.Writer, config settings.Log, process string) *slog.Logger {
	options := &slog.HandlerOptions{Level: level(config.Level)}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if config.Format == "json" {
		handler = slog.NewJSONHandler(out, options)
	}
	return slog.New(handler).With("process", process)
}

// Part returns a logger for a part of a process.
func Part(logger *slog.Logger, part string) *slog.Logger { return logger.With(partKey, part) }

func level(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// NewRegistry returns a registry with the metrics of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Handler returns an HTTP handler that serves a registry's metrics.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
