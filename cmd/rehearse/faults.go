package main

import (
	"context"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/fleet"
)

// faultFreeTail is the time at the end of a run in which no faults are injected.
const faultFreeTail = 8 * time.Second

type faultsCommand struct {
	fleetFlags `embed:""`
}

// Run drives a fleet with requests and injects faults until shortly before the end.
func (c *faultsCommand) Run(ctx context.Context) error {
	return c.runFleet(ctx, func(f *fleet.Fleet, injected *fleet.Summary) error {
		faultsCtx, cancel := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second-faultFreeTail)
		defer cancel()
		counts := make(chan map[string]int, 1)
		go func() { counts <- f.InjectFaults(faultsCtx, c.Seed) }()
		callersErr := f.RunCallers(ctx)
		cancel()
		injected.FaultCounts = <-counts
		for _, count := range injected.FaultCounts {
			injected.Faults += count
		}
		fmt.Printf("%d faults: %v\n", injected.Faults, injected.FaultCounts)
		return callersErr
	})
}
