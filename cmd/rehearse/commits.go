package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/commits"
	"quinceridge.example/quinceridge/internal/hollow"
)

type commitsCommand struct {
	Seconds int    `default:"4" help:"Length of each measurement."`
	Folder  string `help:"Folder on the disk to measure. Default: the system's temporary one."`
	Network int    `default:"62" help:"Second number of all addresses."`
}

// Run implements the command.
func (c *commitsCommand) Run() error {
	folder, err := os.MkdirTemp(c.Folder, "commits-")
	if err != nil {
		return errors.Wrap(err, "create folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	length := time.Duration(c.Seconds) * time.Second
	syncs, err := commits.Syncs(folder, length)
	if err != nil {
		return err
	}
	fmt.Printf("this disk: %.0f appends of 200 bytes synced a second\n", syncs)
	f, err := hollow.Start(hollow.Config{Routers: 1, Workers: 1, Tenants: 10, Controls: 3, Folder: filepath.Join(folder, "group"), Network: c.Network})
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, clients := range []int{1, 8, 64, 256} {
		load, err := commits.Commits(f, clients, length)
		if err != nil {
			return err
		}
		fmt.Printf("%4d clients: %7.0f commits/s, p50 %.2f ms, p99 %.2f ms (%.2f of the disk's syncs)\n", load.Clients, load.Rate, load.P50, load.P99, load.Rate/syncs)
	}
	for _, snapshot := range []bool{false, true} {
		took, err := commits.Restart(filepath.Join(folder, fmt.Sprint("restart-", snapshot)), 10_000, snapshot)
		if err != nil {
			return err
		}
		fmt.Printf("restart after 10,000 changes, snapshot %v: %.3f s\n", snapshot, took.Seconds())
	}
	return nil
}
