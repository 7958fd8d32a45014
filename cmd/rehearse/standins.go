package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/standin/appworker"
	"quinceridge.example/quinceridge/internal/standin/callers"
	"quinceridge.example/quinceridge/internal/standin/engine"
	"quinceridge.example/quinceridge/internal/standin/kvstore"
	"quinceridge.example/quinceridge/internal/standin/platform"
	"quinceridge.example/quinceridge/internal/standin/weightstore"
	"quinceridge.example/quinceridge/internal/workload"
)

type engineCommand struct {
	ID          string        `required:"" help:"Name of the engine."`
	Listen      string        `required:"" help:"Address."`
	Folder      string        `required:"" help:"Folder of the journal."`
	Model       string        `required:"" help:"Model that is loaded at start."`
	Weights     int           `default:"1" help:"Weights version that is loaded at start."`
	ReportLag   time.Duration `default:"250ms" help:"Age of the status that is given out."`
	EventLag    time.Duration `default:"1500ms" help:"Lateness of cache events."`
	EventLoss   float64       `default:"0.1" help:"Share of cache events that never come."`
	WeightStore string        `help:"Address of the weight store."`
	KVStore     string        `name:"kv-store" help:"Address of the KV store."`
}

// Run runs an engine stand-in until the context ends.
func (c *engineCommand) Run(ctx context.Context) error {
	e, err := engine.New(engine.Config{ID: c.ID, Listen: c.Listen, Folder: c.Folder, Model: c.Model, WeightsVersion: c.Weights,
		Service: enginemodel.DefaultConfig(), ReportLag: c.ReportLag, EventLag: c.EventLag, EventLoss: c.EventLoss,
		WeightStore: c.WeightStore, KVStore: c.KVStore})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

type appworkerCommand struct {
	ID      string        `required:"" help:"Name of the worker."`
	Listen  string        `required:"" help:"Address."`
	Folder  string        `required:"" help:"Folder of the journal."`
	Service time.Duration `default:"10ms" help:"Mean time of a run."`
}

// Run runs an application worker stand-in until the context ends.
func (c *appworkerCommand) Run(ctx context.Context) error {
	w, err := appworker.New(appworker.Config{ID: c.ID, Listen: c.Listen, Folder: c.Folder, Service: c.Service})
	if err != nil {
		return err
	}
	return w.Run(ctx)
}

type platformCommand struct {
	Listen string        `required:"" help:"Address."`
	Lag    time.Duration `default:"500ms" help:"How far the list is behind."`
}

// Run serves the platform's machine list until the context ends.
func (c *platformCommand) Run(ctx context.Context) error {
	return platform.New(platform.Config{Listen: c.Listen, Lag: c.Lag}).Run(ctx)
}

type kvstoreCommand struct {
	Listen   string        `required:"" help:"Address."`
	Capacity int           `default:"1024" help:"How many chains are kept."`
	PerBlock time.Duration `default:"500us" help:"Transfer time of a block."`
}

// Run runs a KV store stand-in until the context ends.
func (c *kvstoreCommand) Run(ctx context.Context) error {
	return kvstore.New(kvstore.Config{Listen: c.Listen, Capacity: c.Capacity, PerBlock: c.PerBlock}).Run(ctx)
}

type weightstoreCommand struct {
	Listen string  `required:"" help:"Address."`
	Loads  float64 `default:"2" help:"Loads a second."`
}

// Run runs a weight store stand-in until the context ends.
func (c *weightstoreCommand) Run(ctx context.Context) error {
	return weightstore.Run(ctx, weightstore.Config{Listen: c.Listen, Loads: c.Loads})
}

type callersCommand struct {
	Deployment string   `required:"" help:"Deployment whose traffic is made."`
	Plan       string   `required:"" help:"workload.Plan in JSON."`
	Seed       uint64   `default:"1" help:"Seed of the traffic."`
	Router     []string `required:"" help:"Addresses of routers."`
	JSON       string   `required:"" help:"File for the report."`
}

// Run sends the planned requests, prints progress and writes the report.
func (c *callersCommand) Run(ctx context.Context) error {
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	var plan workload.Plan
	if err := json.Unmarshal([]byte(c.Plan), &plan); err != nil {
		return errors.Wrap(err, "decode plan")
	}
	started := time.Now()
	report := callers.Run(ctx, callers.Config{Deployment: d, Plan: plan, Seed: c.Seed, Routers: c.Router, Limit: maxConcurrentCalls,
		Progress: func(t callers.Tally) {
			elapsed := time.Since(started)
			fmt.Printf("%5.0fs %-6s sent %6d  answered %6d  refusals %4d  broken %4d  lost %d  wrong %d\n",
				elapsed.Seconds(), plan.Phase(elapsed), t.Requests, t.Answered, t.Refusals, t.Broken, t.Lost+t.IncompleteStreams, t.Wrong)
		}})
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(c.JSON, text, resultFileMode), "write report")
}
