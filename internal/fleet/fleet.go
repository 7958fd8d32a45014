// Package fleet starts a whole deployment as separate processes on loopback
// addresses, drives it and reads what it left.
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
	"quinceridge.example/quinceridge/internal/platformapi"
	"quinceridge.example/quinceridge/internal/process"
	"quinceridge.example/quinceridge/internal/workload"
)

// Limits of the launcher.
const (
	startLimit = 30 * time.Second
	stopLimit  = 15 * time.Second
	controls   = 3
	// callersLead is the time between the start of the callers and their first
	// request.
	callersLimit = 2 * time.Minute
)

// Config says what fleet to start.
type Config struct {
	Deployment deployment.Deployment
	// QuinceridgeBinary and RehearseBinary are the paths of the programs to run.
	QuinceridgeBinary string
	RehearseBinary    string
	// Folder keeps settings, data, logs and results.
	Folder string
	// Network is the second number of all addresses.
	Network int
	Plan    workload.Plan
	Seed    uint64
	// Progress gets lines for people.
	Progress io.Writer
}

// Fleet is a running deployment.
type Fleet struct {
	config    Config
	layout    layout
	processes map[string]*process.Process
	order     []string
	key       string // file of the operator's private key
	public    string
	bundle    *bundle.Bundle

	leavingMu sync.Mutex
	leavings  []leaving
}

// Start starts all processes and puts the first bundle in force.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config, processes: map[string]*process.Process{},
		layout: layout{network: config.Network, folder: config.Folder, deployment: config.Deployment, controls: controls}}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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
	f.bundle = f.layout.firstBundle(f.public, f.config.Plan, time.Now())
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
	public, private, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	f.public = public
	f.key = filepath.Join(f.config.Folder, "operator.key")
	return errors.Wrap(os.WriteFile(f.key, []byte(private), fileMode), "write key")
}

// run starts a process and remembers it for Stop.
func (f *Fleet) run(name, binary string, args ...string) error {
	p := &process.Process{Name: name, Binary: binary, Args: args, Folder: f.config.Folder}
	f.processes[name] = p
	f.order = append(f.order, name)
	return p.Start()
}

func (f *Fleet) startStores(ctx context.Context) error {
	stores := []struct{ name, address string }{{"platform", f.layout.platform()}, {"weightstore", f.layout.weights()}, {"kvstore", f.layout.kv()}}
	for _, s := range stores {
		if err := f.run(s.name, f.config.RehearseBinary, s.name, "--listen", s.address); err != nil {
			return err
		}
	}
	return process.AwaitHTTP(ctx, "http://"+f.layout.platform()+platformapi.PathMachines)
}

func (f *Fleet) startEngines(ctx context.Context) error {
	d := f.config.Deployment
	for i := range d.Engines {
		name := engineName(i)
		err := f.run(name, f.config.RehearseBinary, "engine", "--id", name, "--listen", f.layout.engine(i), "--folder", f.layout.data(name),
			"--model", d.Model, "--weight-store", f.layout.weights(), "--kv-store", f.layout.kv())
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
		if err := f.run(name, f.config.RehearseBinary, "appworker", "--id", name, "--listen", f.layout.worker(i), "--folder", f.layout.data(name)); err != nil {
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
	for i := range controls {
		path, err := f.layout.writeControl(i, f.public)
		if err != nil {
			return err
		}
		if err := f.run(controlName(i), f.config.QuinceridgeBinary, "control", "run", "--config", path); err != nil {
			return err
		}
	}
	for i := range controls {
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
		if err := f.run(routerName(i), f.config.QuinceridgeBinary, "router", "--config", path); err != nil {
			return err
		}
	}
	return nil
}

// List changes the platform's list.
func (f *Fleet) List(ctx context.Context, machines ...platformapi.Machine) error {
	body, err := json.Marshal(platformapi.List{Machines: machines})
	if err != nil {
		return errors.Wrap(err, "encode list")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.layout.platform()+platformapi.PathMachines, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "change list")
	}
	return errors.Wrap(response.Body.Close(), "change list")
}

// Propose runs the operator's command and waits until the bundle is in force.
func (f *Fleet) Propose(ctx context.Context, b *bundle.Bundle) error {
	path := filepath.Join(f.config.Folder, fmt.Sprintf("bundle-%d.yaml", b.Version))
	if err := writeYAML(path, b); err != nil {
		return err
	}
	out, err := f.operator(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.key, "--wait", "--timeout", "20s")
	return errors.Wrapf(err, "propose: %s", out)
}

// operator runs an operator's command.
func (f *Fleet) operator(ctx context.Context, args ...string) (string, error) {
	args = append(args, "--control", strings.Join(f.layout.controlAddresses(), ","))
	out, err := exec.CommandContext(ctx, f.config.QuinceridgeBinary, args...).CombinedOutput()
	return string(out), errors.Wrap(err, "run operator's command")
}

// RunCallers runs the callers to their end. Their lines go to the progress writer.
func (f *Fleet) RunCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.config.Plan.End+callersLimit)
	defer cancel()
	plan, err := json.Marshal(f.config.Plan)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	command := exec.CommandContext(ctx, f.config.RehearseBinary, "callers", "--deployment", f.config.Deployment.Name,
		"--plan", string(plan), "--seed", fmt.Sprint(f.config.Seed), "--router", strings.Join(f.layout.routerAddresses(), ","),
		"--json", f.callersFile())
	command.Stdout, command.Stderr = f.config.Progress, f.config.Progress
	return errors.Wrap(command.Run(), "callers")
}

func (f *Fleet) callersFile() string { return filepath.Join(f.config.Folder, "callers.json") }

// Stop ends all processes in the reverse order of their start. It returns the
// names of those that did not stop when asked.
func (f *Fleet) Stop() (stuck []string) {
	for i := len(f.order) - 1; i >= 0; i-- {
		p := f.processes[f.order[i]]
		p.Signal(syscallContinue)
		if !p.Terminate(stopLimit) {
			stuck = append(stuck, p.Name)
		}
	}
	return stuck
}

// acceptedStamp reads the bundle in force from the output of bundle status.
func acceptedStamp(status string) (controlapi.Stamp, error) {
	var reply controlapi.StatusReply
	err := json.Unmarshal([]byte(status), &reply)
	return reply.Accepted, errors.Wrap(err, "decode status")
}
