package main

import (
	"context"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/fleet"
)

// quietEnd is how long before the end of a run the last fault comes.
const quietEnd = 8 * time.Second

type faultsCommand struct {
	fleetFlags `embed:""`
}

// Run implements the command.
func (c *faultsCommand) Run(ctx context.Context) error {
	return c.rehearse(ctx, func(f *fleet.Fleet, brought *fleet.Summary) error {
		faulty, cancel := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second-quietEnd)
		defer cancel()
		counts := make(chan map[string]int, 1)
		go func() { counts <- f.InjectFaults(faulty, c.Seed) }()
		driven := f.RunCallers(ctx)
		cancel()
		brought.FaultCounts = <-counts
		for _, count := range brought.FaultCounts {
			brought.Faults += count
		}
		fmt.Printf("%d faults: %v\n", brought.Faults, brought.FaultCounts)
		return driven
	})
}
