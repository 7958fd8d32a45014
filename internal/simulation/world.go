// Package simulation runs control nodes, routers and operators in virtual time
// over a seeded network and seeded disks that fail, and checks after each event
// that no promise is broken. The Core and the Agent are the product's own.
//
// A seed fixes everything: a failing seed fails again.
package simulation

import (
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/virtualtime"
)

// Config says what a run is made of.
type Config struct {
	Seed    uint64
	Nodes   int
	Routers int
	// Faults is how long faults come; Settle is the calm after them, at whose
	// end all must have converged.
	Faults time.Duration
	Settle time.Duration
	// Mutant removes one guard, to show that the checks can fail.
	Mutant Mutant
	// Record, unless nil, gets each call on a claim as its caller saw it.
	Record func(ClaimCall)
}

// ClaimCall is one call on a claim.
type ClaimCall struct {
	Operation state.ClaimOperation
	Start     time.Duration
	// End is when the answer came; negative when none came, and the call may
	// have been done or not.
	End   time.Duration
	State state.ClaimState
	// appended says that some node put it into its log; otherwise it was
	// surely not done.
	appended bool
}

// Mutant names a removed guard.
type Mutant string

// The mutants. Each must be caught by some seed.
const (
	NoMutant Mutant = ""
	// MutantNoSync loses what was synced when a node crashes.
	MutantNoSync Mutant = "no-sync"
	// MutantNoLease lets routers serve without any right.
	MutantNoLease Mutant = "no-lease"
	// MutantNoAdopt lets routers without control go on by what they have.
	MutantNoAdopt Mutant = "no-adopt"
	// MutantNoFence lets engines obey old orders.
	MutantNoFence Mutant = "no-fence"
	// MutantNoVoid lets a released attempt run when its grant comes late.
	MutantNoVoid Mutant = "no-void"
	// MutantSteadyClock lets processes read a clock that stands still while their
	// machine is suspended.
	MutantSteadyClock Mutant = "steady-clock"
)

// Mutants lists all mutants.
func Mutants() []Mutant {
	return []Mutant{MutantNoSync, MutantNoLease, MutantNoAdopt, MutantNoFence, MutantNoVoid, MutantSteadyClock}
}

// DefaultConfig is the size of a run in tests.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Nodes: 3, Routers: 5, Faults: 40 * time.Second, Settle: 15 * time.Second}
}

// Network delays.
const (
	shortestDelay = time.Millisecond
	longestDelay  = 40 * time.Millisecond
)

// world is one run. Everything happens on one goroutine.
type world struct {
	config  Config
	queue   virtualtime.Queue
	random  *rand.Rand
	islands map[string]int
	// loss is the present share of lost messages, double that of doubled ones.
	loss   float64
	double float64

	nodes   []*node
	routers []*router
	engine  *fencedEngine
	operate *operators
	claim   *claimers
	checks  *checks
	nextID  uint64
	failure error
	report  Report
}

func (w *world) now() time.Duration { return w.queue.Now() }

// every runs something again and again, with a little jitter.
func (w *world) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.queue.After(interval+time.Duration(w.random.Int64N(int64(interval)/8+1)), again)
	}
	w.queue.After(time.Duration(w.random.Int64N(int64(interval))), again)
}

// send delivers a message between two places, unless the network loses it.
// Delays are random, so messages overtake each other.
func (w *world) send(from, to string, deliver func()) {
	copies := 1
	if w.random.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.loss {
			continue
		}
		delay := shortestDelay + time.Duration(w.random.Int64N(int64(longestDelay-shortestDelay)))
		w.queue.After(delay, func() {
			if w.islands[from] == w.islands[to] {
				deliver()
			}
		})
	}
}

// chance tells whether something of the given probability happens.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// Run makes one run and returns what it went through. An error says which
// promise was broken, and when.
func Run(config Config) (Report, error) {
	w := &world{config: config, random: rand.New(rand.NewPCG(config.Seed, 11)), islands: map[string]int{}}
	w.report.Faults = map[string]int{}
	w.checks = newChecks(w)
	w.engine = &fencedEngine{world: w}
	w.setUp()
	end := config.Faults + config.Settle
	for w.failure == nil && w.queue.Step(end) {
		w.report.Events++
	}
	if w.failure == nil {
		w.checks.converged()
	}
	w.claim.hand(config.Record)
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
	w.operate = newOperators(w)
	w.claim = newClaimers(w)
	w.every(20*time.Millisecond, w.tickNodes)
	w.every(500*time.Millisecond, w.replaceLost)
	w.every(700*time.Millisecond, w.giveOrder)
	w.scheduleFaults()
}

func (w *world) tickNodes() {
	for _, n := range w.nodes {
		n.tick()
	}
	w.checks.always()
}
