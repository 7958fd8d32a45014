package main

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/simulation"
)

type simulateCommand struct {
	Seed   uint64 `default:"1" help:"First seed."`
	Seeds  int    `default:"100" help:"How many seeds."`
	Mutant string `help:"Remove a guard: no-sync, no-lease, no-adopt, no-fence or no-void."`
}

// Run simulates the seeds in parallel and prints the failed ones and a summary.
func (c *simulateCommand) Run(ctx context.Context) error {
	started := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	failed, total := 0, simulation.Report{Faults: map[string]int{}}
	for i := range c.Seeds {
		if ctx.Err() != nil {
			break
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			config := simulation.DefaultConfig(c.Seed + uint64(i))
			config.Mutant = simulation.Mutant(c.Mutant)
			report, err := simulation.Run(config)
			mu.Lock()
			defer mu.Unlock()
			total.Add(report)
			if err != nil {
				failed++
				fmt.Println("FAILED", err)
			}
		})
	}
	group.Wait()
	fmt.Printf("%d seeds, %d failed, in %.1f s\n", c.Seeds, failed, time.Since(started).Seconds())
	fmt.Println(total.String())
	if failed > 0 {
		return errors.Newf("%d seeds failed; run one with --seed N --seeds 1", failed)
	}
	return nil
}
