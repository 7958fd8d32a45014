package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/process"
)

// Timing of the faults.
const (
	firstFault        = 3 * time.Second
	meanFaultInterval = 2 * time.Second
	minDowntime       = 200 * time.Millisecond
	maxDowntime       = 2 * time.Second
	maxFreeze         = 6 * time.Second
	// leavingDuration is the time from listing an engine as leaving to stopping it. After leavingGrace
	// it must not receive new work.
	leavingDuration = 5 * time.Second
	leavingGrace    = 3 * time.Second
	drainTimeout    = 20 * time.Second
)

// injector injects faults into a running fleet, in an order that its seed determines.
type injector struct {
	fleet  *Fleet
	random *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	busy   map[string]bool // processes, and the operators, that a fault is using
	group  sync.WaitGroup
}

// faultKind is a fault to inject, chosen with a probability proportional to its weight.
type faultKind struct {
	name   string
	weight int
	run    func(i *injector, ctx context.Context)
}

var faultKinds = []faultKind{
	{"kill an engine", 5, func(i *injector, ctx context.Context) {
		i.killAndRestart(ctx, engineName(i.random.IntN(i.fleet.config.Deployment.Engines)))
	}},
	{"freeze an engine", 3, func(i *injector, ctx context.Context) {
		i.freeze(ctx, engineName(i.random.IntN(i.fleet.config.Deployment.Engines)), i.randomDuration(time.Second, maxFreeze))
	}},
	{"kill a router", 4, func(i *injector, ctx context.Context) {
		i.killAndRestart(ctx, routerName(i.random.IntN(i.fleet.config.Deployment.Routers)))
	}},
	{"freeze a router", 2, func(i *injector, ctx context.Context) {
		i.freeze(ctx, routerName(i.random.IntN(i.fleet.config.Deployment.Routers)), i.randomDuration(time.Second, maxFreeze))
	}},
	{"stop a router as planned", 2, (*injector).restartGracefully},
	{"restart half of the routers", 1, (*injector).restartHalfOfRouters},
	{"kill a control node", 4, func(i *injector, ctx context.Context) {
		i.killAndRestart(ctx, controlName(i.random.IntN(controlCount)))
	}},
	{"freeze a control node", 3, func(i *injector, ctx context.Context) {
		i.freeze(ctx, controlName(i.random.IntN(controlCount)), i.randomDuration(time.Second, maxFreeze))
	}},
	{"kill all control nodes", 1, (*injector).killAllControlNodes},
	{"kill an application worker", 3, func(i *injector, ctx context.Context) {
		i.killAndRestart(ctx, workerName(i.random.IntN(i.fleet.config.Deployment.Workers)))
	}},
	{"let an engine leave", 2, (*injector).drainEngine},
	{"race two bundles", 2, (*injector).runOperatorRace},
	{"load new weights", 2, (*injector).loadNewWeights},
}

// InjectFaults injects faults until the context ends, then waits for the faults in progress to
// finish. It returns the number of faults by kind, including those that were skipped because
// another fault was using the process.
func (f *Fleet) InjectFaults(ctx context.Context, seed uint64) map[string]int {
	i := &injector{fleet: f, random: rand.New(rand.NewPCG(seed, 5)), counts: map[string]int{}, busy: map[string]bool{}}
	total := 0
	for _, fault := range faultKinds {
		total += fault.weight
	}
	wait := firstFault
	for {
		select {
		case <-ctx.Done():
			i.group.Wait()
			return i.counts
		case <-time.After(wait):
		}
		wait = i.randomDuration(meanFaultInterval/2, meanFaultInterval*3/2)
		pick := i.random.IntN(total)
		for _, fault := range faultKinds {
			if pick -= fault.weight; pick < 0 {
				i.counts[fault.name]++
				_, _ = fmt.Fprintf(f.config.Progress, "       fault: %s\n", fault.name)
				fault.run(i, context.WithoutCancel(ctx))
				break
			}
		}
	}
}

func (i *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(i.random.Int64N(int64(high-low)))
}

// acquire marks a process as in use and reports whether it did. It fails if another fault is using
// the process.
func (i *injector) acquire(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[name] {
		return false
	}
	i.busy[name] = true
	return true
}

func (i *injector) release(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, name)
}

// runExclusive runs work on a process in the background, unless another fault is using the process.
func (i *injector) runExclusive(name string, work func(p *process.Process)) {
	if !i.acquire(name) {
		return
	}
	i.group.Go(func() {
		defer i.release(name)
		work(i.fleet.processes[name])
	})
}

// killAndRestart kills a process with SIGKILL and starts it again after a random downtime.
func (i *injector) killAndRestart(_ context.Context, name string) {
	down := i.randomDuration(minDowntime, maxDowntime)
	i.runExclusive(name, func(p *process.Process) {
		p.Kill()
		time.Sleep(down)
		_ = p.Start()
	})
}

