// Package experiment is the bench: it runs the product's placement, membership
// and admission code over the engine model in virtual time, beside baselines
// and an all-knowing bound. Equal seeds give equal figures on every machine.
package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/workload"
)

// Times of a run.
const (
	// warmUp is left out of all figures.
	warmUp     = 15 * time.Second
	surgeStart = 30 * time.Second
	surgeEnd   = 50 * time.Second
	runEnd     = 75 * time.Second
	middle     = (surgeStart + surgeEnd) / 2
)

// Conditions are what a scenario brings about.
type Conditions struct {
	Name string
	// Description says it in a sentence, for reports.
	Description string
	Plan        workload.Plan
	// ReportLag is the age of load reports when routers get them, and
	// ReportLoss the share that never comes.
	ReportLag  time.Duration
	ReportLoss float64
	// EventLag is how late cache events come, and EventLoss the share of them
	// that never does.
	EventLag  time.Duration
	EventLoss float64
	// HintLoss is the share of answers that placement never hears of.
	HintLoss float64
	// Crashes is how many of ten engines crash in turn during the surge.
	Crashes int
	// RestartRoutersAt is when all routers restart. Zero means never.
	RestartRoutersAt time.Duration
	// ZoneLostAt is when a zone's engines are gone for good.
	ZoneLostAt time.Duration
	// Admission refuses early. Without it everything is queued, so that the
	// tails of policies can be compared.
	Admission bool
}

// Ordinary lateness and gaps.
const (
	ordinaryLag  = 500 * time.Millisecond
	ordinaryWait = 1500 * time.Millisecond
	ordinaryLoss = 0.1
)

func plan(shift time.Duration, demand float64) workload.Plan {
	return workload.Plan{SurgeStart: surgeStart, SurgeEnd: surgeEnd, ShiftAt: shift, End: runEnd, Demand: demand}
}

// scenarios lists all scenarios in the order of reports.
var scenarios = []Conditions{
	{Name: "steady", Description: "no surge", Plan: workload.Plan{End: runEnd}, ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss},
	{Name: "surge", Description: "three times the steady rate for 20 s", Plan: plan(0, 1), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss},
	{Name: "shift", Description: "the surge, and other documents become hot in its middle", Plan: plan(middle, 1), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss},
	{Name: "herd", Description: "the surge, and all routers restart in its middle", Plan: plan(0, 1), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss, RestartRoutersAt: middle},
	{Name: "crash", Description: "the surge, and three of ten engines crash in turn and come back empty after 2 s", Plan: plan(0, 1), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss, Crashes: 3},
	{Name: "lag", Description: "the shift, with load reports 2 s late and a third of reports and answers' hints lost", Plan: plan(middle, 1), ReportLag: 2 * time.Second, ReportLoss: 0.33, EventLag: 5 * time.Second, EventLoss: 0.33, HintLoss: 0.33},
	{Name: "overload", Description: "the surge at twice its rate, with early refusal", Plan: plan(0, 2), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss, Admission: true},
	{Name: "zone-loss", Description: "the surge, and one zone is gone from its middle on", Plan: plan(0, 1), ReportLag: ordinaryLag, EventLag: ordinaryWait, EventLoss: ordinaryLoss, ZoneLostAt: middle},
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	return names
}

// FindScenario returns a scenario by its name.
func FindScenario(name string) (Conditions, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Conditions{}, errors.Newf("no such scenario: %q; known: %v", name, Scenarios())
}
