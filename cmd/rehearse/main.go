// Command rehearse is the test tool of quinceridge. It runs stand-ins for external systems, whole
// deployments on loopback addresses, and simulations. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes, file modes and the limit of the callers.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitCheckFailed    = 3
	resultFileMode     = 0o600
	folderMode         = 0o700
	maxConcurrentCalls = 2000
)

// errCheckFailed is returned when a check of a run's responses failed.
var errCheckFailed = errors.New("responses were lost, incomplete, duplicated, wrong, or reported as not run although they ran")

type commandLine struct {
	Fleet       fleetCommand       `cmd:"" help:"Run a whole deployment as processes and drive a surge."`
	Faults      faultsCommand      `cmd:"" help:"Run a whole deployment and break it: kills, freezes, herds, races."`
	Experiment  experimentCommand  `cmd:"" help:"Bench: policies over scenarios and seeds, in virtual time."`
	Soak        soakCommand        `cmd:"" help:"Coordinators and diskless routers as processes, under signals and cuts; promises checked."`
	Simulate    simulateCommand    `cmd:"" help:"Control nodes and routers in virtual time, under faults, over many seeds."`
	Reread      rereadCommand      `cmd:"" help:"Print from logs why engines processed shared parts of prompts again."`
	Engine      engineCommand      `cmd:"" help:"Stand-in: one inference engine."`
	Appworker   appworkerCommand   `cmd:"" help:"Stand-in: one application worker."`
	Platform    platformCommand    `cmd:"" help:"Stand-in: the platform's list of machines."`
	Kvstore     kvstoreCommand     `cmd:"" help:"Stand-in: the store of kept KV cache."`
	Weightstore weightstoreCommand `cmd:"" help:"Stand-in: the weight store."`
	Callers     callersCommand     `cmd:"" help:"Stand-in: callers."`
}

func main() {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("rehearse"), kong.Description("Rehearsal kit of quinceridge. All load stays on 127.0.0.0/8."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fail(err, exitFailure)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fail(err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Restore the default handling after the first signal, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		if errors.Is(err, errCheckFailed) {
			fail(err, exitCheckFailed)
		}
		fail(err, exitFailure)
	}
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, "rehearse:", err)
	os.Exit(code)
}
