package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/hollow"
)

type hollowCommand struct {
	Routers  int `default:"80" help:"Hollow routers."`
	Workers  int `default:"200" help:"Hollow workers."`
	Tenants  int `default:"1000" help:"Tenants of the bundle."`
	Controls int `default:"3" help:"Control nodes."`
	Seconds  int `default:"10" help:"Length of the quiet measurement."`
	Network  int `default:"60" help:"Second number of all addresses."`
}

// Run implements the command.
func (c *hollowCommand) Run() error {
	folder, err := os.MkdirTemp("", "hollow-")
	if err != nil {
		return errors.Wrap(err, "create folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	started := time.Now()
	f, err := hollow.Start(hollow.Config{Routers: c.Routers, Workers: c.Workers, Tenants: c.Tenants, Controls: c.Controls, Folder: folder, Network: c.Network})
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Printf("%d routers, %d workers, %d tenants, %d control nodes settled on the first bundle after %.1f s\n",
		c.Routers, c.Workers, c.Tenants, c.Controls, time.Since(started).Seconds())
	usage := f.Measure(time.Duration(c.Seconds) * time.Second)
	fmt.Printf("quiet: %.0f bytes/s a router in and out, %.2f cores for the whole process, %.0f MB resident (%.1f MB a router)\n",
		usage.BytesPerRouter, usage.ProcessorSeconds/usage.Seconds, float64(hollow.Resident())/1e6, float64(hollow.Resident())/1e6/float64(c.Routers))
	for range 3 {
		took, err := f.Change()
		if err != nil {
			return err
		}
		fmt.Printf("rollout of a changed tenant: in force in every router after %.2f s\n", took.Seconds())
	}
	took, err := f.RestartRouters(max(c.Routers/10, 1))
	if err != nil {
		return err
	}
	fmt.Printf("a tenth of the routers restarted at once: all served after %.2f s\n", took.Seconds())
	if took, err = f.KillLeader(); err != nil {
		return err
	}
	fmt.Printf("leader killed: another held the lease after %.2f s\n", took.Seconds())
	if took, err = f.Change(); err != nil {
		return err
	}
	fmt.Printf("rollout after that: %.2f s\n", took.Seconds())
	return nil
}
