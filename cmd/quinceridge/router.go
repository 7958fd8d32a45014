package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/config"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/router"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/telemetry"
)

type routerCommand struct {
	Config string `required:"" help:"Settings file (docs/SETTINGS.md)." placeholder:"FILE"`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run runs the router until a stop signal.
func (c *routerCommand) Run() error {
	var s settings.Router
	if err := config.Load(c.Config, &s); err != nil {
		return err
	}
	s.SetDefaults()
	if c.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	memory.LimitHeap(s.MemoryLimit, gcPercent)
	stopped := stopSignal()
	r, err := router.New(s, telemetry.NewLogger(os.Stderr, s.Log, s.Name))
	if err != nil {
		return err
	}
	if err := r.Start(); err != nil {
		return err
	}
	<-stopped
	return r.Stop(context.Background())
}

// stopSignal returns a channel that is closed on the first SIGTERM or interrupt. Another interrupt exits the process
// immediately. Another SIGTERM has no effect: who repeats it need not know that the stop has begun.
func stopSignal() <-chan struct{} {
	// Without a handler SIGHUP would end the process with all requests that it has read.
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stopped := make(chan struct{})
	go func() {
		<-signals
		close(stopped)
		for s := range signals {
			if s == os.Interrupt {
				os.Exit(exitFailure)
			}
		}
	}()
	return stopped
}

// errNodeFailed is returned when a control node stopped because of a failure, such as of its disk.
var errNodeFailed = errors.New("control node stopped after a failure")
