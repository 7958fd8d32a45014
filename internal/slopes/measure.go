package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/hollow"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/state"
)

// Sizes at the target.
const (
	targetRouters = 320
	targetWorkers = 810
	targetTenants = 29_000
	targetBlocks  = 17e6
	targetClaims  = 1e6
)

// quiet is how long a hollow fleet is watched.
const quiet = 5 * time.Second

// Measure makes all series.
func Measure(ctx context.Context, network int, progress func(string)) ([]*Series, error) {
	var all []*Series
	steps := []func(context.Context, int) ([]*Series, error){againstRouters, againstWorkers, againstTenants, againstBlocks, againstClaims}
	for _, step := range steps {
		series, err := step(ctx, network)
		if err != nil {
			return nil, err
		}
		all = append(all, series...)
		for _, s := range series {
			progress(s.Name)
		}
	}
	return all, nil
}

// fleet runs a hollow fleet of five control nodes and 500 tenants and hands it
// over.
func fleet(ctx context.Context, config hollow.Config, use func(*hollow.Fleet) error) error {
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "measure")
	}
	config.Tenants, config.Controls = 500, 5
	folder, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		return errors.Wrap(err, "create folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	config.Folder = filepath.Join(folder, "data")
	f, err := hollow.Start(config)
	if err != nil {
		return err
	}
	defer f.Stop()
	return use(f)
}

