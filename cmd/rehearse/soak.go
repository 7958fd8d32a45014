package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/soak"
)

type soakCommand struct {
	Seeds   int      `default:"1" help:"How many seeds to run, one after the other."`
	Seed    uint64   `default:"0" help:"The first seed; 0 takes the time of day."`
	Seconds int      `default:"40" help:"Length of a run."`
	Routers int      `default:"4" help:"Routers."`
	Callers int      `default:"24" help:"Callers."`
	Engines int      `default:"6" help:"Stand-ins of model engines."`
	Workers int      `default:"4" help:"Stand-ins of application workers."`
	Folder  string   `default:"run/soak" help:"Folder for settings, data and logs; those of failed seeds are kept."`
	Binary  string   `default:"" help:"The quinceridge program; built if empty."`
	Known   []string `help:"Checks whose failures are printed as known and do not fail the run."`
	Older   string   `default:"" help:"An earlier build that all processes run first; they are replaced by the program one after the other."`
}

// Run runs the seeds one after the other and fails if a check failed in any of them.
func (c *soakCommand) Run(ctx context.Context) error {
	binary, err := c.binaryPath(ctx)
	if err != nil {
		return err
	}
	firstSeed := c.Seed
	if firstSeed == 0 {
		firstSeed = uint64(time.Now().Unix())
	}
	failed := 0
	for i := range c.Seeds {
		passed, err := c.runSeed(ctx, binary, firstSeed+uint64(i))
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(errCheckFailed, "%d of %d seeds", failed, c.Seeds)
	}
	return nil
}

// binaryPath returns the path of the quinceridge program, and builds it if none was given.
func (c *soakCommand) binaryPath(ctx context.Context) (string, error) {
	if c.Binary != "" {
		return filepath.Abs(c.Binary)
	}
	path, err := filepath.Abs(filepath.Join("bin", "quinceridge"))
	if err != nil {
		return "", errors.Wrap(err, "resolve binary path")
	}
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/quinceridge").CombinedOutput()
	return path, errors.Wrapf(err, "build: %s", output)
}

// runSeed runs one seed and reports whether it passed. It removes the folder of a seed that passed.
func (c *soakCommand) runSeed(ctx context.Context, binary string, seed uint64) (bool, error) {
	folder, err := filepath.Abs(filepath.Join(c.Folder, fmt.Sprintf("seed-%d", seed)))
	if err != nil {
		return false, errors.Wrap(err, "resolve folder")
	}
	if err := os.RemoveAll(folder); err != nil {
		return false, errors.Wrap(err, "clear folder")
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return false, errors.Wrap(err, "create folder")
	}
	older := c.Older
	if older != "" {
		if older, err = filepath.Abs(older); err != nil {
			return false, errors.Wrap(err, "resolve path of older build")
		}
	}
	report, err := soak.Run(ctx, soak.Config{Binary: binary, Older: older, Folder: folder, Seed: seed, Length: time.Duration(c.Seconds) * time.Second,
		Routers: c.Routers, Callers: c.Callers, Engines: c.Engines, Workers: c.Workers, Known: c.Known})
	if err != nil {
		return false, err
	}
	text, err := json.Marshal(report)
	if err != nil {
		return false, errors.Wrap(err, "encode report")
	}
	fmt.Println(string(text))
	if len(report.Broken) > 0 {
		return false, errors.Wrap(os.WriteFile(filepath.Join(folder, "report.json"), text, resultFileMode), "write report")
	}
	return true, errors.Wrap(os.RemoveAll(folder), "clear folder")
}