func (i *injector) freeze(_ context.Context, name string, length time.Duration) {
	i.runExclusive(name, func(p *process.Process) {
		p.Signal(signalFreeze)
		time.Sleep(length)
		p.Signal(signalResume)
	})
}

// restartGracefully stops a router with SIGTERM and starts it again.
func (i *injector) restartGracefully(context.Context) {
	name := routerName(i.random.IntN(i.fleet.config.Deployment.Routers))
	i.runExclusive(name, func(p *process.Process) {
		p.Terminate(drainTimeout)
		_ = p.Start()
	})
}

func (i *injector) restartHalfOfRouters(ctx context.Context) {
	for n := range i.fleet.config.Deployment.Routers {
		if n%2 == 0 {
			i.killAndRestart(ctx, routerName(n))
		}
	}
}

func (i *injector) killAllControlNodes(ctx context.Context) {
	for n := range controlCount {
		i.killAndRestart(ctx, controlName(n))
	}
}

// drainEngine lists an engine as leaving, stops it after leavingDuration, starts it again and lists
// it as available.
func (i *injector) drainEngine(ctx context.Context) {
	number := i.random.IntN(i.fleet.config.Deployment.Engines)
	i.runExclusive(engineName(number), func(p *process.Process) {
		machine := i.fleet.engineMachine(number)
		machine.Leaving = true
		_ = i.fleet.List(ctx, machine)
		listed := time.Now()
		time.Sleep(leavingDuration)
		p.Terminate(drainTimeout)
		i.fleet.recordLeaving(leavingWindow{engine: machine.ID, from: listed.Add(leavingGrace), to: time.Now()})
		_ = p.Start()
		machine.Leaving = false
		_ = i.fleet.List(ctx, machine)
	})
}

// leavingWindow is a period in which an engine must not receive new work.
type leavingWindow struct {
	engine   string
	from, to time.Time
}

func (f *Fleet) recordLeaving(l leavingWindow) {
	f.leavingMu.Lock()
	defer f.leavingMu.Unlock()
	f.leavingWindows = append(f.leavingWindows, l)
}

// runOperatorRace has two operators propose bundles with the same version at the same time.
func (i *injector) runOperatorRace(ctx context.Context) {
	if !i.acquire("operators") {
		return
	}
	i.group.Go(func() {
		defer i.release("operators")
		i.fleet.raceOperators(ctx)
	})
}

// loadNewWeights proposes a bundle with a higher target version of the weights.
func (i *injector) loadNewWeights(ctx context.Context) {
	if !i.acquire("operators") {
		return
	}
	i.group.Go(func() {
		defer i.release("operators")
		i.fleet.raiseWeights(ctx)
	})
}

// nextBundle returns a copy of the fleet's bundle with the version and parent that follow the bundle
// in force.
func (f *Fleet) nextBundle(ctx context.Context) (*bundle.Bundle, error) {
	status, err := f.runOperatorCommand(ctx, "bundle", "status", "--json")
	if err != nil {
		return nil, err
	}
	stamp, err := acceptedStamp(status)
	if err != nil {
		return nil, err
	}
	next := *f.bundle
	next.Version, next.Parent = stamp.Version+1, stamp.Digest
	return &next, nil
}

func (f *Fleet) raiseWeights(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	name := f.config.Deployment.Model
	model := f.bundle.Models[name]
	model.TargetWeightsVersion = max(model.TargetWeightsVersion, 1) + 1
	f.bundle.Models[name] = model
	next, err := f.nextBundle(ctx)
	if err != nil {
		return
	}
	path := fmt.Sprintf("%s/weights-%d.yaml", f.config.Folder, next.Version)
	if writeYAML(path, next) != nil {
		return
	}
	_, _ = f.runOperatorCommand(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.keyFile)
}

// raceOperators concurrently proposes two bundles with the same version and parent.
func (f *Fleet) raceOperators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	base, err := f.nextBundle(ctx)
	if err != nil {
		return
	}
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() {
			next := *base
			next.Routes = map[string]bundle.Route{}
			for name, route := range f.bundle.Routes {
				next.Routes[name] = route
			}
			next.Routes[fmt.Sprintf("race-%d", n)] = bundle.Route{Path: fmt.Sprintf("/race-%d", n), Retryable: true, Deadline: time.Second}
			path := fmt.Sprintf("%s/race-%d-%d.yaml", f.config.Folder, next.Version, n)
			if writeYAML(path, &next) != nil {
				return
			}
			_, _ = f.runOperatorCommand(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.keyFile)
			_ = os.Remove(path)
		})
	}
	group.Wait()
}
