package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/fleet"
)

type overheadCommand struct {
	fleetFlags `embed:""`
}

// Run implements the command.
func (c *overheadCommand) Run(ctx context.Context) error {
	config, remove, err := c.config()
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start; logs are in %s", config.Folder)
	}
	overhead, err := f.MeasureOverhead(ctx)
	f.Stop()
	if err != nil {
		return errors.Wrapf(err, "logs are in %s", config.Folder)
	}
	fmt.Printf("time to first token, direct: p50 %.2f p99 %.2f ms; through a router: p50 %.2f p99 %.2f ms\n",
		overhead.DirectP50, overhead.DirectP99, overhead.RoutedP50, overhead.RoutedP99)
	fmt.Printf("one router: %.0f tokens a second and core, %.0f requests a second and core, %.0f KB a stream\n",
		overhead.TokensPerCore, overhead.RequestsPerCore, overhead.MemoryPerStream)
	remove()
	return nil
}
