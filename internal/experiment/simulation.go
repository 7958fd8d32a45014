package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/flowcontrol"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/virtualtime"
	"quinceridge.example/quinceridge/internal/workload"
)

// Options say what one run does.
type Options struct {
	Deployment deployment.Deployment
	Conditions Conditions
	Policy     string
	Seed       uint64
	Engine     enginemodel.Config
	Affinity   scheduling.Config
	// PrivatePrompts takes no prompt as shared between tenants.
	PrivatePrompts bool
	// NoDirectory leaves out the directory of cache events.
	NoDirectory bool
}

// reportInterval is the time between two load reports.
const reportInterval = 250 * time.Millisecond

// maxPlacements bounds how often a request is placed.
const maxPlacements = 20

// simulatedRouter is one router of a run.
type simulatedRouter struct {
	pool      *membership.Pool
	policy    scheduling.Policy
	admission *flowcontrol.Controller
}

// flight is one request on its way.
type flight struct {
	request    workload.Request
	place      scheduling.Request
	class      deployment.Class
	router     int
	placements int
	generated  int
	cached     int
	started    bool
}

// simulation is one run. Everything happens on one goroutine.
type simulation struct {
	options   Options
	queue     virtualtime.Queue
	random    *rand.Rand
	generator *workload.Generator
	engines   []*simulatedEngine
	byID      map[string]*simulatedEngine
	routers   []*simulatedRouter
	holders   map[uint64]int
	// directory is what all routers have from the engines' events.
	directory   *scheduling.Directory
	metrics     *metrics
	prefillRate float64
	placements  uint64
}

// Simulate runs one policy under one seed.
func Simulate(ctx context.Context, options Options) (*Result, error) {
	s := &simulation{options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), byID: map[string]*simulatedEngine{},
		holders: map[uint64]int{}, directory: scheduling.NewDirectory(), metrics: newMetrics(options), prefillRate: options.Engine.PrefillTokensPerSecond()}
	s.generator = workload.New(options.Deployment, options.Conditions.Plan, options.Seed)
	if err := s.setUp(); err != nil {
		return nil, err
	}
	for s.queue.Step(math.MaxInt64) {
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "simulate")
		}
	}
	return s.metrics.result(s.placements), nil
}

func (s *simulation) now() time.Duration { return s.queue.Now() }

