package experiment

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// all selects every scenario or every policy.
const all = "all"

// Study selects and configures the runs of a study. Scenario and Policy may be "all".
type Study struct {
	Deployment deployment.Deployment
	Scenario   string
	Policy     string
	Seed       uint64
	Seeds      int
	Demand     float64
	Engine     enginemodel.Config
	Affinity   scheduling.Config
	Private    bool
	// NoDirectory disables the directory of cache events.
	NoDirectory bool
	// Admission enables admission control in every scenario, as in production.
	Admission bool
}

// Row holds the results of one policy in one scenario. Mean holds the mean over the seeds of rates and
// times, the sum of counts of requests and blocks, and the timeline of the first seed.
type Row struct {
	Scenario      string    `json:"scenario"`
	Policy        string    `json:"policy"`
	Mean          Result    `json:"mean"`
	WorstSurgeP99 float64   `json:"worst_ttft_p99_surge"`
	Runs          []*Result `json:"runs"`
}

// StudyResult is the result of a study.
type StudyResult struct {
	Deployment string `json:"deployment"`
	Engines    int    `json:"engines"`
	Routers    int    `json:"routers"`
	Seed       uint64 `json:"seed"`
	Seeds      int    `json:"seeds"`
	Rows       []*Row `json:"rows"`
}

// Run runs a study, with GOMAXPROCS runs in parallel.
func Run(ctx context.Context, study Study) (*StudyResult, error) {
	names, policies := Scenarios(), Policies()
	if study.Scenario != all {
		names = []string{study.Scenario}
	}
	if study.Policy != all {
		policies = []string{study.Policy}
	}
	figures := &StudyResult{Deployment: study.Deployment.Name, Engines: study.Deployment.Engines, Routers: study.Deployment.Routers,
		Seed: study.Seed, Seeds: study.Seeds}
	var jobs []job
	for _, name := range names {
		conditions, err := FindScenario(name)
		if err != nil {
			return nil, err
		}
		conditions.Admission = conditions.Admission || study.Admission
		conditions.Plan.Demand = max(conditions.Plan.Demand, 1) * study.Demand
		for _, policy := range policies {
			row := &Row{Scenario: name, Policy: policy, Runs: make([]*Result, study.Seeds)}
			figures.Rows = append(figures.Rows, row)
			for i := range study.Seeds {
				jobs = append(jobs, job{row: row, index: i, options: Options{Deployment: study.Deployment, Conditions: conditions,
					Policy: policy, Seed: study.Seed + uint64(i), Engine: study.Engine, Affinity: study.Affinity, PrivatePrompts: study.Private, NoDirectory: study.NoDirectory}})
			}
		}
	}
	if err := runAll(ctx, jobs); err != nil {
		return nil, err
	}
	for _, row := range figures.Rows {
		row.summarize()
	}
	return figures, nil
}

type job struct {
	row     *Row
	index   int
	options Options
}

func runAll(ctx context.Context, jobs []job) error {
	var group sync.WaitGroup
	failures := make([]error, len(jobs))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			j.row.Runs[j.index], failures[i] = Simulate(ctx, j.options)
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

// averagedFields returns the fields of which Row.Mean holds the mean.
func (r *Result) averagedFields() []*float64 {
	return []*float64{&r.HitRate, &r.WastedRatio, &r.SurgeHitRate, &r.SteadyP50, &r.SteadyP95, &r.SteadyP99, &r.SurgeP50, &r.SurgeP95,
		&r.SurgeP99, &r.Goodput, &r.TopClassInTime, &r.RecoverySeconds}
}

func (row *Row) summarize() {
	n := len(row.Runs)
	for _, run := range row.Runs {
		for i, field := range run.averagedFields() {
			*row.Mean.averagedFields()[i] += *field / float64(n)
		}
		row.Mean.Requests += run.Requests
		row.Mean.Answered += run.Answered
		row.Mean.Refused += run.Refused
		row.Mean.BlockChanges += run.BlockChanges
		row.Mean.HeadChanges += run.HeadChanges
		row.WorstSurgeP99 = max(row.WorstSurgeP99, run.SurgeP99)
	}
	row.Mean.Timeline = row.Runs[0].Timeline
}

// Runs returns the number of runs.
func (f *StudyResult) Runs() int {
	n := 0
	for _, row := range f.Rows {
		n += len(row.Runs)
	}
	return n
}

// Table returns the results as a Markdown table.
func (f *StudyResult) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %d engines, %d routers, mean over %d seeds from %d. First-token times in seconds.\n\n", f.Deployment, f.Engines, f.Routers, f.Seeds, f.Seed)
	out.WriteString("| scenario | policy | hit rate | surge hit rate | wasted | steady p99 | surge p50 | surge p95 | surge p99 | worst p99 | goodput/s | top class in time | recovery s | refused |\n")
	out.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, row := range f.Rows {
		m := row.Mean
		fmt.Fprintf(&out, "| %s | %s | %.3f | %.3f | %.4f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.3f | %.1f | %.3f |\n", row.Scenario, row.Policy,
			m.HitRate, m.SurgeHitRate, m.WastedRatio, m.SteadyP99, m.SurgeP50, m.SurgeP95, m.SurgeP99, row.WorstSurgeP99, m.Goodput, m.TopClassInTime, m.RecoverySeconds,
			float64(m.Refused)/float64(max(m.Requests, 1)))
	}
	return out.String()
}
