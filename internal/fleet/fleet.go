// Package fleet runs a whole deployment as separate processes on loopback addresses, sends requests
// to it, injects faults and summarizes the results.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/platformapi"
	"quinceridge.example/quinceridge/internal/process"
	"quinceridge.example/quinceridge/internal/workload"
)

// Timeouts, and the number of control nodes.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 15 * time.Second
	controlCount = 3
	// callersTimeout is the time that the callers have to finish after the end of the plan.
	callersTimeout = 2 * time.Minute
)

// Config configures a fleet.
type Config struct {
	Deployment deployment.Deployment
	// QuinceridgeBinary and RehearseBinary are the paths of the programs to run.
	QuinceridgeBinary string
	RehearseBinary    string
	// Folder holds the settings, data, logs and results.
	Folder string
	// Network is the second octet of all addresses.
	Network int
	Plan    workload.Plan
	Seed    uint64
	// Progress receives human-readable progress lines.
	Progress io.Writer
}

// Fleet is a running deployment.
type Fleet struct {
	config    Config
	layout    layout
	processes map[string]*process.Process
	order     []string
	keyFile   string // file of the operator's private key
	publicKey string
	bundle    *bundle.Bundle

	leavingMu      sync.Mutex
	leavingWindows []leavingWindow
}

// Start starts all processes, proposes the first bundle and waits until all routers are ready. If a
// step fails it stops the processes that it started.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config, processes: map[string]*process.Process{},
		layout: layout{network: config.Network, folder: config.Folder, deployment: config.Deployment, controlCount: controlCount}}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Join(f.config.Folder, "data"), 0o700); err != nil {
		return errors.Wrap(err, "create folder")
	}
	if err := f.makeKey(); err != nil {
		return err
	}
	steps := []func(context.Context) error{f.startStores, f.startEngines, f.startWorkers, f.startControl, f.startRouters}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	f.bundle = f.layout.firstBundle(f.publicKey, f.config.Plan, time.Now())
	if err := f.Propose(ctx, f.bundle); err != nil {
		return err
	}
	for i := range f.config.Deployment.Routers {
		if err := process.AwaitHTTP(ctx, "http://"+f.layout.router(i)+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) makeKey() error {
	publicKey, privateKey, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	f.publicKey = publicKey
	f.keyFile = filepath.Join(f.config.Folder, "operator.key")
	return errors.Wrap(os.WriteFile(f.keyFile, []byte(privateKey), fileMode), "write key")
}

// startProcess starts a process and records it for Stop.
func (f *Fleet) startProcess(name, binary string, args ...string) error {
	p := &process.Process{Name: name, Binary: binary, Args: args, Folder: f.config.Folder}
	f.processes[name] = p
	f.order = append(f.order, name)
	return p.Start()
}

func (f *Fleet) startStores(ctx context.Context) error {
	stores := []struct{ name, address string }{{"platform", f.layout.platform()}, {"weightstore", f.layout.weightStore()}, {"kvstore", f.layout.kvStore()}}
	for _, s := range stores {
		if err := f.startProcess(s.name, f.config.RehearseBinary, s.name, "--listen", s.address); err != nil {
			return err
		}
	}
	return process.AwaitHTTP(ctx, "http://"+f.layout.platform()+platformapi.PathMachines)
}

func (f *Fleet) startEngines(ctx context.Context) error {
	d := f.config.Deployment
	for i := range d.Engines {
		name := engineName(i)
		err := f.startProcess(name, f.config.RehearseBinary, "engine", "--id", name, "--listen", f.layout.engine(i), "--folder", f.layout.dataFolder(name),
			"--model", d.Model, "--weight-store", f.layout.weightStore(), "--kv-store", f.layout.kvStore())
		if err != nil {
			return err
		}
		if err := f.List(ctx, f.engineMachine(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) engineMachine(i int) platformapi.Machine {
	return platformapi.Machine{ID: engineName(i), Role: "engine", Address: f.layout.engine(i), Region: f.config.Deployment.Region, Zone: f.config.Deployment.Zone(i)}
}

func (f *Fleet) startWorkers(ctx context.Context) error {
	for i := range f.config.Deployment.Workers {
		name := workerName(i)
		if err := f.startProcess(name, f.config.RehearseBinary, "appworker", "--id", name, "--listen", f.layout.worker(i), "--folder", f.layout.dataFolder(name)); err != nil {
			return err
		}
		machine := platformapi.Machine{ID: name, Role: "application", Address: f.layout.worker(i), Region: f.config.Deployment.Region, Zone: f.config.Deployment.Zone(i)}
		if err := f.List(ctx, machine); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startControl(ctx context.Context) error {
	for i := range controlCount {
		path, err := f.layout.writeControl(i, f.publicKey)
		if err != nil {
			return err
		}
		if err := f.startProcess(controlName(i), f.config.QuinceridgeBinary, "control", "run", "--config", path); err != nil {
			return err
		}
	}
	for i := range controlCount {
		if err := process.AwaitHTTP(ctx, "http://"+f.layout.status(i)+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startRouters(context.Context) error {
	for i := range f.config.Deployment.Routers {
		path, err := f.layout.writeRouter(i)
		if err != nil {
			return err
		}
		if err := f.startProcess(routerName(i), f.config.QuinceridgeBinary, "router", "--config", path); err != nil {
			return err
		}
	}
	return nil
}

// List adds or updates machines in the platform's list.
func (f *Fleet) List(ctx context.Context, machines ...platformapi.Machine) error {
	body, err := json.Marshal(platformapi.List{Machines: machines})
	if err != nil {
		return errors.Wrap(err, "encode list")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.layout.platform()+platformapi.PathMachines, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	client := &http.Client{Transport: httpwire.NewTransport(nil)}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "update machine list")
	}
	return errors.Wrap(response.Body.Close(), "update machine list")
}

// Propose signs and proposes a bundle and waits until it is in force on all routers.
func (f *Fleet) Propose(ctx context.Context, b *bundle.Bundle) error {
	path := filepath.Join(f.config.Folder, fmt.Sprintf("bundle-%d.yaml", b.Version))
	if err := writeYAML(path, b); err != nil {
		return err
	}
	out, err := f.runOperatorCommand(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.keyFile, "--wait", "--timeout", "20s")
	return errors.Wrapf(err, "propose: %s", out)
}

// runOperatorCommand runs the quinceridge program with args against the control group. It returns
// standard output and standard error combined.
func (f *Fleet) runOperatorCommand(ctx context.Context, args ...string) (string, error) {
	args = append(args, "--control", strings.Join(f.layout.controlAddresses(), ","))
	out, err := exec.CommandContext(ctx, f.config.QuinceridgeBinary, args...).CombinedOutput()
	return string(out), errors.Wrap(err, "run operator command")
}

// RunCallers runs the callers until their plan ends and copies their output to Config.Progress.
func (f *Fleet) RunCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.config.Plan.End+callersTimeout)
	defer cancel()
	plan, err := json.Marshal(f.config.Plan)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	command := exec.CommandContext(ctx, f.config.RehearseBinary, "callers", "--deployment", f.config.Deployment.Name,
		"--plan", string(plan), "--seed", fmt.Sprint(f.config.Seed), "--router", strings.Join(f.layout.routerAddresses(), ","),
		"--json", f.callersReportPath())
	command.Stdout, command.Stderr = f.config.Progress, f.config.Progress
	return errors.Wrap(command.Run(), "run callers")
}

func (f *Fleet) callersReportPath() string { return filepath.Join(f.config.Folder, "callers.json") }

// Stop stops all processes in the reverse order of their start. It returns the names of those that
// had to be killed.
func (f *Fleet) Stop() (stuck []string) {
	for i := len(f.order) - 1; i >= 0; i-- {
		p := f.processes[f.order[i]]
		p.Signal(signalResume)
		if !p.Terminate(stopTimeout) {
			stuck = append(stuck, p.Name)
		}
	}
	return stuck
}

// acceptedStamp reads the bundle in force from the output of bundle status.
func acceptedStamp(status string) (controlapi.BundleID, error) {
	var reply controlapi.StatusReply
	err := json.Unmarshal([]byte(status), &reply)
	return reply.Accepted, errors.Wrap(err, "decode status")
}
