package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/fleet"
	"quinceridge.example/quinceridge/internal/workload"
)

// fleetFlags are common to the commands that run a fleet.
type fleetFlags struct {
	Deployment string  `default:"grocery" help:"grocery or pago."`
	Seconds    int     `default:"30" help:"Length of the run. The surge is its middle third."`
	Seed       uint64  `default:"1" help:"Seed of the traffic."`
	Demand     float64 `default:"0.5" help:"Factor on all rates, for small machines."`
	JSON       string  `help:"File for the summary."`
	Folder     string  `help:"Folder for logs and data, which is kept. Default: a new one that is removed after a sound run."`
	Binary     string  `help:"The quinceridge program. Default: the one beside this program."`
	Network    int     `help:"Second number of all addresses, 127.N.x.y. Default: from the process id."`
}

// networks is how many second numbers are used, from firstNetwork on.
const (
	firstNetwork = 64
	networks     = 128
)

// config returns the fleet to start, and what removes its folder.
func (c *fleetFlags) config() (fleet.Config, func(), error) {
	keep := func() {}
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return fleet.Config{}, keep, err
	}
	self, err := os.Executable()
	if err != nil {
		return fleet.Config{}, keep, errors.Wrap(err, "find this program")
	}
	if c.Binary == "" {
		c.Binary = filepath.Join(filepath.Dir(self), "quinceridge")
	}
	if c.Network == 0 {
		c.Network = firstNetwork + os.Getpid()%networks
	}
	folder, remove := c.Folder, keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "rehearse-"); err != nil {
			return fleet.Config{}, keep, errors.Wrap(err, "create folder")
		}
		remove = func() { _ = os.RemoveAll(folder) }
	}
	length := time.Duration(c.Seconds) * time.Second
	plan := workload.Plan{SurgeStart: length / 3, SurgeEnd: 2 * length / 3, ShiftAt: length / 2, End: length, Demand: c.Demand}
	return fleet.Config{Deployment: d, QuinceridgeBinary: c.Binary, RehearseBinary: self, Folder: folder, Network: c.Network,
		Plan: plan, Seed: c.Seed, Progress: os.Stdout}, remove, nil
}

// report prints a summary and writes it.
func (c *fleetFlags) report(s *fleet.Summary) error {
	fmt.Printf("%s, seed %d: %d requests in %.0f s: %d answered, %d not run, %d outcome unknown\n",
		s.Deployment, s.Seed, s.Requests, s.Seconds, s.Answered, s.NotRun, s.OutcomeUnknown)
	fmt.Printf("  lost %d, incomplete %d, wrong %d, double runs %d, falsely not run %d, late work %d\n",
		s.Lost, s.IncompleteStreams, s.Wrong, s.DoubleRuns, s.FalseNotRun, s.LateWork)
	fmt.Printf("  broken connections %d, resumed %d, restarted %d, refusals %d, unsent %d\n", s.Broken, s.Resumes, s.Restarts, s.Refusals, s.Unsent)
	fmt.Printf("  hit rate %.3f, wasted %.4f\n", s.HitRate, s.WastedRatio)
	fmt.Printf("  first token, steady: p50 %.3f p95 %.3f p99 %.3f s; surge: p50 %.3f p95 %.3f p99 %.3f s; between tokens p95 %.1f ms\n",
		s.SteadyP50, s.SteadyP95, s.SteadyP99, s.SurgeP50, s.SurgeP95, s.SurgeP99, 1000*s.TokenGapP95)
	for _, line := range s.Errors {
		fmt.Println("  error:", line)
	}
	if len(s.Stuck) > 0 {
		fmt.Println("  did not stop when asked:", s.Stuck)
	}
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	return errors.Wrap(os.WriteFile(c.JSON, append(text, '\n'), resultsMode), "write summary")
}

// rehearse starts a fleet, runs work on it, stops it and reports. The folder is
// kept unless all was sound.
func (c *fleetFlags) rehearse(ctx context.Context, work func(*fleet.Fleet, *fleet.Summary) error) error {
	config, remove, err := c.config()
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start; logs are in %s", config.Folder)
	}
	fmt.Printf("%s is up: %d engines, %d routers, 3 control nodes, %d workers on 127.%d.0.0/16\n",
		c.Deployment, config.Deployment.Engines, config.Deployment.Routers, config.Deployment.Workers, config.Network)
	var brought fleet.Summary
	worked := work(f, &brought)
	stuck := f.Stop()
	if worked != nil {
		return errors.Wrapf(worked, "logs are in %s", config.Folder)
	}
	summary, err := f.Summarize()
	if err != nil {
		return err
	}
	summary.Stuck, summary.Faults, summary.FaultCounts = stuck, brought.Faults, brought.FaultCounts
	if err := c.report(summary); err != nil {
		return err
	}
	if !summary.Passed() {
		return errors.Wrapf(errUnsound, "logs and data are in %s", config.Folder)
	}
	remove()
	return nil
}

type fleetCommand struct {
	fleetFlags `embed:""`
}

// Run implements the command.
func (c *fleetCommand) Run(ctx context.Context) error {
	return c.rehearse(ctx, func(f *fleet.Fleet, _ *fleet.Summary) error { return f.RunCallers(ctx) })
}
