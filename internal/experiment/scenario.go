// Package experiment compares placement policies in simulation. It runs the placement, membership and
// admission code of the product against the engine model in virtual time, with baseline policies and
// an oracle for comparison. Runs with the same seed give the same results on every machine.
package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/workload"
)

// Times of a run.
const (
	// warmUp is excluded from the metrics.
	warmUp      = 15 * time.Second
	surgeStart  = 30 * time.Second
	surgeEnd    = 50 * time.Second
	runEnd      = 75 * time.Second
	surgeMiddle = (surgeStart + surgeEnd) / 2
)

// Conditions describes a scenario: its load, faults, delays and losses.
type Conditions struct {
	Name string
	// Description is a short text for reports.
	Description string
	Plan        workload.Plan
	// ReportLag is the age of load reports when routers receive them, and ReportLoss the share of
	// reports that are lost.
	ReportLag  time.Duration
	ReportLoss float64
	// EventLag is the delay of cache events, and EventLoss the share of events that are lost.
	EventLag  time.Duration
	EventLoss float64
	// HintLoss is the share of responses that are not reported to the placement policy.
	HintLoss float64
	// Crashes is the number of engines in ten that crash one after another during the surge.
	Crashes int
	// RestartRoutersAt is the time at which all routers restart. Zero means never.
	RestartRoutersAt time.Duration
	// ZoneLostAt is the time at which all engines of a zone are lost for the rest of the run. Zero
	// means never.
	ZoneLostAt time.Duration
	// Admission enables admission control. Without it all requests are queued, so that the tail
	// latencies of policies can be compared.
	Admission bool
}

// Default delays and losses.
const (
	defaultReportLag = 500 * time.Millisecond
	defaultEventLag  = 1500 * time.Millisecond
	defaultEventLoss = 0.1
)

// surgePlan returns a plan with a surge, and a change of the popular documents at shift unless that
// is zero. demand is a factor on the rates.
func surgePlan(shift time.Duration, demand float64) workload.Plan {
	return workload.Plan{SurgeStart: surgeStart, SurgeEnd: surgeEnd, ShiftAt: shift, End: runEnd, Demand: demand}
}

// scenarios lists all scenarios in the order in which reports show them.
var scenarios = []Conditions{
	{Name: "steady", Description: "no surge", Plan: workload.Plan{End: runEnd}, ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss},
	{Name: "surge", Description: "three times the steady rate for 20 s", Plan: surgePlan(0, 1), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss},
	{Name: "shift", Description: "the surge, and other documents become hot in its middle", Plan: surgePlan(surgeMiddle, 1), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss},
	{Name: "herd", Description: "the surge, and all routers restart in its middle", Plan: surgePlan(0, 1), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss, RestartRoutersAt: surgeMiddle},
	{Name: "crash", Description: "the surge, and three of ten engines crash in turn and come back empty after 2 s", Plan: surgePlan(0, 1), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss, Crashes: 3},
	{Name: "lag", Description: "the shift, with load reports 2 s late and a third of reports and answers' hints lost", Plan: surgePlan(surgeMiddle, 1), ReportLag: 2 * time.Second, ReportLoss: 0.33, EventLag: 5 * time.Second, EventLoss: 0.33, HintLoss: 0.33},
	{Name: "overload", Description: "the surge at twice its rate, with early refusal", Plan: surgePlan(0, 2), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss, Admission: true},
	{Name: "zone-loss", Description: "the surge, and one zone is gone from its middle on", Plan: surgePlan(0, 1), ReportLag: defaultReportLag, EventLag: defaultEventLag, EventLoss: defaultEventLoss, ZoneLostAt: surgeMiddle},
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	return names
}

// FindScenario returns the scenario with the given name, or an error if there is none.
func FindScenario(name string) (Conditions, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Conditions{}, errors.Newf("no such scenario: %q; known: %v", name, Scenarios())
}