// againstRouters watches hollow fleets of growing numbers of routers.
func againstRouters(ctx context.Context, network int) ([]*Series, error) {
	processor := &Series{Name: "processor time of all routers and control nodes", Size: "routers", Unit: "cores", Target: targetRouters}
	bytes := &Series{Name: "bytes a second of one router", Size: "routers", Unit: "B/s", Target: targetRouters}
	rollout := &Series{Name: "rollout until in force in every router", Size: "routers", Unit: "s", Target: targetRouters}
	for _, routers := range []int{10, 40, 80, 160, 320} {
		err := fleet(ctx, hollow.Config{Routers: routers, Workers: 100, Network: network}, func(f *hollow.Fleet) error {
			usage := f.Measure(quiet)
			processor.add(routers, usage.ProcessorSeconds/usage.Seconds)
			bytes.add(routers, usage.BytesPerRouter)
			took, err := f.Change()
			rollout.add(routers, took.Seconds())
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return []*Series{processor, bytes, rollout}, nil
}

// againstWorkers watches hollow fleets of growing numbers of workers.
func againstWorkers(ctx context.Context, network int) ([]*Series, error) {
	bytes := &Series{Name: "bytes a second of one router, one zone of five watched", Size: "workers", Unit: "B/s", Target: targetWorkers}
	processor := &Series{Name: "processor time of 5 control nodes, 20 routers and the engines' reports", Size: "workers", Unit: "cores", Target: targetWorkers}
	for _, workers := range []int{110, 200, 400, 600, 810} {
		err := fleet(ctx, hollow.Config{Routers: 20, Workers: workers, Network: network}, func(f *hollow.Fleet) error {
			usage := f.Measure(quiet)
			bytes.add(workers, usage.BytesPerRouter)
			processor.add(workers, usage.ProcessorSeconds/usage.Seconds)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return []*Series{bytes, processor}, nil
}

func (s *Series) add(x int, y float64) { s.Points = append(s.Points, Point{X: float64(x), Y: y}) }

// heap returns the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC() // the first only marks what finalizers hold
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// againstTenants measures what a bundle costs a router.
func againstTenants(context.Context, int) ([]*Series, error) {
	memory := &Series{Name: "memory of a bundle in force and one staged, in a router", Size: "tenants", Unit: "MB", Target: targetTenants}
	parse := &Series{Name: "reading a bundle in a router", Size: "tenants", Unit: "ms", Target: targetTenants}
	patch := &Series{Name: "applying a delta in a router", Size: "tenants", Unit: "ms", Target: targetTenants}
	delta := &Series{Name: "making a delta in the leader", Size: "tenants", Unit: "ms", Target: targetTenants}
	whole := &Series{Name: "a whole bundle on the wire", Size: "tenants", Unit: "KB", Target: targetTenants}
	change := &Series{Name: "a delta of one tenant on the wire", Size: "tenants", Unit: "B", Target: targetTenants}
	for _, tenants := range []int{1000, 5000, 10_000, 20_000, 29_000} {
		first := hollow.MakeBundle(tenants, fmt.Sprintf("%064x", 1))
		from, err := first.Canonical()
		if err != nil {
			return nil, err
		}
		first.Version, first.Parent = 2, bundle.Digest(from)
		tenant := first.Tenants["tenant-00000"]
		tenant.Weight = 2
		first.Tenants["tenant-00000"] = tenant
		to, err := first.Canonical()
		if err != nil {
			return nil, err
		}
		var text []byte
		delta.add(tenants, milliseconds(func() { text, err = bundle.Delta(from, to) }))
		if err != nil {
			return nil, err
		}
		patch.add(tenants, milliseconds(func() { _, err = bundle.Patch(from, text, bundle.Digest(to)) }))
		if err != nil {
			return nil, err
		}
		whole.add(tenants, float64(len(to))/1000)
		change.add(tenants, float64(len(text)))
		before := heap()
		kept := [][]byte{append([]byte(nil), from...), append([]byte(nil), to...)}
		var config *board.Config
		parse.add(tenants, milliseconds(func() {
			var b *bundle.Bundle
			if b, err = bundle.Parse(to); err == nil {
				config = board.NewConfig(controlapi.Stamp{}, b)
			}
		}))
		memory.add(tenants, (heap()-before)/1e6)
		// What was live at the first look must be live at the second.
		runtime.KeepAlive(first)
		runtime.KeepAlive(from)
		runtime.KeepAlive(to)
		runtime.KeepAlive(kept)
		runtime.KeepAlive(config)
	}
	return []*Series{memory, parse, patch, delta, whole, change}, nil
}

func milliseconds(work func()) float64 {
	started := time.Now()
	work()
	return time.Since(started).Seconds() * 1000
}

// againstBlocks weighs two ways to keep the index of cached blocks: every block
// with the engine that holds it, and only the chain heads, one block in sixteen.
func againstBlocks(ctx context.Context, _ int) ([]*Series, error) {
	blockMemory := &Series{Name: "index of every block: memory", Size: "blocks", Unit: "MB", Target: targetBlocks}
	blockTime := &Series{Name: "index of every block: processor time of a change", Size: "blocks", Unit: "ns", Target: targetBlocks}
	headMemory := &Series{Name: "index of chain heads: memory", Size: "blocks", Unit: "MB", Target: targetBlocks}
	headTime := &Series{Name: "index of chain heads: processor time of a block change", Size: "blocks", Unit: "ns", Target: targetBlocks}
	for _, blocks := range []int{1_000_000, 2_000_000, 4_000_000, 8_000_000} {
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "measure")
		}
		memory, took := measureIndex(blocks, 1)
		blockMemory.add(blocks, memory)
		blockTime.add(blocks, took)
		memory, took = measureIndex(blocks, scheduling.HeadInterval)
		headMemory.add(blocks, memory)
		headTime.add(blocks, took)
	}
	return []*Series{blockMemory, blockTime, headMemory, headTime}, nil
}

// measureIndex fills a directory with one block in every so many and changes
// it. Engines hold 21,000 blocks each, as at the target.
func measureIndex(blocks, every int) (megabytes, nanoseconds float64) {
	const blocksPerEngine = 21_000
	before := heap()
	d := scheduling.NewDirectory()
	number := func(i int) (engine, block uint64) { return uint64(i / blocksPerEngine), uint64(i) * 0x9e3779b97f4a7c15 }
	for i := 0; i < blocks; i += every {
		d.Add(number(i))
	}
	megabytes = (heap() - before) / 1e6
	const changes = 400_000
	started := time.Now()
	for i := range changes {
		// The events of blocks that are no heads are looked at and dropped.
		if i%every == 0 {
			engine, block := number(i % blocks)
			d.Remove(engine, block)
			d.Add(engine, block+1)
		}
	}
	nanoseconds = float64(time.Since(started).Nanoseconds()) / (2 * changes)
	runtime.KeepAlive(d)
	return megabytes, nanoseconds
}

// againstClaims measures the state machine under claims.
func againstClaims(context.Context, int) ([]*Series, error) {
	memory := &Series{Name: "memory of remembered claims, in a control node", Size: "claims", Unit: "MB", Target: targetClaims}
	processor := &Series{Name: "processor time of a claim in the state machine, batches of 16", Size: "claims", Unit: "us", Target: targetClaims}
	snapshot := &Series{Name: "making a snapshot", Size: "claims", Unit: "ms", Target: targetClaims}
	for _, claims := range []int{10_000, 20_000, 40_000, 80_000, 160_000} {
		before := heap()
		machine := state.New()
		started := time.Now()
		if err := claim(machine, claims); err != nil {
			return nil, err
		}
		processor.add(claims, time.Since(started).Seconds()*1e6/float64(claims))
		memory.add(claims, (heap()-before)/1e6)
		var err error
		snapshot.add(claims, milliseconds(func() { _, err = machine.Snapshot() }))
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(machine)
	}
	return []*Series{memory, processor, snapshot}, nil
}

// claim acquires and finishes so many keys, in batches of 16 operations.
func claim(machine *state.Machine, count int) error {
	const batch = 16
	index := uint64(0)
	apply := func(operations []state.ClaimOperation) error {
		index++
		command, err := json.Marshal(state.Command{At: 1, Claims: &state.Claims{Operations: operations}})
		if err != nil {
			return errors.Wrap(err, "encode claims")
		}
		_, err = machine.Apply(index, 1, command)
		return err
	}
	for i := 0; i < count; i += batch {
		var acquire, finish []state.ClaimOperation
		for n := i; n < i+batch; n++ {
			op := state.ClaimOperation{Kind: state.ClaimAcquire, Tenant: "tenant-00000", Key: fmt.Sprintf("key-%d", n), Attempt: fmt.Sprintf("attempt-%d", n), Request: fmt.Sprintf("%064x", n)}
			acquire = append(acquire, op)
			op.Kind, op.Outcome = state.ClaimFinish, &state.Outcome{Status: 200, Body: make([]byte, 100)}
			finish = append(finish, op)
		}
		if err := errors.CombineErrors(apply(acquire), apply(finish)); err != nil {
			return err
		}
	}
	return nil
}
