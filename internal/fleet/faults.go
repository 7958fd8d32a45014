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

// Times of faults.
const (
	firstFault   = 3 * time.Second
	faultPause   = 2 * time.Second
	shortestDown = 200 * time.Millisecond
	longestDown  = 2 * time.Second
	longFreeze   = 6 * time.Second
	// leavingTime is how long a leaving engine stays, and leavingLimit how soon
	// it must get nothing new.
	leavingTime  = 5 * time.Second
	leavingLimit = 3 * time.Second
	drainWait    = 20 * time.Second
)

// injector brings faults about on a running fleet, in an order that its seed
// fixes.
type injector struct {
	fleet  *Fleet
	random *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	busy   map[string]bool // processes that a fault is at work on
	group  sync.WaitGroup
}

type processFault struct {
	name   string
	weight int
	run    func(i *injector, ctx context.Context)
}

var processFaults = []processFault{
	{"kill an engine", 5, func(i *injector, ctx context.Context) {
		i.bounce(ctx, engineName(i.random.IntN(i.fleet.config.Deployment.Engines)))
	}},
	{"freeze an engine", 3, func(i *injector, ctx context.Context) {
		i.freeze(ctx, engineName(i.random.IntN(i.fleet.config.Deployment.Engines)), i.between(time.Second, longFreeze))
	}},
	{"kill a router", 4, func(i *injector, ctx context.Context) {
		i.bounce(ctx, routerName(i.random.IntN(i.fleet.config.Deployment.Routers)))
	}},
	{"freeze a router", 2, func(i *injector, ctx context.Context) {
		i.freeze(ctx, routerName(i.random.IntN(i.fleet.config.Deployment.Routers)), i.between(time.Second, longFreeze))
	}},
	{"stop a router as planned", 2, (*injector).planStop},
	{"restart half of the routers", 1, (*injector).herd},
	{"kill a control node", 4, func(i *injector, ctx context.Context) { i.bounce(ctx, controlName(i.random.IntN(controls))) }},
	{"freeze a control node", 3, func(i *injector, ctx context.Context) {
		i.freeze(ctx, controlName(i.random.IntN(controls)), i.between(time.Second, longFreeze))
	}},
	{"kill all control nodes", 1, (*injector).killControl},
	{"kill an application worker", 3, func(i *injector, ctx context.Context) {
		i.bounce(ctx, workerName(i.random.IntN(i.fleet.config.Deployment.Workers)))
	}},
	{"let an engine leave", 2, (*injector).leave},
	{"race two bundles", 2, (*injector).race},
	{"load new weights", 2, (*injector).load},
}

// InjectFaults brings faults about until the context ends, then waits until all
// processes run again. It returns how many there were of each kind.
func (f *Fleet) InjectFaults(ctx context.Context, seed uint64) map[string]int {
	i := &injector{fleet: f, random: rand.New(rand.NewPCG(seed, 5)), counts: map[string]int{}, busy: map[string]bool{}}
	total := 0
	for _, fault := range processFaults {
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
		wait = i.between(faultPause/2, faultPause*3/2)
		at := i.random.IntN(total)
		for _, fault := range processFaults {
			if at -= fault.weight; at < 0 {
				i.counts[fault.name]++
				_, _ = fmt.Fprintf(f.config.Progress, "       fault: %s\n", fault.name)
				fault.run(i, context.WithoutCancel(ctx))
				break
			}
		}
	}
}

func (i *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.random.Int64N(int64(high-low)))
}

