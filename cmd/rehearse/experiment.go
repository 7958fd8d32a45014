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
	"quinceridge.example/quinceridge/internal/experiment"
	"quinceridge.example/quinceridge/internal/scheduling"
)

type experimentCommand struct {
	Deployment  string  `default:"grocery" help:"grocery or pago."`
	Scenario    string  `default:"shift" help:"A scenario's name, or all."`
	Policy      string  `default:"all" help:"A policy's name, or all."`
	Seed        uint64  `default:"1" help:"First seed."`
	Seeds       int     `default:"1" help:"How many seeds."`
	Engines     int     `help:"Another number of engines."`
	Routers     int     `help:"Another number of routers."`
	Tenants     int     `help:"Another number of tenants."`
	Demand      float64 `default:"1" help:"Factor on the scenario's rates."`
	Private     bool    `help:"Take no prompt as shared between tenants."`
	Admission   bool    `help:"Refuse early in every scenario, as the product does."`
	NoDirectory bool    `help:"Leave out the directory of cache events."`
	JSON        string  `help:"File for all figures."`
	Report      string  `help:"Folder for a report with plots."`

	HomeBlocks  int           `help:"Affinity: home depth in blocks."`
	BasePenalty float64       `default:"-1" help:"Affinity: penalty at no load."`
	LoadPenalty float64       `default:"-1" help:"Affinity: added penalty at full load."`
	Target      float64       `help:"Affinity: target utilization of a home."`
	Pressure    time.Duration `help:"Affinity: median wait of full pressure."`
	Spill       int           `default:"-1" help:"Affinity: spill endpoints considered."`
}

// affinity returns the default affinity configuration with the flags that were set.
func (c *experimentCommand) affinity() scheduling.Config {
	config := scheduling.DefaultConfig()
	config.PrefillTokensPerSecond = enginemodel.DefaultConfig().PrefillTokensPerSecond()
	if c.HomeBlocks > 0 {
		config.HomeBlocks = c.HomeBlocks
	}
	if c.BasePenalty >= 0 {
		config.BasePenalty = c.BasePenalty
	}
	if c.LoadPenalty >= 0 {
		config.LoadPenalty = c.LoadPenalty
	}
	if c.Pressure > 0 {
		config.SaturatedWait = c.Pressure
	}
	if c.Target > 0 {
		config.TargetUtilization = c.Target
	}
	if c.Spill >= 0 {
		config.SpillLimit = c.Spill
	}
	return config
}

// Run simulates the chosen scenarios and policies, prints a table and writes the chosen reports.
func (c *experimentCommand) Run(ctx context.Context) error {
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	started := time.Now()
	study, err := experiment.Run(ctx, experiment.Study{
		Deployment: d.Scale(c.Engines, c.Routers, c.Tenants), Scenario: c.Scenario, Policy: c.Policy, Seed: c.Seed, Seeds: c.Seeds,
		Demand: c.Demand, Engine: enginemodel.DefaultConfig(), Affinity: c.affinity(), Private: c.Private, NoDirectory: c.NoDirectory, Admission: c.Admission,
	})
	if err != nil {
		return err
	}
	fmt.Print(study.Table())
	fmt.Printf("(%d runs in %.1f s)\n", study.Runs(), time.Since(started).Seconds())
	if c.JSON != "" {
		text, err := json.MarshalIndent(study, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode figures")
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), resultFileMode); err != nil {
			return errors.Wrap(err, "write figures")
		}
	}
	if c.Report != "" {
		return study.Report(c.Report)
	}
	return nil
}
