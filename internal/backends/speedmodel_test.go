package backends

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/state"
)

// Parameters of the modeled engines at speed 1.
const (
	modelSlots        = 48
	modelMemory       = 113_000
	modelChunk        = 2048
	modelPrefillPerMs = 92.0
	modelStepMs       = 3.03
	modelSequenceMs   = 0.121
	modelEventTokens  = 8
	modelReportMean   = 40 * time.Millisecond
	modelTransfer     = 15 * time.Millisecond
)

// modelRoute is a kind of requests.
type modelRoute struct {
	shared, own, output int
	target, gap         time.Duration
	keys                int
}

var (
	longRoute  = modelRoute{shared: 6300, own: 2890, output: 56, target: 500 * time.Millisecond, gap: 400 * time.Millisecond, keys: 400}
	shortRoute = modelRoute{shared: 198, own: 628, output: 288, target: 300 * time.Millisecond, gap: 400 * time.Millisecond, keys: 30}
)

// modelRequest is a request at a modeled engine.
type modelRequest struct {
	route             *modelRoute
	attempt           *Attempt
	sent              time.Duration
	prefill, produced int
}

// modelEngine processes prompts in chunks between the decode steps of all its requests.
type modelEngine struct {
	id       string
	speed    float64
	requests []*modelRequest
	stepping bool
	held     map[string]bool
	// work is the time in milliseconds that the accepted requests take at this engine.
	work float64
}

// modelEvent is a call at a time.
type modelEvent struct {
	at time.Duration
	n  int
	do func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].n < e[j].n)
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// speedModel runs a central pool in front of modeled engines in virtual time.
type speedModel struct {
	pool *Pool
	// arrivals draws the requests, so that both rules get the same ones, and delays the reports.
	arrivals, delays *rand.Rand
	now              time.Duration
	events           modelEvents
	n                int
	engines          []*modelEngine
	byID             map[string]*modelEngine
	holders          map[string]string
	// fixed is the part of a wait that does not depend on the engine's speed.
	fixed time.Duration
	// counted is the time from which requests count.
	counted               time.Duration
	arrived, inTime, late int
	recomputed, shared    int
	choices               []string
	record                bool
	rate                  float64
	routes                []*modelRoute
	end                   time.Duration
}

// newSpeedModel returns a model of engines with the given speeds. If equal is set, the pool does not
// learn speeds, which is the rule for engines that are all assumed to be equal.
func newSpeedModel(seed uint64, speeds []float64, equal bool) *speedModel {
	m := &speedModel{pool: NewCentralPool(), arrivals: rand.New(rand.NewPCG(seed, 11)), delays: rand.New(rand.NewPCG(seed, 12)), byID: map[string]*modelEngine{}, holders: map[string]string{},
		fixed: 5 * time.Millisecond, counted: 4 * time.Second, routes: []*modelRoute{&longRoute, &shortRoute}}
	var rows []state.Backend
	for i, speed := range speeds {
		e := &modelEngine{id: fmt.Sprintf("e%03d", i), speed: speed, held: map[string]bool{}}
		m.engines = append(m.engines, e)
		m.byID[e.id] = e
		rows = append(rows, state.Backend{ID: e.id, Pool: "llm", Address: fmt.Sprint("a:", i), Zone: "a", Slots: modelSlots, Weights: map[string]int{"m": 1}})
	}
	m.pool.Apply(rows, nil, true)
	if equal {
		// The update never becomes due.
		*entry(m.pool.speeds, "llm") = reference{begun: true, updated: math.MaxInt64}
	}
	return m
}

func (m *speedModel) after(d time.Duration, do func()) {
	m.n++
	heap.Push(&m.events, modelEvent{m.now + d, m.n, do})
}

