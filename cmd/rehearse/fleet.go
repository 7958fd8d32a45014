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

// fleetFlags holds the flags of the commands that run a fleet.
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

// The default second octet of a fleet's addresses is one of networkCount values from firstNetwork
// on, so that fleets can run side by side.
const (
	firstNetwork = 64
	networkCount = 128
)

// config returns the configuration of the fleet, and a function that removes its folder unless the
// operator chose it.
func (c *fleetFlags) config() (fleet.Config, func(), error) {
	keepFolder := func() {}
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return fleet.Config{}, keepFolder, err
	}
	self, err := os.Executable()
	if err != nil {
		return fleet.Config{}, keepFolder, errors.Wrap(err, "find this program")
	}
	if c.Binary == "" {
		c.Binary = filepath.Join(filepath.Dir(self), "quinceridge")
	}
	if c.Network == 0 {
		c.Network = firstNetwork + os.Getpid()%networkCount
	}
	folder, removeFolder := c.Folder, keepFolder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "rehearse-"); err != nil {
			return fleet.Config{}, keepFolder, errors.Wrap(err, "create folder")
		}
		removeFolder = func() { _ = os.RemoveAll(folder) }
	}
	length := time.Duration(c.Seconds) * time.Second
	plan := workload.Plan{SurgeStart: length / 3, SurgeEnd: 2 * length / 3, ShiftAt: length / 2, End: length, Demand: c.Demand}
	return fleet.Config{Deployment: d, QuinceridgeBinary: c.Binary, RehearseBinary: self, Folder: folder, Network: c.Network,
		Plan: plan, Seed: c.Seed, Progress: os.Stdout}, removeFolder, nil
}

// report prints a summary, and writes it to the JSON file if one was given.
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
		fmt.Println("  killed after the stop timeout:", s.Stuck)
	}
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	return errors.Wrap(os.WriteFile(c.JSON, append(text, '\n'), resultFileMode), "write summary")
}

// runFleet starts a fleet, calls work with it, stops it and reports. It keeps the folder if a step
// or a check of the summary failed.
func (c *fleetFlags) runFleet(ctx context.Context, work func(*fleet.Fleet, *fleet.Summary) error) error {
	config, removeFolder, err := c.config()
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start fleet; logs are in %s", config.Folder)
	}
	fmt.Printf("%s is running: %d engines, %d routers, 3 control nodes, %d workers on 127.%d.0.0/16\n",
		c.Deployment, config.Deployment.Engines, config.Deployment.Routers, config.Deployment.Workers, config.Network)
	var injected fleet.Summary
	workErr := work(f, &injected)
	stuck := f.Stop()
	if workErr != nil {
		return errors.Wrapf(workErr, "logs are in %s", config.Folder)
	}
	summary, err := f.Summarize()
	if err != nil {
		return err
	}
	summary.Stuck, summary.Faults, summary.FaultCounts = stuck, injected.Faults, injected.FaultCounts
	if err := c.report(summary); err != nil {
		return err
	}
	if !summary.Passed() {
		return errors.Wrapf(errCheckFailed, "logs and data are in %s", config.Folder)
	}
	removeFolder()
	return nil
}

type fleetCommand struct {
	fleetFlags `embed:""`
}

// Run drives a fleet with requests and checks the responses.
func (c *fleetCommand) Run(ctx context.Context) error {
	return c.runFleet(ctx, func(f *fleet.Fleet, _ *fleet.Summary) error { return f.RunCallers(ctx) })
}
