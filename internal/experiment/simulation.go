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

// Options configures one run.
type Options struct {
	Deployment deployment.Deployment
	Conditions Conditions
	Policy     string
	Seed       uint64
	Engine     enginemodel.Config
	Affinity   scheduling.Config
	// PrivatePrompts treats no prompt as shared between tenants.
	PrivatePrompts bool
	// NoDirectory disables the directory of cache events.
	NoDirectory bool
}

// reportInterval is the time between load reports.
const reportInterval = 250 * time.Millisecond

// maxPlacements is the maximum number of placements of a request.
const maxPlacements = 20

// simulatedRouter is one router of a run.
type simulatedRouter struct {
	pool      *membership.Pool
	policy    scheduling.Policy
	admission *flowcontrol.Controller
}

// simulatedRequest is one request of a run and its progress.
type simulatedRequest struct {
	request    workload.Request
	place      scheduling.Request
	class      deployment.Class
	router     int
	placements int
	generated  int
	cached     int
	started    bool
}

// simulation is the state of one run. It is used by one goroutine only.
type simulation struct {
	options   Options
	queue     virtualtime.Queue
	random    *rand.Rand
	generator *workload.Generator
	engines   []*simulatedEngine
	byID      map[string]*simulatedEngine
	routers   []*simulatedRouter
	// holders is the number of live engines that have a block cached.
	holders map[uint64]int
	// directory is the index of cached blocks that all routers share, built from cache events.
	directory   *scheduling.Directory
	metrics     *metrics
	prefillRate float64
	placements  uint64
}

// Simulate runs one policy in one scenario with one seed, in virtual time.
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
			slots: s.options.Engine.DecodeSlots, running: map[string]*simulatedRequest{}, blocks: map[uint64]bool{}}
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
	s.queue.At(0, s.collectReports)
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
		s.queue.At(when+crashDowntime, func() { s.recover(e) })
	}
}

// restartRouters replaces every router by one without state.
func (s *simulation) restartRouters() {
	for i := range s.routers {
		if router, err := s.newRouter(i); err == nil {
			s.routers[i] = router
		}
	}
}

// collectReports records the load of the engines and schedules its delivery to the routers.
func (s *simulation) collectReports() {
	c := s.options.Conditions
	rows := make([]controlapi.LoadRow, len(s.engines))
	delivered := make([]bool, len(s.engines))
	for i, e := range s.engines {
		load := e.load()
		rows[i] = controlapi.LoadRow{controlapi.LoadRunning: load.Running, controlapi.LoadWaiting: load.Waiting, controlapi.LoadPrefillTokens: load.PrefillTokens}
		delivered[i] = !e.down && s.random.Float64() >= c.ReportLoss
	}
	s.queue.After(c.ReportLag, func() { s.deliverReports(rows, delivered, c.ReportLag) })
	if s.now() < s.options.Conditions.Plan.End {
		s.queue.After(reportInterval, s.collectReports)
	}
}

func (s *simulation) deliverReports(rows []controlapi.LoadRow, delivered []bool, age time.Duration) {
	machines := s.machines()
	for _, router := range s.routers {
		router.pool.SetMachines(machines)
		for i := range rows {
			if delivered[i] {
				// The pool adds membership.ReportLag to the age, which already includes it here.
				rows[i][controlapi.LoadAge] = int((age - membership.ReportLag).Milliseconds())
				router.pool.SetLoad(s.now(), s.engines[i].id, rows[i])
			}
		}
	}
}

// arrive schedules the next request of the workload.
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
	f := &simulatedRequest{request: request, class: s.options.Deployment.Class(request.Kind.Class), router: s.random.IntN(len(s.routers))}
	chain, tokens := request.Chain(!s.options.PrivatePrompts)
	f.place = scheduling.Request{Model: s.options.Deployment.Model, Chain: chain, PromptTokens: tokens, Tenant: request.Tenant}
	s.metrics.arrived(f)
	s.place(f)
}

// place picks an engine for a request and sends it there, or refuses the request.
func (s *simulation) place(f *simulatedRequest) {
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
	router.pool.RecordDispatch(s.now(), e.id, f.place.PromptTokens-decision.ExpectedCachedTokens)
	s.queue.After(2*hopDelay, func() { s.deliver(f, e) })
}

func (s *simulation) admit(router *simulatedRouter, f *simulatedRequest, decision *scheduling.Decision) bool {
	if !s.options.Conditions.Admission {
		return true
	}
	uncachedTokens := f.place.PromptTokens - decision.ExpectedCachedTokens
	prefill := time.Duration(float64(uncachedTokens) / s.prefillRate * float64(time.Second))
	return router.admission.Admit(s.now(), flowcontrol.Request{Tenant: f.request.Tenant, Weight: 1, Priority: f.class.Priority,
		FirstToken: s.options.Deployment.Patience(f.class), Expected: decision.Endpoint.Wait + prefill, Cost: uncachedTokens + f.request.Kind.OutputTokens}).Admitted
}

// deliver adds a request to an engine. A failed engine or a full one causes another placement.
func (s *simulation) deliver(f *simulatedRequest, e *simulatedEngine) {
	if e.down {
		delay := resetDetectionDelay
		if e.unreachable {
			delay = zoneLossDetectionDelay
		}
		s.queue.After(delay, func() { s.engineFailed(f, e) })
		return
	}
	id := fmt.Sprintf("%d/%d", f.request.Number, f.placements)
	e.running[id] = f
	err := e.model.Add(enginemodel.Request{ID: id, Chain: f.place.Chain, PromptTokens: f.place.PromptTokens + f.generated,
		OutputTokens: f.request.Kind.OutputTokens - f.generated, FirstIndex: f.generated, Priority: f.class.Priority})
	e.loadStale = true
	if err != nil {
		delete(e.running, id)
		f.place.Excluded = append(f.place.Excluded, e.id)
		s.place(f)
		return
	}
	s.step(e)
}

// engineFailed places a request again after its engine failed.
func (s *simulation) engineFailed(f *simulatedRequest, e *simulatedEngine) {
	s.routers[f.router].pool.RecordFailure(s.now(), e.id)
	if !slices.Contains(f.place.Excluded, e.id) {
		f.place.Excluded = append(f.place.Excluded, e.id)
	}
	s.place(f)
}

// answered records a complete response in the router's pool, and in its policy unless the hint is
// lost.
func (s *simulation) answered(f *simulatedRequest, engine string) {
	router := s.routers[f.router]
	router.pool.RecordSuccess(engine)
	s.metrics.answered()
	if s.random.Float64() >= s.options.Conditions.HintLoss {
		router.policy.ObserveResponse(s.now(), &f.place, engine, f.cached)
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