// run lets requests arrive at a rate per millisecond until the time end.
func (m *speedModel) run(rate float64, end time.Duration) {
	m.rate, m.end = rate, end
	m.after(0, m.arrive)
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *speedModel) arrive() {
	m.after(time.Duration(m.arrivals.ExpFloat64()/m.rate*float64(time.Millisecond)), m.arrive)
	route := m.routes[m.arrivals.IntN(len(m.routes))]
	key := fmt.Sprint(route.shared, " ", m.arrivals.IntN(route.keys))
	q := &Query{Pool: "llm", Zone: "a", Model: "m", Key: key, Shared: route.shared, Target: route.target, GapTarget: route.gap, Slots: modelSlots,
		Capacity: modelMemory, Patience: 150 * time.Millisecond, Work: Work{Prompt: route.own, Most: route.shared + route.own + route.output}}
	holder := m.holders[key]
	q.Holder = func(int) string { return holder }
	q.UncachedTokens = func(int) int {
		if holder == "" {
			return route.shared
		}
		return 0
	}
	counted := m.now >= m.counted
	if counted {
		m.arrived++
	}
	choice, _ := m.pool.Choose(m.now, q)
	if m.record {
		if choice.Late {
			// The ID of a late choice depends on the order of a map.
			choice.ID = ""
		}
		m.choices = append(m.choices, choice.ID)
	}
	if choice.Late {
		if counted {
			m.late++
		}
		return
	}
	e := m.byID[choice.ID]
	r := &modelRequest{route: route, attempt: m.pool.Begin(m.now, &choice, q, func(error) {}), sent: m.now, prefill: choice.Work.Prompt}
	if counted {
		m.shared += route.shared
		m.recomputed += choice.Work.Prompt - route.own
		e.work += (float64(choice.Work.Prompt)/modelPrefillPerMs + modelSequenceMs*float64(route.output)) / e.speed
	}
	delay := m.fixed / 2
	if !e.held[key] && holder != "" {
		delay += modelTransfer
	}
	if e.held[key] = true; holder == "" || choice.Home {
		m.holders[key] = e.id
	}
	m.after(delay, func() {
		e.requests = append(e.requests, r)
		m.step(e)
	})
}

// step begins the next step of an engine unless one is under way.
func (m *speedModel) step(e *modelEngine) {
	if e.stepping || len(e.requests) == 0 {
		return
	}
	e.stepping = true
	budget, decoding := modelChunk, 0
	taken := make([]int, min(len(e.requests), modelSlots))
	for i := range taken {
		r := e.requests[i]
		if r.prefill == 0 {
			decoding++
			taken[i] = -1
			continue
		}
		taken[i] = min(budget, r.prefill)
		budget -= taken[i]
	}
	ms := (modelStepMs + modelSequenceMs*float64(decoding) + float64(modelChunk-budget)/modelPrefillPerMs) / e.speed
	m.after(time.Duration(ms*float64(time.Millisecond)), func() { m.finishStep(e, taken) })
}

func (m *speedModel) finishStep(e *modelEngine, taken []int) {
	e.stepping = false
	kept := e.requests[:0]
	for i, r := range e.requests {
		if i < len(taken) {
			if taken[i] >= 0 {
				r.prefill -= taken[i]
			} else {
				r.produced++
			}
			if taken[i] < 0 && r.produced == modelEventTokens {
				m.firstEvent(r)
			}
		}
		if r.produced < r.route.output {
			kept = append(kept, r)
			continue
		}
		m.after(m.report(), func() { r.attempt.End(m.now) })
	}
	e.requests = kept
	m.step(e)
}

// report returns the delay of a report.
func (m *speedModel) report() time.Duration {
	return time.Duration(2 * m.delays.Float64() * float64(modelReportMean))
}

func (m *speedModel) firstEvent(r *modelRequest) {
	wait := m.now + m.fixed/2 - r.sent
	if r.sent >= m.counted && wait <= r.route.target {
		m.inTime++
	}
	m.after(m.fixed/2+m.report(), func() { r.attempt.FirstEventReported(m.now, wait) })
}

// share returns the share of the counted requests that were in time.
func (m *speedModel) share() float64 { return float64(m.inTime) / float64(max(m.arrived, 1)) }

// busiest returns the work of the busiest engine as a multiple of the mean.
func (m *speedModel) busiest() float64 {
	sum, most := 0.0, 0.0
	for _, e := range m.engines {
		sum += e.work
		most = max(most, e.work)
	}
	return most * float64(len(m.engines)) / sum
}

// sum returns the sum of speeds.
func sum(speeds []float64) float64 {
	total := 0.0
	for _, s := range speeds {
		total += s
	}
	return total
}
