// Package telemetry makes the loggers and metric registries that all processes
// share in form.
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

// partKey is the attribute that names the part of a process that logs.
const partKey = "part"

// NewLogger returns a logger in the configured form. Every line carries the
// process's name.
func NewLogger(out io.Writer, config settings.Log, process string) *slog.Logger {
	options := &slog.HandlerOptions{Level: level(config.Level)}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if config.Format == "json" {
		handler = slog.NewJSONHandler(out, options)
	}
	return slog.New(handler).With("process", process)
}

// Part returns a logger for one part of a process.
func Part(logger *slog.Logger, part string) *slog.Logger { return logger.With(partKey, part) }

func level(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// NewRegistry returns a metric registry with the process's own figures.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Handler serves a registry to a scraper.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
