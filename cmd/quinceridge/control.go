package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"quinceridge.example/quinceridge/internal/config"
	"quinceridge.example/quinceridge/internal/control"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/storage"
	"quinceridge.example/quinceridge/internal/telemetry"
)

// controlStopTimeout bounds the graceful shutdown of a control node.
const controlStopTimeout = 5 * time.Second

type controlCommand struct {
	Run   controlRunCommand   `cmd:"" default:"withargs" help:"Run a control node."`
	Check controlCheckCommand `cmd:"" help:"Say what a data folder holds, without changing it."`
}

type controlRunCommand struct {
	Config    string `required:"" help:"Settings file (docs/SETTINGS.md)." placeholder:"FILE"`
	CheckOnly bool   `name:"check" help:"Check the settings file and exit."`
}

// Run runs a control node until a stop signal or a failure of the node.
func (c *controlRunCommand) Run() error {
	var s settings.Control
	if err := config.Load(c.Config, &s); err != nil {
		return err
	}
	s.SetDefaults()
	if c.CheckOnly {
		fmt.Println("the settings are valid")
		return nil
	}
	memory.LimitHeap(s.MemoryLimit, gcPercent)
	stopped := stopSignal()
	node, err := control.NewServer(s, telemetry.NewLogger(os.Stderr, s.Log, "control-"+strconv.FormatUint(s.ID, 10)))
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	select {
	case <-stopped:
	case <-node.Done():
		return errors.Wrapf(errNodeFailed, "%v", node.Failure())
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTimeout)
	defer cancel()
	return node.Stop(ctx)
}

type controlCheckCommand struct {
	Folder string `arg:"" help:"Data folder of a stopped control node."`
}

// Run prints what the data folder of a stopped node contains.
func (c *controlCheckCommand) Run() error {
	stored, torn, err := storage.Read(vfs.Default, c.Folder)
	if err != nil {
		return err
	}
	fmt.Println(storage.Describe(stored, torn))
	if stored.Snapshot == nil {
		return nil
	}
	machine := state.New()
	if err := machine.Restore(stored.Snapshot.Data); err != nil {
		return err
	}
	digest, err := machine.Digest()
	if err != nil {
		return err
	}
	fmt.Printf("snapshot at entry %d, state digest %s\n", stored.Snapshot.Index, digest)
	if head := machine.Head(); head != nil {
		fmt.Printf("bundle in force at that entry: version %d, digest %s\n", head.Version, head.Digest)
	}
	return nil
}
