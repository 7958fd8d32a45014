// Package simulation runs control nodes, routers and operators in virtual time over a seeded
// faulty network and seeded faulty disks, and checks invariants throughout the run. Package
// control's Core and package agent's Agent run unmodified.
//
// A run is deterministic: the same Config gives the same result.
package simulation

import (
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/virtualtime"
)

// Config holds the parameters of a run.
type Config struct {
	Seed    uint64
	Nodes   int
	Routers int
	// Faults is the period in which faults are injected. Settle is the fault-free period after
	// it, at the end of which the system must have converged.
	Faults time.Duration
	Settle time.Duration
	// Mutant disables one safeguard, to show that the checks detect its absence.
	Mutant Mutant
	// Record, unless nil, receives each claim call that reached a log, after the run.
	Record func(ClaimCall)
}

// ClaimCall is one operation on a claim, as its caller observed it.
type ClaimCall struct {
	Operation state.ClaimOperation
	Start     time.Duration
	// End is the time of the response. It is negative if there was none; the operation may then
	// have taken effect or not.
	End   time.Duration
	State state.ClaimState
	// appended is set if some node appended the operation to its log. Otherwise the operation
	// can't have taken effect.
	appended bool
}

// Mutant names a disabled safeguard.
type Mutant string

// The mutants. Each must be detected by some seed.
const (
	NoMutant Mutant = ""
	// MutantNoSync discards synced data when a node crashes.
	MutantNoSync Mutant = "no-sync"
	// MutantNoLease lets routers serve without a lease.
	MutantNoLease Mutant = "no-lease"
	// MutantNoAdopt keeps routers without control nodes from adopting newer bundles of their
	// peers.
	MutantNoAdopt Mutant = "no-adopt"
	// MutantNoFence lets engines accept orders with an old fence.
	MutantNoFence Mutant = "no-fence"
	// MutantNoVoid lets a released attempt run when its grant arrives late.
	MutantNoVoid Mutant = "no-void"
	// MutantSteadyClock gives processes a clock that stops while their machine is suspended.
	MutantSteadyClock Mutant = "steady-clock"
)

// Mutants returns all mutants except NoMutant.
func Mutants() []Mutant {
	return []Mutant{MutantNoSync, MutantNoLease, MutantNoAdopt, MutantNoFence, MutantNoVoid, MutantSteadyClock}
}

// DefaultConfig returns the parameters of a run in tests.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Nodes: 3, Routers: 5, Faults: 40 * time.Second, Settle: 15 * time.Second}
}

// Bounds of the network delay.
const (
	minDelay = time.Millisecond
	maxDelay = 40 * time.Millisecond
)

// world is the state of one run. It is confined to one goroutine.
type world struct {
	config     Config
	queue      virtualtime.Queue
	random     *rand.Rand
	partitions map[string]int
	// lossRate and duplicateRate are the current probabilities that a message is lost or
	// duplicated.
	lossRate      float64
	duplicateRate float64

	nodes    []*node
	routers  []*router
	engine   *fencedEngine
	operator *operators
	claimer  *claimers
	checks   *checks
	nextID   uint64
	failure  error
	report   Report
}

func (w *world) now() time.Duration { return w.queue.Now() }

// every calls run repeatedly, with the given interval plus jitter.
func (w *world) every(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		w.queue.After(interval+time.Duration(w.random.Int64N(int64(interval)/8+1)), tick)
	}
	w.queue.After(time.Duration(w.random.Int64N(int64(interval))), tick)
}

// send delivers a message after a random delay, unless the network drops it. Messages may be
// duplicated and reordered.
func (w *world) send(from, to string, deliver func()) {
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.lossRate {
			continue
		}
		delay := minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
		w.queue.After(delay, func() {
			if w.partitions[from] == w.partitions[to] {
				deliver()
			}
		})
	}
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// between returns a random duration in [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// Run executes one run and returns its counts. The error describes the first violated
// invariant, with the seed and the time.
func Run(config Config) (Report, error) {
	w := &world{config: config, random: rand.New(rand.NewPCG(config.Seed, 11)), partitions: map[string]int{}}
	w.report.Faults = map[string]int{}
	w.checks = newChecks(w)
	w.engine = &fencedEngine{world: w}
	w.setUp()
	end := config.Faults + config.Settle
	for w.failure == nil && w.queue.Step(end) {
		w.report.Events++
	}
	if w.failure == nil {
		w.checks.checkConverged()
	}
	w.claimer.replay(config.Record)
	return w.report, w.failure
}

func (w *world) setUp() {
	for i := range w.config.Nodes {
		w.nextID = uint64(i + 1)
		w.nodes = append(w.nodes, newNode(w, w.nextID, false))
	}
	for i := range w.config.Routers {
		w.routers = append(w.routers, newRouter(w, i))
	}
	w.operator = newOperators(w)
	w.claimer = newClaimers(w)
	w.every(20*time.Millisecond, w.tickNodes)
	w.every(500*time.Millisecond, w.replaceLost)
	w.every(700*time.Millisecond, w.issueOrders)
	w.scheduleFaults()
}

func (w *world) tickNodes() {
	for _, n := range w.nodes {
		n.tick()
	}
	w.checks.checkInvariants()
}