func (s *simulation) setUp() error {
	d := s.options.Deployment
	for i := range d.Engines {
		e := &simulatedEngine{id: fmt.Sprintf("engine-%03d", i), zone: d.Zone(i), model: enginemodel.New(s.options.Engine),
			slots: s.options.Engine.DecodeSlots, running: map[string]*flight{}, blocks: map[uint64]bool{}}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	s.routers = make([]*simulatedRouter, d.Routers)
	for i := range s.routers {
		router, err := s.newRouter(i)
		if err != nil {
			return err
		}
		s.routers[i] = router
	}
	s.queue.At(0, s.arrive)
	s.queue.At(0, s.report)
	s.scheduleFaults()
	return nil
}

func (s *simulation) newRouter(number int) (*simulatedRouter, error) {
	policy, err := s.newPolicy(number)
	if err != nil {
		return nil, err
	}
	if user, ok := policy.(scheduling.DirectoryUser); ok && !s.options.NoDirectory {
		user.UseDirectory(s.directory)
	}
	router := &simulatedRouter{policy: policy, admission: flowcontrol.New(),
		pool: membership.NewPool(func(string) float64 { return s.prefillRate })}
	router.pool.SetMachines(s.machines())
	return router, nil
}

func (s *simulation) machines() []controlapi.Machine {
	var out []controlapi.Machine
	for _, e := range s.engines {
		out = append(out, e.machine(s.options.Deployment.Model, s.options.Deployment.Region))
	}
	return out
}

func (s *simulation) scheduleFaults() {
	c := s.options.Conditions
	if c.RestartRoutersAt > 0 {
		s.queue.At(c.RestartRoutersAt, s.restartRouters)
	}
	if c.ZoneLostAt > 0 {
		s.queue.At(c.ZoneLostAt, func() {
			for _, e := range s.engines {
				if e.zone == s.options.Deployment.Zones[0] {
					s.crash(e, true)
				}
			}
		})
	}
	crashes := len(s.engines) * c.Crashes / 10
	for i := range crashes {
		when := surgeStart + (surgeEnd-surgeStart)*time.Duration(i+1)/time.Duration(crashes+1)
		e := s.engines[i*len(s.engines)/crashes]
		s.queue.At(when, func() { s.crash(e, false) })
		s.queue.At(when+downTime, func() { s.recover(e) })
	}
}

// restartRouters gives every router an empty memory.
func (s *simulation) restartRouters() {
	for i := range s.routers {
		if router, err := s.newRouter(i); err == nil {
			s.routers[i] = router
		}
	}
}

// report takes the engines' load and gives it to the routers later.
func (s *simulation) report() {
	c := s.options.Conditions
	rows := make([]controlapi.LoadRow, len(s.engines))
	known := make([]bool, len(s.engines))
	for i, e := range s.engines {
		load := e.load()
		rows[i] = controlapi.LoadRow{controlapi.LoadRunning: load.Running, controlapi.LoadWaiting: load.Waiting, controlapi.LoadPrefillTokens: load.PrefillTokens}
		known[i] = !e.down && s.random.Float64() >= c.ReportLoss
	}
	s.queue.After(c.ReportLag, func() { s.giveReports(rows, known, c.ReportLag) })
	if s.now() < s.options.Conditions.Plan.End {
		s.queue.After(reportInterval, s.report)
	}
}

func (s *simulation) giveReports(rows []controlapi.LoadRow, known []bool, age time.Duration) {
	machines := s.machines()
	for _, router := range s.routers {
		router.pool.SetMachines(machines)
		for i := range rows {
			if known[i] {
				// The pool adds the engine's own lag; here the age is whole.
				rows[i][controlapi.LoadAge] = int((age - membership.ReportLag).Milliseconds())
				router.pool.SetLoad(s.now(), s.engines[i].id, rows[i])
			}
		}
	}
}

// arrive takes the next request of the workload.
func (s *simulation) arrive() {
	request, more := s.generator.Next()
	if !more {
		return
	}
	s.queue.At(request.At, func() {
		s.arrive()
		if !request.Application {
			s.receive(request)
		}
	})
}

func (s *simulation) receive(request workload.Request) {
	f := &flight{request: request, class: s.options.Deployment.Class(request.Kind.Class), router: s.random.IntN(len(s.routers))}
	chain, tokens := request.Chain(!s.options.PrivatePrompts)
	f.place = scheduling.Request{Model: s.options.Deployment.Model, Chain: chain, PromptTokens: tokens, Tenant: request.Tenant}
	s.metrics.arrived(f)
	s.place(f)
}

// place decides for a request and sends it.
func (s *simulation) place(f *flight) {
	router := s.routers[f.router]
	f.placements++
	s.placements++
	decision, err := router.policy.Pick(s.now(), &f.place, router.pool.Snapshot(s.now()))
	if err != nil || f.placements > maxPlacements {
		s.metrics.refused()
		return
	}
	if f.placements == 1 && !s.admit(router, f, &decision) {
		s.metrics.refused()
		return
	}
	e := s.byID[decision.Endpoint.ID]
	router.pool.RecordDispatch(s.now(), e.id, f.place.PromptTokens-decision.ExpectedCached)
	s.queue.After(2*hop, func() { s.deliver(f, e) })
}

func (s *simulation) admit(router *simulatedRouter, f *flight, decision *scheduling.Decision) bool {
	if !s.options.Conditions.Admission {
		return true
	}
	missing := f.place.PromptTokens - decision.ExpectedCached
	prefill := time.Duration(float64(missing) / s.prefillRate * float64(time.Second))
	return router.admission.Admit(s.now(), flowcontrol.Request{Tenant: f.request.Tenant, Weight: 1, Priority: f.class.Priority,
		FirstToken: s.options.Deployment.Patience(f.class), Expected: decision.Endpoint.Wait + prefill, Cost: missing + f.request.Kind.OutputTokens}).Admitted
}

// deliver hands a request to an engine.
func (s *simulation) deliver(f *flight, e *simulatedEngine) {
	if e.down {
		delay := resetDelay
		if e.silent {
			delay = silentDelay
		}
		s.queue.After(delay, func() { s.failed(f, e) })
		return
	}
	id := fmt.Sprintf("%d/%d", f.request.Number, f.placements)
	e.running[id] = f
	err := e.model.Add(enginemodel.Request{ID: id, Chain: f.place.Chain, PromptTokens: f.place.PromptTokens + f.generated,
		OutputTokens: f.request.Kind.OutputTokens - f.generated, FirstIndex: f.generated, Priority: f.class.Priority})
	e.changed = true
	if err != nil {
		delete(e.running, id)
		f.place.Excluded = append(f.place.Excluded, e.id)
		s.place(f)
		return
	}
	s.step(e)
}

// failed places a request again after its engine was lost.
func (s *simulation) failed(f *flight, e *simulatedEngine) {
	s.routers[f.router].pool.RecordFailure(s.now(), e.id)
	if !slices.Contains(f.place.Excluded, e.id) {
		f.place.Excluded = append(f.place.Excluded, e.id)
	}
	s.place(f)
}

// answered tells the router that an answer is whole.
func (s *simulation) answered(f *flight, engine string) {
	router := s.routers[f.router]
	router.pool.RecordSuccess(engine)
	s.metrics.answered()
	if s.random.Float64() >= s.options.Conditions.HintLoss {
		router.policy.Answered(s.now(), &f.place, engine, f.cached)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
