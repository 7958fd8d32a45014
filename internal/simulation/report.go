package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report holds the counts of one run or of several.
type Report struct {
	// Faults counts injected faults by name.
	Faults map[string]int
	// Leaders is the number of terms with a leader, and Replaced the number of control nodes
	// that replaced lost ones.
	Leaders  int
	Replaced int
	// Accepted is the highest accepted bundle version.
	Accepted uint64
	// Runs is the number of attempts that ran, and NotRun the number that were answered "not
	// run".
	Runs   int
	NotRun int
	// Orders is the number of orders that the engine accepted.
	Orders int
	Events uint64
	// LeadTime is the time during which a node held the leader lease. HeldTime is the time
	// during which routers served without control nodes, summed over routers.
	LeadTime time.Duration
	HeldTime time.Duration
}

// Add adds the counts of another run.
func (r *Report) Add(other Report) {
	for name, count := range other.Faults {
		r.Faults[name] += count
	}
	r.Leaders += other.Leaders
	r.Replaced += other.Replaced
	r.Accepted += other.Accepted
	r.Runs += other.Runs
	r.NotRun += other.NotRun
	r.Orders += other.Orders
	r.Events += other.Events
	r.LeadTime += other.LeadTime
	r.HeldTime += other.HeldTime
}

// String formats the counts for the command line.
func (r *Report) String() string {
	var names []string
	for name := range r.Faults {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	fmt.Fprintf(&out, "%d bundles accepted, %d claims run, %d called not run, %d orders obeyed, %d terms, %d machines replaced, %d events\n",
		r.Accepted, r.Runs, r.NotRun, r.Orders, r.Leaders, r.Replaced, r.Events)
	fmt.Fprintf(&out, "a leader for %.0f s, routers without control served for %.0f s\nfaults:", r.LeadTime.Seconds(), r.HeldTime.Seconds())
	for _, name := range names {
		fmt.Fprintf(&out, " %s %d;", name, r.Faults[name])
	}
	return out.String()
}
