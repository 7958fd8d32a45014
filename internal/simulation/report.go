package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report counts what a run went through.
type Report struct {
	// Faults counts faults by name.
	Faults map[string]int
	// Leaders counts terms that had a leader, Replaced the machines that took
	// the place of lost ones.
	Leaders  int
	Replaced int
	// Accepted is the highest accepted version.
	Accepted uint64
	// Runs counts attempts that ran, NotRun those that were called not run.
	Runs   int
	NotRun int
	// Orders counts orders that the engine obeyed.
	Orders int
	Events uint64
	// LeadTime is how long a leader held its lease, HeldTime how long routers
	// served without control, summed over routers.
	LeadTime time.Duration
	HeldTime time.Duration
}

// Add adds another run's counts.
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

// String returns the counts for people.
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
