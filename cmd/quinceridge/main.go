// Command quinceridge runs routers, control nodes and coordinators, and provides the operators'
// commands.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/finding"
)

// Exit codes, as stated in the help.
const (
	exitFailure  = 1
	exitFindings = 2
	exitRefused  = 3
)

const description = `Router for language-model traffic with long shared prompts.

Exit codes: 0 done; 1 failed; 2 findings in a settings file or bundle, or wrong
usage; 3 refused by control, such as a conflict of versions.`

type commandLine struct {
	Router      routerCommand      `cmd:"" help:"Run a router: the process that callers talk to."`
	Control     controlCommand     `cmd:"" help:"Run a control node, or look into its data folder."`
	Edge        edgeCommand        `cmd:"" help:"Run a router that keeps no disk and follows coordinators."`
	Coordinator coordinatorCommand `cmd:"" help:"Run a coordinator: a control node for routers without a disk."`
	Bundle      bundleCommand      `cmd:"" help:"Check, propose, approve and follow bundles."`
	Event       eventCommand       `cmd:"" help:"List and show the events of the bundle in force."`
	Fleet       fleetCommand       `cmd:"" help:"Show control nodes, routers and machines; retire routers."`
	Member      memberCommand      `cmd:"" help:"Change the members of the control group."`
	Key         keyCommand         `cmd:"" help:"Make an operator's key."`
	Software    softwareCommand    `cmd:"" help:"Show the software versions of back ends, in service and before."`
	Limits      limitsCommand      `cmd:"" help:"Show the limits of back ends and tenants that hold over all routers."`
	Trace       traceCommand       `cmd:"" help:"Show what happened to one request."`
	Version     versionCommand     `cmd:"" help:"Print the version."`
}

func main() {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("quinceridge"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}))
	if err != nil {
		fail(err)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "quinceridge:", err)
		fmt.Fprintln(os.Stderr, "Try quinceridge --help.")
		os.Exit(exitFindings)
	}
	if err := command.Run(); err != nil {
		fail(err)
	}
}

// errRefused marks errors of commands that the control group refused.
var errRefused = errors.New("refused")

// fail prints an error and exits with the matching exit code.
func fail(err error) {
	var findings finding.List
	if errors.As(err, &findings) {
		fmt.Fprintln(os.Stderr, findings.Error())
		os.Exit(exitFindings)
	}
	fmt.Fprintln(os.Stderr, "quinceridge:", err)
	if errors.Is(err, errRefused) {
		os.Exit(exitRefused)
	}
	os.Exit(exitFailure)
}
