package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/config"
	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/edge"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/telemetry"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

// gcPercent is the garbage collector's target percentage of processes with a memory limit.
const gcPercent = 50

// edgeCommand runs a diskless router.
type edgeCommand struct {
	Config string `required:"" help:"Settings file (docs/SETTINGS.md)." placeholder:"FILE"`
}

// Run runs the router until a stop signal.
func (c *edgeCommand) Run() error {
	var s settings.DisklessRouter
	if err := config.Load(c.Config, &s); err != nil {
		return err
	}
	s.SetDefaults()
	memory.LimitHeap(s.MemoryLimit, gcPercent)
	stopped := stopSignal()
	out := telemetry.NewBuffer(os.Stdout)
	defer out.Flush()
	e := edge.New(s, vocabulary.Default(), coordinator.StatusRequest(), traffic.Parse, telemetry.NewLogger(out, s.Log, s.Name))
	if err := e.Start(); err != nil {
		return err
	}
	<-stopped
	e.Stop()
	return nil
}

// coordinatorCommand runs a coordinator.
type coordinatorCommand struct {
	Config string `required:"" help:"Settings file (docs/SETTINGS.md)." placeholder:"FILE"`
}

const (
	coordinatorStopTimeout = 4 * time.Second
	// coordinatorCallsTimeout is the time for which a stop then waits for calls that are being answered.
	coordinatorCallsTimeout = 2 * time.Second
)

// Run runs the coordinator and its HTTP server for operators until a stop signal.
func (c *coordinatorCommand) Run() error {
	var s settings.Coordinator
	if err := config.Load(c.Config, &s); err != nil {
		return err
	}
	s.SetDefaults()
	memory.LimitHeap(s.MemoryLimit, gcPercent)
	stopped := stopSignal()
	out := telemetry.NewBuffer(os.Stdout)
	defer out.Flush()
	logger := telemetry.NewLogger(out, s.Log, s.Name)
	node, err := coordinator.New(s, coordinator.NewHTTPEngines(logger), traffic.Parse, logger)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	server := node.ServeOperators(listener, node.Handler())
	<-stopped
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorStopTimeout)
	defer cancel()
	node.Stop(ctx)
	server.ShutdownWithin(context.Background(), coordinatorCallsTimeout)
	return nil
}