// take marks a process as worked on, unless another fault has it.
func (i *injector) take(name string) bool {
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

// on runs work on a process that no other fault has.
func (i *injector) on(name string, work func(p *process.Process)) {
	if !i.take(name) {
		return
	}
	i.group.Go(func() {
		defer i.release(name)
		work(i.fleet.processes[name])
	})
}

// bounce kills a process without notice and starts it again.
func (i *injector) bounce(_ context.Context, name string) {
	down := i.between(shortestDown, longestDown)
	i.on(name, func(p *process.Process) {
		p.Kill()
		time.Sleep(down)
		_ = p.Start()
	})
}

func (i *injector) freeze(_ context.Context, name string, length time.Duration) {
	i.on(name, func(p *process.Process) {
		p.Signal(syscallStop)
		time.Sleep(length)
		p.Signal(syscallContinue)
	})
}

// planStop stops a router as an operator does, and starts it again.
func (i *injector) planStop(context.Context) {
	name := routerName(i.random.IntN(i.fleet.config.Deployment.Routers))
	i.on(name, func(p *process.Process) {
		p.Terminate(drainWait)
		_ = p.Start()
	})
}

func (i *injector) herd(ctx context.Context) {
	for n := range i.fleet.config.Deployment.Routers {
		if n%2 == 0 {
			i.bounce(ctx, routerName(n))
		}
	}
}

func (i *injector) killControl(ctx context.Context) {
	for n := range controls {
		i.bounce(ctx, controlName(n))
	}
}

// leave lists an engine as leaving, stops it after its streams have ended, and
// brings it back.
func (i *injector) leave(ctx context.Context) {
	number := i.random.IntN(i.fleet.config.Deployment.Engines)
	i.on(engineName(number), func(p *process.Process) {
		machine := i.fleet.engineMachine(number)
		machine.Leaving = true
		_ = i.fleet.List(ctx, machine)
		listed := time.Now()
		time.Sleep(leavingTime)
		p.Terminate(drainWait)
		i.fleet.noteLeaving(leaving{engine: machine.ID, from: listed.Add(leavingLimit), to: time.Now()})
		_ = p.Start()
		machine.Leaving = false
		_ = i.fleet.List(ctx, machine)
	})
}

// leaving is a time in which an engine must get no new work.
type leaving struct {
	engine   string
	from, to time.Time
}

func (f *Fleet) noteLeaving(l leaving) {
	f.leavingMu.Lock()
	defer f.leavingMu.Unlock()
	f.leavings = append(f.leavings, l)
}

// race lets two operators propose bundles of equal version numbers at once.
// Exactly one may win.
func (i *injector) race(ctx context.Context) {
	if !i.take("operators") {
		return
	}
	i.group.Go(func() {
		defer i.release("operators")
		i.fleet.raceOperators(ctx)
	})
}

// load raises the weights version that engines are to load.
func (i *injector) load(ctx context.Context) {
	if !i.take("operators") {
		return
	}
	i.group.Go(func() {
		defer i.release("operators")
		i.fleet.raiseWeights(ctx)
	})
}

// following returns a copy of the fleet's bundle that follows the one in force.
func (f *Fleet) following(ctx context.Context) (*bundle.Bundle, error) {
	status, err := f.operator(ctx, "bundle", "status", "--json")
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
	ctx, cancel := context.WithTimeout(ctx, drainWait)
	defer cancel()
	name := f.config.Deployment.Model
	model := f.bundle.Models[name]
	model.TargetWeightsVersion = max(model.TargetWeightsVersion, 1) + 1
	f.bundle.Models[name] = model
	next, err := f.following(ctx)
	if err != nil {
		return
	}
	path := fmt.Sprintf("%s/weights-%d.yaml", f.config.Folder, next.Version)
	if writeYAML(path, next) != nil {
		return
	}
	_, _ = f.operator(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.key)
}

// raceOperators proposes two bundles that follow the one in force.
func (f *Fleet) raceOperators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainWait)
	defer cancel()
	follower, err := f.following(ctx)
	if err != nil {
		return
	}
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() {
			next := *follower
			next.Routes = map[string]bundle.Route{}
			for name, route := range f.bundle.Routes {
				next.Routes[name] = route
			}
			next.Routes[fmt.Sprintf("race-%d", n)] = bundle.Route{Path: fmt.Sprintf("/race-%d", n), Repeatable: true, Deadline: time.Second}
			path := fmt.Sprintf("%s/race-%d-%d.yaml", f.config.Folder, next.Version, n)
			if writeYAML(path, &next) != nil {
				return
			}
			_, _ = f.operator(ctx, "bundle", "propose", path, "--operator", operatorName, "--key", f.key)
			_ = os.Remove(path)
		})
	}
	group.Wait()
}
