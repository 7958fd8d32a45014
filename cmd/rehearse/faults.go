package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/fleet"
)

// quietEnd is how long before the end of a run the last fault comes.
const quietEnd = 8 * time.Second

type faultsCommand struct {
	fleetFlags `embed:""`
}

// Run implements the command.
func (c *faultsCommand) Run(ctx context.Context) error {
	config, remove, err := c.config()
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start; logs are in %s", config.Folder)
	}
	faulty, cancel := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second-quietEnd)
	defer cancel()
	counts := make(chan map[string]int, 1)
	go func() { counts <- f.Inject(faulty, c.Seed) }()
	driven := f.Drive(ctx)
	cancel()
	faults := <-counts
	stuck := f.Stop()
	if driven != nil {
		return errors.Wrapf(driven, "logs are in %s", config.Folder)
	}
	summary, err := f.Summarize()
	if err != nil {
		return err
	}
	summary.Stuck, summary.FaultCounts = stuck, faults
	for _, count := range faults {
		summary.Faults += count
	}
	fmt.Printf("%d faults: %v\n", summary.Faults, faults)
	if err := c.report(summary); err != nil {
		return err
	}
	if !summary.Sound() {
		return errors.Wrapf(errUnsound, "logs and data are in %s", config.Folder)
	}
	remove()
	return nil
}
