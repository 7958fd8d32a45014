// Package gateway serves the callers of a router: an OpenAI-style HTTP API, application routes,
// health and metrics.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/claims"
	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/telemetry"
	"quinceridge.example/quinceridge/internal/trace"
)

// Headers of the callers' API.
const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "Priority-Class"
	headerMinimumWeights = "Weights-Version-Min"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRetryAfter     = "Retry-After"
	// headerOutcome holds the Outcome of an error response.
	headerOutcome = "Request-Outcome"
)

// Limits of caller connections.
const (
	readTimeout = 30 * time.Second
	// writeTimeout bounds each write to a caller. A caller that does not read for this long is
	// disconnected.
	writeTimeout = 10 * time.Second
)

// Config configures a Gateway.
type Config struct {
	Zone       string
	MaxBody    int64
	Board      *board.Board
	Pool       *membership.Pool
	Dispatcher *dispatch.Dispatcher
	Claims     *claims.Client
	Traces     *trace.Recorder
	Logger     *slog.Logger
	Registry   *prometheus.Registry
	Now        func() time.Duration
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	logger    *slog.Logger
	admission *admission
	metrics   *metrics
	workers   *http.Client
	server    *http.Server
	// endRequests cancels the context of all requests.
	endRequests context.CancelCauseFunc
}

// New returns a gateway, which Server serves.
func New(config Config) *Gateway {
	g := &Gateway{config: config, logger: telemetry.Part(config.Logger, "gateway"), admission: newAdmission(),
		metrics: newMetrics(config.Registry), workers: newWorkerClient()}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = g.handleError
	e.Use(g.assignRequestID)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", g.ready)
	e.GET("/metrics", echo.WrapHandler(telemetry.Handler(config.Registry)))
	e.POST("/v1/completions", g.completions)
	e.POST("/v1/chat/completions", g.completions)
	e.GET("/v1/models", g.models)
	e.GET("/v1/models/:model", g.model)
	e.POST("/app/*", g.application)
	var requests context.Context
	requests, g.endRequests = context.WithCancelCause(context.Background())
	g.server = &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler:     e,
		ReadTimeout: readTimeout,
		ErrorLog:    slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
	}
	return g
}

// Server returns the HTTP server. The router starts and stops it.
func (g *Gateway) Server() *http.Server { return g.server }

// EndRequests ends all requests, also later ones: responses that have begun are cut, and other requests get an error.
func (g *Gateway) EndRequests() { g.endRequests(dispatch.ErrStopping) }

// ready serves the readiness check.
func (g *Gateway) ready(c echo.Context) error {
	if _, err := g.current(); err != nil {
		return err
	}
	return c.String(http.StatusOK, "ready\n")
}

// current returns the configuration in force, or an error if the router accepts no requests.
func (g *Gateway) current() (*board.Config, error) {
	if draining := g.config.Board.Draining.Load(); draining != nil && *draining {
		return nil, notRun(http.StatusServiceUnavailable, "this router is stopping", time.Second)
	}
	current, config := g.config.Board.LeaseState.Load(), g.config.Board.Config.Load()
	if config == nil || current == nil || current.Mode == agent.ModeNone {
		return nil, notRun(http.StatusServiceUnavailable, "this router has lost control and takes no new work", time.Second)
	}
	return config, nil
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (g *Gateway) models(c echo.Context) error {
	config, err := g.current()
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range sortedModels(config) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "quinceridge"})
	}
	return c.JSON(http.StatusOK, list)
}

func (g *Gateway) model(c echo.Context) error {
	config, err := g.current()
	if err != nil {
		return err
	}
	name := c.Param("model")
	if _, known := config.Bundle.Models[name]; !known {
		return invalid(http.StatusNotFound, "model", "no such model: "+name)
	}
	return c.JSON(http.StatusOK, modelEntry{ID: name, Object: "model", OwnedBy: "quinceridge"})
}
